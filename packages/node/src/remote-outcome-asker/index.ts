/**
Asks a gate over RPC what became of a request whose connection broke.
*/

import {
	outcomeMethod, type OutcomeAnswer, type OutcomeQuestion, type RpcClient,
} from '@fireflyglade/transport';
import type {OutcomeAsker} from '../dependencies.js';

const askTimeoutMilliseconds = 1000;

/** Asks gates over RPC. */
export class RemoteOutcomeAsker implements OutcomeAsker {
	readonly #client: RpcClient;

	constructor(client: RpcClient) {
		this.#client = client;
	}

	/**
	Asks the gate at an RPC address.

	@throws {RpcError} The gate did not answer.
	*/
	async ask(rpcAddress: string, question: OutcomeQuestion): Promise<OutcomeAnswer> {
		return this.#client.call(outcomeMethod, rpcAddress, question, {timeoutMilliseconds: askTimeoutMilliseconds});
	}
}
