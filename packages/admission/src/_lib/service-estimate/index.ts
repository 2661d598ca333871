/**
Estimates how long a run takes, by priority.

The estimate follows the runs that ended lately. Without a new run it falls by
half in each half-life, so that a slow period can't refuse all work for good.
*/

import {lowestPriority} from '@fireflyglade/model';

const weightOfSample = 0.1;
const halfLifeMilliseconds = 500;
/** Time without a run after which the estimate starts to fall. */
const graceMilliseconds = 500;

type Estimate = {
	milliseconds: number;
	deviation: number;
	sampledAt: number;
};

/** Index of the estimate over all priorities. */
const overallIndex = lowestPriority + 1;

/** Estimates of service time in milliseconds, by priority. */
export class ServiceEstimate {
	readonly #estimates: Estimate[] = [];

	/** Takes over the duration of a run. */
	record(priority: number, milliseconds: number, now: number): void {
		this.#recordAt(indexOf(priority), milliseconds, now);
		this.#recordAt(overallIndex, milliseconds, now);
	}

	/**
	Expected milliseconds of a run; 0 if nothing is known.

	@param deviations - Mean deviations above the mean, for a safer figure.
	*/
	at(priority: number, deviations: number, now: number): number {
		const estimate = this.#estimates[indexOf(priority)];
		if (estimate === undefined) {
			return 0;
		}

		return (estimate.milliseconds + (deviations * estimate.deviation)) * this.#fading(estimate, now);
	}

	/** Expected milliseconds of a run of any priority; 0 if nothing is known. */
	overall(now: number): number {
		const estimate = this.#estimates[overallIndex];
		return estimate === undefined ? 0 : estimate.milliseconds * this.#fading(estimate, now);
	}

	#recordAt(index: number, milliseconds: number, now: number): void {
		const estimate = this.#estimates[index];
		if (estimate === undefined) {
			this.#estimates[index] = {milliseconds, deviation: 0, sampledAt: now};
			return;
		}

		const factor = this.#fading(estimate, now);
		const mean = estimate.milliseconds * factor;
		const deviation = estimate.deviation * factor;
		estimate.milliseconds = mean + ((milliseconds - mean) * weightOfSample);
		estimate.deviation = deviation + ((Math.abs(milliseconds - mean) - deviation) * weightOfSample);
		estimate.sampledAt = now;
	}

	#fading(estimate: Estimate, now: number): number {
		const idle = now - estimate.sampledAt - graceMilliseconds;
		return idle <= 0 ? 1 : 0.5 ** (idle / halfLifeMilliseconds);
	}
}

function indexOf(priority: number): number {
	return Math.min(lowestPriority, Math.max(0, Math.trunc(priority)));
}
