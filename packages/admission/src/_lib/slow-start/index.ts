/**
Slow start for an upstream that has started, restarted, failed or been suspended.

The concurrency cap begins at a fraction of the slots, which gives the upstream
work at once. Each response that took about as long as expected raises the cap by
one, so that it doubles in the time of one request. While responses take clearly
longer the cap stays, and refusals and successive failures halve it. The expected
duration is the usual one of the same work class at this upstream or, for an
upstream without a past, that of its first runs since the start.

A slow start also begins after many failures in succession. Refusals don't count
for it: an upstream that refuses a share of its requests is running and not
starting, and the concurrency limit reacts to its refusals.
*/

import type {RunSample} from '../../types.js';
import {UsualDurations} from '../usual-durations/index.js';

/** Initial cap, relative to the slots. */
const initialSlotRatio = 0.25;
/** Initial cap of an upstream with few slots. */
const minimumInitialCap = 4;
/** Lower bound of the cap, relative to the initial one. */
const minimumCapRatio = 0.5;
const decreaseFactor = 0.5;
/** Minimum time between two decreases, because failures and refusals come in groups. */
const minimumDecreaseIntervalMilliseconds = 500;
/** Failures in succession from which a further one lowers the cap; single failures are usual. */
const failuresBeforeDecrease = 3;
/** Failures in succession after which slow start begins, whatever the upstream says of its health. */
const failuresBeforeSlowStart = 16;
/** Minimum time without a success before failures begin a slow start. Failures often end sooner than successes, so that the first runs to end can all be failures. */
const minimumMillisecondsWithoutSuccess = 1000;
/** Ratio of measured to expected durations up to which the cap grows. */
const toleratedDurationRatio = 1.5;
/** Weight of one run in the moving average of that ratio. */
const runWeight = 0.1;
/** The cap grows only while at least this fraction of it is in use, because a nearly idle upstream shows nothing about more concurrency. */
const minimumUsedRatio = 0.25;
/** Time after which slow start ends at any duration of the responses. */
const maximumSlowStartMilliseconds = 10_000;
/** Time for which an upstream that starts up needs about twice as long for its work. */
const startUpMilliseconds = 3000;
const startUpDurationFactor = 2;

/** What a concurrency limit knows when a run ends. */
export type UpstreamConditions = {
	/** Slots that the upstream announced. */
	readonly slots: number;
	/** Factor by which work takes longer than usual at present, as the upstream states it. */
	readonly pace?: number | undefined;
};

/** The concurrency cap of one upstream during its slow starts. */
export class SlowStart {
	/** Undefined while there is no slow start. */
	#startedAt: number | undefined;
	#cap = Number.POSITIVE_INFINITY;
	#decreasedAt = Number.NEGATIVE_INFINITY;
	#failuresInSuccession = 0;
	/** Time of the first of these failures. */
	#failingSince = 0;
	/** Moving average of measured durations relative to the expected ones. */
	#durationRatio = 1;
	/** Durations outside slow starts. */
	readonly #usual = new UsualDurations();
	/** Durations since the start, for classes without a usual duration. */
	#sinceStart = new UsualDurations();

	/** Begins a slow start, also while there is one. */
	begin(slots: number, now: number): void {
		this.#startedAt = now;
		this.#cap = getInitialCap(slots);
		this.#decreasedAt = now;
		this.#failuresInSuccession = 0;
		this.#durationRatio = 1;
		this.#sinceStart = new UsualDurations();
	}

	isActive(slots: number, now: number): boolean {
		return this.cap(slots, now) < slots;
	}

	/** Number of requests that may run concurrently according to the slow start. */
	cap(slots: number, now: number): number {
		if (this.#startedAt === undefined || now - this.#startedAt >= maximumSlowStartMilliseconds) {
			return slots;
		}

		return Math.min(slots, Math.max(this.#cap, getMinimumCap(slots)));
	}

	/** Adjusts the cap by a run that ended. */
	finish(sample: RunSample, conditions: UpstreamConditions, now: number): void {
		if (this.#startedAt !== undefined && !this.isActive(conditions.slots, now)) {
			this.#startedAt = undefined;
		}

		// A run from before the start says nothing about the upstream since then.
		if (this.#startedAt !== undefined && sample.startedAt < this.#startedAt) {
			return;
		}

		switch (sample.outcome) {
			case 'success': {
				this.#failuresInSuccession = 0;
				this.#observeDuration(sample, conditions, now);
				this.#grow(sample);
				break;
			}

			case 'timeout': {
				this.#observeDuration(sample, conditions, now);
				break;
			}

			case 'failure': {
				this.#observeFailure(conditions.slots, now);
				break;
			}

			case 'refused': {
				this.#decrease(conditions.slots, now);
				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}

	#observeDuration(sample: RunSample, {pace = 1}: UpstreamConditions, now: number): void {
		const workClass = sample.workClass ?? 0;
		const milliseconds = Math.max(0, now - sample.startedAt - (sample.downstreamQueueingMilliseconds ?? 0)) / pace;
		const usual = this.#usual.of(workClass);
		if (this.#startedAt === undefined) {
			this.#usual.record(workClass, milliseconds);
			return;
		}

		const expected = usual === undefined ? this.#sinceStart.of(workClass) : usual * this.#startUpFactor(this.#startedAt, now);
		if (expected !== undefined && expected > 0) {
			this.#durationRatio += ((milliseconds / expected) - this.#durationRatio) * runWeight;
		}

		if (usual === undefined) {
			this.#sinceStart.record(workClass, milliseconds);
		}
	}

	#grow({inFlightAtStart}: RunSample): void {
		const isUsed = inFlightAtStart === undefined || inFlightAtStart >= this.#cap * minimumUsedRatio;
		if (this.#startedAt !== undefined && isUsed && this.#durationRatio <= toleratedDurationRatio) {
			this.#cap++;
		}
	}

	#observeFailure(slots: number, now: number): void {
		this.#failingSince = this.#failuresInSuccession === 0 ? now : this.#failingSince;
		this.#failuresInSuccession++;
		if (this.#startedAt !== undefined) {
			if (this.#failuresInSuccession >= failuresBeforeDecrease) {
				this.#decrease(slots, now);
			}

			return;
		}

		if (this.#failuresInSuccession >= failuresBeforeSlowStart && now - this.#failingSince >= minimumMillisecondsWithoutSuccess) {
			this.begin(slots, now);
		}
	}

	/** Lowers the cap of a slow start. */
	#decrease(slots: number, now: number): void {
		if (this.#startedAt !== undefined && now - this.#decreasedAt >= minimumDecreaseIntervalMilliseconds) {
			this.#cap = Math.max(getMinimumCap(slots), this.#cap * decreaseFactor);
			this.#decreasedAt = now;
		}
	}

	#startUpFactor(startedAt: number, now: number): number {
		return now - startedAt < startUpMilliseconds ? startUpDurationFactor : 1;
	}
}

function getInitialCap(slots: number): number {
	return Math.min(slots, Math.max(minimumInitialCap, slots * initialSlotRatio));
}

function getMinimumCap(slots: number): number {
	return getInitialCap(slots) * minimumCapRatio;
}
