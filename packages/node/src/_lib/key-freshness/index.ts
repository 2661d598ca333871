/**
Tells whether a quorum has confirmed lately enough that the node's configuration,
and with it the keys, is the newest one.

The age of a confirmation counts from the moment before the question was sent, on
two clocks: the monotonic one, and one that goes on while the VM is suspended.
The larger age counts.
*/

/** The two clocks, in milliseconds. */
export type FreshnessClocks = {
	readonly monotonicNow: () => number;
	/** Counts the time for which the VM was suspended. */
	readonly suspensionAwareNow: () => number;
};

/** A moment on both clocks. */
export type ClockReadings = {
	readonly monotonic: number;
	readonly suspensionAware: number;
};

/** The age of the last confirmation of the configuration. */
export class KeyFreshness {
	readonly #clocks: FreshnessClocks;
	readonly #boundMilliseconds: number;
	#confirmed: ClockReadings | undefined;

	/** Keys are fresh up to `boundMilliseconds` after the last confirmation. */
	constructor(clocks: FreshnessClocks, boundMilliseconds: number) {
		this.#clocks = clocks;
		this.#boundMilliseconds = boundMilliseconds;
	}

	/** The present moment, to be taken before a question is sent. */
	now(): ClockReadings {
		return {monotonic: this.#clocks.monotonicNow(), suspensionAware: this.#clocks.suspensionAwareNow()};
	}

	/** A quorum confirmed the configuration after `asked`. */
	confirm(asked: ClockReadings): void {
		if (this.#confirmed === undefined || asked.monotonic > this.#confirmed.monotonic) {
			this.#confirmed = asked;
		}
	}

	/** True once there was a confirmation, however old. */
	get isConfirmed(): boolean {
		return this.#confirmed !== undefined;
	}

	/** Milliseconds since the last confirmation on both clocks; undefined without one. */
	age(): ClockReadings | undefined {
		if (this.#confirmed === undefined) {
			return undefined;
		}

		const {monotonic, suspensionAware} = this.now();
		return {monotonic: monotonic - this.#confirmed.monotonic, suspensionAware: suspensionAware - this.#confirmed.suspensionAware};
	}

	/** True while the last confirmation is recent enough. */
	isFresh(): boolean {
		const age = this.age();
		return age !== undefined && Math.max(age.monotonic, age.suspensionAware) < this.#boundMilliseconds;
	}
}
