/**
The contract of the gate's admission: typed requests in, typed decisions out.

Nothing here reads a clock: `now` is always monotonic milliseconds.
*/

import type {GateLevel, RequestId, TeamName} from '@fireflyglade/model';

/** A request that asks to run at a gate. */
export type AdmissionRequest = {
	readonly requestId: RequestId;
	readonly rootId: RequestId;
	/** Absent on a route open to all; such requests share one place in the fairness between teams. */
	readonly team?: TeamName | undefined;
	/** From 0, the most important, to 99. */
	readonly priority: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** 0 for the call of a caller, one more at each hop. */
	readonly depth: number;
};

/** Why a gate refused a request that had not begun to run. */
export type RefusalReason = 'queue-full' | 'shed' | 'deadline' | 'draining' | 'cancelled';

/** What a gate decides about one request. */
export type AdmissionDecision =
	| {readonly kind: 'run'; readonly requestId: RequestId}
	| {readonly kind: 'wait'; readonly requestId: RequestId}
	| {readonly kind: 'refuse'; readonly requestId: RequestId; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number};

/** How a request that ran came to its end; `refused` if the upstream itself refused to run it. */
export type RunOutcome = 'success' | 'failure' | 'timeout' | 'cancelled' | 'refused';

/** The admission of one gate. One call may start or refuse other requests too: each decision names its request. */
export type Admission = {
	/** True while a request waits, so that `tick` has something to do. */
	readonly hasWaitingRequests: boolean;
	/** Offers a request; the decisions may also concern requests that waited. */
	offer(request: AdmissionRequest, now: number): readonly AdmissionDecision[];
	/** Reports the end of a request that ran, with the milliseconds that its calls waited at gates below; the decisions concern requests that waited. */
	finish(requestId: RequestId, outcome: RunOutcome, now: number, queuedBelowMilliseconds?: number): readonly AdmissionDecision[];
	/** Takes back a request that waits, as its caller has gone. */
	cancel(requestId: RequestId, now: number): readonly AdmissionDecision[];
	/** Refuses what can no longer meet its deadline and starts what fits; called about every 10 ms while something waits. */
	tick(now: number): readonly AdmissionDecision[];
	/** Takes over the slots that the upstream announced; a hint, never more than the measured limit. */
	setSlots(slots: number, now: number): void;
	/** Sets the weight of each team, its rate; teams without one weigh 1. */
	setTeamWeights(weights: ReadonlyMap<TeamName, number>): void;
	/** Refuses new requests from now on; what waits or runs goes on. */
	drain(): void;
	level(now: number): GateLevel;
};

/** Options of a gate's admission. */
export type AdmissionOptions = {
	/** Slots that the upstream announced. */
	readonly slots: number;
	/** Monotonic milliseconds at which the gate starts. */
	readonly now: number;
	/** True if the upstream has just started and must warm up. */
	readonly isCold?: boolean;
	/** The concurrency limit; an `AdaptiveLimit` if absent. */
	readonly limit?: ConcurrencyLimit;
	/** The order within a team; `earliest-deadline` if absent. */
	readonly order?: QueueOrder;
};

/** Which waiting request of a team runs next. */
export type QueueOrder =
	| 'earliest-deadline'
	/** The newest once the queue has stood for long, else the earliest deadline. */
	| 'newest-when-standing';

/** One run at the upstream, as its concurrency limit sees it. */
export type RunSample = {
	readonly startedAt: number;
	readonly outcome: RunOutcome;
	/** Milliseconds that its calls waited at gates below. */
	readonly downstreamQueueingMilliseconds?: number;
	/** Requests that ran when it started, itself counted. */
	readonly inFlightAtStart?: number;
};

/** How many requests the upstream may run at once. */
export type ConcurrencyLimit = {
	/** The limit that is in force, a whole number of at least 1. */
	current(now: number): number;
	/** Takes over the slots that the upstream announced. */
	setSlots(slots: number, now: number): void;
	/** Reports that a request started, with the number that now run. */
	begin(inFlight: number, now: number): void;
	/** Reports a run that ended, with the number that still run. */
	finish(sample: RunSample, inFlight: number, now: number): void;
};
