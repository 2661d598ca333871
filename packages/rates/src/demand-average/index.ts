/**
The measured demand of one team at one node: an exponentially weighted moving
average of charges per millisecond.
*/

import {millisecondsInSecond} from '@fireflyglade/model';
import {demandTimeConstantMilliseconds} from '../_lib/constants.js';

/** Exponentially weighted moving average of the rate of charges. */
export class DemandAverage {
	#chargesPerMillisecond = 0;
	#updatedAt: number;

	constructor(now: number) {
		this.#updatedAt = now;
	}

	/** Counts one charge. */
	recordCharge(now: number): void {
		this.#decay(now);
		this.#chargesPerMillisecond += 1 / demandTimeConstantMilliseconds;
	}

	/** Returns the average number of charges per second. */
	perSecond(now: number): number {
		this.#decay(now);
		return this.#chargesPerMillisecond * millisecondsInSecond;
	}

	#decay(now: number): void {
		const elapsed = Math.max(0, now - this.#updatedAt);
		this.#updatedAt = Math.max(this.#updatedAt, now);
		this.#chargesPerMillisecond *= Math.exp(-elapsed / demandTimeConstantMilliseconds);
	}
}
