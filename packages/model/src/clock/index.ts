/**
Clock and timer interfaces with their implementations.

Code that performs I/O uses a `Clock`; packages that make decisions receive the
current time as an argument. Tests use `ManualClock`, which only `advance` moves.
*/

/** A timer that can be stopped. */
export type Timer = {
	/** Stops the timer. Does nothing if the timer has fired or was stopped. */
	cancel(): void;
};

/** Source of time and timers. */
export type Clock = {
	/** Monotonic time in milliseconds, from an arbitrary origin. */
	now(): number;
	/** Wall-clock time in milliseconds since 1970. It may jump, so use it only for display. */
	wallNow(): number;
	/** Runs `action` once, `delay` milliseconds from now. */
	startTimer(delay: number, action: () => void): Timer;
};

/** The system's monotonic and wall clocks. */
export class SystemClock implements Clock {
	now(): number {
		return performance.now();
	}

	wallNow(): number {
		return Date.now();
	}

	startTimer(delay: number, action: () => void): Timer {
		return new SystemTimer(setTimeout(action, roundDelay(delay)));
	}
}

/** Delay in milliseconds from which timers may fire late by up to one step. */
const longDelayMilliseconds = 200;
/** Long delays are rounded up to a multiple of this number of milliseconds. */
const longDelayStepMilliseconds = 20;

/** Longest delay that Node.js takes; it fires a timer with a longer one at once. */
const maximumDelayMilliseconds = 2_147_483_640;

/** Rounds long delays to a few distinct values, since Node.js keeps a separate timer list for each value in use. */
function roundDelay(delay: number): number {
	return delay < longDelayMilliseconds ? delay : Math.min(maximumDelayMilliseconds, Math.ceil(delay / longDelayStepMilliseconds) * longDelayStepMilliseconds);
}

class SystemTimer implements Timer {
	readonly #handle: NodeJS.Timeout;

	constructor(handle: NodeJS.Timeout) {
		this.#handle = handle;
	}

	cancel(): void {
		clearTimeout(this.#handle);
	}
}

type PendingTimer = {
	readonly dueAt: number;
	readonly action: () => void;
};

/** A clock for tests that only `advance` moves. Timers fire in the order in which they are due. */
export class ManualClock implements Clock {
	#now: number;
	readonly #pending = new Set<PendingTimer>();

	constructor(start = 0) {
		this.#now = start;
	}

	now(): number {
		return this.#now;
	}

	wallNow(): number {
		return this.#now;
	}

	startTimer(delay: number, action: () => void): Timer {
		const timer: PendingTimer = {dueAt: this.#now + Math.max(0, delay), action};
		this.#pending.add(timer);
		return {
			cancel: () => {
				this.#pending.delete(timer);
			},
		};
	}

	/** Advances the clock by `milliseconds` and runs every timer that becomes due. */
	advance(milliseconds: number): void {
		const target = this.#now + milliseconds;
		for (;;) {
			const next = this.#findNextDue(target);
			if (next === undefined) {
				break;
			}

			this.#pending.delete(next);
			this.#now = Math.max(this.#now, next.dueAt);
			next.action();
		}

		this.#now = target;
	}

	#findNextDue(target: number): PendingTimer | undefined {
		let earliest: PendingTimer | undefined;
		for (const timer of this.#pending) {
			if (timer.dueAt <= target && (earliest === undefined || timer.dueAt < earliest.dueAt)) {
				earliest = timer;
			}
		}

		return earliest;
	}
}
