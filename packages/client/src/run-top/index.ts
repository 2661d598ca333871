/**
A live view of failure domains, teams and upstreams that is redrawn periodically.
*/

import {formatTable, type StatementResponse} from '@fireflyglade/language';
import type {Clock} from '@fireflyglade/model';
import {formatError} from '../format-answer/index.js';
import type {ExecuteStatement, Output} from '../run-statement/index.js';

/** Options of the live view. */
export type RunTopOptions = {
	readonly execute: ExecuteStatement;
	readonly output: Output;
	readonly clock: Clock;
	readonly intervalMilliseconds: number;
	/** Number of times that the view is drawn; if absent, it is redrawn forever. */
	readonly count?: number;
	/** True to clear the terminal before each view. */
	readonly shouldClearScreen: boolean;
};

const statements = ['show domains', 'show teams', 'show upstreams limit 20'];
const clearSequence = '\u001B[2J\u001B[H';

function formatPart(statement: string, answer: StatementResponse): string {
	return answer.kind === 'rows' ? `${statement}\n${formatTable(answer.columns, answer.rows)}` : statement;
}

async function drawPart(statement: string, execute: ExecuteStatement): Promise<string> {
	try {
		return formatPart(statement, await execute(statement));
	} catch (error) {
		return `${statement}\n${formatError(error, statement, 'people')}`;
	}
}

/** Draws the live view until it was drawn `count` times. If a statement fails, its error is shown in its place. */
export async function runTop(options: RunTopOptions): Promise<void> {
	const {execute, output, clock, intervalMilliseconds, count, shouldClearScreen} = options;
	let remaining = count ?? Number.POSITIVE_INFINITY;
	for (;;) {
		const parts = await Promise.all(statements.map(async statement => drawPart(statement, execute)));
		output.write(`${shouldClearScreen ? clearSequence : ''}${parts.join('\n\n')}\n`);
		remaining -= 1;
		if (remaining <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			clock.startTimer(intervalMilliseconds, resolve);
		});
	}
}
