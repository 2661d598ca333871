/**
How errors of statements stand in HTTP answers.
*/

import {HTTPError} from 'h3';
import {StatementSyntaxError, type StatementErrorResponse} from '@fireflyglade/language';
import {FireflygladeError} from '@fireflyglade/model';
import {NoQuorumError, ShuttingDownError, UnknownOperatorError} from '../errors/index.js';
import {ChangeRefusedError, ForbiddenStatementError} from '../statement-service/index.js';

/** The HTTP status of a statement's error. */
export function statusOfStatementError(error: unknown): number {
	if (error instanceof UnknownOperatorError) {
		return 401;
	}

	if (error instanceof ForbiddenStatementError) {
		return 403;
	}

	if (error instanceof ChangeRefusedError) {
		return error.refusal.kind === 'not-found' ? 404 : 409;
	}

	if (error instanceof NoQuorumError || error instanceof ShuttingDownError) {
		return 503;
	}

	if (error instanceof FireflygladeError) {
		return 400;
	}

	return error instanceof HTTPError ? error.status : 500;
}

/** The JSON body of a statement's error. */
export function describeStatementError(error: unknown): StatementErrorResponse {
	if (error instanceof StatementSyntaxError) {
		return {error: {code: error.code, message: error.message, position: error.position}};
	}

	if (error instanceof FireflygladeError) {
		return {error: {code: error.code, message: error.message}};
	}

	return error instanceof HTTPError
		? {error: {code: 'bad-request', message: error.message}}
		: {error: {code: 'internal', message: 'the statement failed'}};
}
