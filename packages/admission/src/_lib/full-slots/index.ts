/**
Finds out whether an upstream does more with a few of its slots left free.

Some upstreams slow down when they are nearly full, so that the last slots cost more
than they bring. While the gate keeps all slots taken, it measures how long runs
take, then leaves a few slots free for as many runs, and goes on with what did more
work in the same time. Later it measures again, as neither lasts for good.
*/

/** Runs that are measured each way. */
const measuredRuns = 120;
/** Part of the slots that is used while some are left free. */
const reducedPart = 0.95;
/** Slots below which one of them is too large a part to leave it free. */
const fewestSlots = 8;
/** Gain below which a difference counts as chance. */
const leastGain = 1.1;
const firstHoldMilliseconds = 8000;
const longestHoldMilliseconds = 40_000;

type Phase =
	/** All slots may be taken, and runs that start so are measured. */
	| {readonly kind: 'measuring-full'}
	/** Some are left free, and runs that start so are measured. */
	| {readonly kind: 'measuring-reduced'; readonly fullMilliseconds: number}
	/** One way was found better and is kept for a while. */
	| {readonly kind: 'holding'; readonly isReduced: boolean; readonly until: number};

/** How many slots of an upstream are worth taking. */
export class FullSlots {
	#slots: number;
	#phase: Phase = {kind: 'measuring-full'};
	#sum = 0;
	#count = 0;
	#phaseFrom: number;
	#holdMilliseconds = firstHoldMilliseconds;
	#wasReduced = false;

	constructor(slots: number, now: number) {
		this.#slots = slots;
		this.#phaseFrom = now;
	}

	/** Slots that may be taken now. */
	get usable(): number {
		const {kind} = this.#phase;
		const isReduced = kind === 'measuring-reduced' || (this.#phase.kind === 'holding' && this.#phase.isReduced);
		return isReduced ? this.#reduced : this.#slots;
	}

	setSlots(slots: number, now: number): void {
		if (slots !== this.#slots) {
			this.#slots = slots;
			this.#enter({kind: 'measuring-full'}, now);
		}
	}

	/** Takes note of a run that ended well; `inFlight` is the number that ran as it started, itself counted. */
	record(startedAt: number, inFlight: number, now: number): void {
		if (this.#slots < fewestSlots) {
			return;
		}

		const phase = this.#phase;
		if (phase.kind === 'holding') {
			if (now >= phase.until) {
				this.#enter({kind: 'measuring-full'}, now);
			}

			return;
		}

		if (startedAt < this.#phaseFrom || !this.#isMeasured(phase.kind, inFlight)) {
			return;
		}

		this.#sum += now - startedAt;
		this.#count++;
		if (this.#count < measuredRuns) {
			return;
		}

		const milliseconds = this.#sum / this.#count;
		if (phase.kind === 'measuring-full') {
			this.#enter({kind: 'measuring-reduced', fullMilliseconds: milliseconds}, now);
			return;
		}

		this.#decide(phase.fullMilliseconds / milliseconds, now);
	}

	get #reduced(): number {
		return Math.min(this.#slots - 1, Math.floor(this.#slots * reducedPart));
	}

	/** Only runs that start while as many run as may are compared. */
	#isMeasured(kind: 'measuring-full' | 'measuring-reduced', inFlight: number): boolean {
		return kind === 'measuring-full' ? inFlight > this.#reduced : inFlight === this.#reduced;
	}

	#decide(quicker: number, now: number): void {
		const isReduced = quicker * this.#reduced / this.#slots > leastGain;
		this.#holdMilliseconds = isReduced === this.#wasReduced ? Math.min(longestHoldMilliseconds, this.#holdMilliseconds * 2) : firstHoldMilliseconds;
		this.#wasReduced = isReduced;
		this.#enter({kind: 'holding', isReduced, until: now + this.#holdMilliseconds}, now);
	}

	#enter(phase: Phase, now: number): void {
		this.#phase = phase;
		this.#phaseFrom = now;
		this.#sum = 0;
		this.#count = 0;
	}
}
