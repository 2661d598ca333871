/**
The recent outcomes of one target, and whether they call for ejection.
*/

/** Failures in a row that eject a target. */
const consecutiveFailureLimit = 5;
/** Outcomes needed before the share of failures counts. */
const minimumOutcomes = 10;
/** Share of failures that ejects a target. */
const failureShareLimit = 0.5;
/** Half-life of what is remembered. */
const halfLifeMilliseconds = 2000;
const firstEjectionMilliseconds = 1000;
const longestEjectionMilliseconds = 30_000;

/** Outcomes of one target. */
export class OutlierRecord {
	#successes = 0;
	#failures = 0;
	#consecutiveFailures = 0;
	#ejections = 0;
	#updatedAt = 0;
	#ejectedUntil = Number.NEGATIVE_INFINITY;

	/** Time at which the latest ejection ends or ended. */
	get ejectedUntil(): number {
		return this.#ejectedUntil;
	}

	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	recordSuccess(now: number): void {
		this.#fade(now);
		this.#successes++;
		this.#consecutiveFailures = 0;
		if (this.#successes >= minimumOutcomes && this.#failures < 1) {
			this.#ejections = 0;
		}
	}

	recordFailure(now: number): void {
		this.#fade(now);
		this.#failures++;
		this.#consecutiveFailures++;
	}

	/** True if the outcomes call for ejection. */
	shouldEject(): boolean {
		if (this.#consecutiveFailures >= consecutiveFailureLimit) {
			return true;
		}

		const outcomes = this.#successes + this.#failures;
		return outcomes >= minimumOutcomes && this.#failures / outcomes > failureShareLimit;
	}

	/** Ejects the target, each time for longer. */
	eject(now: number): void {
		const duration = firstEjectionMilliseconds * (2 ** this.#ejections);
		this.#ejectedUntil = now + Math.min(longestEjectionMilliseconds, duration);
		this.#ejections++;
		this.#successes = 0;
		this.#failures = 0;
		this.#consecutiveFailures = 0;
	}

	#fade(now: number): void {
		const factor = 0.5 ** (Math.max(0, now - this.#updatedAt) / halfLifeMilliseconds);
		this.#successes *= factor;
		this.#failures *= factor;
		this.#updatedAt = now;
	}
}
