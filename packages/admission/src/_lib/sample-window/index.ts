/**
Statistics of the runs that ended within one time window.
*/

import type {RunSample} from '../../types.js';

/** Accumulates the latency, the failures and the requests in flight of the runs of one window. */
export class SampleWindow {
	#count = 0;
	#failures = 0;
	#timedCount = 0;
	#latencySum = 0;
	#latencySumOfSquares = 0;
	#downstreamQueueing = 0;
	#maximumInFlight = 0;
	#minimumInFlight = Number.POSITIVE_INFINITY;

	/**
	@param startedAt - Monotonic time in milliseconds at which the window starts.
	*/
	constructor(readonly startedAt: number) {}

	/** Number of runs that ended other than by cancellation, which carries no information about the upstream. */
	get count(): number {
		return this.#count;
	}

	get maximumInFlight(): number {
		return this.#maximumInFlight;
	}

	/** Smallest number of requests in flight that was observed at the start or end of a run, including that run. */
	get minimumInFlight(): number {
		return this.#minimumInFlight;
	}

	/** Share of the counted runs that failed or were refused, from 0 to 1. */
	get failureShare(): number {
		return this.#count === 0 ? 0 : this.#failures / this.#count;
	}

	/** Mean queueing delay of a run's calls at downstream gates, in milliseconds. */
	get downstreamQueueing(): number {
		return this.#timedCount === 0 ? 0 : this.#downstreamQueueing / this.#timedCount;
	}

	/** Mean latency of runs that succeeded or timed out, in milliseconds, excluding downstream queueing; undefined if there was none. */
	get latency(): number | undefined {
		return this.#timedCount === 0 ? undefined : this.#latencySum / this.#timedCount;
	}

	/** Standard error of the mean latency in milliseconds. */
	get standardError(): number {
		if (this.#timedCount === 0) {
			return 0;
		}

		const mean = this.#latencySum / this.#timedCount;
		const variance = Math.max(0, (this.#latencySumOfSquares / this.#timedCount) - (mean * mean));
		return Math.sqrt(variance / this.#timedCount);
	}

	observeInFlight(inFlight: number): void {
		this.#maximumInFlight = Math.max(this.#maximumInFlight, inFlight);
		this.#minimumInFlight = Math.min(this.#minimumInFlight, inFlight);
	}

	record(sample: RunSample, now: number): void {
		switch (sample.outcome) {
			case 'success':
			case 'timeout': {
				const elapsed = now - sample.startedAt;
				const downstreamQueueing = Math.min(elapsed, Math.max(0, sample.downstreamQueueingMilliseconds ?? 0));
				const milliseconds = elapsed - downstreamQueueing;
				this.#downstreamQueueing += downstreamQueueing;
				this.#count++;
				this.#timedCount++;
				this.#latencySum += milliseconds;
				this.#latencySumOfSquares += milliseconds * milliseconds;
				break;
			}

			case 'refused':
			case 'failure': {
				this.#count++;
				this.#failures++;
				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}
}
