/**
Sends operators' statements to a control process over HTTP, as the client does.
*/

import {FireflygladeError} from '@fireflyglade/model';
import type {StatementResponse, StatementErrorResponse} from '@fireflyglade/language';
import {request} from 'undici';

/** A statement was refused. */
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

/** Where and as whom statements are sent. */
export type OperatorAccess = {
	readonly operatorUrl: string;
	readonly token: string;
};

/**
Sends a statement.

@param commandId - The same for a resend of the same statement.
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
