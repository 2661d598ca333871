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

/** Part of a share that one failure takes away. */
const downStep = 0.15;
/** Part that one success right after a failure gives back. */
const upStep = 0.002;
/** Successes in a row after which one gives back twice that part, thrice after twice as many, and so on. */
const quickeningSuccesses = 25;
/** Smallest share, so that recovery is noticed. */
const smallestShare = 0.05;
/** Milliseconds without a request after which a priority counts as unused. */
const unusedMilliseconds = 2000;
/** Milliseconds in which a share comes back to one without any news. */
const restoreMilliseconds = 30_000;

type PriorityShare = {
	share: number;
	askedAt: number;
	changedAt: number;
};

/** The shares of one entry node, by priority. */
export class RootShare {
	readonly #priorities: PriorityShare[] = [];
	#successes = 0;

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

	/** Takes note of how a request ended. */
	record(priority: number, outcome: RootOutcome, now: number): void {
		if (outcome === 'served') {
			this.#successes++;
			this.#raise(now);
			return;
		}

		this.#successes = 0;
		this.#lower(priority, now);
	}

	#lower(failed: number, now: number): void {
		for (let priority = lowestPriority; priority >= failed; priority--) {
			const state = this.#at(priority);
			const share = this.share(priority, now);
			if (now - state.askedAt < unusedMilliseconds && share > smallestShare) {
				state.share = Math.max(smallestShare, share - downStep);
				state.changedAt = now;
				return;
			}
		}
	}

	#raise(now: number): void {
		for (const [priority, state] of this.#priorities.entries()) {
			if (state.share < 1) {
				state.share = Math.min(1, this.share(priority, now) + (upStep * (1 + (this.#successes / quickeningSuccesses))));
				state.changedAt = now;
				return;
			}
		}
	}

	#at(priority: number): PriorityShare {
		return this.#priorities[Math.max(0, Math.min(lowestPriority, priority))]!;
	}
}
