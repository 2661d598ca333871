/**
Sends consensus messages to the other members.

Messages to a member from the same turn of the event loop are sent as one batch. The
number of calls in flight to each member is bounded; further batches are dropped,
because the consensus protocol resends messages.
*/

import {encodeMessage, type ConsensusMessage} from '@fireflyglade/consensus';
import type {MemberId} from '@fireflyglade/model';
import type {RpcClient} from '@fireflyglade/transport';
import {deliverMethod} from '../_lib/control-rpc.js';

const callTimeoutMilliseconds = 2000;
const maximumCallsInFlight = 32;

/** Sends consensus messages to the other members. */
export class MemberChannel {
	readonly #client: RpcClient;
	readonly #addresses: ReadonlyMap<MemberId, string>;
	readonly #queuedMessages = new Map<MemberId, ConsensusMessage[]>();
	readonly #callsInFlight = new Map<MemberId, number>();

	constructor(client: RpcClient, addresses: ReadonlyMap<MemberId, string>) {
		this.#client = client;
		this.#addresses = addresses;
	}

	/** Queues a message; it is sent in one batch with the other messages of this turn of the event loop. */
	send(message: ConsensusMessage): void {
		const queued = this.#queuedMessages.get(message.to);
		if (queued !== undefined) {
			queued.push(message);
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
		const callsInFlight = this.#callsInFlight.get(member) ?? 0;
		if (address === undefined || callsInFlight >= maximumCallsInFlight) {
			return;
		}

		this.#callsInFlight.set(member, callsInFlight + 1);
		void this.#deliver(member, address, messages);
	}

	async #deliver(member: MemberId, address: string, messages: readonly ConsensusMessage[]): Promise<void> {
		try {
			await this.#client.call(deliverMethod, address, {messages: messages.map(message => encodeMessage(message))}, {timeoutMilliseconds: callTimeoutMilliseconds});
		} catch {
			// The consensus protocol resends lost messages.
		} finally {
			this.#callsInFlight.set(member, (this.#callsInFlight.get(member) ?? 1) - 1);
		}
	}
}
