/**
A concurrency limit for upstreams that announce their slots correctly and get
all their requests through this gate.

Requests beyond the slots of such an upstream would only queue inside it, where
priorities have no effect, so a burst waits at the gate instead. The limit equals
the announced slots, or slightly fewer if that raises the throughput. If the
upstream refuses requests all the same, the limit drops at once and recovers
slowly. It is also bounded by the load that the upstream reports and by a slow
start while the upstream is cold.
*/

import type {UpstreamLoad} from '@fireflyglade/model';
import {SlotTuner} from '../_lib/slot-tuner/index.js';
import {UpstreamBounds, type UpstreamBoundsOptions} from '../_lib/upstream-bounds/index.js';
import type {ConcurrencyLimit, LimitState, RunSample} from '../types.js';

/** Factor on the limit after the upstream refuses a request. */
const refusalDecreaseFactor = 0.9;
/** Lower bound of the limit, relative to the usable slots. */
const minimumSlotRatio = 0.25;
/** The same while the upstream has free slots by its reports, because its refusals then have another cause than the number of requests. */
const minimumSlotRatioWithFreeSlots = 0.75;
/** Minimum time between two decreases, because refusals come in groups. */
const minimumDecreaseIntervalMilliseconds = 200;
/** Time in which the limit recovers by one hundredth of the slots. */
const recoveryStepMilliseconds = 50;
const recoveryStepRatio = 0.01;

/** Options of an `AnnouncedLimit`. */
export type AnnouncedLimitOptions = UpstreamBoundsOptions;

/** A limit at the announced slots that is lowered while the upstream refuses requests, reports that it has fewer slots, or starts up. */
export class AnnouncedLimit implements ConcurrencyLimit {
	readonly #slotTuner: SlotTuner;
	readonly #bounds: UpstreamBounds;
	/** Limit relative to the usable slots, as of `#ratioChangedAt`. */
	#slotRatio = 1;
	#ratioChangedAt: number;

	constructor(options: AnnouncedLimitOptions) {
		this.#bounds = new UpstreamBounds(options);
		this.#slotTuner = new SlotTuner(this.#bounds.slots, options.now);
		this.#ratioChangedAt = options.now;
	}

	current(now: number): number {
		return Math.max(1, Math.floor(Math.min(this.#slotTuner.usableSlots * this.#slotRatioAt(now), this.#bounds.usableSlots(now))));
	}

	setSlots(slots: number, now: number): void {
		this.#bounds.setSlots(slots);
		this.#slotTuner.setSlots(this.#bounds.slots, now);
	}

	begin(inFlight: number): void {
		this.#bounds.begin(inFlight);
	}

	finish(sample: RunSample, inFlight: number, now: number): void {
		this.#bounds.finish(sample, inFlight, now);
		if (sample.outcome === 'success' && sample.inFlightAtStart !== undefined) {
			this.#slotTuner.record({startedAt: sample.startedAt, inFlight: sample.inFlightAtStart, pace: this.pace(now) ?? 1}, now);
		}

		if (sample.outcome !== 'refused' || now - this.#ratioChangedAt < minimumDecreaseIntervalMilliseconds) {
			return;
		}

		const before = this.#slotRatioAt(now);
		const minimum = this.#bounds.hasFreeSlots(now) ? minimumSlotRatioWithFreeSlots : minimumSlotRatio;
		// A limit that is below the minimum already, because the minimum was lower then, is not raised by a refusal.
		this.#slotRatio = Math.max(Math.min(before, minimum), before * refusalDecreaseFactor);
		this.#ratioChangedAt = now;
	}

	observeLoad(load: UpstreamLoad, now: number): void {
		this.#bounds.observeLoad(load, now);
	}

	pace(now: number): number | undefined {
		return this.#bounds.pace(now);
	}

	beginSlowStart(now: number): void {
		this.#bounds.beginSlowStart(now);
	}

	describe(now: number): LimitState {
		return this.#bounds.describe(now);
	}

	#slotRatioAt(now: number): number {
		return Math.min(1, this.#slotRatio + ((now - this.#ratioChangedAt) / recoveryStepMilliseconds * recoveryStepRatio));
	}
}
