/**
What a node knows of one target: requests in flight, the last level, outcomes.
*/

import {lowestPriority, type GateLevel, type Target} from '@fireflyglade/model';
import {OutlierRecord} from '../outlier-record/index.js';

/** Age up to which a level counts in full. */
const freshMilliseconds = 250;
/** Age from which a level no longer counts. */
const staleMilliseconds = 2000;
/** Age up to which a shed priority is believed. */
const shedFreshMilliseconds = 250;
/** Time over which a new target comes to its full part. */
const warmUpMilliseconds = 3000;
/** Part that a target gets at the start. */
const smallestPart = 0.1;

/** What a node knows of one target. */
export class TargetState {
	readonly outcomes = new OutlierRecord();
	inFlight = 0;
	#target: Target;
	#warmUpFrom: number;
	#level: GateLevel | undefined;
	#levelAt = Number.NEGATIVE_INFINITY;
	/** Requests sent since the last level came. */
	#sentSinceLevel = 0;

	constructor(target: Target, warmUpFrom: number) {
		this.#target = target;
		this.#warmUpFrom = warmUpFrom;
	}

	get target(): Target {
		return this.#target;
	}

	/** Takes over a newer description of the target. */
	describe(target: Target): void {
		this.#target = target;
	}

	begin(): void {
		this.inFlight++;
		this.#sentSinceLevel++;
	}

	end(): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	observeLevel(level: GateLevel, now: number): void {
		if (now < this.#levelAt) {
			return;
		}

		this.#level = level;
		this.#levelAt = now;
		this.#sentSinceLevel = 0;
	}

	/** Starts the warm-up again, after an ejection. */
	warmUpFrom(start: number): void {
		this.#warmUpFrom = start;
	}

	/** Part of its usual work that the target may get, above 0 up to 1. */
	part(now: number): number {
		const progress = (now - this.#warmUpFrom) / warmUpMilliseconds;
		return Math.min(1, Math.max(smallestPart, progress));
	}

	/** Requests at the target for each that it may run; an old level fades into what the node itself has in flight. */
	load(now: number): number {
		const own = this.inFlight / Math.max(1, this.#target.slots);
		const level = this.#level;
		if (level === undefined) {
			return own;
		}

		const age = now - this.#levelAt;
		const trust = Math.min(1, Math.max(0, (staleMilliseconds - age) / (staleMilliseconds - freshMilliseconds)));
		const atGate = level.inFlight + level.queueLength + this.#sentSinceLevel;
		const reported = Math.max(this.inFlight, atGate) / Math.max(1, level.limit);
		return (trust * reported) + ((1 - trust) * own);
	}

	/** True if the gate, by a fresh level, refuses requests of this priority. */
	sheds(priority: number, now: number): boolean {
		if (this.#level === undefined || now - this.#levelAt > shedFreshMilliseconds) {
			return false;
		}

		return this.#level.shedPriority <= Math.min(priority, lowestPriority);
	}
}
