/**
The contract of team rates between a node and its shell.

A node asks `charge` before it admits the root request of a caller. An answer
may come at once or after messages to the team's holder in the failure domain.
*/

import type {
	Configuration, FailureDomain, FencingNumber, NodeId, RequestId, Revision, TeamName,
} from '@fireflyglade/model';

/** What became of a charge. */
export type ChargeOutcome =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** A decision about one charge. */
export type ChargeDecision = {
	readonly requestId: RequestId;
	readonly outcome: ChargeOutcome;
};

/** A message between rate keepers; the payload belongs to the rates package. */
export type RateMessage = {
	readonly from: NodeId;
	readonly to: NodeId;
	/** A plain value that the codec can carry. */
	readonly payload: unknown;
};

/** What the shell has to do after a call. */
export type RateActions = {
	readonly decisions: readonly ChargeDecision[];
	readonly messages: readonly RateMessage[];
};

/** Who holds a domain's part of the teams' buckets, as membership found out. */
export type HolderView = {
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	/** Revision that the holder and a majority of its witnesses have reached. */
	readonly revision: Revision;
};

/** The lease under which a node is its domain's holder. */
export type OwnLease = {
	readonly fencing: FencingNumber;
	/** Monotonic milliseconds at which the lease ends. */
	readonly until: number;
	/** Revision that the holder must have reached before it lends. */
	readonly revisionAtStart: Revision;
	/** Revision that a majority of the witnesses have reached, so that no later holder starts from an older one. */
	readonly majorityRevision: Revision;
};

/** The rate keeper of one node: spender always, holder where it has the lease. */
export type RateLimiter = {
	/** Charges one token of a team for a root request. */
	charge(team: TeamName, requestId: RequestId, now: number): RateActions;
	/** Gives back, once, the token of a request that did not run for lack of capacity. */
	refund(requestId: RequestId, now: number): RateActions;
	/** The request has ended: its token can no longer be given back. */
	settle(requestId: RequestId): void;
	receive(message: RateMessage, now: number): RateActions;
	/** Moves time on; called every 5 to 10 ms while charges wait, else every 100 ms. */
	tick(now: number): RateActions;
	setConfiguration(configuration: Configuration, now: number): RateActions;
	/** Holders by failure domain; a domain without an entry has no known holder. */
	setHolders(holders: ReadonlyMap<FailureDomain, HolderView>, now: number): RateActions;
	/** Takes over that this node is its domain's holder, or no longer is. */
	setOwnLease(lease: OwnLease | undefined, now: number): RateActions;
	/** Hands unused tokens over before a graceful exit. */
	shutDown(now: number): RateActions;
};

/** Options of a rate keeper. */
/**
What a team may get beyond its rate and burst in a window, over all VMs. It lets
tokens that lie unspent at one node be made up for at another, where a request
would be refused although its team is within its rate.
*/
export type RateTolerance = {
	/** Tokens for each team. */
	readonly fixed: number;
	/** Part of the burst and of what the rate gives in a window. */
	readonly share: number;
	readonly windowMilliseconds: number;
};

export type RateLimiterOptions = {
	/** None if absent. */
	readonly tolerance?: RateTolerance | undefined;
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Number that differs at each start of the process and rises from start to start. */
	readonly run: number;
};
