/**
The state of one target as known to a node: requests in flight, the latest gate level,
reported service times and recent outcomes.
*/

import {lowestPriority, type GateLevel, type Target} from '@fireflyglade/model';
import {fade} from '../fade/index.js';
import {OutlierRecord} from '../outlier-record/index.js';
import {Reachability} from '../reachability/index.js';

/** Age up to which a gate level has full weight. */
const freshMilliseconds = 250;
/** Age from which a gate level has no weight. */
const staleMilliseconds = 2000;
/** Ages between which a gate level loses its weight for an objective; queues change within the time of a few requests. */
const queueFreshMilliseconds = 100;
const queueStaleMilliseconds = 1000;
/** Weight of a new level in the moving average of the target's load. */
const usualLoadWeight = 0.2;
/** Ages of the latest level between which the target's average load loses its weight. */
const usualLoadFreshMilliseconds = 2000;
const usualLoadStaleMilliseconds = 10_000;
/** Age up to which a reported shed priority is used. */
const shedFreshMilliseconds = 250;
/** Age from which a reported pace has no weight; the pace of an upstream changes about as often. */
const paceStaleMilliseconds = 600;
/** Ages between which a reported service time loses its weight. */
const serviceTimeFreshMilliseconds = 2000;
const serviceTimeStaleMilliseconds = 10_000;
/** Maximum number of work classes whose reported service times are kept. */
const maximumClasses = 32;
/** Weight of a new report in the moving average of the target's slowness. */
const slownessWeight = 0.3;

/** Time in which a new target that has not reported its level counts as one that is starting. */
const unreportedMilliseconds = 3000;
/** Fraction of its usual share of requests that a new target gets before its first level, because all nodes learn of it at once. */
const unreportedPart = 0.1;
/** Fraction of the announced slots that a new target is assumed to have before its first level. */
const unreportedSlotShare = 0.25;
/** Successes after an ejection until which the target only gets probes. */
const probesAfterEjection = 2;
/** Fraction of its usual share of requests that a target gets as probes, one at a time from each node, after an ejection or while its gate could not be reached. */
const probingPart = 0.25;

type ServiceTimeReport = {
	/** Service time at the usual pace. */
	milliseconds: number;
	at: number;
};

/** The state of one target as known to a node. */
export class TargetState {
	readonly outcomes = new OutlierRecord();
	readonly reachability = new Reachability();
	/** Requests that this node has in flight at the target. */
	inFlight = 0;
	#target: Target;
	readonly #joinedAt: number;
	#probesLeft = 0;
	/** Requests in flight that were sent before the latest ejection. Their answers don't count as those of probes. */
	#sentBeforeEjection = 0;
	#level: GateLevel | undefined;
	#levelAt = Number.NEGATIVE_INFINITY;
	/** Requests sent since the latest gate level arrived. */
	#sentSinceLevel = 0;
	/** Moving average of the reported load; the latest level alone is too old to tell which targets are often full. */
	#usualLoad = 0;
	readonly #reports = new Map<number, ServiceTimeReport>();
	/** Service times of this target relative to the mean of the service. */
	#slowness = 1;
	#slownessAt = Number.NEGATIVE_INFINITY;
	#pace = 1;
	#paceAt = Number.NEGATIVE_INFINITY;

	/** `joinedAt` is negative infinity for a target that isn't new. */
	constructor(target: Target, joinedAt: number) {
		this.#target = target;
		this.#joinedAt = joinedAt;
	}

	get target(): Target {
		return this.#target;
	}

	/** Replaces the description of the target. */
	updateTarget(target: Target): void {
		this.#target = target;
	}

	/** Age of the latest gate level in milliseconds; undefined if there is none. */
	getLevelAge(now: number): number | undefined {
		return this.#level === undefined ? undefined : now - this.#levelAt;
	}

	begin(): void {
		this.inFlight++;
		this.#sentSinceLevel++;
	}

