/**
The requests by which a probe of the concurrency limit is judged.

The cohort holds the first requests that start once the limit is lowered, and
is complete when all of them have ended. The first few to end would not do:
they are the shortest ones.
*/

import type {RunSample} from '../../types.js';
import {SampleWindow} from '../sample-window/index.js';

/** The first requests that start in a probe. */
export class ProbeCohort {
	readonly window: SampleWindow;
	readonly #size: number;
	#started = 0;
	#ended = 0;
	/** Time at which the last request of the cohort started. */
	#lastStart = Number.POSITIVE_INFINITY;

	constructor(size: number, startedAt: number) {
		this.#size = size;
		this.window = new SampleWindow(startedAt);
	}

	get isComplete(): boolean {
		return this.#started >= this.#size && this.#ended >= this.#started;
	}

	begin(now: number): void {
		if (now > this.#lastStart) {
			return;
		}

		this.#started++;
		if (this.#started === this.#size) {
			this.#lastStart = now;
		}
	}

	finish(sample: RunSample, now: number): void {
		if (sample.startedAt < this.window.startedAt || sample.startedAt > this.#lastStart || this.#ended >= this.#started) {
			return;
		}

		this.#ended++;
		this.window.record(sample, now);
	}
}
