/**
Whether one target's gate can be reached: after evidence that it can't, the target is avoided
for a short time and then gets single requests as probes until it responds.
*/

/** First duration of an avoidance; it doubles with each probe that the gate doesn't respond to. */
const initialAvoidanceMilliseconds = 1000;
const maximumAvoidanceMilliseconds = 3000;

/** The evidence of whether one target's gate can be reached. */
export class Reachability {
	#avoidedUntil = Number.NEGATIVE_INFINITY;
	/** Duration of the latest avoidance; 0 if the gate has responded since. */
	#avoidanceMilliseconds = 0;

	/** True while the target should get no requests if there are others. */
	isAvoided(now: number): boolean {
		return now < this.#avoidedUntil;
	}

	/** True if the avoidance has passed and the gate has not responded since. */
	isProbeDue(now: number): boolean {
		return this.#avoidanceMilliseconds > 0 && now >= this.#avoidedUntil;
	}

	/** Starts an avoidance. During one, it has no effect: requests that were sent together fail together. */
	recordUnreachable(now: number): void {
		if (!this.isAvoided(now)) {
			this.#avoid(now);
		}
	}

	/** Records that a probe was sent. The target is avoided meanwhile, for longer than before. */
	recordProbe(now: number): void {
		this.#avoid(now);
	}

	/** Records that the gate responded. */
	recordResponse(): void {
		this.#avoidanceMilliseconds = 0;
		this.#avoidedUntil = Number.NEGATIVE_INFINITY;
	}

	#avoid(now: number): void {
		this.#avoidanceMilliseconds = Math.min(maximumAvoidanceMilliseconds, Math.max(initialAvoidanceMilliseconds, this.#avoidanceMilliseconds * 2));
		this.#avoidedUntil = now + this.#avoidanceMilliseconds;
	}
}
