/**
The requests that a probe of the concurrency limit measures.

The cohort consists of the first requests that start under the lowered limit,
and is complete when all of them have ended. Measuring the first requests to end
instead would bias the result towards short ones.
*/

import type {RunSample} from '../../types.js';
import {SampleWindow} from '../sample-window/index.js';

/** Statistics of the first requests that start during a probe. */
export class ProbeCohort {
	readonly window: SampleWindow;
	readonly #size: number;
	#started = 0;
	#ended = 0;
	/** Time at which the last request of the cohort started. */
	#lastStartedAt = Number.POSITIVE_INFINITY;

	constructor(size: number, startedAt: number) {
		this.#size = size;
		this.window = new SampleWindow(startedAt);
	}

	get isComplete(): boolean {
		return this.#started >= this.#size && this.#ended >= this.#started;
	}

	begin(now: number): void {
		if (now > this.#lastStartedAt) {
			return;
		}

		this.#started++;
		if (this.#started === this.#size) {
			this.#lastStartedAt = now;
		}
	}

	finish(sample: RunSample, now: number): void {
		if (sample.startedAt < this.window.startedAt || sample.startedAt > this.#lastStartedAt || this.#ended >= this.#started) {
			return;
		}

		this.#ended++;
		this.window.record(sample, now);
	}
}
