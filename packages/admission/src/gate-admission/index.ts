/**
The admission of one gate: which request runs, waits or is refused.

A request runs at once while the concurrency limit allows and nothing waits.
Else it waits in a bounded room. When the room is full, the least important
request gives way, then the one of the team furthest ahead of its share, then
the one with the least remaining time; this may be the newcomer itself. A
request that can no longer finish before its deadline is refused.
*/

import {
	lowestPriority, type GateLevel, type RequestId, type TeamName,
} from '@fireflyglade/model';
import {AdaptiveLimit} from '../adaptive-limit/index.js';
import {ServiceEstimate} from '../_lib/service-estimate/index.js';
import {WaitingRoom} from '../_lib/waiting-room/index.js';
import type {
	Admission, AdmissionDecision, AdmissionOptions, AdmissionRequest, ConcurrencyLimit, QueueOrder, RefusalReason, RunOutcome,
} from '../types.js';

/** Waiting requests that a gate keeps for each request that it may run. */
const waitingPerRunning = 3;
const minimumCapacity = 16;
/** Time in which all that waits should have started. */
const targetWaitMilliseconds = 250;
/** Time for which something must wait without a break until the queue counts as standing. */
const standingMilliseconds = 100;
/** Mean deviations of the service time that a request must have left while the queue stands. */
const standingDeviations = 2;
/** Time for which a shed priority is told to others. */
const shedNoticeMilliseconds = 200;
const minimumRetryAfterMilliseconds = 50;
const maximumRetryAfterMilliseconds = 2000;

type Running = {
	readonly startedAt: number;
	readonly priority: number;
	/** Requests that ran when it started, itself counted. */
	readonly inFlight: number;
};

/** The admission of one gate. */
export class GateAdmission implements Admission {
	readonly #limit: ConcurrencyLimit;
	readonly #order: QueueOrder;
	readonly #running = new Map<RequestId, Running>();
	readonly #room = new WaitingRoom();
	readonly #estimate = new ServiceEstimate();
	#weights: ReadonlyMap<TeamName, number> = new Map();
	#draining = false;
	/** Last time at which nothing waited. */
	#emptyAt: number;
	#shedPriority = lowestPriority + 1;
	#shedAt = Number.NEGATIVE_INFINITY;

	constructor(options: AdmissionOptions) {
		this.#limit = options.limit ?? new AdaptiveLimit(options);
		this.#order = options.order ?? 'earliest-deadline';
		this.#emptyAt = options.now;
	}

	get hasWaitingRequests(): boolean {
		return this.#room.size > 0;
	}

