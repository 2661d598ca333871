/**
Slow start for an upstream that has just started.

The concurrency cap begins at a small fraction of the slots and doubles in
steps. A step is delayed while the latency is well above the lowest latency
since the start.
*/

const initialSlotRatio = 0.1;
const growthFactor = 2;
const stepMilliseconds = 500;
/** Relative rise of latency over the lowest one up to which the cap still grows. */
const toleratedLatencyRise = 0.5;
/** Time after which the warm-up ends at any latency. */
const maximumWarmUpMilliseconds = 10_000;

/** The concurrency cap of one upstream during its slow start. */
export class WarmUp {
	readonly #startedAt: number;
	#slotRatio: number;
	#steppedAt: number;
	#lowestLatency = Number.POSITIVE_INFINITY;

	constructor(startedAt: number, isCold: boolean) {
		this.#startedAt = startedAt;
		this.#steppedAt = startedAt;
		this.#slotRatio = isCold ? initialSlotRatio : 1;
	}

	isActive(slots: number, now: number): boolean {
		return this.cap(slots, now) < slots;
	}

	/** Number of requests that may run concurrently according to the warm-up. */
	cap(slots: number, now: number): number {
		if (this.#slotRatio >= 1 || now - this.#startedAt >= maximumWarmUpMilliseconds) {
			return slots;
		}

		return Math.max(1, slots * this.#slotRatio);
	}

	/** Takes a step if the mean latency of a window, in milliseconds, allows it. */
	observe(latency: number | undefined, now: number): void {
		if (latency === undefined || this.#slotRatio >= 1 || now - this.#steppedAt < stepMilliseconds) {
			return;
		}

		this.#lowestLatency = Math.min(this.#lowestLatency, latency);
		if (latency > this.#lowestLatency * (1 + toleratedLatencyRise)) {
			return;
		}

		this.#slotRatio *= growthFactor;
		this.#steppedAt = now;
	}
}
