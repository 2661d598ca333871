/**
The queue of a gate, ordered by importance.

Requests are grouped into bands: by priority and, within a priority, calls of a
request that is already being processed before new root requests. Each band is
a fair queue between teams.
*/

import {highestPriority, lowestPriority, type RequestId} from '@fireflyglade/model';
import {FairQueue, type QueueCandidate, type WaitingRequest} from '../fair-queue/index.js';
import {IndexedHeap} from '../indexed-heap/index.js';
import {TeamAccounts, type TeamAccount} from '../team-accounts/index.js';
import type {AdmissionRequest} from '../../types.js';

/** One band for calls of a running request, one for root requests. */
const bandsPerPriority = 2;

/** Returns the band of a request; the lowest number runs first. */
export function bandOf(request: AdmissionRequest): number {
	const priority = Math.min(lowestPriority, Math.max(highestPriority, Math.trunc(request.priority)));
	return (priority * bandsPerPriority) + (request.depth > 0 ? 0 : 1);
}

/** The queued requests of one band. */
type Band = {
	readonly band: number;
	readonly queue: FairQueue;
};

/** The queued requests of a gate. */
export class RequestQueue {
	/** The bands that have been used so far, most important first. */
	readonly #bands: Band[] = [];
	readonly #queues = new Map<number, FairQueue>();
	readonly #accounts = new TeamAccounts();
	readonly #byDeadline = new IndexedHeap<WaitingRequest>((left, right) => left.request.deadline < right.request.deadline);
	readonly #byRequestId = new Map<RequestId, WaitingRequest>();
	#sequence = 0;

	get size(): number {
		return this.#byRequestId.size;
	}

	/** Priority of the least important queued request; undefined if the queue is empty. */
	get leastImportantPriority(): number | undefined {
		const last = this.#bands.findLast(({queue}) => queue.size > 0);
		return last === undefined ? undefined : Math.floor(last.band / bandsPerPriority);
	}

	has(requestId: RequestId): boolean {
		return this.#byRequestId.has(requestId);
	}

	/** Adds a request; `weight` is the current weight of its team. */
	add(candidate: QueueCandidate, weight: number): void {
		const {request, serviceMilliseconds, latestStart} = candidate;
		// Fields are copied one by one, since an object spread is several times slower here.
		const waiting: WaitingRequest = {
			request,
			serviceMilliseconds,
			latestStart,
			isLate: false,
			sequence: this.#sequence++,
			band: bandOf(request),
			account: this.#accounts.join(request.team ?? '', weight),
		};
		this.#byRequestId.set(request.requestId, waiting);
		this.#byDeadline.update(waiting);
		this.#queueOfBand(waiting.band).add(waiting);
	}

	/** Removes and returns the request that runs next. */
	takeNext(isNewestFirst: boolean, now: number): WaitingRequest | undefined {
		for (const {queue} of this.#bands) {
			const waiting = queue.selectNext(isNewestFirst, now);
			if (waiting !== undefined) {
				this.#removeFromIndexes(waiting);
				this.#accounts.charge(waiting.account);
				this.#reorder(waiting.account);
				return waiting;
			}
		}

		return undefined;
	}

	/** The request to shed first when the queue is full. */
	firstToShed(now: number): WaitingRequest | undefined {
		for (let index = this.#bands.length - 1; index >= 0; index--) {
			const waiting = this.#bands[index]!.queue.firstToShed(now);
			if (waiting !== undefined) {
				return waiting;
			}
		}

		return undefined;
	}

	/** Number of queued requests that are at least as important as the given one. */
	countAhead(request: AdmissionRequest): number {
		const ownBand = bandOf(request);
		let count = 0;
		for (const {band, queue} of this.#bands) {
			count += band <= ownBand ? queue.size : 0;
		}

		return count;
	}

	/** Sum of the expected service times of the queued requests that are at least as important as the given one. */
	workUpTo(request: AdmissionRequest): number {
		const ownBand = bandOf(request);
		let work = 0;
		for (const {band, queue} of this.#bands) {
			work += band <= ownBand ? queue.serviceMilliseconds : 0;
		}

		return work;
	}

	/** Sum of the expected service times of the queued requests that run before the given one if no others arrive. */
	workAhead(candidate: QueueCandidate, weight: number, now: number): number {
		const ownBand = bandOf(candidate.request);
		const team = candidate.request.team ?? '';
		let work = 0;
		for (const {band, queue} of this.#bands) {
			if (band < ownBand) {
				work += queue.serviceMilliseconds;
			} else if (band === ownBand) {
				work += queue.workAhead({
					candidate, team, weight, virtualStart: this.#accounts.virtualStartOf(team, weight),
				}, now);
			}
		}

		return work;
	}

	/** The request with the earliest deadline. */
	earliestDeadline(): WaitingRequest | undefined {
		return this.#byDeadline.first();
	}

	/** Removes a request without running it; returns undefined if it is not queued. */
	remove(requestId: RequestId): WaitingRequest | undefined {
		const waiting = this.#byRequestId.get(requestId);
		if (waiting === undefined) {
			return undefined;
		}

		this.#removeFromIndexes(waiting);
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

	#queueOfBand(band: number): FairQueue {
		const existing = this.#queues.get(band);
		if (existing !== undefined) {
			return existing;
		}

		const queue = new FairQueue();
		this.#queues.set(band, queue);
		this.#bands.push({band, queue});
		this.#bands.sort((left, right) => left.band - right.band);
		return queue;
	}

	#removeFromIndexes(waiting: WaitingRequest): void {
		this.#queues.get(waiting.band)!.remove(waiting);
		this.#byRequestId.delete(waiting.request.requestId);
		this.#byDeadline.remove(waiting);
	}
}
