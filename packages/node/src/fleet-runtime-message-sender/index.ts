/**
Sends messages to peers in batches. Messages that are queued in the same turn of
the event loop, or while the maximum number of batches is in flight, are sent together.

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

/** Maximum number of unanswered batches to one peer. */
const maximumInFlightBatches = 4;
const batchTimeoutMilliseconds = 1000;
/** Maximum number of queued messages of each kind to one peer. */
const maximumQueuedMessages = 2000;

/** Queues messages for each peer and sends them in batches. */
export class PeerMessageSender {
	readonly #options: PeerMessageSenderOptions;
	readonly #queues = new Map<string, PeerQueue>();
	/** The queue that collects messages for the answer to a peer's call, while `collectReplies` runs. */
	#collected: {readonly address: string; readonly queue: PeerQueue} | undefined;

	constructor(options: PeerMessageSenderOptions) {
		this.#options = options;
	}

	/** Number of batches that are scheduled or not yet answered. */
	get pendingBatches(): number {
		let sum = 0;
		for (const queue of this.#queues.values()) {
			sum += queue.inFlightBatches + (queue.isFlushScheduled ? 1 : 0);
		}

		return sum;
	}

	/** Queues a membership message; dropped if the queue of the peer is full. */
	sendMembership(message: MembershipMessage): void {
		const queue = this.#getQueue(message.toAddress);
		if (queue.membership.length < maximumQueuedMessages) {
			queue.membership.push(message);
		}

		this.#scheduleFlush(message.toAddress, queue);
	}

	/** Queues a rate message; dropped if the queue of the peer is full. */
	sendRate(address: string, message: RateMessage): void {
		const queue = this.#getQueue(address);
		if (queue.rates.length < maximumQueuedMessages) {
			queue.rates.push(message);
		}

		this.#scheduleFlush(address, queue);
	}

	/** Runs `action` and returns the messages that it sends to `address`, to be included in the answer to that peer's call. */
	collectReplies(address: string, action: () => void): PeerBatch {
		const queue = createQueue();
		this.#collected = {address, queue};
		try {
			action();
		} finally {
			this.#collected = undefined;
		}

		return this.#createBatch(queue);
	}

	#getQueue(address: string): PeerQueue {
		if (this.#collected?.address === address) {
			return this.#collected.queue;
		}

		const queue = this.#queues.get(address) ?? createQueue();
		this.#queues.set(address, queue);
		return queue;
	}

	#scheduleFlush(address: string, queue: PeerQueue): void {
		if (queue === this.#collected?.queue || queue.isFlushScheduled || queue.inFlightBatches >= maximumInFlightBatches) {
			return;
		}

		queue.isFlushScheduled = true;
		setImmediate(() => {
			queue.isFlushScheduled = false;
			void this.#flush(address, queue);
		});
	}

	async #flush(address: string, queue: PeerQueue): Promise<void> {
		if (queue.membership.length === 0 && queue.rates.length === 0) {
			return;
		}

		const batch = this.#createBatch(queue);
		queue.membership = [];
		queue.rates = [];
		queue.inFlightBatches++;
		try {
			this.#options.receive(await this.#options.client.call(deliverMethod, address, batch, {timeoutMilliseconds: batchTimeoutMilliseconds}));
		} catch {
			// Lost batches are not resent: the failure detector detects an unreachable peer, and charges are sent to the next lease holder.
		}

		queue.inFlightBatches--;
		this.#continueOrRemoveQueue(address, queue);
	}

	#continueOrRemoveQueue(address: string, queue: PeerQueue): void {
		if (queue.membership.length > 0 || queue.rates.length > 0) {
			this.#scheduleFlush(address, queue);
		} else if (queue.inFlightBatches === 0 && !queue.isFlushScheduled) {
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
