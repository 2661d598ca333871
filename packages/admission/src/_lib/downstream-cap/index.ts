/**
The cap on requests that mostly wait at gates further down.

The gates below tell with each answer how long the calls of a request waited
there. That is queueing for certain, not slower work, so no probe is needed:
the cap is lowered until little of the time is spent so. The requests then wait
at this gate, where nothing has been spent on them yet.
*/

import type {SampleWindow} from '../sample-window/index.js';

/** Wait below that is accepted, as a part of the time without it. */
const acceptedPart = 0.25;
const acceptedMilliseconds = 10;
/** Smallest factor by which one window lowers the cap. */
const smallestFactor = 0.7;
/** Smallest part of the slots. */
const smallestPart = 0.1;
const growthPart = 0.1;

/** The cap that follows the waiting below. */
export class DownstreamCap {
	#cap = Number.POSITIVE_INFINITY;

	/** Requests that may run at once as far as the waiting below goes. */
	current(slots: number): number {
		return Math.min(slots, Math.max(this.#cap, slots * smallestPart));
	}

	observe(window: SampleWindow, slots: number): void {
		const {latency, queuedBelow} = window;
		if (latency === undefined) {
			return;
		}

		const accepted = Math.max(acceptedMilliseconds, latency * acceptedPart);
		const current = this.current(slots);
		if (queuedBelow > accepted) {
			const factor = Math.max(smallestFactor, (latency + accepted) / (latency + queuedBelow));
			this.#cap = Math.max(slots * smallestPart, Math.min(current, window.maximumInFlight) * factor);
			return;
		}

		if (queuedBelow < accepted / 2) {
			this.#cap = current + Math.max(1, current * growthPart);
		}
	}
}
