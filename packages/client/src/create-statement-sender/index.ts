/**
Sends statements to a control process over HTTP.
*/

import {request} from 'undici';

/** Body of a statement request. */
export type StatementRequest = {
	readonly statement: string;
	/** Id that is the same for all resends of one statement. */
	readonly commandId: string;
};

/** The unvalidated answer to a statement. */
export type RawAnswer = {
	readonly status: number;
	/** The parsed JSON body. */
	readonly body: unknown;
};

/** Sends a statement to the control process at a base URL; rejects if no complete JSON answer arrives in time. */
export type SendStatement = (url: string, statement: StatementRequest) => Promise<RawAnswer>;

/** Options of a statement sender. */
export type StatementSenderOptions = {
	/** The operator's token. It is sent to control processes only and never written to any output. */
	readonly token: string;
	readonly timeoutMilliseconds: number;
};

/** Creates a function that sends statements with an operator's token. */
export function createStatementSender(options: StatementSenderOptions): SendStatement {
	return async (url, statement) => {
		const answer = await request(new URL('/v1/statements', url), {
			method: 'POST',
			headers: {'content-type': 'application/json', authorization: `Bearer ${options.token}`},
			body: JSON.stringify(statement),
			signal: AbortSignal.timeout(options.timeoutMilliseconds),
		});
		return {status: answer.statusCode, body: await answer.body.json()};
	};
}
