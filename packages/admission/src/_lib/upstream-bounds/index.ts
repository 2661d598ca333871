/**
The bounds on the concurrency of one upstream that hold for every kind of limit: its
announced slots, the load that it reports and its slow start.
*/

import type {UpstreamLoad} from '@fireflyglade/model';
import {LoadRecord} from '../load-record/index.js';
import {SlowStart} from '../slow-start/index.js';
import type {LimitState, RunSample} from '../../types.js';

/** Options of the bounds of an upstream. */
export type UpstreamBoundsOptions = {
	readonly slots: number;
	/** Monotonic time in milliseconds at which the bounds start. */
	readonly now: number;
	/** True if the upstream has just started and needs a slow start. */
	readonly isCold?: boolean;
};

/** Bounds the concurrency of one upstream by what it announces and reports, and by its slow starts. */
export class UpstreamBounds {
	#slots: number;
	#inFlight = 0;
	readonly #loadRecord = new LoadRecord();
	readonly #slowStart = new SlowStart();

	constructor({slots, now, isCold}: UpstreamBoundsOptions) {
		this.#slots = toWholeSlots(slots);
		if (isCold === true) {
			this.beginSlowStart(now);
		}
	}

	/** Announced slots, at least one. */
	get slots(): number {
		return this.#slots;
	}

	setSlots(slots: number): void {
		this.#slots = toWholeSlots(slots);
	}

	/** Number of requests that may run concurrently according to the reported load and the slow start. */
	usableSlots(now: number): number {
		return Math.min(this.#loadRecord.usableSlots(this.#slots, now), this.#slowStart.cap(this.#slots, now));
	}

	/** True if the upstream states that it could run more requests than it does, and has lately run more. */
	hasFreeSlots(now: number): boolean {
		return this.#loadRecord.hasFreeSlots(now);
	}

	isStartingSlowly(now: number): boolean {
		return this.#slowStart.isActive(this.#slots, now);
	}

	/** Records the number of running requests after one began. */
	begin(inFlight: number): void {
		this.#inFlight = inFlight;
	}

	/** Records a run that ended and the number of requests that still run. */
	finish(sample: RunSample, inFlight: number, now: number): void {
		this.#inFlight = inFlight;
		this.#slowStart.finish(sample, {slots: this.#slots, pace: this.pace(now)}, now);
	}

	observeLoad(load: UpstreamLoad, now: number): void {
		this.#loadRecord.observe(load, {inFlight: this.#inFlight, announcedSlots: this.#slots}, now);
	}

	/** Factor by which work takes longer than usual, as the upstream states it; undefined if it lately stated none. */
	pace(now: number): number | undefined {
		return this.#loadRecord.pace(now);
	}

	beginSlowStart(now: number): void {
		this.#slowStart.begin(this.#slots, now);
	}

	describe(now: number): LimitState {
		const reportedLoad = this.#loadRecord.latest(now);
		return {
			...(reportedLoad === undefined ? {} : {reportedLoad}),
			...(this.isStartingSlowly(now) ? {slowStartLimit: Math.floor(this.#slowStart.cap(this.#slots, now))} : {}),
		};
	}
}

function toWholeSlots(slots: number): number {
	return Number.isFinite(slots) ? Math.max(1, Math.floor(slots)) : 1;
}
