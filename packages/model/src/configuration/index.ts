/**
The configuration that operators create, and the changes that can be made to it.

Configurations are immutable: a change produces a new one with the next revision.
*/

import {
	initialLabel, initialRevision,
	type ConfigurationLabel, type FailureDomain, type KeyDigest, type KeyId, type NodeId, type Revision, type RouteId, type ServiceName, type TeamName, type UpstreamId,
} from '../identifiers/index.js';

/** A tenant with its rate limit and burst across all VMs. */
export type Team = {
	readonly name: TeamName;
	/** Requests per second. */
	readonly ratePerSecond: number;
	/** Requests that may be made at once after an idle period. */
	readonly burst: number;
	/** True if the team's requests are not rate limited; rate and burst then only set its weight against other teams. */
	readonly isUnlimited?: boolean;
	/** Takes precedence over the priority of routes, which then only orders requests of teams with equal priority. */
	readonly priority?: number;
};

/** A key of a team; only the digest of its secret is stored. */
export type Key = {
	readonly id: KeyId;
	readonly team: TeamName;
	readonly digest: KeyDigest;
	readonly withdrawn: boolean;
};

/** How a failure domain that is cut off handles requests of a route that need a key, once keys are no longer fresh. */
export type CutOffPolicy = 'serve' | 'refuse';

/** One of the services to which a route distributes its requests. */
export type ServiceShare = {
	readonly service: ServiceName;
	/** Share of the requests, relative to the sum of all weights. */
	readonly weight: number;
};

/** Matches the requests of one host whose path begins with a prefix. */
export type RoutePrefix = {
	/** In lower case, without a port. */
	readonly host: string;
	/** Begins and ends with a slash; the longest matching prefix applies. */
	readonly path: string;
};

/** A route from a method and path pattern, or from a host and a path prefix, to a service. */
export type Route = {
	readonly id: RouteId;
	/** HTTP method in capitals. */
	readonly method: string;
	/** Path pattern; a segment `:name` matches exactly one segment, and a final `**` matches all remaining segments. */
	readonly path: string;
	/** The service, or the first of `shares`. */
	readonly service: ServiceName;
	/** Services to which requests are distributed; all requests go to `service` if absent. */
	readonly shares?: readonly ServiceShare[];
	/** Matches requests instead of the method and path pattern. */
	readonly prefix?: RoutePrefix;
	/** Target latency of a response, in milliseconds. */
	readonly latencyObjectiveMilliseconds?: number;
	/** From 0, the most important, to 9. */
	readonly priority: number;
	readonly idempotent: boolean;
	/** True if requests need no key. */
	readonly open: boolean;
	/** Maximum number of retries after the first attempt, counted for the whole call. */
	readonly retryLimit: number;
	readonly timeoutMilliseconds: number;
	readonly whenCutOff: CutOffPolicy;
	/** Teams that may use the route; all teams if absent. */
	readonly teams?: readonly TeamName[];
};

/** Settings of a service. */
export type ServiceSettings = {
	readonly name: ServiceName;
	/** Path of the health check; a healthy upstream responds with status 200. */
	readonly healthPath: string;
	/** Maximum number of connections that one upstream of the service accepts from all callers together. */
	readonly maximumConnections: number;
};

/** Limits for the size and duration of callers' requests. */
export type CallerBounds = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

/** A failure domain, with its share of every team's rate and the nodes that grant its leases. */
export type DomainSettings = {
	readonly name: FailureDomain;
	/** Weight of the domain's share of every team's rate; the shares of all domains add up to the whole rate. */
	readonly weight: number;
	/** The nodes that grant leases of the domain: an odd number, three or five. */
	readonly witnesses: readonly NodeId[];
};

/** The complete configuration at one revision. */
export type Configuration = {
	readonly revision: Revision;
	readonly teams: ReadonlyMap<TeamName, Team>;
	readonly keys: ReadonlyMap<KeyId, Key>;
	readonly routes: ReadonlyMap<RouteId, Route>;
	readonly domains: ReadonlyMap<FailureDomain, DomainSettings>;
	readonly drainedUpstreams: ReadonlySet<UpstreamId>;
	/** Label of the last complete configuration that an operator installed. */
	readonly label: ConfigurationLabel;
	readonly services: ReadonlyMap<ServiceName, ServiceSettings>;
	/** Limits for callers; each node's own settings apply if absent. */
	readonly callerBounds?: CallerBounds;
};

/** A complete replacement of the configuration, except for failure domains and drained upstreams, which are kept. */
export type ConfigurationReplacement = {
	readonly label: ConfigurationLabel;
	/** Label of the configuration that this one is based on. */
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

/** An accepted change with the revision that it produced. */
export type AcceptedChange = {
	readonly revision: Revision;
	readonly change: ConfigurationChange;
	/** Wall-clock milliseconds at which the leader accepted the change. */
	readonly acceptedAt: number;
	/** Name of the operator's token. */
	readonly operator: string;
};

/** A configuration update that a control process or a peer sends to a node. */
export type ConfigurationUpdate =
	| {readonly kind: 'whole'; readonly configuration: Configuration}
	/** All changes after revision `after`, in order and without gaps. */
	| {readonly kind: 'changes'; readonly after: Revision; readonly changes: readonly AcceptedChange[]};

/** The initial configuration, before any change. */
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
