/**
The contract of routing: which target gets a request, and whether a retry is allowed.
*/

import type {
	FailureDomain, GateLevel, NodeId, RandomSource, ServiceName, Target, UpstreamId,
} from '@fireflyglade/model';

/** How an attempt on a target ended, as the entry node saw it. */
export type AttemptOutcome =
	| {readonly kind: 'answered'; readonly latencyMilliseconds: number}
	/** The gate refused; the work did not run. */
	| {readonly kind: 'refused'}
	/** The upstream or the connection failed. */
	| {readonly kind: 'failed'}
	| {readonly kind: 'cancelled'};

/** The choice of a target. */
export type TargetChoice =
	| {readonly kind: 'target'; readonly target: Target}
	/** Every target sheds this priority; refusing now spares a hop. */
	| {readonly kind: 'all-shedding'; readonly retryAfterMilliseconds: number}
	| {readonly kind: 'no-target'};

/** What a choice depends on. */
export type TargetQuery = {
	readonly service: ServiceName;
	readonly priority: number;
	/** Targets that this request has already tried. */
	readonly tried: ReadonlySet<UpstreamId>;
};

/** The routing state of one node. */
export type Routing = {
	/** Replaces what is known of the targets; those not named are forgotten. */
	setTargets(targets: readonly Target[], now: number): void;
	/** Upstreams that operators drain: they get no new work. */
	setDrained(drained: ReadonlySet<UpstreamId>): void;
	choose(query: TargetQuery, now: number, random: RandomSource): TargetChoice;
	/** Reports that an attempt was sent. */
	begin(upstream: UpstreamId, now: number): void;
	/** Reports how an attempt ended, with the level that rode back. */
	end(upstream: UpstreamId, outcome: AttemptOutcome, level: GateLevel | undefined, now: number): void;
	/** Takes over a level that came by other means than an answer. */
	observeLevel(upstream: UpstreamId, level: GateLevel, now: number): void;
};

/** Options of a node's routing. */
export type RoutingOptions = {
	/** The node's own failure domain, preferred to others. */
	readonly domain: FailureDomain;
	/** The node itself; it decides which subset of a large service's targets the node uses. */
	readonly node: NodeId;
};

/** The retry budget of each service. */
export type RetryBudgets = {
	of(service: ServiceName): RetryBudget;
};

/** Caps retries as a share of first attempts. */
export type RetryBudget = {
	/** Counts a first attempt. */
	recordAttempt(now: number): void;
	/** Takes one retry from the budget; false if there is none. */
	takeRetry(now: number): boolean;
};
