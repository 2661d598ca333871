/**
A concurrency limit for upstreams that say truly how many requests they run at
once, and whose gate is the only one to send them work.

Answers the burst against such an upstream: more at once than its slots would
only wait inside it, where no order of importance holds. So as many requests run
as it has slots, or a few fewer if it does more work so. An upstream that refuses work all
the same has fewer: the limit falls at once and comes back slowly.
*/

import {FullSlots} from '../_lib/full-slots/index.js';
import type {ConcurrencyLimit, RunSample} from '../types.js';

/** Part of the limit that is left after a refusal by the upstream. */
const refusalFactor = 0.9;
/** Smallest part of the announced slots. */
const smallestPart = 0.25;
/** Milliseconds between two steps down, as refusals come in groups. */
const stepDownMilliseconds = 200;
/** Milliseconds in which the limit grows by one hundredth of the slots. */
const stepUpMilliseconds = 50;
const stepUpPart = 0.01;

/** Options of an announced limit. */
export type AnnouncedLimitOptions = {
	readonly slots: number;
	/** Monotonic milliseconds at which the limit starts. */
	readonly now: number;
};

/** A limit at the announced slots, lowered while the upstream refuses. */
export class AnnouncedLimit implements ConcurrencyLimit {
	readonly #slots: FullSlots;
	#part = 1;
	#changedAt: number;

	constructor(options: AnnouncedLimitOptions) {
		this.#slots = new FullSlots(Math.max(1, Math.floor(options.slots)), options.now);
		this.#changedAt = options.now;
	}

	current(now: number): number {
		return Math.max(1, Math.floor(this.#slots.usable * this.#partAt(now)));
	}

	setSlots(slots: number, now: number): void {
		this.#slots.setSlots(Math.max(1, Math.floor(slots)), now);
	}

	begin(): void {
		// The announced slots count, not what runs.
	}

	finish(sample: RunSample, _inFlight: number, now: number): void {
		if (sample.outcome === 'success' && sample.inFlightAtStart !== undefined) {
			this.#slots.record(sample.startedAt, sample.inFlightAtStart, now);
		}

		if (sample.outcome !== 'refused' || now - this.#changedAt < stepDownMilliseconds) {
			return;
		}

		this.#part = Math.max(smallestPart, this.#partAt(now) * refusalFactor);
		this.#changedAt = now;
	}

	#partAt(now: number): number {
		return Math.min(1, this.#part + ((now - this.#changedAt) / stepUpMilliseconds * stepUpPart));
	}
}
