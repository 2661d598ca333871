/**
The latest load that an upstream has stated with a response, and the slots that
may be used by it.

A report is a hint that becomes stale quickly. It is ignored if its numbers are
implausible or if they differ widely from the gate's own count of running
requests. As the gate is the only sender of an upstream, requests that wait
inside the upstream show that the gate sent too many. Reports never raise the
usable slots above the announced ones, and never lower them below a quarter. Once
the lifetime of a report has passed without another one, the ratio of the usable
slots to the announced ones is 1 again.
*/

import {millisecondsInSecond, type UpstreamLoad} from '@fireflyglade/model';

/** Time for which a report is used. The pace of an upstream that shares its machine changes within fractions of a second, so that an older one says little. */
const lifetimeMilliseconds = 400;
/** Lower bound of the usable slots, relative to the announced ones. */
const minimumSlotRatio = 0.25;
/** Share of the announced slots that the usable ones regain per second after requests had waited inside the upstream. */
const recoveryPerSecond = 0.2;
/** Largest plausible count of requests or slots. */
const maximumCount = 100_000;
/** Time for which the most requests that the upstream ran at once show what it can run. */
const peakLifetimeMilliseconds = 1000;
/** Smallest plausible pace. */
const minimumPace = 0.05;
/** Largest plausible pace. */
const maximumPace = 100;
/** Requests that the upstream may state beyond those in flight, relative to the announced slots: it may still run requests that the gate has cancelled. */
const toleratedExcessRatio = 0.5;
/** Requests that the upstream may state too few, relative to those in flight: requests and responses on their way are counted by the gate alone. */
const toleratedDeficitRatio = 0.5;
const minimumToleratedDifference = 4;

/** A report, with what the gate knew when it arrived. */
type Report = {
	readonly load: UpstreamLoad;
	readonly at: number;
};

/** What the gate itself knows when a report arrives. */
export type GateCount = {
	/** Running requests, including the one whose response carries the report. */
	readonly inFlight: number;
	/** Slots that the upstream announced. */
	readonly announcedSlots: number;
};

/** Keeps the latest plausible load of one upstream. */
export class LoadRecord {
	#latest: Report | undefined;
	/** The most requests that the upstream stated to run lately. */
	#peakRunning = 0;
	#peakAt = Number.NEGATIVE_INFINITY;
	/** Usable slots as a fraction of the announced ones, as of `#ratioChangedAt`. */
	#slotRatio = 1;
	#ratioChangedAt = 0;

	/** Records a report unless it is implausible. */
	observe(load: UpstreamLoad, count: GateCount, now: number): void {
		if (!isPlausible(load) || isContradicted(load, count)) {
			return;
		}

		const previous = this.latest(now);
		// Between the end of a request and the start of the next one, a slot can be free while a request waits. Only requests that wait in two successive reports exceed the slots.
		const waiting = Math.min(previous?.waiting ?? 0, load.waiting);
		if (waiting > 0) {
			this.#lower((count.inFlight - waiting) / count.announcedSlots, now);
		} else if (previous === undefined) {
			this.#slotRatio = 1;
		}

		this.#latest = {load, at: now};
		if (load.running >= this.#peakRunning || now - this.#peakAt > peakLifetimeMilliseconds) {
			this.#peakRunning = load.running;
			this.#peakAt = now;
		}
	}

	/** The latest report; undefined if there is none or if it is older than its lifetime. */
	latest(now: number): UpstreamLoad | undefined {
		return this.#latest !== undefined && now - this.#latest.at <= lifetimeMilliseconds ? this.#latest.load : undefined;
	}

	/** Factor by which work takes longer than usual, as the upstream states it. */
	pace(now: number): number | undefined {
		return this.latest(now)?.pace;
	}

	/** True if the upstream states that it could run more requests than it does, and has lately run more. */
	hasFreeSlots(now: number): boolean {
		const load = this.latest(now);
		if (load === undefined) {
			return false;
		}

		return load.waiting === 0 && load.running < Math.min(load.slots, this.#peakRunning);
	}

	/** The number of slots that may be used, from a quarter of `announcedSlots` to all of them; all of them without a valid report. */
	usableSlots(announcedSlots: number, now: number): number {
		const load = this.latest(now);
		if (load === undefined) {
			return announcedSlots;
		}

		return Math.max(announcedSlots * minimumSlotRatio, Math.min(load.slots, announcedSlots * this.#slotRatioAt(now)));
	}

	#lower(slotRatio: number, now: number): void {
		const before = this.#slotRatioAt(now);
		if (slotRatio < before) {
			this.#slotRatio = Math.max(minimumSlotRatio, slotRatio);
			this.#ratioChangedAt = now;
		}
	}

	#slotRatioAt(now: number): number {
		return Math.min(1, this.#slotRatio + ((now - this.#ratioChangedAt) / millisecondsInSecond * recoveryPerSecond));
	}
}

function isPlausible({running, waiting, slots, pace}: UpstreamLoad): boolean {
	return isCount(running, 0) && isCount(waiting, 0) && isCount(slots, 1)
		&& (pace === undefined || (pace >= minimumPace && pace <= maximumPace));
}

function isCount(value: number, minimum: number): boolean {
	return Number.isInteger(value) && value >= minimum && value <= maximumCount;
}

function isContradicted({running, waiting}: UpstreamLoad, {inFlight, announcedSlots}: GateCount): boolean {
	const difference = running + waiting - inFlight;
	return difference > Math.max(minimumToleratedDifference, announcedSlots * toleratedExcessRatio)
		|| -difference > Math.max(minimumToleratedDifference, inFlight * toleratedDeficitRatio);
}
