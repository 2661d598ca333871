/**
The interface between the rate limiter of a node and the code that runs it.

The caller invokes `charge` before it admits a root request. The decision is
returned at once or by a later call, after messages were exchanged with the lease
holder of a failure domain. The lease holder owns the domain's part of every
team's token bucket and lends tokens to nodes.
*/

import type {
	Configuration, FailureDomain, FencingNumber, NodeId, RequestId, Revision, TeamName,
} from '@fireflyglade/model';

/** The result of a charge; `retryAfterMilliseconds` is the suggested delay before a retry. */
export type ChargeOutcome =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** A decision about one charge. */
export type ChargeDecision = {
	readonly requestId: RequestId;
	readonly outcome: ChargeOutcome;
};

/** A message between the rate limiters of two nodes; only the rates package interprets the payload. */
export type RateMessage = {
	readonly from: NodeId;
	readonly to: NodeId;
	/** A plain value that the message codec can serialize. */
	readonly payload: unknown;
};

/** The decisions and messages that the caller must deliver after a call. */
export type RateActions = {
	readonly decisions: readonly ChargeDecision[];
	readonly messages: readonly RateMessage[];
};

/** The lease holder that owns a domain's part of the teams' token buckets, as known from membership. */
export type HolderView = {
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	/** Configuration revision that the holder and a majority of its witnesses have reached. */
	readonly revision: Revision;
};

/** The lease that makes this node the lease holder of its failure domain. */
export type OwnLease = {
	readonly fencing: FencingNumber;
	/** Monotonic milliseconds at which the lease ends. */
	readonly until: number;
	/** Configuration revision that the holder must have reached before it lends. */
	readonly revisionAtStart: Revision;
	/** Configuration revision that a majority of the witnesses have reached, so that no later holder starts from an older one. */
	readonly majorityRevision: Revision;
};

/** The rate limiter of one node: it always charges requests, and also lends tokens while the node has its domain's lease. */
export type RateLimiter = {
	/** Charges one token of a team for a root request. Times (`now`) are monotonic milliseconds. */
	charge(team: TeamName, requestId: RequestId, now: number): RateActions;
	/** Returns the token of a request that did not run for lack of capacity. Repeated calls have no effect. */
	refund(requestId: RequestId, now: number): RateActions;
	/** Records that a request has completed, so that its token can no longer be refunded. */
	settle(requestId: RequestId): void;
	/** Handles a message from the rate limiter of another node. */
	receive(message: RateMessage, now: number): RateActions;
	/** Handles timeouts and periodic work; called every 20 ms while charges arrive, else every 100 ms. */
	tick(now: number): RateActions;
	/** Applies a configuration; one that is not newer than the current one is ignored. */
	setConfiguration(configuration: Configuration, now: number): RateActions;
	/** Sets the lease holders by failure domain; a domain without an entry has no known holder. */
	setHolders(holders: ReadonlyMap<FailureDomain, HolderView>, now: number): RateActions;
	/** Sets the lease under which this node is its domain's lease holder, or undefined if it is not. */
	setOwnLease(lease: OwnLease | undefined, now: number): RateActions;
	/** Refuses waiting charges and returns unused tokens before a graceful exit; later charges are refused. */
	shutDown(now: number): RateActions;
};

/**
The tokens that a team may spend beyond its rate and burst in a window, over all
VMs. The tolerance makes up for tokens that are lent to one node but not spent:
without it, another node would refuse a request although its team is within its rate.
*/
export type RateTolerance = {
	/** Tokens for each team. */
	readonly fixed: number;
	/** Share of the sum of the burst and the tokens that the rate produces in a window. */
	readonly share: number;
	readonly windowMilliseconds: number;
};

/** Options of a rate limiter. */
export type RateLimiterOptions = {
	/** Without it a team gets exactly its rate and burst. */
	readonly tolerance?: RateTolerance | undefined;
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Number of this run of the process; it rises with each start. */
	readonly run: number;
};
