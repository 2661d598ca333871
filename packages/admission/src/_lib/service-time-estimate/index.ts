/**
Estimates the service time of a run, by priority.

The estimate is an exponentially weighted moving average of recent runs.
Without new runs it decays with a half-life. Otherwise, after a slow period, an
estimate above every deadline would refuse all requests, and no run could
correct it.
*/

import {lowestPriority} from '@fireflyglade/model';

const sampleWeight = 0.1;
const halfLifeMilliseconds = 500;
/** Time without a run after which the estimate starts to decay. */
const decayDelayMilliseconds = 500;

type Estimate = {
	milliseconds: number;
	deviation: number;
	sampledAt: number;
};

/** Index of the estimate for runs of all priorities. */
const overallIndex = lowestPriority + 1;

/** Estimates of service time in milliseconds, by priority. */
export class ServiceTimeEstimate {
	readonly #estimates: Estimate[] = [];

	/** Records the duration of a run in milliseconds. */
	record(priority: number, milliseconds: number, now: number): void {
		this.#recordAt(indexOf(priority), milliseconds, now);
		this.#recordAt(overallIndex, milliseconds, now);
	}

	/**
	Expected duration of a run in milliseconds; 0 before the first run.

	@param deviations - Number of mean absolute deviations to add to the mean, for a more conservative estimate.
	*/
	at(priority: number, deviations: number, now: number): number {
		const estimate = this.#estimates[indexOf(priority)];
		if (estimate === undefined) {
			return 0;
		}

		return (estimate.milliseconds + (deviations * estimate.deviation)) * this.#decayFactor(estimate, now);
	}

	/** Expected duration of a run of any priority in milliseconds; 0 before the first run. */
	overall(now: number): number {
		const estimate = this.#estimates[overallIndex];
		return estimate === undefined ? 0 : estimate.milliseconds * this.#decayFactor(estimate, now);
	}

	#recordAt(index: number, milliseconds: number, now: number): void {
		const estimate = this.#estimates[index];
		if (estimate === undefined) {
			this.#estimates[index] = {milliseconds, deviation: 0, sampledAt: now};
			return;
		}

		const factor = this.#decayFactor(estimate, now);
		const mean = estimate.milliseconds * factor;
		const deviation = estimate.deviation * factor;
		estimate.milliseconds = mean + ((milliseconds - mean) * sampleWeight);
		estimate.deviation = deviation + ((Math.abs(milliseconds - mean) - deviation) * sampleWeight);
		estimate.sampledAt = now;
	}

	#decayFactor(estimate: Estimate, now: number): number {
		const idle = now - estimate.sampledAt - decayDelayMilliseconds;
		return idle <= 0 ? 1 : 0.5 ** (idle / halfLifeMilliseconds);
	}
}

function indexOf(priority: number): number {
	return Math.min(lowestPriority, Math.max(0, Math.trunc(priority)));
}
