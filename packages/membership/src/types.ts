/**
The contract of membership between a node and its shell: failure detection by
gossip, the upstreams that members announce, withdrawn keys, leased roles and
the evidence of a cut.
*/

import type {
	Configuration, FailureDomain, FencingNumber, GateLevel, KeyId, NodeId, Revision, Target,
} from '@fireflyglade/model';

/** What a node tells about itself. */
export type SelfDescription = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly rpcAddress: string;
	readonly gateUrl: string;
	/** The upstream beside the node, if one announced itself. */
	readonly target?: Target;
	readonly level?: GateLevel;
	/** True once the node shuts down. */
	readonly leaving: boolean;
	/** Revision of the configuration that is in force at the node. */
	readonly revision: Revision;
};

/** State of a member as seen here. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/** A member as seen here. */
export type MemberView = {
	readonly description: SelfDescription;
	readonly state: MemberState;
};

/** A message between members; the payload belongs to the membership package. */
export type MembershipMessage = {
	readonly from: NodeId;
	readonly fromAddress: string;
	/** `address:port` of the receiver's RPC listener. */
	readonly toAddress: string;
	readonly payload: unknown;
};

/** Whether the node is connected, has only lost the control quorum, or is cut off. */
export type Connectivity =
	| {readonly kind: 'connected'}
	| {readonly kind: 'control-outage'; readonly since: number}
	| {readonly kind: 'cut-off'; readonly since: number};

/** Something that the shell has to act on. */
export type MembershipEvent =
	| {readonly kind: 'members-changed'}
	| {readonly kind: 'targets-changed'}
	| {readonly kind: 'keys-withdrawn'; readonly keys: readonly KeyId[]}
	| {readonly kind: 'holders-changed'}
	| {readonly kind: 'own-lease-changed'}
	/** A peer has a newer configuration: fetch it from there. */
	| {readonly kind: 'newer-revision'; readonly revision: Revision; readonly rpcAddress: string};

/** What the shell has to do after a call. */
export type MembershipActions = {
	readonly messages: readonly MembershipMessage[];
	readonly events: readonly MembershipEvent[];
};

/** A leased role in a failure domain: the holder of the teams' buckets, or the relay of the configuration. */
export type DomainRole = 'holder' | 'relay';

/** A lease as its own holder or another node knows it. */
export type RoleLease = {
	readonly role: DomainRole;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	/** Monotonic milliseconds of this node at which the lease ends. */
	readonly until: number;
	/** Revision that the holder and a majority of its witnesses have reached. */
	readonly revision: Revision;
	/** For the holder itself: highest revision of a voter when the lease began. */
	readonly revisionAtStart?: Revision;
};

/** The membership of one node. */
export type Membership = {
	receive(message: MembershipMessage, now: number): MembershipActions;
	tick(now: number): MembershipActions;
	/** Takes over what the node tells about itself. */
	describeSelf(description: SelfDescription, now: number): MembershipActions;
	setConfiguration(configuration: Configuration, now: number): MembershipActions;
	/** Adds keys to the grow-only set of withdrawn keys. */
	withdrawKeys(keys: readonly KeyId[], now: number): MembershipActions;
	withdrawnKeys(): ReadonlySet<KeyId>;
	/** Word from a control process that has heard its quorum. */
	observeQuorum(now: number): void;
	connectivity(now: number): Connectivity;
	members(): readonly MemberView[];
	/** Targets of members that are alive, in this domain and, by summaries, in others. */
	targets(): readonly Target[];
	levels(): ReadonlyMap<NodeId, GateLevel>;
	/** The lease of a role in a domain, if one is known that has not ended. */
	lease(role: DomainRole, domain: FailureDomain, now: number): RoleLease | undefined;
	/** Tells peers that the node leaves, and gives up its roles. */
	leave(now: number): MembershipActions;
};

/** Options of a node's membership. */
export type MembershipOptions = {
	readonly self: SelfDescription;
	/** RPC addresses of nodes to join by. */
	readonly seeds: readonly string[];
	/** True if more seeds are told once the node runs: before that it takes no role on its own account. */
	readonly isDiscovering?: boolean;
	/** Seed of the random choices. */
	readonly randomSeed: number;
	/** Number that differs at each start of the process, so that a restart outranks what was said of the earlier run. */
	readonly incarnation: number;
	readonly now: number;
};
