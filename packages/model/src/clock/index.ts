/**
The clock and timer interfaces.

Shells take a `Clock`; decision packages take the time as an argument. Tests
use `ManualClock`, which moves only when told to.
*/

/** A timer that can be stopped. */
export type Timer = {
	/** Stops the timer; a timer that has fired or was stopped is left alone. */
	cancel(): void;
};

/** Source of time and timers. */
export type Clock = {
	/** Milliseconds on a monotonic clock, with an arbitrary start. */
	now(): number;
	/** Milliseconds since 1970 by the wall clock, which may jump; for display alone. */
	wallNow(): number;
	/** Runs `action` once, `delay` milliseconds from now. */
	startTimer(delay: number, action: () => void): Timer;
};

/** The clock of the machine. */
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

/** Milliseconds from which a timer need not be exact. */
const longDelayMilliseconds = 200;
/** Steps of the delays of long timers, in milliseconds. */
const longDelayStepMilliseconds = 20;

/** Long timers share few lengths, since Node.js keeps a list for each length that is in use. */
function roundDelay(delay: number): number {
	return delay < longDelayMilliseconds ? delay : Math.ceil(delay / longDelayStepMilliseconds) * longDelayStepMilliseconds;
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

/** A clock that moves only by `advance`; timers fire in the order in which they are due. */
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

	/** Moves the clock on by `milliseconds` and runs every timer that falls due. */
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
