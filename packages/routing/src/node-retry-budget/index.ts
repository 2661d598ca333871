/**
The retry budget of one node: retries stay a small share of first attempts.

Attempts and retries are counted in slots of one second over a sliding window,
so that a quiet hour saves up nothing for a later storm.
*/

import {millisecondsInSecond} from '@fireflyglade/model';
import type {RetryBudget} from '../types.js';

const windowSeconds = 10;
/** Largest share of retries in first attempts. */
const retryShare = 0.2;
/** Retries in a window that a node with few requests may make all the same. */
const minimumRetriesInWindow = 10;

/** Gives the retries that a window allows for its first attempts. */
export type RetryAllowance = (attempts: number) => number;

/** The allowance of a node that knows of no budget for the whole fleet. */
export const defaultRetryAllowance: RetryAllowance = attempts => Math.max(minimumRetriesInWindow, attempts * retryShare);

type Second = {
	number: number;
	attempts: number;
	retries: number;
};

/** Caps the retries of a node as a share of its first attempts. */
export class NodeRetryBudget implements RetryBudget {
	readonly #seconds: Second[] = [];
	readonly #allowance: RetryAllowance;

	constructor(allowance: RetryAllowance = defaultRetryAllowance) {
		this.#allowance = allowance;
		for (let index = 0; index < windowSeconds; index++) {
			this.#seconds.push({number: Number.NEGATIVE_INFINITY, attempts: 0, retries: 0});
		}
	}

	recordAttempt(now: number): void {
		this.#second(now).attempts++;
	}

	takeRetry(now: number): boolean {
		const current = this.#second(now);
		let attempts = 0;
		let retries = 0;
		for (const second of this.#seconds) {
			if (current.number - second.number < windowSeconds) {
				attempts += second.attempts;
				retries += second.retries;
			}
		}

		if (retries + 1 > this.#allowance(attempts)) {
			return false;
		}

		current.retries++;
		return true;
	}

	#second(now: number): Second {
		const number = Math.floor(now / millisecondsInSecond);
		const second = this.#seconds[((number % windowSeconds) + windowSeconds) % windowSeconds]!;
		if (second.number !== number) {
			second.number = number;
			second.attempts = 0;
			second.retries = 0;
		}

		return second;
	}
}
