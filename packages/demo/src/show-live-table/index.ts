/**
Shows the figures of every team as a table on a terminal, refreshed once a second.
*/

import {randomUUID} from 'node:crypto';
import {formatTable} from '@fireflyglade/language';
import {FireflygladeError} from '@fireflyglade/model';
import {sendStatement, type OperatorAccess} from '../operator-statements/index.js';

const refreshIntervalMilliseconds = 1000;
const statement = 'show teams order by team';
const clearDownSequence = '\u001B[0J';

function moveCursorUp(lines: number): string {
	return lines === 0 ? '' : `\u001B[${lines}A`;
}

/**
Shows the table until the returned function is called. If the statement of a refresh is refused, the
displayed table stays.

@param write - Writes text to the terminal.
*/
export function showLiveTable(access: OperatorAccess, write: (text: string) => void): () => void {
	let displayedLineCount = 0;
	let isRefreshing = false;
	const refresh = async (): Promise<void> => {
		if (isRefreshing) {
			return;
		}

		isRefreshing = true;
		try {
			const answer = await sendStatement(access, statement, randomUUID());
			if (answer.kind === 'rows') {
				const text = formatTable(answer.columns, answer.rows);
				write(`${moveCursorUp(displayedLineCount)}\r${clearDownSequence}${text}\n`);
				displayedLineCount = text.split('\n').length;
			}
		} catch (error: unknown) {
			if (!(error instanceof FireflygladeError)) {
				throw error;
			}
		} finally {
			isRefreshing = false;
		}
	};

	const timer = setInterval(() => {
		void refresh();
	}, refreshIntervalMilliseconds);
	return () => {
		clearInterval(timer);
	};
}
