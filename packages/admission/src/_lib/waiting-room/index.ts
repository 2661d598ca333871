/**
All requests that wait at a gate, in the order of importance.

Importance is the priority first; at the same priority the calls of a chain
that has begun go before new root requests. Each importance has a fair queue.
*/

import {highestPriority, lowestPriority, type RequestId} from '@fireflyglade/model';
import {FairQueue, type WaitingRequest} from '../fair-queue/index.js';
import {IndexedHeap} from '../indexed-heap/index.js';
import {TeamAccounts, type TeamAccount} from '../team-accounts/index.js';
import type {AdmissionRequest} from '../../types.js';

const bandsOfPriority = 2;

/** The place of a request in the order of importance; smaller goes first. */
export function bandOf(request: AdmissionRequest): number {
	const priority = Math.min(lowestPriority, Math.max(highestPriority, Math.trunc(request.priority)));
	return (priority * bandsOfPriority) + (request.depth > 0 ? 0 : 1);
}

/** The requests of one importance. */
type Band = {
	readonly band: number;
	readonly queue: FairQueue;
};

/** The requests that wait at a gate. */
export class WaitingRoom {
	/** The bands that have been in use, in the order of importance. */
	readonly #bands: Band[] = [];
	readonly #queues = new Map<number, FairQueue>();
	readonly #accounts = new TeamAccounts();
	readonly #byDeadline = new IndexedHeap<WaitingRequest>((left, right) => left.request.deadline < right.request.deadline);
	readonly #byId = new Map<RequestId, WaitingRequest>();
	#sequence = 0;

	get size(): number {
		return this.#byId.size;
	}

	/** Priority of the least important request that waits. */
	get worstPriority(): number | undefined {
		const waiting = this.firstToShed();
		return waiting === undefined ? undefined : Math.floor(waiting.band / bandsOfPriority);
	}

	has(requestId: RequestId): boolean {
		return this.#byId.has(requestId);
	}

	/** Adds a request; `weight` is the present weight of its team. */
	add(request: AdmissionRequest, weight: number): void {
		const waiting: WaitingRequest = {
			request,
			sequence: this.#sequence++,
			band: bandOf(request),
			account: this.#accounts.join(request.team ?? '', weight),
		};
		this.#byId.set(request.requestId, waiting);
		this.#byDeadline.update(waiting);
		this.#queueOf(waiting.band).add(waiting);
	}

	/** Takes the request that runs next. */
	takeNext(newestFirst: boolean): WaitingRequest | undefined {
		for (const {queue} of this.#bands) {
			const waiting = queue.next(newestFirst);
			if (waiting !== undefined) {
				this.#forget(waiting);
				this.#accounts.charge(waiting.account);
				this.#reorder(waiting.account);
				return waiting;
			}
		}

		return undefined;
	}

	/** The request that gives way first when the room is full. */
	firstToShed(): WaitingRequest | undefined {
		for (let place = this.#bands.length - 1; place >= 0; place--) {
			const waiting = this.#bands[place]!.queue.firstToShed();
			if (waiting !== undefined) {
				return waiting;
			}
		}

		return undefined;
	}

	/** The request with the least remaining time. */
	earliestDeadline(): WaitingRequest | undefined {
		return this.#byDeadline.first();
	}

	/** Removes a request that doesn't run; undefined if it doesn't wait. */
	remove(requestId: RequestId): WaitingRequest | undefined {
		const waiting = this.#byId.get(requestId);
		if (waiting === undefined) {
			return undefined;
		}

		this.#forget(waiting);
		this.#accounts.leave(waiting.account);
		return waiting;
	}

	#reorder(account: TeamAccount): void {
		if (account.waiting === 0) {
			return;
		}

		for (const {queue} of this.#bands) {
			queue.reorder(account);
		}
	}

	#queueOf(band: number): FairQueue {
		const known = this.#queues.get(band);
		if (known !== undefined) {
			return known;
		}

		const queue = new FairQueue();
		this.#queues.set(band, queue);
		this.#bands.push({band, queue});
		this.#bands.sort((left, right) => left.band - right.band);
		return queue;
	}

	#forget(waiting: WaitingRequest): void {
		this.#queues.get(waiting.band)!.remove(waiting);
		this.#byId.delete(waiting.request.requestId);
		this.#byDeadline.remove(waiting);
	}
}
