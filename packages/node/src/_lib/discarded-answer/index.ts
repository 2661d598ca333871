/**
The rest of an answer that is not passed on. It is read to its end, so that its
connection can be used again, but only so far and for so long: an upstream in
trouble may go on without end.
*/

import {bytesInKibibyte, type Clock, type Timer} from '@fireflyglade/model';

/** Bytes of a body that are read for the sake of its connection. */
export const maximumDiscardedBytes = 64 * bytesInKibibyte;
const maximumPassedMilliseconds = 250;

/** Reads the rest of an answer within bounds. */
export class DiscardedAnswer {
	readonly #giveUp: () => void;
	readonly #timer: Timer;
	#bytes = 0;
	#isEnded = false;

	/** @param giveUp - Breaks the answer off; called at most once. */
	constructor(clock: Clock, giveUp: () => void) {
		this.#giveUp = giveUp;
		this.#timer = clock.startTimer(maximumPassedMilliseconds, () => {
			this.#breakOff();
		});
	}

	/** Some of the body has come. */
	addBytes(bytes: number): void {
		this.#bytes += bytes;
		if (this.#bytes > maximumDiscardedBytes) {
			this.#breakOff();
		}
	}

	/** The answer has ended, or is no longer read. */
	end(): void {
		this.#isEnded = true;
		this.#timer.cancel();
	}

	#breakOff(): void {
		if (!this.#isEnded) {
			this.end();
			this.#giveUp();
		}
	}
}
