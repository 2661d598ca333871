/**
The configuration that operators create, and the changes that can be made to it.

A configuration is a value: a change gives a new one with the next revision.
*/

import {
	initialLabel, initialRevision,
	type ConfigurationLabel, type FailureDomain, type KeyDigest, type KeyId, type NodeId, type Revision, type RouteId, type ServiceName, type TeamName, type UpstreamId,
} from '../identifiers/index.js';

/** A tenant with its rate and burst over all VMs together. */
export type Team = {
	readonly name: TeamName;
	/** Requests a second. */
	readonly ratePerSecond: number;
	/** Requests that may be made at once after a pause. */
	readonly burst: number;
	/** True if the team's requests are not limited; rate and burst then only weigh it against other teams. */
	readonly isUnlimited?: boolean;
	/** Decides before the priority of each route, which then only orders the requests of teams that are as important. */
	readonly priority?: number;
};

/** A key of a team; only the digest of its secret is kept. */
export type Key = {
	readonly id: KeyId;
	readonly team: TeamName;
	readonly digest: KeyDigest;
	readonly withdrawn: boolean;
};

/** What a cut-off failure domain does with keyed requests of a route once keys are no longer fresh. */
export type CutOffPolicy = 'serve' | 'refuse';

/** One of the services among which a route divides its requests. */
export type ServiceShare = {
	readonly service: ServiceName;
	/** Part of the requests, in proportion to the sum of the weights. */
	readonly weight: number;
};

/** The requests of one host whose path begins with a prefix. */
export type RoutePrefix = {
	/** In lower case, without a port. */
	readonly host: string;
	/** Begins and ends with a slash; of several that fit, the longest counts. */
	readonly path: string;
};

/** A route from a method and path pattern, or from a host and a path prefix, to a service. */
export type Route = {
	readonly id: RouteId;
	/** HTTP method in capitals. */
	readonly method: string;
	/** Path pattern; a segment `:name` matches any one segment, a last `**` matches the rest. */
	readonly path: string;
	/** The service, or the first of `shares`. */
	readonly service: ServiceName;
	/** Services that divide the requests among them; all go to `service` if there is no list. */
	readonly shares?: readonly ServiceShare[];
	/** Takes the place of method and path pattern. */
	readonly prefix?: RoutePrefix;
	/** Milliseconds within which an answer is worth most. */
	readonly latencyObjectiveMilliseconds?: number;
	/** From 0, the most important, to 9. */
	readonly priority: number;
	readonly idempotent: boolean;
	/** True if no key is needed. */
	readonly open: boolean;
	/** Retries after the first attempt, end to end. */
	readonly retryLimit: number;
	readonly timeoutMilliseconds: number;
	readonly whenCutOff: CutOffPolicy;
	/** Teams that may use the route; all teams if there is no list. */
	readonly teams?: readonly TeamName[];
};

/** What operators say of a service. */
export type ServiceSettings = {
	readonly name: ServiceName;
	/** Path that an upstream answers with 200 while it is healthy. */
	readonly healthPath: string;
	/** Connections that one upstream of the service takes from all callers together. */
	readonly maximumConnections: number;
};

/** What callers may send, and how long they may take. */
export type CallerBounds = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

/** A failure domain, with its part of every team's rate and the nodes that grant its leases. */
export type DomainSettings = {
	readonly name: FailureDomain;
	/** Weight of the domain's entitlement to every team's rate; the parts add up to the whole. */
	readonly weight: number;
	/** Three or five nodes that grant leases of the domain; an odd number. */
	readonly witnesses: readonly NodeId[];
};

/** Everything that operators decide, at one revision. */
export type Configuration = {
	readonly revision: Revision;
	readonly teams: ReadonlyMap<TeamName, Team>;
	readonly keys: ReadonlyMap<KeyId, Key>;
	readonly routes: ReadonlyMap<RouteId, Route>;
	readonly domains: ReadonlyMap<FailureDomain, DomainSettings>;
	readonly drainedUpstreams: ReadonlySet<UpstreamId>;
	/** Label of the last whole configuration that an operator put in place. */
	readonly label: ConfigurationLabel;
	readonly services: ReadonlyMap<ServiceName, ServiceSettings>;
	/** Bounds for callers; those of each node's own settings if absent. */
	readonly callerBounds?: CallerBounds;
};

/** The parts that a whole configuration puts in place; failure domains and drained upstreams stay. */
export type ConfigurationReplacement = {
	readonly label: ConfigurationLabel;
	/** Label of the configuration that it builds on. */
	readonly base: ConfigurationLabel;
	readonly teams: readonly Team[];
	readonly keys: readonly Key[];
	readonly routes: readonly Route[];
	readonly services: readonly ServiceSettings[];
	readonly callerBounds?: CallerBounds;
};

/** One change to the configuration. */
export type ConfigurationChange =
	| {readonly kind: 'create-team'; readonly team: Team}
	| {readonly kind: 'change-team'; readonly name: TeamName; readonly ratePerSecond?: number; readonly burst?: number}
	| {readonly kind: 'delete-team'; readonly name: TeamName}
	| {readonly kind: 'issue-key'; readonly key: Key}
	| {readonly kind: 'withdraw-key'; readonly id: KeyId}
	| {readonly kind: 'create-route'; readonly route: Route}
	| {readonly kind: 'change-route'; readonly id: RouteId; readonly change: Partial<Omit<Route, 'id' | 'method' | 'path'>>}
	| {readonly kind: 'delete-route'; readonly id: RouteId}
	| {readonly kind: 'drain-upstream'; readonly id: UpstreamId}
	| {readonly kind: 'undrain-upstream'; readonly id: UpstreamId}
	| {readonly kind: 'set-domain'; readonly domain: DomainSettings}
	| {readonly kind: 'delete-domain'; readonly name: FailureDomain};

/** A change together with the revision that it led to. */
export type AcceptedChange = {
	readonly revision: Revision;
	readonly change: ConfigurationChange;
	/** Wall-clock milliseconds at which the leader accepted the change. */
	readonly acceptedAt: number;
	/** Name of the operator's token. */
	readonly operator: string;
};

/** What a control process or a peer tells a node about the configuration. */
export type ConfigurationUpdate =
	| {readonly kind: 'whole'; readonly configuration: Configuration}
	/** Changes that follow `after`, in order and without a gap. */
	| {readonly kind: 'changes'; readonly after: Revision; readonly changes: readonly AcceptedChange[]};

/** The configuration to which nothing was ever changed. */
export const emptyConfiguration: Configuration = {
	revision: initialRevision,
	teams: new Map(),
	keys: new Map(),
	routes: new Map(),
	domains: new Map(),
	drainedUpstreams: new Set(),
	label: initialLabel,
	services: new Map(),
};
