/**
The share of callers' requests that an entry node lets into the call graph.

Answers the load of a graph whose bottleneck lies deep: a service below is full,
its gate can't tell whose calls matter more, and requests fail above after most of
their work was done. What an entry node sees is that requests fail for lack of
room. Each such failure lowers the share of the least important priority that
still comes in and that is no more important than the failed request; each success
raises the most important share that was lowered. So the work of the less important
gives way at the door, where nothing has been spent on it.
*/

import {lowestPriority, type RandomSource} from '@fireflyglade/model';

/** How a request that was let in ended, as far as room is concerned. */
export type RootOutcome = 'served' | 'lacked-room';

/** Part of the requests that may lack room before shares are lowered. */
const toleratedPart = 0.02;
/** Milliseconds in which what was counted loses half of its weight. */
const halfLifeMilliseconds = 2000;
/** Smallest part of a share that is taken away at once. */
const smallestCut = 0.3;
/** Largest part of a share that is taken away at once. */
const largestCut = 0.5;
/** Part that one success right after a failure gives back. */
const upStep = 0.0003;
/** Successes in a row after which one gives back twice that part, five times as much after twice as many, and so on by the square. */
const quickeningSuccesses = 50;
/** Smallest share, so that recovery is noticed. */
const smallestShare = 0.05;
/** Share that can't be lowered in earnest, so that the next more important one is. */
const lowShare = 0.08;
/** Milliseconds without a request after which a priority counts as unused. */
const unusedMilliseconds = 2000;
/** Milliseconds in which a share comes back to one without any news. */
const restoreMilliseconds = 60_000;

type PriorityShare = {
	share: number;
	askedAt: number;
	changedAt: number;
};

/** The shares of one entry node, by priority. */
export class RootShare {
	readonly #priorities: PriorityShare[] = [];
	#successes = 0;
	#recent = 0;
	#recentFailures = 0;
	#countedAt = 0;
	#loweredAt = Number.NEGATIVE_INFINITY;

	constructor() {
		for (let priority = 0; priority <= lowestPriority; priority++) {
			this.#priorities.push({share: 1, askedAt: Number.NEGATIVE_INFINITY, changedAt: 0});
		}
	}

	/** True if a request may come in. */
	admits(priority: number, now: number, random: RandomSource): boolean {
		const state = this.#at(priority);
		state.askedAt = now;
		return state.share >= 1 || random.nextFraction() < this.share(priority, now);
	}

	/** The share of a priority that comes in, from 0 to 1. */
	share(priority: number, now: number): number {
		const state = this.#at(priority);
		return Math.min(1, state.share + (Math.max(0, now - state.changedAt) / restoreMilliseconds));
	}

	/** True if every priority comes in whole. */
	isOpen(now: number): boolean {
		return this.#priorities.every((_state, priority) => this.share(priority, now) >= 1);
	}

	/**
	Takes note of how a request ended. One that came in before the shares were last
	lowered says nothing of the shares as they are now.
	*/
	record(priority: number, outcome: RootOutcome, admittedAt: number, now: number): void {
		if (outcome === 'served') {
			this.#count(outcome, now);
			this.#successes++;
			this.#raise(now);
			return;
		}

		if (admittedAt < this.#loweredAt) {
			return;
		}

		this.#count(outcome, now);
		this.#successes = 0;
		if (this.#recentFailures > 1 + (this.#recent * toleratedPart)) {
			this.#lower(priority, now);
		}
	}

	#count(outcome: RootOutcome, now: number): void {
		const factor = 0.5 ** (Math.max(0, now - this.#countedAt) / halfLifeMilliseconds);
		this.#countedAt = now;
		this.#recent = (this.#recent * factor) + 1;
		this.#recentFailures = (this.#recentFailures * factor) + (outcome === 'served' ? 0 : 1);
	}

	#lower(failed: number, now: number): void {
		for (let priority = lowestPriority; priority >= failed; priority--) {
			const state = this.#at(priority);
			const share = this.share(priority, now);
			if (now - state.askedAt < unusedMilliseconds && share > lowShare) {
				state.share = Math.max(smallestShare, share * (1 - this.#cut()));
				state.changedAt = now;
				this.#loweredAt = now;
				this.#recent = 0;
				this.#recentFailures = 0;
				return;
			}
		}
	}

	#cut(): number {
		return Math.min(largestCut, Math.max(smallestCut, this.#recentFailures / this.#recent));
	}

	#raise(now: number): void {
		for (const [priority, state] of this.#priorities.entries()) {
			if (state.share < 1) {
				state.share = Math.min(1, this.share(priority, now) + (upStep * (1 + ((this.#successes / quickeningSuccesses) ** 2))));
				state.changedAt = now;
				return;
			}
		}
	}

	#at(priority: number): PriorityShare {
		return this.#priorities[Math.max(0, Math.min(lowestPriority, priority))]!;
	}
}
