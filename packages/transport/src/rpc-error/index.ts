/**
Failures of remote calls, as the caller sees them.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** What kept a remote call from succeeding. */
export type RpcFailure =
	/** The call never reached the server, or the connection broke: it may have run. */
	| 'unavailable'
	/** No answer came in time: it may have run. */
	| 'timeout'
	/** The server does not let this process in. */
	| 'unauthenticated'
	/** The server has no such method. */
	| 'unimplemented'
	/** The handler failed; `remoteCode` names its error. */
	| 'remote';

/** A remote call failed. */
export class RpcError extends FireflygladeError {
	readonly failure: RpcFailure;
	/** `code` of the handler's error, if it had one. */
	readonly remoteCode: string | undefined;

	constructor(failure: RpcFailure, message: string, remoteCode?: string) {
		super(message);
		this.failure = failure;
		this.remoteCode = remoteCode;
	}

	get code(): string {
		return `rpc-${this.failure}`;
	}
}
