/**
Statistics of the runs that ended within one window of time.
*/

import type {RunSample} from '../../types.js';

/** Statistics of the runs of one window. */
export class SampleWindow {
	#count = 0;
	#failures = 0;
	#timed = 0;
	#sum = 0;
	#sumOfSquares = 0;
	#queuedBelow = 0;
	#maximumInFlight = 0;
	#minimumInFlight = Number.POSITIVE_INFINITY;

	/**
	@param startedAt - Monotonic milliseconds at which the window starts.
	*/
	constructor(readonly startedAt: number) {}

	/** Runs that succeeded, failed or timed out; cancelled ones tell nothing. */
	get count(): number {
		return this.#count;
	}

	get maximumInFlight(): number {
		return this.#maximumInFlight;
	}

	/** Fewest requests that ran at the end of any run, that run counted. */
	get minimumInFlight(): number {
		return this.#minimumInFlight;
	}

	get failureShare(): number {
		return this.#count === 0 ? 0 : this.#failures / this.#count;
	}

	/** Mean milliseconds for which the calls of a run waited at gates below. */
	get queuedBelow(): number {
		return this.#timed === 0 ? 0 : this.#queuedBelow / this.#timed;
	}

	/** Mean latency in milliseconds, without the waiting below, of runs that succeeded or timed out. */
	get latency(): number | undefined {
		return this.#timed === 0 ? undefined : this.#sum / this.#timed;
	}

	/** Standard error of the mean latency in milliseconds. */
	get standardError(): number {
		if (this.#timed === 0) {
			return 0;
		}

		const mean = this.#sum / this.#timed;
		const variance = Math.max(0, (this.#sumOfSquares / this.#timed) - (mean * mean));
		return Math.sqrt(variance / this.#timed);
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
				const queuedBelow = Math.min(elapsed, Math.max(0, sample.downstreamQueueingMilliseconds ?? 0));
				const milliseconds = elapsed - queuedBelow;
				this.#queuedBelow += queuedBelow;
				this.#count++;
				this.#timed++;
				this.#sum += milliseconds;
				this.#sumOfSquares += milliseconds * milliseconds;
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
