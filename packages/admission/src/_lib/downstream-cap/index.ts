/**
The concurrency cap for requests that spend much of their time queueing at
downstream gates.

Downstream gates report with each answer how long the calls of a request were
queued. This is certainly queueing and not slower work, so no probe is needed:
the cap is lowered until the downstream queueing delay is small. The requests
then wait at this gate instead, before any work has been done for them.
*/

import type {SampleWindow} from '../sample-window/index.js';

/** Downstream queueing delay that is tolerated, relative to the latency without it. */
const toleratedQueueingRatio = 0.25;
/** Downstream queueing delay that is always tolerated. */
const toleratedQueueingMilliseconds = 10;
/** Lower bound of the factor by which one window lowers the cap. */
const minimumDecreaseFactor = 0.7;
/** Lower bound of the cap, relative to the slots. */
const minimumSlotRatio = 0.1;
/** Relative growth of the cap after a window with little downstream queueing. */
const growthRatio = 0.1;

/** A concurrency cap that follows the downstream queueing delay. */
export class DownstreamCap {
	#cap = Number.POSITIVE_INFINITY;

	/** Number of requests that may run concurrently according to the downstream queueing delay. */
	current(slots: number): number {
		return Math.min(slots, Math.max(this.#cap, slots * minimumSlotRatio));
	}

	/** Adjusts the cap by the statistics of a window. */
	observe(window: SampleWindow, slots: number): void {
		const {latency, downstreamQueueing} = window;
		if (latency === undefined) {
			return;
		}

		const tolerated = Math.max(toleratedQueueingMilliseconds, latency * toleratedQueueingRatio);
		const current = this.current(slots);
		if (downstreamQueueing > tolerated) {
			const factor = Math.max(minimumDecreaseFactor, (latency + tolerated) / (latency + downstreamQueueing));
			this.#cap = Math.max(slots * minimumSlotRatio, Math.min(current, window.maximumInFlight) * factor);
			return;
		}

		if (downstreamQueueing < tolerated / 2) {
			this.#cap = current + Math.max(1, current * growthRatio);
		}
	}
}
