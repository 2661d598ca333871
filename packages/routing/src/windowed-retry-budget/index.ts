/**
The part of one node in a retry budget that applies to a whole fleet in any window
of 10 s.

A repeat is a retry, or a call of a run that was itself a repeat. The nodes don't
tell each other what they sent, so each keeps its own repeats within the budget's
share of its own requests. As the nodes' limits must add up, all nodes weigh the
requests of a window, of the window before it and of the window half a window before
it in the same way: the sum of the nodes' own maxima could exceed the fleet's
maximum. A retry is taken only if every window that contains it stays within the
limit, including windows that end in the future.

The budget is spent evenly where retries are in demand for more than it allows, and
the retries that are worth most are preferred.
*/

import {lowestPriority, millisecondsInSecond} from '@fireflyglade/model';
import type {RetryBudget, RetryDemand} from '../types.js';

const binMilliseconds = 250;
const windowMilliseconds = 10_000;
const windowBins = windowMilliseconds / binMilliseconds;
/** Bins of a window, of the window before it, and of the current and the oldest bin, which a window covers in part. */
const historyBins = (2 * windowBins) + 2;
/** Weights of the requests of a window, of the window before it and of the window half a window before it; their sum is 1. */
const currentWindowWeight = 0.25;
const previousWindowWeight = 0.5;
const halfWindowWeight = 0.25;
/** Fraction of the limit that may be spent on retries other than those of refused calls, as these run a whole tree of calls again, each of which counts as a repeat. */
const maximumRepeatedRunFraction = 0.28;
/** Fraction of the limit that may be spent at any rate. */
const burstFraction = 0.15;
/** Fraction of the limit that is spent per second after the burst. */
const evenFractionPerSecond = 0.09;
/** Half-life of the demand for retries. */
const demandHalfLifeMilliseconds = 500;
/** Demand below which a rank is deleted. */
const negligibleDemand = 0.01;
/** Number of earlier calls from which chains rank alike. */
const maximumProgress = 7;
const ranksPerKind = (lowestPriority + 1) * (maximumProgress + 1);

/** Options of `WindowedRetryBudget`. */
export type WindowedRetryBudgetOptions = {
	/** Repeats as a fraction of the requests. */
	readonly share: number;
	/** Returns the number of repeats in a window that this node may add to the share. */
	readonly getFixed: () => number;
};

const defaultDemand: RetryDemand = {kind: 'repeated-run', depth: 0, priority: 0};

/** The demand for retries of one rank. */
type RankDemand = {
	/** Exponentially decaying count of wanted retries, as of `updatedAt`. */
	count: number;
	updatedAt: number;
	/** Retries that the rank may take at once; a whole one is needed. */
	credit: number;
};

/** Keeps the repeats of one node at one service within its part of the fleet's retry budget. */
export class WindowedRetryBudget implements RetryBudget {
	readonly #share: number;
	readonly #getFixed: () => number;
	readonly #requests = new Float64Array(historyBins);
	readonly #repeats = new Float64Array(historyBins);
	readonly #repeatedRuns = new Float64Array(historyBins);
	/** Requests in all bins that are newer than a given age, by age. */
	readonly #requestsSince = new Float64Array(historyBins + 1);
	readonly #demands = new Map<number, RankDemand>();
	#currentBin = Number.NEGATIVE_INFINITY;

	constructor({share, getFixed}: WindowedRetryBudgetOptions) {
		this.#share = share;
		this.#getFixed = getFixed;
	}

	recordAttempt(now: number, repeatProbability = 0): void {
		const index = this.#advance(now);
		this.#requests[index]! += 1 - repeatProbability;
		this.#repeats[index]! += repeatProbability;
	}

	withdrawAttempt(recordedAt: number, repeatProbability = 0): void {
		const bin = Math.floor(recordedAt / binMilliseconds);
		if (this.#currentBin - bin >= historyBins) {
			return;
		}

		const index = toIndex(bin);
		this.#requests[index]! -= 1 - repeatProbability;
		this.#repeats[index]! -= repeatProbability;
	}

	takeRetry(now: number, demand: RetryDemand = defaultDemand): boolean {
		const index = this.#advance(now);
		this.#refreshRequestsSince();
		const credited = this.#creditRank(demand, now);
		const limit = this.#limitOfFutureWindow(0);
		const isBurst = this.#sum(this.#repeats, windowBins) + 1 <= limit * burstFraction;
		if ((!isBurst && credited.credit < 1) || !this.#isWithinLimits(demand)) {
			return false;
		}

		credited.credit = Math.max(0, credited.credit - 1);
		this.#repeats[index]! += 1;
		this.#repeatedRuns[index]! += demand.kind === 'repeated-run' ? 1 : 0;
		return true;
	}

