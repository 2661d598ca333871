/**
Estimates the latency of a group of targets without queueing, from answers.
*/

/** Weight of a slower answer in the moving average. */
const riseWeight = 0.02;

/** A latency estimate that drops to a faster answer at once and rises slowly with slower ones. */
export class LatencyFloor {
	#milliseconds: number | undefined;

	/** The estimate in milliseconds; undefined before the first answer. */
	get milliseconds(): number | undefined {
		return this.#milliseconds;
	}

	record(milliseconds: number): void {
		const floor = this.#milliseconds;
		if (floor === undefined || milliseconds < floor) {
			this.#milliseconds = milliseconds;
			return;
		}

		this.#milliseconds = floor + ((milliseconds - floor) * riseWeight);
	}
}
