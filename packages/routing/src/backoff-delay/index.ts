/**
The delay before a retry: exponential with full jitter.
*/

import type {RandomSource} from '@fireflyglade/model';

/** Options of `backoffDelay`. */
export type BackoffOptions = {
	/** Upper end of the first delay in milliseconds. */
	readonly baseMilliseconds?: number;
	/** Upper end of any delay in milliseconds, `retryAfterMilliseconds` left out. */
	readonly maximumMilliseconds?: number;
	/** What the refusing side asked for; the delay is never shorter. */
	readonly retryAfterMilliseconds?: number;
};

const defaultBaseMilliseconds = 10;
const defaultMaximumMilliseconds = 1000;

/**
Returns the milliseconds to wait before a retry.

@param attempt - Number of the attempt that failed, from 1.

@example
```ts
backoffDelay(1, random, {baseMilliseconds: 20}); // from 0 up to 20
```
*/
export function backoffDelay(attempt: number, random: RandomSource, options: BackoffOptions = {}): number {
	const base = options.baseMilliseconds ?? defaultBaseMilliseconds;
	const maximum = options.maximumMilliseconds ?? defaultMaximumMilliseconds;
	const ceiling = Math.min(maximum, base * (2 ** (Math.max(1, attempt) - 1)));
	return (options.retryAfterMilliseconds ?? 0) + (random.nextFraction() * ceiling);
}
