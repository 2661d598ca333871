/**
The interface between the membership of a node and the code that runs it: failure
detection and gossip, the upstreams that members announce, withdrawn keys, leased
roles, and the detection of network partitions.

Times (`now`, `until`, `since`) are monotonic milliseconds of the node.
*/

import type {
	Configuration, FailureDomain, FencingNumber, GateLevel, KeyId, NodeId, Revision, Target,
} from '@fireflyglade/model';

/** The state that a node announces about itself. */
export type SelfDescription = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly rpcAddress: string;
	readonly gateUrl: string;
	/** The upstream beside the node, if one announced itself to the node. */
	readonly target?: Target;
	readonly level?: GateLevel;
	/** True once the node is shutting down. */
	readonly leaving: boolean;
	/** Revision of the configuration that is in force at the node. */
	readonly revision: Revision;
};

/** The state of a member as this node sees it. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/** A member as this node sees it. */
export type MemberView = {
	readonly description: SelfDescription;
	readonly state: MemberState;
};

/** A message between members; only the membership package interprets the payload. */
export type MembershipMessage = {
	readonly from: NodeId;
	readonly fromAddress: string;
	/** `address:port` of the receiver's RPC listener. */
	readonly toAddress: string;
	readonly payload: unknown;
};

/** Whether the node is connected, has lost contact with the control quorum only, or is also cut off from at least half of the failure domains. */
export type Connectivity =
	| {readonly kind: 'connected'}
	| {readonly kind: 'control-outage'; readonly since: number}
	| {readonly kind: 'cut-off'; readonly since: number};

/** An event that the caller has to handle. */
export type MembershipEvent =
	| {readonly kind: 'members-changed'}
	| {readonly kind: 'targets-changed'}
	| {readonly kind: 'keys-withdrawn'; readonly keys: readonly KeyId[]}
	| {readonly kind: 'holders-changed'}
	| {readonly kind: 'own-lease-changed'}
	/** A peer has spread an entry of a target that no node could use; it was left out. */
	| {readonly kind: 'target-rejected'; readonly node: NodeId}
	/** A peer has a newer configuration, which can be fetched from its address. */
	| {readonly kind: 'newer-revision'; readonly revision: Revision; readonly rpcAddress: string};

/** The messages to deliver and the events to handle after a call. */
export type MembershipActions = {
	readonly messages: readonly MembershipMessage[];
	readonly events: readonly MembershipEvent[];
};

/** A leased role in a failure domain: the holder owns the domain's part of the teams' token buckets, the relay distributes the configuration. */
export type DomainRole = 'holder' | 'relay';

/** The lease of a role, as known to its holder or to another node. */
export type RoleLease = {
	readonly role: DomainRole;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	/** Time at which this node's own lease ends. For another node's lease, whose end is not known here, it is one nominal lease duration after the call. */
	readonly until: number;
	/** Configuration revision that the holder and a majority of its witnesses have reached. */
	readonly revision: Revision;
	/** Highest configuration revision of a voter when the lease began; set only on the lease holder itself. */
	readonly revisionAtStart?: Revision;
};

/** The membership of one node. */
export type Membership = {
	/** Handles a message from another member. */
	receive(message: MembershipMessage, now: number): MembershipActions;
	/** Runs the periodic work: probes, timeouts, gossip and lease renewals. */
	tick(now: number): MembershipActions;
	/** Sets the state that the node announces about itself. */
	describeSelf(description: SelfDescription, now: number): MembershipActions;
	/** Applies a configuration; one that is not newer than the current one is ignored. */
	setConfiguration(configuration: Configuration, now: number): MembershipActions;
	/** Adds keys to the grow-only set of withdrawn keys. */
	withdrawKeys(keys: readonly KeyId[], now: number): MembershipActions;
	withdrawnKeys(): ReadonlySet<KeyId>;
	/** Records contact with a control daemon that has contact with its quorum. */
	observeQuorum(now: number): void;
	connectivity(now: number): Connectivity;
	members(): readonly MemberView[];
	/** Returns the targets of the members that are present, in this domain and in other reachable domains. */
	targets(): readonly Target[];
	/** Returns the last announced levels of the gates, by node; only of members that are present. */
	levels(): ReadonlyMap<NodeId, GateLevel>;
	/** Returns the lease of a role in a domain, or undefined if no valid lease is known. Another node's lease counts as valid while its holder is present and its domain reachable. */
	lease(role: DomainRole, domain: FailureDomain, now: number): RoleLease | undefined;
	/** Announces that the node leaves, and stops renewing its leases. */
	leave(now: number): MembershipActions;
};

/** Options of a node's membership. */
export type MembershipOptions = {
	readonly self: SelfDescription;
	/** RPC addresses of nodes through which this node joins. */
	readonly seeds: readonly string[];
	/** True if seeds are added later with `addSeeds`. The join timeout starts with the first call, and the node chooses no provisional witness until a call has passed an address. */
	readonly isDiscovering?: boolean;
	/** Seed of the random number generator. */
	readonly randomSeed: number;
	/** Number that rises with each start of the process, so that records of this run supersede those of earlier runs. */
	readonly incarnation: number;
	readonly now: number;
};
