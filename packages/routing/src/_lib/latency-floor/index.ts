/**
The latency of a group of targets without queueing, as answers show it.
*/

/** Part of the way by which the floor follows a slower answer. */
const riseWeight = 0.02;

/** Falls at once with a faster answer and rises slowly with slower ones. */
export class LatencyFloor {
	#milliseconds: number | undefined;

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
