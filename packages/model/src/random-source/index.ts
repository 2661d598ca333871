/**
The source of random numbers for decisions.

Decisions take a `RandomSource`, so that a seed repeats them. Secrets never
come from here: they are made by `node:crypto`.
*/

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Source of random numbers. */
export type RandomSource = {
	/** A whole number from 0 up to but without `limit`, each equally likely. */
	nextInteger(limit: number): number;
	/** A number from 0 up to but without 1. */
	nextFraction(): number;
};

const fractionSteps = 2 ** 31;

/** A random source that the same seed repeats. */
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
