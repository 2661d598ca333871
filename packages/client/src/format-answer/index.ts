/**
Writes answers and errors for people or for programs.
*/

import {
	formatErrorPosition, formatTable, StatementSyntaxError, type StatementResponse, type StatementErrorResponse,
} from '@fireflyglade/language';
import {FireflygladeError, UnreachableError} from '@fireflyglade/model';
import {StatementRefusedError} from '../errors/index.js';

/** How answers are written. */
export type AnswerFormat = 'people' | 'json';

function listDomains(domains: readonly string[]): string {
	return domains.length === 0 ? 'none' : domains.join(', ');
}

function formatChanged(answer: Extract<StatementResponse, {kind: 'changed'}>): string {
	const lines = [`revision ${answer.revision}, in force in: ${listDomains(answer.inForce)}`];
	if (answer.pending.length > 0) {
		lines.push(`not yet confirmed by: ${listDomains(answer.pending)}`);
	}

	if (answer.cutOff.length > 0) {
		lines.push(`nothing is heard from: ${listDomains(answer.cutOff)}`);
	}

	if (answer.id !== undefined) {
		lines.push(`key id: ${answer.id}`);
	}

	if (answer.secret !== undefined) {
		lines.push(`secret, shown this once: ${answer.secret}`);
	}

	return lines.join('\n');
}

function formatForPeople(answer: StatementResponse): string {
	switch (answer.kind) {
		case 'changed': {
			return formatChanged(answer);
		}

		case 'rows': {
			return answer.rows.length === 0 ? `no rows at revision ${answer.revision}` : formatTable(answer.columns, answer.rows);
		}

		case 'members-changed': {
			return `members that vote: ${answer.voters.join(', ')}`;
		}

		case 'help': {
			return answer.text;
		}

		default: {
			throw new UnreachableError(answer);
		}
	}
}

/** Writes an answer. */
export function formatAnswer(answer: StatementResponse, format: AnswerFormat): string {
	return format === 'json' ? JSON.stringify(answer) : formatForPeople(answer);
}

function positionOf(error: unknown): number | undefined {
	return error instanceof StatementSyntaxError || error instanceof StatementRefusedError ? error.position : undefined;
}

/** Writes the error of a statement; for people, with a caret below the character at which it lies. */
export function formatError(error: unknown, statement: string, format: AnswerFormat): string {
	const code = error instanceof FireflygladeError ? error.code : 'internal';
	const message = error instanceof Error ? error.message : 'unknown failure';
	const position = positionOf(error);
	if (format === 'json') {
		const answer: StatementErrorResponse = {error: {code, message, ...(position === undefined ? {} : {position})}};
		return JSON.stringify(answer);
	}

	return position === undefined ? `${code}: ${message}` : `${formatErrorPosition(statement, position)}\n${code}: ${message}`;
}
