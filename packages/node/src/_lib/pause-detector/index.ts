/**
Detects that the machine or the process was suspended while requests were running.

A timer that fires much too late shows a suspension of the process, and a jump of
the wall clock against the monotonic clock one of the machine.
*/

import type {Clock, Timer} from '@fireflyglade/model';
import {SuspensionAwareClock} from '../suspension-aware-clock/index.js';

const checkIntervalMilliseconds = 250;
/** Delay of a check that counts as a pause; shorter delays are usual on a busy machine. */
const minimumPauseMilliseconds = 1000;

/** Options of a pause detector. */
export type PauseDetectorOptions = {
	readonly clock: Clock;
	/** False as soon as pauses no longer matter; the detector then stops. */
	readonly isNeeded: () => boolean;
	/** Called after each pause with its approximate duration. */
	readonly onPause: (milliseconds: number) => void;
};

/** Calls back after each pause, while it is needed. */
export class PauseDetector {
	readonly #options: PauseDetectorOptions;
	readonly #clock: SuspensionAwareClock;
	#timer: Timer | undefined;

	constructor(options: PauseDetectorOptions) {
		this.#options = options;
		this.#clock = new SuspensionAwareClock(options.clock);
	}

	/** Starts to watch, if it doesn't yet. */
	watch(): void {
		if (this.#timer !== undefined) {
			return;
		}

		const dueAt = this.#clock.now() + checkIntervalMilliseconds;
		this.#timer = this.#options.clock.startTimer(checkIntervalMilliseconds, () => {
			this.#timer = undefined;
			this.#check(this.#clock.now() - dueAt);
		});
	}

	close(): void {
		this.#timer?.cancel();
	}

	#check(delay: number): void {
		const {isNeeded, onPause} = this.#options;
		if (!isNeeded()) {
			return;
		}

		if (delay >= minimumPauseMilliseconds) {
			onPause(delay);
		}

		this.watch();
	}
}
