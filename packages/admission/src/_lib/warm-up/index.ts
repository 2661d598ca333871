/**
The slow start of an upstream that has just started.

The cap begins at a small part of the slots and doubles step by step. A step is
held back while the latency is well above the best seen since the start.
*/

const firstPart = 0.1;
const growthFactor = 2;
const stepMilliseconds = 500;
const toleratedRise = 0.5;
/** Time after which the warm-up ends whatever the latency. */
const longestMilliseconds = 10_000;

/** The slow start of one upstream. */
export class WarmUp {
	readonly #startedAt: number;
	#part: number;
	#steppedAt: number;
	#bestLatency = Number.POSITIVE_INFINITY;

	constructor(startedAt: number, isCold: boolean) {
		this.#startedAt = startedAt;
		this.#steppedAt = startedAt;
		this.#part = isCold ? firstPart : 1;
	}

	isActive(slots: number, now: number): boolean {
		return this.cap(slots, now) < slots;
	}

	/** Requests that may run at once as far as the warm-up goes. */
	cap(slots: number, now: number): number {
		if (this.#part >= 1 || now - this.#startedAt >= longestMilliseconds) {
			return slots;
		}

		return Math.max(1, slots * this.#part);
	}

	/** Takes over the mean latency of a window, in milliseconds. */
	observe(latency: number | undefined, now: number): void {
		if (latency === undefined || this.#part >= 1 || now - this.#steppedAt < stepMilliseconds) {
			return;
		}

		this.#bestLatency = Math.min(this.#bestLatency, latency);
		if (latency > this.#bestLatency * (1 + toleratedRise)) {
			return;
		}

		this.#part *= growthFactor;
		this.#steppedAt = now;
	}
}