	/** Ends a request. One that has not arrived at the gate is not among those that its next level is expected to show. */
	end(hasArrived: boolean): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.#sentBeforeEjection = Math.max(0, this.#sentBeforeEjection - 1);
		if (!hasArrived) {
			this.#sentSinceLevel = Math.max(0, this.#sentSinceLevel - 1);
		}
	}

	/** Records a gate level. Returns false if it is ignored, because a newer one is known. */
	observeLevel(level: GateLevel, now: number): boolean {
		if (now < this.#levelAt) {
			return false;
		}

		const load = (level.inFlight + level.queueLength) / Math.max(1, level.limit);
		this.#usualLoad = this.#level === undefined ? load : this.#usualLoad + ((load - this.#usualLoad) * usualLoadWeight);
		this.#level = level;
		this.#levelAt = now;
		this.#sentSinceLevel = 0;
		if (level.pace !== undefined) {
			this.#pace = level.pace;
			this.#paceAt = now;
		}

		return true;
	}

	/** Records the service time that the gate reported for a work class, at the usual pace. `mean` is that of the service. */
	recordServiceTime(workClass: number, milliseconds: number, mean: number, now: number): void {
		const slowness = milliseconds / mean;
		this.#slowness = this.#slownessAt === Number.NEGATIVE_INFINITY ? slowness : this.#slowness + ((slowness - this.#slowness) * slownessWeight);
		this.#slownessAt = now;
		const report = this.#reports.get(workClass);
		if (report !== undefined) {
			report.milliseconds = milliseconds;
			report.at = now;
			return;
		}

		if (this.#reports.size >= maximumClasses) {
			const [oldest] = this.#reports.keys();
			this.#reports.delete(oldest!);
		}

		this.#reports.set(workClass, {milliseconds, at: now});
	}

	/** Returns the expected service time of a work class whose mean at the service is `mean`. */
	expectServiceTime(workClass: number, mean: number, now: number): number {
		const slowness = 1 + ((this.#slowness - 1) * fade(now - this.#slownessAt, serviceTimeFreshMilliseconds, serviceTimeStaleMilliseconds));
		const typical = mean * slowness;
		const report = this.#reports.get(workClass);
		const usual = report === undefined ? typical : typical + ((report.milliseconds - typical) * fade(now - report.at, serviceTimeFreshMilliseconds, serviceTimeStaleMilliseconds));
		return usual * (1 + ((this.#pace - 1) * fade(now - this.#paceAt, 0, paceStaleMilliseconds)));
	}

	/** Limits the target to probes until enough of them have succeeded. Must be called before `end` of the request that caused the ejection. */
	startProbing(): void {
		this.#probesLeft = probesAfterEjection;
		this.#sentBeforeEjection = this.inFlight;
	}

	/** Records a success. Must be called before `end` of the request. */
	recordSuccess(now: number): void {
		this.outcomes.recordSuccess(now);
		if (this.#sentBeforeEjection === 0) {
			this.#probesLeft = Math.max(0, this.#probesLeft - 1);
		}
	}

	/** Records a refusal. One by a gate with room, or without any level, shows trouble at the upstream. */
	recordRefusal(level: GateLevel | undefined, now: number): void {
		if (level === undefined || (level.inFlight < level.limit && level.queueLength === 0)) {
			this.outcomes.recordRefusal(now);
		}
	}

	/** Fraction of its usual share of requests that the target may get, from 0 to 1. */
	part(now: number): number {
		if (this.#probesLeft > 0) {
			return this.inFlight === 0 ? probingPart : 0;
		}

		if (this.reachability.isProbeDue(now)) {
			return probingPart;
		}

		return this.#isUnreported(now) ? unreportedPart : 1;
	}

	/** Requests at the target relative to its concurrency limit. As the latest gate level ages, the result shifts to the requests that this node itself has in flight. */
	load(now: number): number {
		const ownLoad = this.#ownLoad(now);
		const weight = fade(now - this.#levelAt, freshMilliseconds, staleMilliseconds);
		return weight === 0 ? ownLoad : (weight * this.#reportedLoad()) + ((1 - weight) * ownLoad);
	}

	/**
	Requests at the target, with one more, relative to its concurrency limit. As the latest gate level ages,
	the result shifts to the target's average load and later to `mean`, the mean load of the service.
	*/
	expectLoad(mean: number, now: number): number {
		const weight = fade(now - this.#levelAt, queueFreshMilliseconds, queueStaleMilliseconds);
		const usual = mean + ((this.#usualLoad - mean) * fade(now - this.#levelAt, usualLoadFreshMilliseconds, usualLoadStaleMilliseconds));
		const unknown = Math.max(usual, this.#ownLoad(now));
		const load = weight === 0 ? unknown : (weight * this.#reportedLoad()) + ((1 - weight) * unknown);
		return load + (1 / Math.max(1, this.#level?.limit ?? this.#target.slots));
	}

	/** True if a recent gate level reports that requests of this priority are shed. */
	sheds(priority: number, now: number): boolean {
		if (this.#level === undefined || now - this.#levelAt > shedFreshMilliseconds) {
			return false;
		}

		return this.#level.shedPriority <= Math.min(priority, lowestPriority);
	}

	/** Returns the milliseconds until the gate is expected to have run what waited there at its latest level. */
	expectRoom(serviceMilliseconds: number, now: number): number {
		const level = this.#level;
		if (level === undefined) {
			return 0;
		}

		const ahead = level.queueLength + Math.max(0, level.inFlight + 1 - level.limit);
		return (ahead * serviceMilliseconds / Math.max(1, level.limit)) - (now - this.#levelAt);
	}

	#isUnreported(now: number): boolean {
		return this.#level === undefined && now - this.#joinedAt < unreportedMilliseconds;
	}

	#ownLoad(now: number): number {
		const share = this.#isUnreported(now) ? unreportedSlotShare : 1;
		return this.inFlight / Math.max(1, this.#target.slots * share);
	}

	#reportedLoad(): number {
		const level = this.#level!;
		const requestsAtGate = level.inFlight + level.queueLength + this.#sentSinceLevel;
		return Math.max(this.inFlight, requestsAtGate) / Math.max(1, level.limit);
	}
}
