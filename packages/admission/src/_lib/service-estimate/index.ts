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
	sampledAt: number;
};

/** Estimates of service time in milliseconds, by priority. */
export class ServiceEstimate {
	readonly #estimates: Estimate[] = [];

	/** Takes over the duration of a run. */
	record(priority: number, milliseconds: number, now: number): void {
		const index = Math.min(lowestPriority, Math.max(0, Math.trunc(priority)));
		const estimate = this.#estimates[index];
		if (estimate === undefined) {
			this.#estimates[index] = {milliseconds, sampledAt: now};
			return;
		}

		const before = this.at(index, now);
		estimate.milliseconds = before + ((milliseconds - before) * weightOfSample);
		estimate.sampledAt = now;
	}

	/** Expected milliseconds of a run; 0 if nothing is known. */
	at(priority: number, now: number): number {
		const estimate = this.#estimates[Math.min(lowestPriority, Math.max(0, Math.trunc(priority)))];
		if (estimate === undefined) {
			return 0;
		}

		const idle = now - estimate.sampledAt - graceMilliseconds;
		if (idle <= 0) {
			return estimate.milliseconds;
		}

		return estimate.milliseconds * (0.5 ** (idle / halfLifeMilliseconds));
	}
}
