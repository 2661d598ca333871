/**
Sends messages to peers in batches. Messages that are queued in the same turn of
the event loop, or while earlier batches are in flight, are sent together.

Delivery is best effort: messages may be lost, and the gossip and rate protocols
resend what is essential.
*/

import type {MembershipMessage} from '@fireflyglade/membership';
import type {NodeId} from '@fireflyglade/model';
import type {RateMessage} from '@fireflyglade/rates';
import type {RpcClient} from '@fireflyglade/transport';
import {deliverMethod, type PeerBatch} from '../fleet-runtime-methods/index.js';

/** The sender's name and address in each batch. */
export type MessageOrigin = {
	readonly node: NodeId;
	readonly rpcAddress: string;
};

/** Options of a message sender. */
export type PeerMessageSenderOptions = {
	readonly client: RpcClient;
	readonly sender: MessageOrigin;
	/** Handles the messages that a peer returns in its answer to a batch. */
	readonly receive: (batch: PeerBatch) => void;
};

/** Messages that wait for one peer. */
type PeerQueue = {
	membership: MembershipMessage[];
	rates: RateMessage[];
	inFlightBatches: number;
	isFlushScheduled: boolean;
};

const maximumInFlightBatches = 4;
const batchTimeoutMilliseconds = 1000;
const maximumQueuedMessages = 2000;

/** Queues messages for each peer and sends them in batches. */
export class PeerMessageSender {
	readonly #options: PeerMessageSenderOptions;
	readonly #queues = new Map<string, PeerQueue>();
	#collected: {readonly address: string; readonly lane: PeerQueue} | undefined;

	constructor(options: PeerMessageSenderOptions) {
		this.#options = options;
	}

	/** Number of batches that are scheduled or not yet answered. */
	get pendingBatches(): number {
		let sum = 0;
		for (const lane of this.#queues.values()) {
			sum += lane.inFlightBatches + (lane.isFlushScheduled ? 1 : 0);
		}

		return sum;
	}

	/** Queues a membership message; dropped if the queue of the peer is full. */
	sendMembership(message: MembershipMessage): void {
		const lane = this.#getQueue(message.toAddress);
		if (lane.membership.length < maximumQueuedMessages) {
			lane.membership.push(message);
		}

		this.#scheduleFlush(message.toAddress, lane);
	}

	/** Queues a rate message; dropped if the queue of the peer is full. */
	sendRate(address: string, message: RateMessage): void {
		const lane = this.#getQueue(address);
		if (lane.rates.length < maximumQueuedMessages) {
			lane.rates.push(message);
		}

		this.#scheduleFlush(address, lane);
	}

	/** Runs `action` and returns the messages that it sends to `address`, to be included in the answer to that peer's call. */
	collectReplies(address: string, action: () => void): PeerBatch {
		const lane = createQueue();
		this.#collected = {address, lane};
		try {
			action();
		} finally {
			this.#collected = undefined;
		}

		return this.#createBatch(lane);
	}

	#getQueue(address: string): PeerQueue {
		if (this.#collected?.address === address) {
			return this.#collected.lane;
		}

		const lane = this.#queues.get(address) ?? createQueue();
		this.#queues.set(address, lane);
		return lane;
	}

	#scheduleFlush(address: string, lane: PeerQueue): void {
		if (lane === this.#collected?.lane || lane.isFlushScheduled || lane.inFlightBatches >= maximumInFlightBatches) {
			return;
		}

		lane.isFlushScheduled = true;
		setImmediate(() => {
			lane.isFlushScheduled = false;
			void this.#flush(address, lane);
		});
	}

	async #flush(address: string, lane: PeerQueue): Promise<void> {
		if (lane.membership.length === 0 && lane.rates.length === 0) {
			return;
		}

		const batch = this.#createBatch(lane);
		lane.membership = [];
		lane.rates = [];
		lane.inFlightBatches++;
		try {
			this.#options.receive(await this.#options.client.call(deliverMethod, address, batch, {timeoutMilliseconds: batchTimeoutMilliseconds}));
		} catch {
			// Lost batches are not resent: the failure detector detects an unreachable peer, and charges are sent to the next lease holder.
		}

		lane.inFlightBatches--;
		this.#continueOrRemoveQueue(address, lane);
	}

	#continueOrRemoveQueue(address: string, lane: PeerQueue): void {
		if (lane.membership.length > 0 || lane.rates.length > 0) {
			this.#scheduleFlush(address, lane);
		} else if (lane.inFlightBatches === 0 && !lane.isFlushScheduled) {
			this.#queues.delete(address);
		}
	}

	#createBatch({membership, rates}: PeerQueue): PeerBatch {
		const {node, rpcAddress} = this.#options.sender;
		return {
			from: node, fromAddress: rpcAddress, membership, rates,
		};
	}
}

function createQueue(): PeerQueue {
	return {
		membership: [], rates: [], inFlightBatches: 0, isFlushScheduled: false,
	};
}
