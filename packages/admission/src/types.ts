/**
Types of a gate's admission control.

Admission control never reads a clock: every `now` is a monotonic time in
milliseconds that the caller passes in.
*/

import type {
	GateLevel, RequestId, TeamName, UpstreamLoad,
} from '@fireflyglade/model';

/** A request that a gate may run, queue or refuse. */
export type AdmissionRequest = {
	readonly requestId: RequestId;
	/** Id of the external caller's request that led to this one. */
	readonly rootId: RequestId;
	/** Absent on public routes; all requests without a team count as one team in fair queueing. */
	readonly team?: TeamName | undefined;
	/** From 0 (most important) to 99. */
	readonly priority: number;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
	/** Monotonic time in milliseconds by which the response has its full value to the caller; absent if there is no latency objective. */
	readonly objective?: number | undefined;
	/** Class of the work, by which service times are estimated, up to `maximumWorkClass`; 0 if unknown. */
	readonly workClass?: number;
	/** Number of hops from the external caller; 0 for its own call. */
	readonly depth: number;
};

/** Why a gate refused a request that had not started to run. When the queue is full, the reason is `queue-full` if the new request itself is refused and `shed` if a queued one is removed in its favour. `deadline` also means that the work ahead of a new request leaves it no time. */
export type RefusalReason = 'queue-full' | 'shed' | 'deadline' | 'draining' | 'cancelled';

/** The decision about one request. */
export type AdmissionDecision =
	| {readonly kind: 'run'; readonly requestId: RequestId}
	| {readonly kind: 'wait'; readonly requestId: RequestId}
	| {readonly kind: 'refuse'; readonly requestId: RequestId; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number};

/** How a run ended; `refused` means that the upstream itself refused the request. */
export type RunOutcome = 'success' | 'failure' | 'timeout' | 'cancelled' | 'refused';

/** The admission control of one gate. A call may also start or refuse other requests, so each decision carries a request id. */
export type Admission = {
	/** True while the queue is not empty, so that `tick` has work to do. */
	readonly hasWaitingRequests: boolean;
	/** Offers a request; the decisions may also concern queued requests. */
	offer(request: AdmissionRequest, now: number): readonly AdmissionDecision[];
	/** Reports the end of a run, with the queueing delay of its calls at downstream gates in milliseconds; the decisions concern queued requests. */
	finish(requestId: RequestId, outcome: RunOutcome, now: number, downstreamQueueingMilliseconds?: number): readonly AdmissionDecision[];
	/** Removes a queued request whose caller has cancelled it. */
	cancel(requestId: RequestId, now: number): readonly AdmissionDecision[];
	/** Refuses queued requests that can no longer meet their deadline and starts those that fit; called about every 10 ms while the queue is not empty. */
	tick(now: number): readonly AdmissionDecision[];
	/** Records the load that the upstream states with a response. */
	observeLoad(load: UpstreamLoad, now: number): void;
	/** Raises the concurrency limit step by step again, because the upstream has probably restarted or was suspended. */
	beginSlowStart?(now: number): void;
	/** Sets the slots that the upstream announced. They bound the concurrency limit from above; the measured limit may be lower. */
	setSlots(slots: number, now: number): void;
	/** Sets the fair-queueing weight of each team, which is its configured rate; the default weight is 1. */
	setTeamWeights(weights: ReadonlyMap<TeamName, number>): void;
	/** Refuses new requests from now on; queued and running requests continue. */
	drain(): void;
	/** What determines the concurrency limit at present, for operators. */
	describeLimit?(now: number): LimitState;
	/** The load of the gate as it is reported to routing nodes, with the service time of requests of the given class. */
	level(now: number, workClass?: number): GateLevel;
};

/** Options of a gate's admission. */
export type AdmissionOptions = {
	/** Slots that the upstream announced: the number of requests that it can run concurrently by its own account. */
	readonly slots: number;
	/** Monotonic time in milliseconds at which the gate starts. */
	readonly now: number;
	/** True if the upstream has just started and needs a slow start. */
	readonly isCold?: boolean;
	/** The concurrency limit; an `AdaptiveLimit` by default. */
	readonly limit?: ConcurrencyLimit;
	/** The order within a team and priority; `earliest-deadline` by default. */
	readonly order?: QueueOrder;
};

/** Which queued request of a team runs next. */
export type QueueOrder =
	/** The one that must start first to meet its latency objective; by deadline without objectives. */
	| 'earliest-deadline'
	/** The newest request while there is a standing queue, otherwise the one with the earliest deadline. */
	| 'newest-when-standing';

/** One run at the upstream, as reported to the concurrency limit. */
export type RunSample = {
	readonly startedAt: number;
	readonly outcome: RunOutcome;
	/** Queueing delay of its calls at downstream gates, in milliseconds. */
	readonly downstreamQueueingMilliseconds?: number;
	/** Number of running requests when it started, including itself. */
	readonly inFlightAtStart?: number;
	/** Class of its work; 0 if unknown. */
	readonly workClass?: number | undefined;
};

/** What determines a concurrency limit at present. */
export type LimitState = {
	/** Latest load that the upstream stated; absent without a valid one. */
	readonly reportedLoad?: UpstreamLoad;
	/** Requests that the slow start lets run at once; absent outside a slow start. */
	readonly slowStartLimit?: number;
};

/** Limits how many requests the upstream runs concurrently. */
export type ConcurrencyLimit = {
	/** The current limit, an integer of at least 1. */
	current(now: number): number;
	/** Sets the slots that the upstream announced. */
	setSlots(slots: number, now: number): void;
	/** Reports that a request started; `inFlight` is the number of running requests, including it. */
	begin(inFlight: number, now: number): void;
	/** Reports that a run ended; `inFlight` is the number of requests that are still running. */
	finish(sample: RunSample, inFlight: number, now: number): void;
	/** Records the load that the upstream states with a response. */
	observeLoad?(load: UpstreamLoad, now: number): void;
	/** Factor by which work takes longer than usual at present; undefined unless the upstream has stated it recently. */
	pace?(now: number): number | undefined;
	/** Raises the limit step by step again, because the upstream has probably restarted or was suspended. */
	beginSlowStart?(now: number): void;
	/** What determines the limit at present, for operators. */
	describe?(now: number): LimitState;
};
