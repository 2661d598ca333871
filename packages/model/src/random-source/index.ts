/**
The source of random numbers for decisions.

Decisions use a `RandomSource`, so that a seed makes them reproducible. It is not
suitable for secrets, which are generated with `node:crypto`.
*/

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Source of random numbers. */
export type RandomSource = {
	/** Returns a uniformly distributed integer from 0 to below `limit`. */
	nextInteger(limit: number): number;
	/** Returns a uniformly distributed number from 0 to below 1. */
	nextFraction(): number;
};

const fractionSteps = 2 ** 31;

/** A random source that produces the same sequence for the same seed. */
export class SeededRandom implements RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	nextInteger(limit: number): number {
		return uniformInt(this.#generator, 0, limit - 1);
	}

	nextFraction(): number {
		return this.nextInteger(fractionSteps) / fractionSteps;
	}
}
