/**
The measured demand of one team at one node: an exponentially weighted average of
charges a millisecond.
*/

import {millisecondsInSecond} from '@fireflyglade/model';
import {demandWindowMilliseconds} from '../_lib/constants.js';

/** Average rate of events. */
export class DemandAverage {
	#perMillisecond = 0;
	#at: number;

	constructor(now: number) {
		this.#at = now;
	}

	/** Counts one charge. */
	note(now: number): void {
		this.#decay(now);
		this.#perMillisecond += 1 / demandWindowMilliseconds;
	}

	/** Charges a second, lately. */
	perSecond(now: number): number {
		this.#decay(now);
		return this.#perMillisecond * millisecondsInSecond;
	}

	#decay(now: number): void {
		const elapsed = Math.max(0, now - this.#at);
		this.#at = Math.max(this.#at, now);
		this.#perMillisecond *= Math.exp(-elapsed / demandWindowMilliseconds);
	}
}
