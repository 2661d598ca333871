/**
The pause before a retry: exponential, with full jitter.
*/

import type {RandomSource} from '@fireflyglade/model';

const firstDelayMilliseconds = 10;
const maximumDelayMilliseconds = 200;

/** Milliseconds to wait before the retry that follows attempt number `attempts`. */
export function retryDelay(attempts: number, random: RandomSource): number {
	const ceiling = Math.min(maximumDelayMilliseconds, firstDelayMilliseconds * (2 ** (attempts - 1)));
	return random.nextFraction() * ceiling;
}
