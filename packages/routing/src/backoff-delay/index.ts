/**
The delay before a retry: exponential backoff with full jitter.
*/

import type {RandomSource} from '@fireflyglade/model';

/** Options of `backoffDelay`. */
export type BackoffOptions = {
	/** Upper bound of the first delay in milliseconds, excluding `retryAfterMilliseconds`. */
	readonly baseMilliseconds?: number;
	/** Upper bound of every delay in milliseconds, excluding `retryAfterMilliseconds`. */
	readonly maximumMilliseconds?: number;
	/** Minimum delay that the refusing gate asked for, in milliseconds; it is added to the backoff. */
	readonly retryAfterMilliseconds?: number;
};

const defaultBaseMilliseconds = 10;
const defaultMaximumMilliseconds = 1000;

/**
Returns the milliseconds to wait before a retry.

@param attempt - Number of the attempt that failed, starting at 1.

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
