/**
Sends messages of the replicated log to the other members.

Messages of one turn of the loop go in one call. A member that doesn't answer
has a bounded number of calls under way; what comes on top is dropped, as the
replicated log sends again by itself.
*/

import {encodeMessage, type ConsensusMessage} from '@fireflyglade/consensus';
import type {MemberId} from '@fireflyglade/model';
import type {RpcClient} from '@fireflyglade/transport';
import {deliverMethod} from '../_lib/control-rpc.js';

const callTimeoutMilliseconds = 2000;
const maximumCallsInFlight = 32;

/** Sends messages of the replicated log to the other members. */
export class MemberChannel {
	readonly #client: RpcClient;
	readonly #addresses: ReadonlyMap<MemberId, string>;
	readonly #queuedMessages = new Map<MemberId, ConsensusMessage[]>();
	readonly #callsInFlight = new Map<MemberId, number>();

	constructor(client: RpcClient, addresses: ReadonlyMap<MemberId, string>) {
		this.#client = client;
		this.#addresses = addresses;
	}

	/** Sends a message with the others of this turn of the loop. */
	send(message: ConsensusMessage): void {
		const waiting = this.#queuedMessages.get(message.to);
		if (waiting !== undefined) {
			waiting.push(message);
			return;
		}

		this.#queuedMessages.set(message.to, [message]);
		queueMicrotask(() => {
			this.#flush(message.to);
		});
	}

	#flush(member: MemberId): void {
		const messages = this.#queuedMessages.get(member) ?? [];
		this.#queuedMessages.delete(member);
		const address = this.#addresses.get(member);
		const underWay = this.#callsInFlight.get(member) ?? 0;
		if (address === undefined || underWay >= maximumCallsInFlight) {
			return;
		}

		this.#callsInFlight.set(member, underWay + 1);
		void this.#deliver(member, address, messages);
	}

	async #deliver(member: MemberId, address: string, messages: readonly ConsensusMessage[]): Promise<void> {
		try {
			await this.#client.call(deliverMethod, address, {messages: messages.map(message => encodeMessage(message))}, {timeoutMilliseconds: callTimeoutMilliseconds});
		} catch {
			// The replicated log sends again by itself.
		} finally {
			this.#callsInFlight.set(member, (this.#callsInFlight.get(member) ?? 1) - 1);
		}
	}
}
