/**
Errors of remote calls on the caller's side.
*/

import {FireflygladeError} from '@fireflyglade/model';

/** Reasons for the failure of a remote call. */
export type RpcFailure =
	/** The server was not reached, or the connection broke: the call may have run. */
	| 'unavailable'
	/** No response arrived in time: the call may have run. */
	| 'timeout'
	/** The server rejected the credentials of this process. */
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
