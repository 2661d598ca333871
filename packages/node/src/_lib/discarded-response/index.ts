/**
Limits how much is read of a response that is not passed on. Reading it to its end
allows its connection to be reused, but a faulty upstream may send without end, so
both the bytes and the time are limited.
*/

import {bytesInKibibyte, type Clock, type Timer} from '@fireflyglade/model';

/** Bytes of a discarded body that are read so that its connection can be reused. */
export const maximumDiscardedBytes = 64 * bytesInKibibyte;
const maximumDiscardMilliseconds = 250;

/** Limits for reading the rest of one discarded response. */
export class DiscardedResponse {
	readonly #abort: () => void;
	readonly #timer: Timer;
	#bytes = 0;
	#isEnded = false;

	/** @param abort - Aborts the response once a limit is exceeded; called at most once. */
	constructor(clock: Clock, abort: () => void) {
		this.#abort = abort;
		this.#timer = clock.startTimer(maximumDiscardMilliseconds, () => {
			this.#abortOnce();
		});
	}

	/** Counts received bytes of the body. */
	addBytes(bytes: number): void {
		this.#bytes += bytes;
		if (this.#bytes > maximumDiscardedBytes) {
			this.#abortOnce();
		}
	}

	/** Stops enforcing the limits, as the response has ended or is no longer read. */
	end(): void {
		this.#isEnded = true;
		this.#timer.cancel();
	}

	#abortOnce(): void {
		if (!this.#isEnded) {
			this.end();
			this.#abort();
		}
	}
}
