/**
Constants of distributed rate limiting.
*/

import {maximumClockDrift, millisecondsInSecond} from '@fireflyglade/model';

/** Tokens are counted in whole microtokens, so that sums are exact. */
export const microtokensInToken = 1_000_000;
/** Nominal duration of a loan of tokens, counted from the borrower's request by the borrower's clock. */
export const loanDurationMilliseconds = 1000;
/** Milliseconds after which a borrower returns the unused tokens of a loan. */
export const unusedLoanReturnMilliseconds = 600;
/** Milliseconds without a response after which the borrower asks the next lease holder. */
export const loanRequestTimeoutMilliseconds = 150;
/** Maximum time that a charge waits for tokens. */
export const chargeTimeoutMilliseconds = 600;
/** Maximum time that a charge waits while the node's own failure domain has no known lease holder, or has one that has just started. */
export const chargeTimeoutWithoutHolderMilliseconds = 3000;
/** Time for which charges wait for a new lease holder to refill its buckets, which start empty. */
export const holderStartupMilliseconds = 500;
/** Milliseconds without a known lease holder after which charges no longer wait for one. */
export const missingHolderTimeoutMilliseconds = 6000;
/** Time for which no lease holder is asked after the first round in which charges were refused. */
export const initialBackoffMilliseconds = 20;
/** Upper bound of the backoff, which doubles with each consecutive round in which charges were refused. */
export const maximumBackoffMilliseconds = 160;
/** The backoff is also at most this share of the time in which the rate refills a whole burst, but never less than the initial backoff. */
export const backoffShareOfFillTime = 1 / 8;
/** Interval at which spent tokens are reported, unless a loan request already carried the reports. */
export const reportIntervalMilliseconds = 300;
/** A node reports early once a team's unreported tokens exceed one token and this share of the part of the team's burst that belongs to the node's domain. */
export const unreportedShareOfBurst = 1 / 8;
/** Milliseconds after which a bucket level that a lease holder reported is no longer used. */
export const levelLifetimeMilliseconds = 250;
/** Time whose expected demand a busy node borrows ahead. */
export const prefetchHorizonMilliseconds = 200;
/** Minimum interval between two requests to borrow ahead. */
export const prefetchIntervalMilliseconds = 10;
/** Minimum interval between two scans for expired loans. */
export const expiryIntervalMilliseconds = 10;
/** Minimum number of tokens that a node borrows ahead. */
export const minimumPrefetchTokens = 2;
/** Minimum demand at which a node borrows ahead: at a lower one the tokens would be returned before they are spent. */
export const minimumPrefetchDemandPerSecond = minimumPrefetchTokens * millisecondsInSecond / unusedLoanReturnMilliseconds;
/** Maximum share of a team's burst that one node borrows ahead. */
export const prefetchShareOfBurst = 1 / 16;
/** Share of a bucket's burst that is reserved for waiting charges and not lent ahead. */
export const reserveShareOfBurst = 1 / 3;
/** Time constant of the demand average, long enough that a single request does not cause borrowing ahead. */
export const demandTimeConstantMilliseconds = 1000;

/** Returns the time for which a borrower may use a loan of `milliseconds`, shortened by the maximum clock drift. */
export function borrowerLoanMilliseconds(milliseconds: number): number {
	return milliseconds * (1 - maximumClockDrift);
}

/** Returns the time for which the lender counts a loan of `milliseconds` as lent, extended by twice the maximum clock drift so that it outlasts the borrower's use. */
export function lenderLoanMilliseconds(milliseconds: number): number {
	return milliseconds * (1 + (2 * maximumClockDrift));
}

/** Number of consecutive unanswered loan requests after which the lease holder of another domain is temporarily not asked. */
export const unansweredRequestLimit = 2;
/** Milliseconds for which that lease holder is not asked. */
export const unresponsiveHolderPauseMilliseconds = 500;
