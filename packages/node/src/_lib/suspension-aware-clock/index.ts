/**
A clock that goes on while the VM is suspended.

The monotonic clock stands still then, and the time of day doesn't. So each jump
ahead of the time of day against the monotonic clock counts as a suspension. A
time of day that was set ahead looks the same and counts too: it makes what is
measured by this clock look older than it is, which is the safe side.
*/

import type {Clock} from '@fireflyglade/model';

/** Difference between two looks that comes from rounding and from the slow adjustment of the time of day. */
const toleratedMilliseconds = 20;

/** Monotonic milliseconds, with the time for which the VM may have been suspended. */
export class SuspensionAwareClock {
	readonly #clock: Pick<Clock, 'now' | 'wallNow'>;
	#offset: number;
	#suspendedMilliseconds = 0;

	constructor(clock: Pick<Clock, 'now' | 'wallNow'>) {
		this.#clock = clock;
		this.#offset = clock.wallNow() - clock.now();
	}

	/** To be called often, so that a step back doesn't hide a suspension. */
	now(): number {
		const monotonic = this.#clock.now();
		const offset = this.#clock.wallNow() - monotonic;
		const jump = offset - this.#offset;
		if (Math.abs(jump) > toleratedMilliseconds) {
			this.#suspendedMilliseconds += Math.max(0, jump);
			this.#offset = offset;
		}

		return monotonic + this.#suspendedMilliseconds;
	}
}
