/**
Estimates how long a caller has already waited in earlier attempts.

A caller that sends a request again states what is left of its time, which is less
than its team states for first attempts on the same route. The difference to the
largest timeout that was stated recently is the time since its first attempt.
*/

import type {RouteId, TeamName} from '@fireflyglade/model';

/** Time after which the largest timeouts are forgotten, if they were not stated again within the period after it. */
const periodMilliseconds = 10_000;
/** Number of routes and teams for which timeouts are kept; no time is estimated for more. */
const maximumEntries = 4096;

/** Share of the requests that state about the largest timeout from which it counts as the one of first attempts; a single caller with a longer timeout says nothing about the others. */
const minimumShareOfLargest = 0.2;
/** Timeouts that differ by less than this fraction count as equal, as callers state whole milliseconds of what is left. */
const tolerance = 0.02;

/** The timeouts that were stated for one route and team in a period. */
type StatedPeriod = {
	largest: number;
	/** Requests that stated about the largest timeout. */
	largestCount: number;
	requests: number;
};

/** The largest timeouts that were stated recently, by route and team. */
export class StatedTimeouts {
	#latest = new Map<string, StatedPeriod>();
	#previous = new Map<string, StatedPeriod>();
	#periodStartedAt = Number.NEGATIVE_INFINITY;

	/** Records a timeout. Returns the milliseconds that the caller has probably spent since its first attempt. */
	record(route: RouteId, team: TeamName | undefined, timeoutMilliseconds: number, now: number): number {
		this.#startPeriod(now);
		const key = `${team ?? ''}\n${route}`;
		this.#recordIn(key, timeoutMilliseconds);
		const usual = Math.max(getUsualTimeout(this.#latest.get(key)), getUsualTimeout(this.#previous.get(key)));
		return Math.max(0, usual - timeoutMilliseconds);
	}

	#recordIn(key: string, timeoutMilliseconds: number): void {
		const period = this.#latest.get(key);
		if (period === undefined) {
			if (this.#latest.size < maximumEntries) {
				this.#latest.set(key, {largest: timeoutMilliseconds, largestCount: 1, requests: 1});
			}

			return;
		}

		period.requests++;
		if (timeoutMilliseconds > period.largest * (1 + tolerance)) {
			period.largest = timeoutMilliseconds;
			period.largestCount = 1;
		} else if (timeoutMilliseconds >= period.largest * (1 - tolerance)) {
			period.largest = Math.max(period.largest, timeoutMilliseconds);
			period.largestCount++;
		}
	}

	#startPeriod(now: number): void {
		if (now - this.#periodStartedAt < periodMilliseconds) {
			return;
		}

		this.#previous = now - this.#periodStartedAt < 2 * periodMilliseconds ? this.#latest : new Map<string, StatedPeriod>();
		this.#latest = new Map();
		this.#periodStartedAt = now;
	}
}

/** The timeout of first attempts; 0 if it can't be told. */
function getUsualTimeout(period: StatedPeriod | undefined): number {
	return period !== undefined && period.largestCount >= period.requests * minimumShareOfLargest ? period.largest : 0;
}
