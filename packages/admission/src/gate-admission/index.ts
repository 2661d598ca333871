/**
The admission control of one gate.

A request runs at once if the concurrency limit allows it and the queue is
empty; otherwise it waits in a bounded queue. When the queue is full, one
request is shed, which may be the new one: the least important; among equals,
one of the team furthest ahead of its fair share; within that team, the one
with the earliest deadline, or as `FairQueue` states for requests with an
objective. A request that is not expected to finish before its deadline is
refused; one with an objective also if the work ahead of it leaves no time.
*/

import {
	lowestPriority, type GateLevel, type RequestId, type TeamName, type UpstreamLoad,
} from '@fireflyglade/model';
import {AdaptiveLimit} from '../adaptive-limit/index.js';
import {CompletionRate} from '../_lib/completion-rate/index.js';
import type {QueueCandidate} from '../_lib/fair-queue/index.js';
import {RequestQueue} from '../_lib/request-queue/index.js';
import {getRequestSpread} from '../_lib/request-spread/index.js';
import {ServiceTimeEstimate} from '../_lib/service-time-estimate/index.js';
import type {
	Admission, AdmissionDecision, AdmissionOptions, AdmissionRequest, ConcurrencyLimit, LimitState, QueueOrder, RefusalReason, RunOutcome,
} from '../types.js';

/** Maximum number of queued requests per request that may run concurrently. */
const queuedRequestsPerSlot = 3;
const minimumQueueCapacity = 16;
/** Time within which all queued requests should start. */
const targetQueueingMilliseconds = 250;
/** Time without an empty queue after which it counts as a standing queue. */
const standingQueueMilliseconds = 100;
/** Number of mean absolute deviations that deadline checks add to the expected service time while there is a standing queue. */
const standingQueueDeviations = 2;
/** Time after a request is shed for which the shed priority is reported to routing nodes. */
const shedPriorityReportMilliseconds = 200;
const minimumRetryAfterMilliseconds = 50;
const maximumRetryAfterMilliseconds = 2000;
/** Share of the time until its deadline that a caller may be told to wait; a caller ignores a longer time. */
const maximumShareOfTimeLeft = 1 / 3;
/** Share of the retry-after time that is added at most, so that callers refused together return one by one. */
const retryAfterSpread = 0.5;
/** Share of the work ahead that a request certainly has to wait for: some of it will be cancelled, or takes less time than expected. */
const certainWorkShare = 0.75;
/** Factor by which the limit may grow, up to the slots, while a request waits; a limit in slow start doubles within half a second. */
const expectedLimitGrowth = 2;

/** Class of requests that state none. */
const unknownWorkClass = 0;

type RunningRequest = {
	readonly startedAt: number;
	readonly workClass: number;
	/** Number of running requests when it started, including itself. */
	readonly inFlight: number;
};

/** Queues requests by priority, team and deadline in front of one upstream and sheds what exceeds its capacity. */
export class GateAdmission implements Admission {
	readonly #limit: ConcurrencyLimit;
	readonly #order: QueueOrder;
	readonly #running = new Map<RequestId, RunningRequest>();
	readonly #queue = new RequestQueue();
	readonly #serviceTime = new ServiceTimeEstimate();
	readonly #completionRate: CompletionRate;
	/** Slots that the upstream announced. */
	#slots: number;
	#teamWeights: ReadonlyMap<TeamName, number> = new Map();
	#isDraining = false;
	/** Last time at which the queue was empty. */
	#lastEmptyAt: number;
	/** Requests of this priority and of less important ones were less important than every queued request when the gate last shed one. */
	#shedPriority = lowestPriority + 1;
	#shedAt = Number.NEGATIVE_INFINITY;

	constructor(options: AdmissionOptions) {
		this.#limit = options.limit ?? new AdaptiveLimit(options);
		this.#slots = options.slots;
		this.#order = options.order ?? 'earliest-deadline';
		this.#lastEmptyAt = options.now;
		this.#completionRate = new CompletionRate(options.now);
	}

	get hasWaitingRequests(): boolean {
		return this.#queue.size > 0;
	}

