/**
Sends operator statements to a control process over HTTP, as the command-line client
does.
*/

import {FireflygladeError} from '@fireflyglade/model';
import type {StatementResponse, StatementErrorResponse} from '@fireflyglade/language';
import {request} from 'undici';

/** Thrown if a statement is refused; its code is the code of the answer. */
export class StatementRefusedError extends FireflygladeError {
	readonly #code: string;

	get code(): string {
		return this.#code;
	}

	constructor(answer: StatementErrorResponse) {
		super(answer.error.message);
		this.#code = answer.error.code;
	}
}

/** URL of the control process and credentials of the operator. */
export type OperatorAccess = {
	/** Base URL for operators. */
	readonly operatorUrl: string;
	/** Bearer token of the operator. */
	readonly token: string;
};

/**
Sends a statement.

@param commandId - Idempotency key of the statement: a resend with the same id is not executed again.
@throws {StatementRefusedError} The statement was refused.
*/
export async function sendStatement(access: OperatorAccess, statement: string, commandId: string): Promise<StatementResponse> {
	const answer = await request(`${access.operatorUrl}/v1/statements`, {
		method: 'POST',
		headers: {authorization: `Bearer ${access.token}`, 'content-type': 'application/json'},
		body: JSON.stringify({statement, commandId}),
	});
	const body = await answer.body.json();
	if (answer.statusCode !== 200) {
		throw new StatementRefusedError(body as StatementErrorResponse);
	}

	return body as StatementResponse;
}
