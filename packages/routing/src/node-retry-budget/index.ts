/**
The retry budget of one node, which limits retries to a small share of first
attempts.

Attempts and retries are counted per second over a sliding window, so that no
budget accumulates while there is little traffic.
*/

import {millisecondsInSecond} from '@fireflyglade/model';
import type {RetryBudget} from '../types.js';

const windowSeconds = 10;
/** Maximum ratio of retries to first attempts. */
const retryShare = 0.2;
/** Number of retries per window that is always allowed, for nodes with few requests. */
const minimumRetriesInWindow = 10;

/** Returns the number of retries that are allowed for a number of first attempts in one window. */
export type RetryAllowance = (attempts: number) => number;

/** The allowance of a node for which the fleet configures no retry budget. */
export const defaultRetryAllowance: RetryAllowance = attempts => Math.max(minimumRetriesInWindow, attempts * retryShare);

/** Counts of one second; `number` is its index since the clock's origin. */
type Second = {
	number: number;
	attempts: number;
	retries: number;
};

/** Limits the retries of a node to a share of its first attempts. */
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
