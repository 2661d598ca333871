/**
Sends a statement to one control process over HTTP.
*/

import {request} from 'undici';

/** A statement as it goes to a control process. */
export type StatementRequest = {
	readonly statement: string;
	/** The same for every resend of one statement. */
	readonly commandId: string;
};

/** The answer to a statement, not yet checked. */
export type RawAnswer = {
	readonly status: number;
	/** The parsed JSON body. */
	readonly body: unknown;
};

/** Sends a statement to the control process at a base URL; throws if no whole answer comes back. */
export type SendStatement = (url: string, statement: StatementRequest) => Promise<RawAnswer>;

/** Options of sending. */
export type StatementSenderOptions = {
	/** The operator's token; it is sent to the control process and shown nowhere. */
	readonly token: string;
	readonly timeoutMilliseconds: number;
};

/** Makes the function that sends statements with an operator's token. */
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