	#refreshRequestsSince(): void {
		for (let age = 0; age < historyBins; age++) {
			this.#requestsSince[age + 1] = this.#requestsSince[age]! + this.#requests[toIndex(this.#currentBin - age)]!;
		}
	}

	/** Counts the demand of a rank, and credits it with what the more important ranks leave of the even spending. */
	#creditRank(demand: RetryDemand, now: number): RankDemand {
		const ownRank = getRank(demand);
		const own = this.#demands.get(ownRank) ?? {count: 0, updatedAt: now, credit: 0};
		this.#demands.set(ownRank, own);
		own.count = countAt(own, now) + 1;
		own.updatedAt = now;
		let preferred = 0;
		for (const [rank, other] of this.#demands) {
			const count = countAt(other, now);
			if (rank < ownRank) {
				preferred += count;
			} else if (count < negligibleDemand) {
				this.#demands.delete(rank);
			}
		}

		const evenCount = this.#limitOfFutureWindow(0) * evenFractionPerSecond * demandHalfLifeMilliseconds / (Math.LN2 * millisecondsInSecond);
		own.credit = Math.min(1, own.credit + (Math.max(0, evenCount - preferred) / own.count));
		return own;
	}

	/** True if one more repeat keeps every window that contains the current time within its limit, whichever requests are still to come. */
	#isWithinLimits({kind}: RetryDemand): boolean {
		let repeats = 1;
		let repeatedRuns = kind === 'repeated-run' ? 1 : 0;
		for (let age = 0; age <= windowBins; age++) {
			const index = toIndex(this.#currentBin - age);
			repeats += this.#repeats[index]!;
			repeatedRuns += this.#repeatedRuns[index]!;
			const limit = this.#limitOfFutureWindow(windowBins - age);
			if (repeats > limit || (kind === 'repeated-run' && repeatedRuns > limit * maximumRepeatedRunFraction)) {
				return false;
			}
		}

		return true;
	}

	/** The limit of the window that ends a number of bins in the future, by the bins that lie completely in the windows whose requests count. */
	#limitOfFutureWindow(ahead: number): number {
		const since = this.#requestsSince;
		const current = since[windowBins - ahead]!;
		const previous = since[(2 * windowBins) - ahead]! - since[windowBins + 1 - ahead]!;
		const half = since[Math.max(0, (1.5 * windowBins) - ahead)]! - since[Math.max(0, (windowBins / 2) + 1 - ahead)]!;
		const requests = (current * currentWindowWeight) + (previous * previousWindowWeight) + (half * halfWindowWeight);
		return (requests * this.#share) + this.#getFixed();
	}

	#sum(bins: Float64Array, count: number): number {
		let sum = 0;
		for (let age = 0; age < count; age++) {
			sum += bins[toIndex(this.#currentBin - age)]!;
		}

		return sum;
	}

	/** Clears the bins that began since the last call. Returns the index of the current bin. */
	#advance(now: number): number {
		const bin = Math.max(this.#currentBin, Math.floor(now / binMilliseconds));
		for (let cleared = Math.max(this.#currentBin + 1, bin - historyBins + 1); cleared <= bin; cleared++) {
			const index = toIndex(cleared);
			this.#requests[index] = 0;
			this.#repeats[index] = 0;
			this.#repeatedRuns[index] = 0;
		}

		this.#currentBin = bin;
		return toIndex(bin);
	}
}

function toIndex(bin: number): number {
	return ((bin % historyBins) + historyBins) % historyBins;
}

function countAt({count, updatedAt}: RankDemand, now: number): number {
	return count * (0.5 ** (Math.max(0, now - updatedAt) / demandHalfLifeMilliseconds));
}

/**
Orders demands by what a retry is worth: refused calls of requests that need one call
alone, then those of chains, then repeated runs. Chains whose run has made more calls
come first, as less can still fail after the retry; then the more important ones.
*/
function getRank({kind, depth, priority, progress = 0}: RetryDemand): number {
	const rank = ((maximumProgress - Math.min(maximumProgress, progress)) * (lowestPriority + 1)) + priority;
	if (kind === 'repeated-run') {
		return (2 * ranksPerKind) + rank;
	}

	return depth === 0 ? rank : ranksPerKind + rank;
}
