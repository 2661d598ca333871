/**
Divides the tokens of one team at one node among the team's own requests by priority.

While a team sends more than its rate, its rate limiter would serve its requests in the
order of their arrival, so that unimportant requests use up the tokens of important ones.
Once the rate limiter refuses a clear share of what is charged, the most important
requests are charged first, and less important ones as far as tokens are expected to
remain. The expectation follows the tokens that the node gets while the rate limiter
refuses some, and grows while it refuses none, so that no token remains unused. Once it
covers the demand, all requests are charged.
*/

import {millisecondsInSecond} from '@fireflyglade/model';

/** Window in which requests and tokens are counted. */
const windowMilliseconds = 250;
/** Windows without a request after which the counts are dropped. */
const maximumIdleWindows = 8;
/** Weight of the latest window in the moving averages. */
const averageWeight = 0.25;
/** Refusals by the rate limiter, relative to what it admits, above which the team counts as exceeding its rate; fewer refusals come from the random spacing of requests. */
const minimumRefusedRatio = 0.15;
/** Average number of refusals in a window from which they count: fewer say little about a ratio. */
const minimumRefusals = 0.5;
/** Growth of the expected tokens in a window in which the rate limiter refused nothing. */
const supplyGrowth = 1.05;
/** Average number of requests in a window below which a priority is dropped. */
const negligibleDemand = 0.05;
/** Bounds of the time after which a refused caller may return. */
const minimumRetryAfterMilliseconds = 50;
const maximumRetryAfterMilliseconds = 2000;
/** Largest factor of the spread; the smallest one is 1 less. */
const maximumSpread = 1.5;
/** Fractional part of the golden ratio: its multiples modulo 1 are evenly spread, so that callers refused together return apart. */
const goldenRatioFraction = 0.618_033_988_75;

type PriorityState = {
	/** Requests in the current window. */
	count: number;
	/** Moving average of the requests in a window. */
	demand: number;
	/** Share of the requests that is charged, from 0 to 1. */
	share: number;
	/** Sum of the shares since the last request that was charged. */
	credit: number;
	/** Requests of this and all more important priorities in a window, relative to the expected tokens. */
	demandRatio: number;
};

/** The shares of one team's priorities at one node. */
export class PriorityShares {
	readonly #priorities = new Map<number, PriorityState>();
	#windowStartedAt: number;
	#admitted = 0;
	#refused = 0;
	/** Moving averages of the requests that the rate limiter admits and refuses in a window. */
	#averageAdmitted = 0;
	#averageRefused = 0;
	/** Tokens that are expected in a window; undefined while all requests are charged. */
	#supply: number | undefined;
	#retrySequence = 0;

	constructor(now: number) {
		this.#windowStartedAt = now;
	}

	/** Counts a request and tells whether it shall be charged. */
	admits(priority: number, now: number): boolean {
		this.#advance(now);
		const state = this.#stateOf(priority);
		state.count++;
		if (state.share >= 1) {
			return true;
		}

		state.credit += state.share;
		if (state.credit < 1) {
			return false;
		}

		state.credit--;
		return true;
	}

	/** Counts the decision of the rate limiter about a request that was charged. */
	recordDecision(isAdmitted: boolean): void {
		if (isAdmitted) {
			this.#admitted++;
			return;
		}

		this.#refused++;
	}

	/** Milliseconds after which a refused request of this priority may be repeated: the time that the team's rate needs for the excess of one second, with a spread of a half. */
	retryAfterMilliseconds(priority: number): number {
		this.#retrySequence = (this.#retrySequence + goldenRatioFraction) % 1;
		const excess = Math.max(0, (this.#priorities.get(priority)?.demandRatio ?? 0) - 1);
		const expected = Math.min(maximumRetryAfterMilliseconds / maximumSpread, excess * millisecondsInSecond);
		return Math.max(minimumRetryAfterMilliseconds, Math.round(expected * (maximumSpread - this.#retrySequence)));
	}

	#stateOf(priority: number): PriorityState {
		const existing = this.#priorities.get(priority);
		if (existing !== undefined) {
			return existing;
		}

		const created: PriorityState = {
			count: 0, demand: 0, share: 1, credit: 0, demandRatio: 0,
		};
		this.#priorities.set(priority, created);
		return created;
	}

	#advance(now: number): void {
		const windows = Math.floor((now - this.#windowStartedAt) / windowMilliseconds);
		if (windows < 1) {
			return;
		}

		this.#windowStartedAt += windows * windowMilliseconds;
		if (windows > maximumIdleWindows) {
			this.#priorities.clear();
			this.#averageAdmitted = 0;
			this.#averageRefused = 0;
			this.#supply = undefined;
		} else {
			this.#updateDemand(windows);
			this.#updateSupply(windows);
			this.#updateShares();
		}

		this.#admitted = 0;
		this.#refused = 0;
	}

	#updateDemand(windows: number): void {
		for (const [priority, state] of this.#priorities) {
			const isNew = state.demand === 0;
			state.demand = isNew ? state.count / windows : average(state.demand, state.count / windows);
			state.count = 0;
			if (state.demand < negligibleDemand) {
				this.#priorities.delete(priority);
			}
		}
	}

	#updateSupply(windows: number): void {
		const admitted = this.#admitted / windows;
		this.#averageAdmitted = average(this.#averageAdmitted, admitted);
		this.#averageRefused = average(this.#averageRefused, this.#refused / windows);
		if (this.#supply === undefined) {
			const isExceeded = this.#averageRefused > Math.max(minimumRefusals, this.#averageAdmitted * minimumRefusedRatio);
			this.#supply = isExceeded ? this.#averageAdmitted : undefined;
			return;
		}

		this.#supply = this.#refused > 0 ? average(this.#supply, admitted) : Math.max(admitted, this.#supply * supplyGrowth);
	}

	/** Gives the allowance to the most important requests first. The most important priority is always charged, so that no token remains unused for lack of requests that are charged. */
	#updateShares(): void {
		const ordered = [...this.#priorities].toSorted(([left], [right]) => left - right);
		const allowance = this.#supply === undefined ? Number.POSITIVE_INFINITY : Math.max(1, this.#supply);
		let cumulative = 0;
		for (const [index, [, state]] of ordered.entries()) {
			const remaining = allowance - cumulative;
			cumulative += state.demand;
			state.share = index === 0 ? 1 : Math.min(1, Math.max(0, remaining / state.demand));
			state.demandRatio = cumulative / allowance;
		}

		if (cumulative <= allowance) {
			this.#supply = undefined;
		}
	}
}

function average(previous: number, latest: number): number {
	return previous + ((latest - previous) * averageWeight);
}
