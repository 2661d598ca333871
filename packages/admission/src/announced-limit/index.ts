/**
A concurrency limit for upstreams that announce their slots correctly and get
all their requests through this gate.

Requests beyond the slots of such an upstream would only queue inside it, where
priorities have no effect, so a burst waits at the gate instead. The limit equals
the announced slots, or slightly fewer if that raises the throughput. If the
upstream refuses requests all the same, the limit drops at once and recovers
slowly.
*/

import {SlotTuner} from '../_lib/slot-tuner/index.js';
import type {ConcurrencyLimit, RunSample} from '../types.js';

/** Factor on the limit after the upstream refuses a request. */
const refusalDecreaseFactor = 0.9;
/** Lower bound of the limit, relative to the usable slots. */
const minimumSlotRatio = 0.25;
/** Minimum time between two decreases, because refusals come in groups. */
const minimumDecreaseIntervalMilliseconds = 200;
/** Time in which the limit recovers by one hundredth of the slots. */
const recoveryStepMilliseconds = 50;
const recoveryStepRatio = 0.01;

/** Options of an `AnnouncedLimit`. */
export type AnnouncedLimitOptions = {
	readonly slots: number;
	/** Monotonic time in milliseconds at which the limit starts. */
	readonly now: number;
};

/** A limit at the announced slots that is lowered while the upstream refuses requests. */
export class AnnouncedLimit implements ConcurrencyLimit {
	readonly #slotTuner: SlotTuner;
	/** Limit relative to the usable slots, as of `#ratioChangedAt`. */
	#slotRatio = 1;
	#ratioChangedAt: number;

	constructor(options: AnnouncedLimitOptions) {
		this.#slotTuner = new SlotTuner(Math.max(1, Math.floor(options.slots)), options.now);
		this.#ratioChangedAt = options.now;
	}

	current(now: number): number {
		return Math.max(1, Math.floor(this.#slotTuner.usableSlots * this.#slotRatioAt(now)));
	}

	setSlots(slots: number, now: number): void {
		this.#slotTuner.setSlots(Math.max(1, Math.floor(slots)), now);
	}

	begin(): void {
		// The limit does not depend on the requests in flight.
	}

	finish(sample: RunSample, _inFlight: number, now: number): void {
		if (sample.outcome === 'success' && sample.inFlightAtStart !== undefined) {
			this.#slotTuner.record(sample.startedAt, sample.inFlightAtStart, now);
		}

		if (sample.outcome !== 'refused' || now - this.#ratioChangedAt < minimumDecreaseIntervalMilliseconds) {
			return;
		}

		this.#slotRatio = Math.max(minimumSlotRatio, this.#slotRatioAt(now) * refusalDecreaseFactor);
		this.#ratioChangedAt = now;
	}

	#slotRatioAt(now: number): number {
		return Math.min(1, this.#slotRatio + ((now - this.#ratioChangedAt) / recoveryStepMilliseconds * recoveryStepRatio));
	}
}
