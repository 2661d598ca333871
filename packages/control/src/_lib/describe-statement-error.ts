/**
Maps errors of statements to HTTP answers.
*/

import {StatementSyntaxError, type StatementErrorResponse} from '@fireflyglade/language';
import {FireflygladeError} from '@fireflyglade/model';
import {BodyTooLargeError} from '@fireflyglade/transport';
import {NoQuorumError, ShuttingDownError, UnknownOperatorError} from '../errors/index.js';
import {ChangeRefusedError, ForbiddenStatementError} from '../statement-service/index.js';

/** Returns the HTTP status for an error that a statement caused. */
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

	if (error instanceof BodyTooLargeError) {
		return 413;
	}

	return error instanceof FireflygladeError ? 400 : 500;
}

/** Returns the JSON body for an error that a statement caused. Messages of unexpected errors are not exposed. */
export function describeStatementError(error: unknown): StatementErrorResponse {
	if (error instanceof StatementSyntaxError) {
		return {error: {code: error.code, message: error.message, position: error.position}};
	}

	if (error instanceof FireflygladeError) {
		return {error: {code: error.code, message: error.message}};
	}

	return {error: {code: 'internal', message: 'the statement failed'}};
}