	offer(request: AdmissionRequest, now: number): readonly AdmissionDecision[] {
		if (this.#draining) {
			return [this.#refuse(request.requestId, 'draining', now)];
		}

		if (this.#isHopeless(request, now)) {
			return [this.#refuse(request.requestId, 'deadline', now)];
		}

		if (this.#room.size === 0 && this.#running.size < this.#limit.current(now)) {
			return [this.#run(request, now)];
		}

		return this.#wait(request, now);
	}

	finish(requestId: RequestId, outcome: RunOutcome, now: number, downstreamQueueingMilliseconds = 0): readonly AdmissionDecision[] {
		const running = this.#running.get(requestId);
		if (running === undefined) {
			return [];
		}

		this.#running.delete(requestId);
		this.#limit.finish({
			startedAt: running.startedAt, outcome, downstreamQueueingMilliseconds, inFlightAtStart: running.inFlight,
		}, this.#running.size, now);
		if (outcome === 'success' || outcome === 'timeout') {
			this.#estimate.record(running.priority, now - running.startedAt, now);
		}

		return this.#startWaiting(now);
	}

	cancel(requestId: RequestId, now: number): readonly AdmissionDecision[] {
		if (this.#room.remove(requestId) === undefined) {
			return [];
		}

		return [this.#refuse(requestId, 'cancelled', now)];
	}

	tick(now: number): readonly AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (;;) {
			const earliest = this.#room.earliestDeadline();
			if (earliest === undefined || !this.#isHopeless(earliest.request, now)) {
				break;
			}

			this.#room.remove(earliest.request.requestId);
			decisions.push(this.#refuse(earliest.request.requestId, 'deadline', now));
		}

		decisions.push(...this.#startWaiting(now));
		return decisions;
	}

	setSlots(slots: number, now: number): void {
		this.#limit.setSlots(slots, now);
	}

	setTeamWeights(weights: ReadonlyMap<TeamName, number>): void {
		this.#weights = weights;
	}

	drain(): void {
		this.#draining = true;
	}

	level(now: number): GateLevel {
		return {
			inFlight: this.#running.size,
			limit: this.#limit.current(now),
			queueLength: this.#room.size,
			shedPriority: now - this.#shedAt < shedNoticeMilliseconds ? this.#shedPriority : lowestPriority + 1,
		};
	}

	#wait(request: AdmissionRequest, now: number): readonly AdmissionDecision[] {
		if (this.#room.size === 0) {
			this.#emptyAt = now;
		}

		this.#room.add(request, this.#weightOf(request.team));
		const decisions = this.#startWaiting(now);
		const shed = this.#room.size > this.#capacity(now) ? this.#shedOne(now) : undefined;
		if (this.#room.has(request.requestId)) {
			decisions.push({kind: 'wait', requestId: request.requestId});
		}

		if (shed !== undefined) {
			decisions.push(this.#refuse(shed.requestId, shed === request ? 'queue-full' : 'shed', now));
		}

		return decisions;
	}

	#shedOne(now: number): AdmissionRequest {
		const {request} = this.#room.firstToShed()!;
		this.#room.remove(request.requestId);
		this.#noteShed(request, now);
		return request;
	}

	#startWaiting(now: number): AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		const newestFirst = this.#order === 'newest-when-standing' && this.#isStanding(now);
		while (this.#room.size > 0 && this.#running.size < this.#limit.current(now)) {
			const {request} = this.#room.takeNext(newestFirst)!;
			decisions.push(this.#isHopeless(request, now) ? this.#refuse(request.requestId, 'deadline', now) : this.#run(request, now));
		}

		if (this.#room.size === 0) {
			this.#emptyAt = now;
		}

		return decisions;
	}

	#run(request: AdmissionRequest, now: number): AdmissionDecision {
		this.#running.set(request.requestId, {startedAt: now, priority: request.priority, inFlight: this.#running.size + 1});
		this.#limit.begin(this.#running.size, now);
		return {kind: 'run', requestId: request.requestId};
	}

	#refuse(requestId: RequestId, reason: RefusalReason, now: number): AdmissionDecision {
		return {
			kind: 'refuse', requestId, reason, retryAfterMilliseconds: this.#retryAfter(now),
		};
	}

	#noteShed(request: AdmissionRequest, now: number): void {
		const worst = this.#room.worstPriority;
		if (worst !== undefined && worst < request.priority) {
			this.#shedPriority = worst + 1;
			this.#shedAt = now;
		}
	}

	/** True if the request can't be expected to end in time; a standing queue asks for more, as others could use the slot. */
	#isHopeless(request: AdmissionRequest, now: number): boolean {
		const deviations = this.#isStanding(now) ? standingDeviations : 0;
		return now + this.#estimate.at(request.priority, deviations, now) >= request.deadline;
	}

	#isStanding(now: number): boolean {
		return this.#room.size > 0 && now - this.#emptyAt > standingMilliseconds;
	}

	#capacity(now: number): number {
		const rounds = Math.min(waitingPerRunning, targetWaitMilliseconds / Math.max(1, this.#estimate.overall(now)));
		return Math.max(minimumCapacity, rounds * this.#limit.current(now));
	}

	#retryAfter(now: number): number {
		const rounds = this.#room.size / this.#limit.current(now);
		const expected = rounds * this.#estimate.overall(now);
		return Math.round(Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, expected)));
	}

	#weightOf(team: TeamName | undefined): number {
		const weight = team === undefined ? 1 : this.#weights.get(team) ?? 1;
		return weight > 0 ? weight : 1;
	}
}
