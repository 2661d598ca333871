/**
A live view of teams and upstreams, drawn again at an interval.
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
	/** Number of times that the view is drawn; without end if absent. */
	readonly count?: number;
	/** True if each view replaces the one before on a terminal. */
	readonly clearScreen: boolean;
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

/** Draws the live view until `count` is reached. A failure is drawn in place of its part. */
export async function runTop(options: RunTopOptions): Promise<void> {
	const {execute, output, clock, intervalMilliseconds, count, clearScreen} = options;
	let remaining = count ?? Number.POSITIVE_INFINITY;
	for (;;) {
		const parts = await Promise.all(statements.map(async statement => drawPart(statement, execute)));
		output.write(`${clearScreen ? clearSequence : ''}${parts.join('\n\n')}\n`);
		remaining -= 1;
		if (remaining <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			clock.startTimer(intervalMilliseconds, resolve);
		});
	}
}
