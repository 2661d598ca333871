/**
Runs one statement and writes its answer or error.
*/

import {
	getHelpText, parseStatement, type Statement, type StatementResponse,
} from '@fireflyglade/language';
import {UsageError} from '../errors/index.js';
import {formatAnswer, formatError, type AnswerFormat} from '../format-answer/index.js';

/** Gets a statement answered. */
export type ExecuteStatement = (statement: string) => Promise<StatementResponse>;

/** Where a statement's answer is written. */
export type Output = {
	/** Writes an answer. */
	write(text: string): void;
	/** Writes an error for people. */
	writeError(text: string): void;
};

/** What a statement needs to run. */
export type RunStatementOptions = {
	readonly execute: ExecuteStatement;
	readonly output: Output;
	readonly format: AnswerFormat;
};

async function answerStatement(statement: Statement, text: string, execute: ExecuteStatement): Promise<StatementResponse> {
	return statement.kind === 'help' ? {kind: 'help', text: getHelpText(statement.topic)} : execute(text);
}

/**
Runs a statement. A statement that doesn't parse is sent nowhere.

@returns True if the statement was answered, false if an error was written.
@throws {UsageError} The command line lacks what the statement needs.
*/
export async function runStatement(text: string, {execute, output, format}: RunStatementOptions): Promise<boolean> {
	try {
		const answer = await answerStatement(parseStatement(text), text, execute);
		output.write(formatAnswer(answer, format));
		return true;
	} catch (error) {
		if (error instanceof UsageError) {
			throw error;
		}

		const message = formatError(error, text, format);
		if (format === 'json') {
			output.write(message);
		} else {
			output.writeError(message);
		}

		return false;
	}
}
