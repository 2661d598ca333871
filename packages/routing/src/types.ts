/**
Types of routing: the choice of a target for a request, and retry budgets.
*/

import type {
	FailureDomain, GateLevel, NodeId, RandomSource, ServiceName, Target, UpstreamId,
} from '@fireflyglade/model';

/** How an attempt on a target ended, as observed by the sending node. */
export type AttemptOutcome =
	| {readonly kind: 'answered'; readonly latencyMilliseconds: number}
	/** The gate refused the request; the work did not run. */
	| {readonly kind: 'refused'}
	/** The gate could not be reached; the work did not run. */
	| {readonly kind: 'unreachable'}
	/** The upstream or the connection failed. */
	| {readonly kind: 'failed'}
	| {readonly kind: 'cancelled'};

/** The result of choosing a target. */
export type TargetChoice =
	| {readonly kind: 'target'; readonly target: Target}
	/** Every usable target sheds this priority; refusing the request here saves a hop. */
	| {readonly kind: 'all-shedding'; readonly retryAfterMilliseconds: number}
	| {readonly kind: 'no-target'};

/** The properties of a request that the choice of a target depends on. */
export type TargetQuery = {
	readonly service: ServiceName;
	readonly priority: number;
	/** Monotonic time in milliseconds; absent if the request has no deadline. */
	readonly deadline?: number;
	/** Monotonic time in milliseconds by which the response has its full value to the caller; absent if there is no latency objective. */
	readonly objective?: number | undefined;
	/** Class of the work, by which service times are kept for each target; 0 if unknown. */
	readonly workClass?: number;
	/** Targets that previous attempts of this request have used. */
	readonly tried: ReadonlySet<UpstreamId>;
};

/** Why a target doesn't get a request. */
export type TargetExclusion =
	| {readonly kind: 'drained'}
	| {readonly kind: 'ejected'; readonly remainingMilliseconds: number}
	/** The gate can't be reached or doesn't respond. */
	| {readonly kind: 'unreachable'}
	| {readonly kind: 'stopping'}
	| {readonly kind: 'unavailable'}
	/** The gate sheds requests of this priority. */
	| {readonly kind: 'shedding'}
	/** A previous attempt of the request has used the target. */
	| {readonly kind: 'tried'};

/** How the choice sees one target of a request's service. */
export type TargetExplanation = {
	readonly target: Target;
	/** Absent if the target may be chosen. */
	readonly exclusion?: TargetExclusion;
	/** True for the target that would be chosen if all were compared. */
	readonly isPreferred: boolean;
	/** Requests at the target relative to its concurrency limit; with this request if it has an objective. */
	readonly load: number;
	/** Expected wait and service time; absent if the choice goes by load alone. */
	readonly waitMilliseconds?: number;
	readonly serviceMilliseconds?: number;
	/** Probability of an answer within the objective; absent if the choice goes by load alone. */
	readonly probability?: number;
	/** Share of recent attempts that succeeded. */
	readonly successShare: number;
	/** Age of the latest gate level; absent if there is none. */
	readonly levelAgeMilliseconds?: number;
	/** Fraction of its usual share of requests that the target may get, from 0 to 1. */
	readonly part: number;
};

/** The routing state of one node. */
export type Routing = {
	/** Replaces the set of targets; the state of targets that remain is kept. */
	setTargets(targets: readonly Target[], now: number): void;
	/** Sets the upstreams that operators drain; they get no new requests. */
	setDrained(drained: ReadonlySet<UpstreamId>): void;
	/** Chooses the target of the next attempt. */
	choose(query: TargetQuery, now: number, random: RandomSource): TargetChoice;
	/** Explains how a choice sees the service's targets, the preferred ones first and those that may not be chosen last. Changes no state. */
	explain(query: TargetQuery, now: number): readonly TargetExplanation[];
	/** Reports that an attempt was sent. */
	begin(upstream: UpstreamId, now: number): void;
	/** Reports how an attempt ended, with the gate level that the answer carried. The level's service time is that of requests of the attempt's work class. */
	end(upstream: UpstreamId, outcome: AttemptOutcome, level: GateLevel | undefined, now: number, workClass?: number): void;
	/** Records that an upstream's gate has stopped responding, or responds again. */
	setResponsive(upstream: UpstreamId, isResponsive: boolean, now: number): void;
	/** Records a gate level that arrived by other means than an answer. */
	observeLevel(upstream: UpstreamId, level: GateLevel, now: number): void;
};

/** Options of a node's routing. */
export type RoutingOptions = {
	/** The node's own failure domain, which is preferred to others. */
	readonly domain: FailureDomain;
	/** The node itself; its id determines which subset of a large service's targets it uses. */
	readonly node: NodeId;
};

/** The retry budgets of all services. */
export type RetryBudgets = {
	/** Returns the retry budget of a service. */
	of(service: ServiceName): RetryBudget;
};

/** What a retry is wanted for. */
export type RetryDemand = {
	/** `refused-call`: the upstream refused the call without running it, and makes no calls itself. `repeated-run`: the retry may cause repeats further down. */
	readonly kind: 'refused-call' | 'repeated-run';
	/** 0 for the request of a caller. */
	readonly depth: number;
	readonly priority: number;
	/** Calls that the run which made the call made before; 0 if absent. */
	readonly progress?: number;
};

/** Limits retries to a share of first attempts. */
export type RetryBudget = {
	/** Counts a first attempt. The probability that it counts as a repeat, because the run that made the call was one, is 0 if absent. */
	recordAttempt(now: number, repeatProbability?: number): void;
	/** Takes back a first attempt, if no attempt of its call reached an upstream. Absent where all first attempts count. */
	withdrawAttempt?(recordedAt: number, repeatProbability?: number): void;
	/** Consumes one retry from the budget; returns false if the budget is exhausted. */
	takeRetry(now: number, demand?: RetryDemand): boolean;
};
