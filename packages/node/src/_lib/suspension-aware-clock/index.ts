/**
A clock that continues while the VM is suspended.

During a suspension the monotonic clock stops, but the wall clock does not. So each
forward jump of the wall clock relative to the monotonic clock counts as a
suspension. A wall clock that was set forward can't be distinguished and counts
too: ages measured with this clock are then too large, which is the safe error.
*/

import type {Clock} from '@fireflyglade/model';

/** Largest change of the offset between the clocks that is attributed to rounding and gradual adjustment of the wall clock. */
const maximumDriftMilliseconds = 20;

/** Monotonic milliseconds that include the time for which the VM may have been suspended. */
export class SuspensionAwareClock {
	readonly #clock: Pick<Clock, 'now' | 'wallNow'>;
	#offset: number;
	#suspendedMilliseconds = 0;

	constructor(clock: Pick<Clock, 'now' | 'wallNow'>) {
		this.#clock = clock;
		this.#offset = clock.wallNow() - clock.now();
	}

	/** Returns the current time. Must be called often, as a backward step of the wall clock between two calls hides a suspension. */
	now(): number {
		const monotonic = this.#clock.now();
		const offset = this.#clock.wallNow() - monotonic;
		const jump = offset - this.#offset;
		if (Math.abs(jump) > maximumDriftMilliseconds) {
			this.#suspendedMilliseconds += Math.max(0, jump);
			this.#offset = offset;
		}

		return monotonic + this.#suspendedMilliseconds;
	}
}
