/**
The state of one target as known to a node: requests in flight, the latest gate level and recent outcomes.
*/

import {lowestPriority, type GateLevel, type Target} from '@fireflyglade/model';
import {OutlierRecord} from '../outlier-record/index.js';

/** Age up to which a gate level has full weight. */
const freshMilliseconds = 250;
/** Age from which a gate level has no weight. */
const staleMilliseconds = 2000;
/** Age up to which a reported shed priority is used. */
const shedFreshMilliseconds = 250;
/** Time over which a new target ramps up to its full share of requests. */
const warmUpMilliseconds = 3000;
/** Fraction of its usual share of requests that a target gets at the start of the warm-up. */
const minimumPart = 0.1;

/** The state of one target as known to a node. */
export class TargetState {
	readonly outcomes = new OutlierRecord();
	/** Requests that this node has in flight at the target. */
	inFlight = 0;
	#target: Target;
	#warmUpStart: number;
	#level: GateLevel | undefined;
	#levelAt = Number.NEGATIVE_INFINITY;
	/** Requests sent since the latest gate level arrived. */
	#sentSinceLevel = 0;

	constructor(target: Target, warmUpStart: number) {
		this.#target = target;
		this.#warmUpStart = warmUpStart;
	}

	get target(): Target {
		return this.#target;
	}

	/** Replaces the description of the target. */
	updateTarget(target: Target): void {
		this.#target = target;
	}

	begin(): void {
		this.inFlight++;
		this.#sentSinceLevel++;
	}

	end(): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

	/** Records a gate level; ignored if a newer one is known. */
	observeLevel(level: GateLevel, now: number): void {
		if (now < this.#levelAt) {
			return;
		}

		this.#level = level;
		this.#levelAt = now;
		this.#sentSinceLevel = 0;
	}

	/** Schedules a new warm-up that begins at `start`, the end of an ejection. */
	startWarmUp(start: number): void {
		this.#warmUpStart = start;
	}

	/** Fraction of its usual share of requests that the target may get, above 0 and at most 1. */
	part(now: number): number {
		const progress = (now - this.#warmUpStart) / warmUpMilliseconds;
		return Math.min(1, Math.max(minimumPart, progress));
	}

	/** Requests at the target relative to its concurrency limit. As the latest gate level ages, the result shifts to the requests that this node itself has in flight. */
	load(now: number): number {
		const ownLoad = this.inFlight / Math.max(1, this.#target.slots);
		const level = this.#level;
		if (level === undefined) {
			return ownLoad;
		}

		const age = now - this.#levelAt;
		const levelWeight = Math.min(1, Math.max(0, (staleMilliseconds - age) / (staleMilliseconds - freshMilliseconds)));
		const requestsAtGate = level.inFlight + level.queueLength + this.#sentSinceLevel;
		const reportedLoad = Math.max(this.inFlight, requestsAtGate) / Math.max(1, level.limit);
		return (levelWeight * reportedLoad) + ((1 - levelWeight) * ownLoad);
	}

	/** True if a recent gate level reports that requests of this priority are shed. */
	sheds(priority: number, now: number): boolean {
		if (this.#level === undefined || now - this.#levelAt > shedFreshMilliseconds) {
			return false;
		}

		return this.#level.shedPriority <= Math.min(priority, lowestPriority);
	}
}
