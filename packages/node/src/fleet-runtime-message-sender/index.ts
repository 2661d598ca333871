/**
Sends messages to peers in batches: what comes up in one turn of the event loop,
or while earlier batches are under way, goes out together.

Messages may be lost; their senders repeat what matters.
*/

import type {MembershipMessage} from '@fireflyglade/membership';
import type {NodeId} from '@fireflyglade/model';
import type {RateMessage} from '@fireflyglade/rates';
import type {RpcClient} from '@fireflyglade/transport';
import {deliverMethod, type PeerBatch} from '../fleet-runtime-methods/index.js';

/** Who sends. */
export type MessageOrigin = {
	readonly node: NodeId;
	readonly rpcAddress: string;
};

/** Options of an outbox. */
export type PeerMessageSenderOptions = {
	readonly client: RpcClient;
	readonly sender: MessageOrigin;
	/** Takes messages that rode back on an answer. */
	readonly receive: (batch: PeerBatch) => void;
};

type Lane = {
	membership: MembershipMessage[];
	rates: RateMessage[];
	underWay: number;
	isScheduled: boolean;
};

const batchesUnderWay = 4;
const batchTimeoutMilliseconds = 1000;
const longestQueue = 2000;

/** Batches of messages to peers. */
export class PeerMessageSender {
	readonly #options: PeerMessageSenderOptions;
	readonly #lanes = new Map<string, Lane>();
	#captured: {readonly address: string; readonly lane: Lane} | undefined;

	constructor(options: PeerMessageSenderOptions) {
		this.#options = options;
	}

	/** Batches that have not been answered yet. */
	get underWay(): number {
		let sum = 0;
		for (const lane of this.#lanes.values()) {
			sum += lane.underWay + (lane.isScheduled ? 1 : 0);
		}

		return sum;
	}

	sendMembership(message: MembershipMessage): void {
		const lane = this.#laneFor(message.toAddress);
		if (lane.membership.length < longestQueue) {
			lane.membership.push(message);
		}

		this.#schedule(message.toAddress, lane);
	}

	sendRate(address: string, message: RateMessage): void {
		const lane = this.#laneFor(address);
		if (lane.rates.length < longestQueue) {
			lane.rates.push(message);
		}

		this.#schedule(address, lane);
	}

	/** Runs `action` and returns what it sent to `address`, for the answer to that peer's call. */
	capture(address: string, action: () => void): PeerBatch {
		const lane = createLane();
		this.#captured = {address, lane};
		try {
			action();
		} finally {
			this.#captured = undefined;
		}

		return this.#batch(lane);
	}

	#laneFor(address: string): Lane {
		if (this.#captured?.address === address) {
			return this.#captured.lane;
		}

		const lane = this.#lanes.get(address) ?? createLane();
		this.#lanes.set(address, lane);
		return lane;
	}

	#schedule(address: string, lane: Lane): void {
		if (lane === this.#captured?.lane || lane.isScheduled || lane.underWay >= batchesUnderWay) {
			return;
		}

		lane.isScheduled = true;
		setImmediate(() => {
			lane.isScheduled = false;
			void this.#flush(address, lane);
		});
	}

	async #flush(address: string, lane: Lane): Promise<void> {
		if (lane.membership.length === 0 && lane.rates.length === 0) {
			return;
		}

		const batch = this.#batch(lane);
		lane.membership = [];
		lane.rates = [];
		lane.underWay++;
		try {
			this.#options.receive(await this.#options.client.call(deliverMethod, address, batch, {timeoutMilliseconds: batchTimeoutMilliseconds}));
		} catch {
			// A lost message: the failure detector finds a lost peer, and charges ask the next holder.
		}

		lane.underWay--;
		this.#endLane(address, lane);
	}

	#endLane(address: string, lane: Lane): void {
		if (lane.membership.length > 0 || lane.rates.length > 0) {
			this.#schedule(address, lane);
		} else if (lane.underWay === 0 && !lane.isScheduled) {
			this.#lanes.delete(address);
		}
	}

	#batch({membership, rates}: Lane): PeerBatch {
		const {node, rpcAddress} = this.#options.sender;
		return {
			from: node, fromAddress: rpcAddress, membership, rates,
		};
	}
}

function createLane(): Lane {
	return {
		membership: [], rates: [], underWay: 0, isScheduled: false,
	};
}
