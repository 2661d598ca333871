/**
Delays after which refused callers may retry.
*/

import type {RandomSource} from '@fireflyglade/model';

const minimumDelayMilliseconds = 50;
/** Fraction of the time left to a caller up to which it waits for a retry; a longer delay makes it give up. */
const maximumTimeLeftFraction = 1 / 3;
/** Smallest fraction of the expected time that is stated. */
const minimumSpread = 0.5;

/**
Returns the milliseconds that a refusal states: the time until room is expected, within
what the caller waits for, spread at random so that callers that were refused together
don't come back together.

@param expectedMilliseconds - Time until there is room; infinite if it is unknown.
@param timeLeftMilliseconds - Time that the caller has left.
*/
export function spreadRetryDelay(expectedMilliseconds: number, timeLeftMilliseconds: number, random: RandomSource): number {
	const expected = limitRetryDelay(expectedMilliseconds, timeLeftMilliseconds);
	return limitRetryDelay(expected * (minimumSpread + ((1 - minimumSpread) * random.nextFraction())), timeLeftMilliseconds);
}

/** Returns the milliseconds nearest to a delay that a refusal may state: at least 50 ms, but never longer than the caller waits for. */
export function limitRetryDelay(milliseconds: number, timeLeftMilliseconds: number): number {
	const maximum = Math.max(1, timeLeftMilliseconds * maximumTimeLeftFraction);
	return Math.min(maximum, Math.max(minimumDelayMilliseconds, milliseconds));
}
