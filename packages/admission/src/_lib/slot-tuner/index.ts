/**
Determines whether an upstream has a higher throughput if a few of its slots
stay free.

Some upstreams slow down when they are nearly full, so that the last slots
reduce the throughput. While these last slots are in use, the tuner measures the
mean duration of runs. Then it measures the same number of runs with a few slots
left free, and keeps the setting with the higher throughput. The measurement is
repeated after a hold time, because the behaviour of an upstream changes.
*/

/** Number of runs that are measured with each setting. */
const runsPerMeasurement = 120;
/** Fraction of the slots that is used while some are left free. */
const reducedSlotRatio = 0.95;
/** Minimum number of slots of an upstream whose limit is adjusted; of fewer, one free slot is a large part. */
const minimumTunableSlots = 8;
/** Ratio of throughputs up to which a difference counts as noise. */
const minimumThroughputGain = 1.1;
/** Time until the next measurement; doubles each time the result is the same. */
const initialHoldMilliseconds = 8000;
const maximumHoldMilliseconds = 40_000;

type Phase =
	/** All slots are usable, and runs that start while more slots are in use than the reduced number are measured. */
	| {readonly kind: 'measuring-full'}
	/** A few slots are left free, and runs that start with all other slots in use are measured. */
	| {readonly kind: 'measuring-reduced'; readonly fullMeanMilliseconds: number}
	/** The better setting is kept until the next measurement. */
	| {readonly kind: 'holding'; readonly isReduced: boolean; readonly until: number};

/** One successful run. */
export type SlotTunerRun = {
	readonly startedAt: number;
	/** Number of running requests when it started, including itself. */
	readonly inFlight: number;
	/** Factor by which work takes longer than usual at present, whatever the number of running requests. */
	readonly pace: number;
};

/** Finds the number of slots at which an upstream has the higher throughput. */
export class SlotTuner {
	#slots: number;
	#phase: Phase = {kind: 'measuring-full'};
	#durationSum = 0;
	#count = 0;
	#phaseStartedAt: number;
	#holdMilliseconds = initialHoldMilliseconds;
	#wasReduced = false;

	constructor(slots: number, now: number) {
		this.#slots = slots;
		this.#phaseStartedAt = now;
	}

	/** Number of slots that may currently be used. */
	get usableSlots(): number {
		const {kind} = this.#phase;
		const isReduced = kind === 'measuring-reduced' || (this.#phase.kind === 'holding' && this.#phase.isReduced);
		return isReduced ? this.#reducedSlots : this.#slots;
	}

	/** Sets the announced slots and measures again if they changed. */
	setSlots(slots: number, now: number): void {
		if (slots !== this.#slots) {
			this.#slots = slots;
			this.#enterPhase({kind: 'measuring-full'}, now);
		}
	}

	/** Records a successful run. */
	record({startedAt, inFlight, pace}: SlotTunerRun, now: number): void {
		if (this.#slots < minimumTunableSlots) {
			return;
		}

		const phase = this.#phase;
		if (phase.kind === 'holding') {
			if (now >= phase.until) {
				this.#enterPhase({kind: 'measuring-full'}, now);
			}

			return;
		}

		if (startedAt < this.#phaseStartedAt || !this.#isComparable(phase.kind, inFlight)) {
			return;
		}

		this.#durationSum += (now - startedAt) / pace;
		this.#count++;
		if (this.#count < runsPerMeasurement) {
			return;
		}

		const meanMilliseconds = this.#durationSum / this.#count;
		if (phase.kind === 'measuring-full') {
			this.#enterPhase({kind: 'measuring-reduced', fullMeanMilliseconds: meanMilliseconds}, now);
			return;
		}

		this.#decide(phase.fullMeanMilliseconds / meanMilliseconds, now);
	}

	get #reducedSlots(): number {
		return Math.min(this.#slots - 1, Math.floor(this.#slots * reducedSlotRatio));
	}

	/** True if the run started at a concurrency that is measured: above the reduced slots while all slots are usable, otherwise exactly at the reduced slots. */
	#isComparable(kind: 'measuring-full' | 'measuring-reduced', inFlight: number): boolean {
		return kind === 'measuring-full' ? inFlight > this.#reducedSlots : inFlight === this.#reducedSlots;
	}

	#decide(speedup: number, now: number): void {
		const isReduced = speedup * this.#reducedSlots / this.#slots > minimumThroughputGain;
		this.#holdMilliseconds = isReduced === this.#wasReduced ? Math.min(maximumHoldMilliseconds, this.#holdMilliseconds * 2) : initialHoldMilliseconds;
		this.#wasReduced = isReduced;
		this.#enterPhase({kind: 'holding', isReduced, until: now + this.#holdMilliseconds}, now);
	}

	#enterPhase(phase: Phase, now: number): void {
		this.#phase = phase;
		this.#phaseStartedAt = now;
		this.#durationSum = 0;
		this.#count = 0;
	}
}
