/**
Outlier detection for one target: records recent outcomes, decides on ejection, and states
the share of recent attempts that succeeded.
*/

import {fade} from '../fade/index.js';

/** Number of consecutive failures that ejects a target. */
const consecutiveFailureLimit = 5;
/** Minimum number of outcomes before the share of failures is evaluated, and of successes that reset the duration of ejections. */
const minimumOutcomes = 10;
/** Share of failures above which a target is ejected. */
const maximumFailureShare = 0.5;
/** Half-life of the outcome counts. */
const halfLifeMilliseconds = 2000;
const initialEjectionMilliseconds = 1000;
const maximumEjectionMilliseconds = 30_000;
/** Successes that are assumed beyond the recorded ones, so that one failure doesn't count as all. */
const assumedSuccesses = 1;
/** Ages of the latest loss between which losses stop to lower the share of successes: a target that gets no requests shows no success. */
const lossFreshMilliseconds = 500;
const lossStaleMilliseconds = 3000;

/** Exponentially decaying outcome counts and the ejection state of one target. */
export class OutlierRecord {
	#successes = 0;
	#failures = 0;
	#refusals = 0;
	#lostAt = Number.NEGATIVE_INFINITY;
	#consecutiveFailures = 0;
	#ejections = 0;
	#updatedAt = 0;
	#ejectedUntil = Number.NEGATIVE_INFINITY;

	/** End of the latest ejection in monotonic milliseconds; negative infinity if there was none. */
	get ejectedUntil(): number {
		return this.#ejectedUntil;
	}

	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	recordSuccess(now: number): void {
		this.#decay(now);
		this.#successes++;
		this.#consecutiveFailures = 0;
		if (this.#successes >= minimumOutcomes && this.#failures < 1) {
			this.#ejections = 0;
		}
	}

	recordFailure(now: number): void {
		this.#decay(now);
		this.#failures++;
		this.#lostAt = now;
		this.#consecutiveFailures++;
	}

	/** Records a refusal although the gate had room. It lowers the share of successes, but doesn't count for an ejection. */
	recordRefusal(now: number): void {
		this.#decay(now);
		this.#refusals++;
		this.#lostAt = now;
	}

	/** Returns the share of recent attempts that succeeded; it returns to 1 as failures and refusals age. */
	getSuccessShare(now: number): number {
		const weight = fade(now - this.#lostAt, lossFreshMilliseconds, lossStaleMilliseconds);
		if (weight === 0) {
			return 1;
		}

		const factor = getDecayFactor(now - this.#updatedAt);
		const successes = (this.#successes * factor) + assumedSuccesses;
		return successes / (successes + ((this.#failures + this.#refusals) * factor * weight));
	}

	/** True if the recent outcomes justify an ejection. */
	shouldEject(): boolean {
		if (this.#consecutiveFailures >= consecutiveFailureLimit) {
			return true;
		}

		const outcomes = this.#successes + this.#failures;
		return outcomes >= minimumOutcomes && this.#failures / outcomes > maximumFailureShare;
	}

	/** Ejects the target. The duration doubles with each ejection up to the maximum, until enough successes without a recent failure reset it. */
	eject(now: number): void {
		const duration = initialEjectionMilliseconds * (2 ** this.#ejections);
		this.#ejectedUntil = now + Math.min(maximumEjectionMilliseconds, duration);
		this.#ejections++;
		this.#successes = 0;
		this.#failures = 0;
		this.#consecutiveFailures = 0;
	}

	#decay(now: number): void {
		const factor = getDecayFactor(now - this.#updatedAt);
		this.#successes *= factor;
		this.#failures *= factor;
		this.#refusals *= factor;
		this.#updatedAt = now;
	}
}

function getDecayFactor(age: number): number {
	return 0.5 ** (Math.max(0, age) / halfLifeMilliseconds);
}
