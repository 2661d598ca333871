/**
Tracks whether a quorum has confirmed recently enough that the node's
configuration, including its keys, is the newest one.

The age of a confirmation is measured from the time before its query was sent, on
two clocks: the monotonic clock, and one that continues while the VM is suspended.
The larger age decides.
*/

/** The two clocks; both return milliseconds. */
export type FreshnessClocks = {
	readonly monotonicNow: () => number;
	/** Includes the time for which the VM was suspended. */
	readonly suspensionAwareNow: () => number;
};

/** Milliseconds on both clocks: a point in time or an age. */
export type ClockReadings = {
	readonly monotonic: number;
	readonly suspensionAware: number;
};

/** Tracks the age of the last confirmation of the configuration. */
export class KeyFreshness {
	readonly #clocks: FreshnessClocks;
	readonly #boundMilliseconds: number;
	#confirmed: ClockReadings | undefined;

	/** @param boundMilliseconds - Age of the last confirmation from which the keys are no longer fresh. */
	constructor(clocks: FreshnessClocks, boundMilliseconds: number) {
		this.#clocks = clocks;
		this.#boundMilliseconds = boundMilliseconds;
	}

	/** Reads both clocks. To be called before a query is sent, for `confirm`. */
	now(): ClockReadings {
		return {monotonic: this.#clocks.monotonicNow(), suspensionAware: this.#clocks.suspensionAwareNow()};
	}

	/** Records that a quorum confirmed the configuration in reply to a query that was sent after `queriedAt`. */
	confirm(queriedAt: ClockReadings): void {
		if (this.#confirmed === undefined || queriedAt.monotonic > this.#confirmed.monotonic) {
			this.#confirmed = queriedAt;
		}
	}

	/** True once any confirmation was recorded, regardless of its age. */
	get isConfirmed(): boolean {
		return this.#confirmed !== undefined;
	}

	/** Milliseconds since the last confirmation on both clocks; undefined without a confirmation. */
	age(): ClockReadings | undefined {
		if (this.#confirmed === undefined) {
			return undefined;
		}

		const {monotonic, suspensionAware} = this.now();
		return {monotonic: monotonic - this.#confirmed.monotonic, suspensionAware: suspensionAware - this.#confirmed.suspensionAware};
	}

	/** True while the last confirmation is younger than the bound on both clocks. */
	isFresh(): boolean {
		const age = this.age();
		return age !== undefined && Math.max(age.monotonic, age.suspensionAware) < this.#boundMilliseconds;
	}
}
