/**
Bounds how much of an answer is read that is not passed on. Reading such an
answer to its end allows its connection to be reused, but a faulty upstream may
send without end, so both the bytes and the time are limited.
*/

import {bytesInKibibyte, type Clock, type Timer} from '@fireflyglade/model';

/** Bytes of a discarded body that are read so that its connection can be reused. */
export const maximumDiscardedBytes = 64 * bytesInKibibyte;
const maximumDiscardMilliseconds = 250;

/** Limits for reading the rest of one discarded answer. */
export class DiscardedAnswer {
	readonly #abort: () => void;
	readonly #timer: Timer;
	#bytes = 0;
	#isEnded = false;

	/** @param abort - Aborts the answer once a limit is exceeded; called at most once. */
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

	/** Stops the limits, as the answer has ended or is no longer read. */
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