	offer(request: AdmissionRequest, now: number): readonly AdmissionDecision[] {
		if (this.#isDraining) {
			return [this.#refuse(request, 'draining', now)];
		}

		if (this.#willMissDeadline(request, now)) {
			return [this.#refuse(request, 'deadline', now)];
		}

		if (this.#queue.size === 0 && this.#running.size < this.#limit.current(now)) {
			return [this.#start(request, now)];
		}

		return this.#enqueue(request, now);
	}

	finish(requestId: RequestId, outcome: RunOutcome, now: number, downstreamQueueingMilliseconds = 0): readonly AdmissionDecision[] {
		const running = this.#running.get(requestId);
		if (running === undefined) {
			return [];
		}

		this.#running.delete(requestId);
		this.#completionRate.record(now);
		this.#limit.finish({
			startedAt: running.startedAt, outcome, downstreamQueueingMilliseconds, inFlightAtStart: running.inFlight, workClass: running.workClass,
		}, this.#running.size, now);
		if (outcome === 'success' || outcome === 'timeout') {
			this.#serviceTime.record(running.workClass, (now - running.startedAt) / this.#pace(now), now);
		}

		return this.#startQueued(now);
	}

	cancel(requestId: RequestId, now: number): readonly AdmissionDecision[] {
		const waiting = this.#queue.remove(requestId);
		return waiting === undefined ? [] : [this.#refuse(waiting.request, 'cancelled', now)];
	}

	tick(now: number): readonly AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (;;) {
			const earliest = this.#queue.earliestDeadline();
			if (earliest === undefined || !this.#willMissDeadline(earliest.request, now)) {
				break;
			}

			this.#queue.remove(earliest.request.requestId);
			decisions.push(this.#refuse(earliest.request, 'deadline', now));
		}

		decisions.push(...this.#startQueued(now));
		return decisions;
	}

	observeLoad(load: UpstreamLoad, now: number): void {
		this.#limit.observeLoad?.(load, now);
	}

	beginSlowStart(now: number): void {
		this.#limit.beginSlowStart?.(now);
	}

	describeLimit(now: number): LimitState {
		return this.#limit.describe?.(now) ?? {};
	}

	setSlots(slots: number, now: number): void {
		this.#slots = slots;
		this.#limit.setSlots(slots, now);
	}

	setTeamWeights(weights: ReadonlyMap<TeamName, number>): void {
		this.#teamWeights = weights;
	}

	drain(): void {
		this.#isDraining = true;
	}

	level(now: number, workClass?: number): GateLevel {
		const pace = this.#limit.pace?.(now);
		const serviceMilliseconds = this.#expectServiceTime(workClass, now);
		return {
			inFlight: this.#running.size,
			limit: this.#limit.current(now),
			queueLength: this.#queue.size,
			shedPriority: now - this.#shedAt < shedPriorityReportMilliseconds ? this.#shedPriority : lowestPriority + 1,
			...(serviceMilliseconds === undefined ? {} : {serviceMilliseconds}),
			...(pace === undefined ? {} : {pace}),
		};
	}

	#enqueue(request: AdmissionRequest, now: number): readonly AdmissionDecision[] {
		const weight = this.#weightOf(request.team);
		const candidate = this.#createCandidate(request, now);
		if (this.#willStartTooLate(candidate, weight, now)) {
			return [this.#refuse(request, 'deadline', now)];
		}

		if (this.#queue.size === 0) {
			this.#lastEmptyAt = now;
		}

		this.#queue.add(candidate, weight);
		const decisions = this.#startQueued(now);
		const shed = this.#queue.size > this.#queueCapacity(now) ? this.#shedLeastImportant(now) : undefined;
		if (this.#queue.has(request.requestId)) {
			decisions.push({kind: 'wait', requestId: request.requestId});
		}

		if (shed !== undefined) {
			decisions.push(this.#refuse(shed, shed === request ? 'queue-full' : 'shed', now));
		}

		return decisions;
	}

	/** Factor by which the upstream states that work takes longer than usual at present. Service times are recorded without it, because it changes sooner than an average follows. */
	#pace(now: number): number {
		return this.#limit.pace?.(now) ?? 1;
	}

	/** Expected service time at the present pace; undefined before the first run. */
	#expectServiceTime(workClass: number | undefined, now: number): number | undefined {
		const usual = this.#serviceTime.expected(workClass, now);
		return usual === undefined ? undefined : usual * this.#pace(now);
	}

	#createCandidate(request: AdmissionRequest, now: number): QueueCandidate {
		const {objective, deadline, workClass} = request;
		const serviceMilliseconds = this.#expectServiceTime(workClass ?? unknownWorkClass, now) ?? 0;
		return {request, serviceMilliseconds, latestStart: objective === undefined ? deadline : objective - serviceMilliseconds};
	}

	/** True if the requests that run before a new one with an objective leave it no time to run before its deadline. */
	#willStartTooLate(candidate: QueueCandidate, weight: number, now: number): boolean {
		const {request} = candidate;
		if (request.objective === undefined) {
			return false;
		}

		const latestUsefulStart = request.deadline - (this.#serviceTime.at(request.workClass ?? unknownWorkClass, 0, now) * this.#pace(now));
		const limit = this.#limit.current(now);
		const capacity = Math.max(limit, Math.min(this.#slots, limit * expectedLimitGrowth));
		const startAfter = (work: number): number => now + (work * certainWorkShare / capacity);
		if (startAfter(this.#queue.workUpTo(request)) <= latestUsefulStart) {
			return false;
		}

		return startAfter(this.#queue.workAhead(candidate, weight, now)) > latestUsefulStart;
	}

	#shedLeastImportant(now: number): AdmissionRequest {
		const {request} = this.#queue.firstToShed(now)!;
		this.#queue.remove(request.requestId);
		this.#recordShedPriority(request, now);
		return request;
	}

	#startQueued(now: number): AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		const isNewestFirst = this.#order === 'newest-when-standing' && this.#isQueueStanding(now);
		while (this.#queue.size > 0 && this.#running.size < this.#limit.current(now)) {
			const {request} = this.#queue.takeNext(isNewestFirst, now)!;
			decisions.push(this.#willMissDeadline(request, now) ? this.#refuse(request, 'deadline', now) : this.#start(request, now));
		}

		if (this.#queue.size === 0) {
			this.#lastEmptyAt = now;
		}

		return decisions;
	}

	#start(request: AdmissionRequest, now: number): AdmissionDecision {
		this.#running.set(request.requestId, {startedAt: now, workClass: request.workClass ?? unknownWorkClass, inFlight: this.#running.size + 1});
		this.#limit.begin(this.#running.size, now);
		return {kind: 'run', requestId: request.requestId};
	}

	#refuse(request: AdmissionRequest, reason: RefusalReason, now: number): AdmissionDecision {
		const retryAfterMilliseconds = request.objective === undefined ? this.#retryAfterByQueue(now) : this.#retryAfterByImportance(request, now);
		return {
			kind: 'refuse', requestId: request.requestId, reason, retryAfterMilliseconds,
		};
	}

	#recordShedPriority(request: AdmissionRequest, now: number): void {
		const leastImportant = this.#queue.leastImportantPriority;
		if (leastImportant !== undefined && leastImportant < request.priority) {
			this.#shedPriority = leastImportant + 1;
			this.#shedAt = now;
		}
	}

	/** True if the request is not expected to finish before its deadline. The check is stricter while there is a standing queue, because other requests could use the slot. */
	#willMissDeadline(request: AdmissionRequest, now: number): boolean {
		const deviations = this.#isQueueStanding(now) ? standingQueueDeviations : 0;
		return now + (this.#serviceTime.at(request.workClass ?? unknownWorkClass, deviations, now) * this.#pace(now)) >= request.deadline;
	}

	#isQueueStanding(now: number): boolean {
		return this.#queue.size > 0 && now - this.#lastEmptyAt > standingQueueMilliseconds;
	}

	/** Maximum number of queued requests: as many as are expected to start within the target queueing time, between `minimumQueueCapacity` and `queuedRequestsPerSlot` per request that may run. */
	#queueCapacity(now: number): number {
		const rounds = Math.min(queuedRequestsPerSlot, targetQueueingMilliseconds / Math.max(1, this.#serviceTime.overall(now)));
		return Math.max(minimumQueueCapacity, rounds * this.#limit.current(now));
	}

	/** Time in milliseconds in which all queued requests are expected to start, between the minimum and the maximum retry-after time. */
	#retryAfterByQueue(now: number): number {
		const rounds = this.#queue.size / this.#limit.current(now);
		const expected = rounds * this.#serviceTime.overall(now);
		return Math.round(Math.min(maximumRetryAfterMilliseconds, Math.max(minimumRetryAfterMilliseconds, expected)));
	}

	/** Time in milliseconds in which the queued requests that are at least as important as the given one are expected to start, spread by the request's id and within the time that the caller has left. */
	#retryAfterByImportance(request: AdmissionRequest, now: number): number {
		const longest = Math.min(maximumRetryAfterMilliseconds, (request.deadline - now) * maximumShareOfTimeLeft);
		const expected = (this.#queue.countAhead(request) + 1) * this.#millisecondsPerCompletion(now);
		const base = Math.max(minimumRetryAfterMilliseconds, Math.min(expected, longest / (1 + retryAfterSpread)));
		const spread = base * (1 + (retryAfterSpread * getRequestSpread(request.requestId)));
		return Math.max(1, Math.floor(Math.min(spread, longest)));
	}

	/** Mean time between two ends of runs; by the expected service time if no run ended lately. */
	#millisecondsPerCompletion(now: number): number {
		const rate = this.#completionRate.at(now);
		return rate > 0 ? 1 / rate : (this.#expectServiceTime(undefined, now) ?? 0) / this.#limit.current(now);
	}

	#weightOf(team: TeamName | undefined): number {
		const weight = team === undefined ? 1 : this.#teamWeights.get(team) ?? 1;
		return weight > 0 ? weight : 1;
	}
}
