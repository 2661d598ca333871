/**
Estimates the service time of a run, by work class.

The estimate of a class is the product of its usual duration, which adapts over
tens of its own runs, and of a recent slowdown that all classes share. It follows the
last runs of any class, so that the estimate of a class with few runs also
follows an upstream whose speed changes within fractions of a second. A single
run counts at most as a fixed multiple of what was expected, because service
times have a long tail.
*/

import {maximumWorkClass} from '@fireflyglade/model';

/** Weight of a run in the recent slowdown. */
const slowdownWeight = 0.15;
/** Weight of a run in the usual duration of its class once the class has many runs. */
const usualWeight = 0.05;
/** Number of runs up to which the usual duration is their plain mean. */
const runsUntilUsualWeight = 1 / usualWeight;
const deviationWeight = 0.1;
const overallWeight = 0.1;
/** Ratio to the expected duration at which longer runs are counted. */
const maximumRatio = 2.5;
/** Number of runs after which a class contributes to the recent slowdown. */
const learningRuns = 5;
/** Lower bound of recorded durations, which keeps ratios of durations finite. */
const minimumRunMilliseconds = 0.1;
const halfLifeMilliseconds = 500;
/** Time without a run after which estimates start to decay. */
const decayDelayMilliseconds = 500;
/** Number of classes above which the one whose last run is the longest ago is dropped; places are numbered in one byte from 1. */
const maximumClasses = 255;

type ClassEstimate = {
	readonly workClass: number;
	/** Duration in milliseconds without the recent slowdown. */
	usualMilliseconds: number;
	/** Mean absolute deviation in milliseconds. */
	deviation: number;
	runs: number;
	sampledAt: number;
};

/** Estimates of service time in milliseconds, by work class. */
export class ServiceTimeEstimate {
	/** Place of each class in the list of estimates; 0 if it has none. A lookup takes a fraction of one in a map. */
	readonly #places = new Uint8Array(maximumWorkClass + 1);
	readonly #estimates: Array<ClassEstimate | undefined> = [undefined];
	/** Factor on the usual duration of every class, as of the last run. */
	#recentSlowdown = 1;
	/** Mean duration of runs of all classes, as of the last run. */
	#overallMilliseconds = 0;
	/** Time of the last run. */
	#sampledAt = Number.NEGATIVE_INFINITY;

	/** Records the duration of a run in milliseconds. */
	record(workClass: number, milliseconds: number, now: number): void {
		const duration = Math.max(minimumRunMilliseconds, milliseconds);
		const isFirstRun = this.#sampledAt === Number.NEGATIVE_INFINITY;
		const factor = decayFactor(this.#sampledAt, now);
		const slowdown = 1 + ((this.#recentSlowdown - 1) * factor);
		const mean = isFirstRun ? duration : this.#overallMilliseconds * factor;
		this.#overallMilliseconds = mean + ((duration - mean) * overallWeight);
		this.#sampledAt = now;
		const estimate = this.#find(workClass);
		if (estimate !== undefined) {
			this.#recentSlowdown = recordRun(estimate, duration, slowdown, now);
			return;
		}

		this.#recentSlowdown = slowdown;
		this.#addClass({
			workClass, usualMilliseconds: duration / slowdown, deviation: 0, runs: 1, sampledAt: now,
		});
	}

	/**
	Expected duration of a run in milliseconds for deadline checks; 0 before the first run of its class.

	Without new runs of the class it decays with a half-life. Otherwise, after a slow period, an estimate above
	every deadline would refuse all requests of the class, and no run could correct it.

	@param deviations - Number of mean absolute deviations to add to the mean, for a more conservative estimate.
	*/
	at(workClass: number, deviations: number, now: number): number {
		const estimate = this.#find(workClass);
		if (estimate === undefined) {
			return 0;
		}

		const factor = decayFactor(estimate.sampledAt, now);
		const slowdown = factor === 1 ? this.#recentSlowdown : this.#recentSlowdownAt(now);
		return ((estimate.usualMilliseconds * slowdown) + (deviations * estimate.deviation)) * factor;
	}

	/** Expected duration of a run in milliseconds, which is the overall mean before the first run of the class; undefined before any run. */
	expected(workClass: number | undefined, now: number): number | undefined {
		if (this.#sampledAt === Number.NEGATIVE_INFINITY) {
			return undefined;
		}

		const estimate = workClass === undefined ? undefined : this.#find(workClass);
		return estimate === undefined ? this.#overallMilliseconds : estimate.usualMilliseconds * this.#recentSlowdownAt(now);
	}

	/** Expected duration of a run of any class in milliseconds, which decays without new runs; 0 before the first run. */
	overall(now: number): number {
		return this.#overallMilliseconds * decayFactor(this.#sampledAt, now);
	}

	/** The recent slowdown, which returns to 1 without new runs. */
	#recentSlowdownAt(now: number): number {
		return 1 + ((this.#recentSlowdown - 1) * decayFactor(this.#sampledAt, now));
	}

	#find(workClass: number): ClassEstimate | undefined {
		return this.#estimates[this.#places[workClass] ?? 0];
	}

	/** Adds a class; one outside the range of classes has no estimate of its own. */
	#addClass(estimate: ClassEstimate): void {
		if (this.#places[estimate.workClass] === undefined) {
			return;
		}

		const place = this.#estimates.length <= maximumClasses ? this.#estimates.length : this.#dropOldest();
		this.#estimates[place] = estimate;
		this.#places[estimate.workClass] = place;
	}

	/** Drops the class whose last run is the longest ago and returns its place. */
	#dropOldest(): number {
		let oldest = this.#estimates[1]!;
		for (const estimate of this.#estimates) {
			oldest = estimate !== undefined && estimate.sampledAt < oldest.sampledAt ? estimate : oldest;
		}

		const place = this.#places[oldest.workClass]!;
		this.#places[oldest.workClass] = 0;
		return place;
	}
}

/** Updates the estimate of a class by one of its runs and returns the new slowdown. */
function recordRun(estimate: ClassEstimate, duration: number, slowdown: number, now: number): number {
	const expected = estimate.usualMilliseconds * slowdown;
	const ratio = Math.min(maximumRatio, duration / expected);
	const bounded = ratio * expected;
	estimate.runs++;
	estimate.sampledAt = now;
	estimate.deviation += (Math.abs(bounded - expected) - estimate.deviation) * deviationWeight;
	if (estimate.runs <= learningRuns) {
		estimate.usualMilliseconds += ((duration / slowdown) - estimate.usualMilliseconds) / estimate.runs;
		return slowdown;
	}

	estimate.usualMilliseconds += (bounded - estimate.usualMilliseconds) * (estimate.runs < runsUntilUsualWeight ? 1 / estimate.runs : usualWeight);
	return slowdown * (1 + (slowdownWeight * (ratio - 1)));
}

function decayFactor(sampledAt: number, now: number): number {
	const idle = now - sampledAt - decayDelayMilliseconds;
	return idle <= 0 ? 1 : 0.5 ** (idle / halfLifeMilliseconds);
}
