/**
Constants of team rates, each with its unit in its name.
*/

import {maximumClockDrift, millisecondsInSecond} from '@fireflyglade/model';

/** Parts in which tokens are counted, so that sums are exact. */
export const partsInToken = 1_000_000;
/** Milliseconds for which a borrower may use lent tokens, by its clock, counted from its request. */
export const loanMilliseconds = 1000;
/** Milliseconds after which a borrower gives unused tokens back. */
export const idleLoanMilliseconds = 600;
/** Milliseconds without an answer after which the next holder is asked. */
export const askTimeoutMilliseconds = 150;
/** Milliseconds that a charge waits at most. */
export const chargeTimeoutMilliseconds = 600;
/** Milliseconds that a charge waits at most while the own failure domain has no known holder. */
export const missingHolderWaitMilliseconds = 3000;
/** Milliseconds for which requests wait for tokens at a holder that starts empty. */
export const holderStartMilliseconds = 500;
/** Milliseconds without a known holder after which charges no longer wait for one. */
export const missingHolderPatienceMilliseconds = 6000;
/** Milliseconds after a first round of refusals in which no holder is asked. */
export const dryMilliseconds = 20;
/** The longest such time after many rounds. */
export const longestDryMilliseconds = 160;
/** Part of the time in which a burst fills that a node waits at most. */
export const dryShareOfFilling = 1 / 8;
/** Milliseconds after which spent tokens are reported, if no request for more carried the report. */
export const reportMilliseconds = 300;
/** Part of a domain's burst that one node leaves unreported at most. */
export const unreportedShare = 1 / 8;
/** Milliseconds for which a holder's word on its level is believed. */
export const estimateMilliseconds = 250;
/** Milliseconds of demand that a busy node borrows ahead. */
export const prefetchMilliseconds = 200;
/** Milliseconds between two requests to borrow ahead. */
export const prefetchPauseMilliseconds = 10;
/** Milliseconds between two searches for expired loans. */
export const expiryIntervalMilliseconds = 10;
/** The least that a node borrows ahead, in tokens. */
export const leastPrefetchTokens = 2;
/** Requests a second from which a node borrows ahead: fewer would not use the tokens before they are given back. */
export const prefetchDemandPerSecond = leastPrefetchTokens * millisecondsInSecond / idleLoanMilliseconds;
/** Part of a team's burst that one node borrows ahead at most. */
export const prefetchShareOfBurst = 1 / 16;
/** Part of a bucket that is kept for requests that wait. */
export const reserveShare = 1 / 3;
/** Milliseconds over which demand is averaged, so long that one request is no demand to borrow ahead for. */
export const demandWindowMilliseconds = 1000;

/** The longest that a borrower may use a loan of `milliseconds`, by its own clock. */
export function usableMilliseconds(milliseconds: number): number {
	return milliseconds * (1 - maximumClockDrift);
}

/** The time for which the lender counts a loan of `milliseconds` as gone. */
export function heldMilliseconds(milliseconds: number): number {
	return milliseconds * (1 + (2 * maximumClockDrift));
}

/** Unanswered requests in a row after which a domain's holder isn't asked for a while. */
export const silentAsks = 2;
/** Milliseconds for which a domain whose holder gave no answer isn't asked. */
export const silenceMilliseconds = 500;
