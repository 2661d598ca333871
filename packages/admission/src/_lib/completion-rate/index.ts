/**
The rate at which runs end at a gate, over about the last half second.
*/

const windowMilliseconds = 500;
/** Lower bound of the time over which the first runs are counted, because a few runs that end together are no rate. */
const minimumSpanMilliseconds = 50;

/** Counts the ends of runs in the present and the previous time window. */
export class CompletionRate {
	#startedAt: number;
	#windowStartedAt: number;
	#count = 0;
	#previousCount = 0;

	/**
	@param now - Monotonic time in milliseconds at which counting starts.
	*/
	constructor(now: number) {
		this.#startedAt = now;
		this.#windowStartedAt = now;
	}

	/** Counts a run that ended. */
	record(now: number): void {
		this.#advance(now);
		this.#count++;
	}

	/** Runs that end per millisecond; 0 if none ended lately. */
	at(now: number): number {
		this.#advance(now);
		const previousShare = 1 - ((now - this.#windowStartedAt) / windowMilliseconds);
		const span = Math.min(windowMilliseconds, Math.max(minimumSpanMilliseconds, now - this.#startedAt));
		return (this.#count + (this.#previousCount * previousShare)) / span;
	}

	#advance(now: number): void {
		const elapsed = now - this.#windowStartedAt;
		if (elapsed < windowMilliseconds) {
			return;
		}

		const isNext = elapsed < 2 * windowMilliseconds;
		this.#previousCount = isNext ? this.#count : 0;
		this.#windowStartedAt = isNext ? this.#windowStartedAt + windowMilliseconds : now;
		this.#startedAt = isNext ? this.#startedAt : now;
		this.#count = 0;
	}
}
