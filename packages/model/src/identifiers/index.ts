/**
Branded identifiers.

Every identifier is a string or number that carries its meaning in its type, so
that a team's name can't be passed where a node's id is wanted. A value from
outside is checked once, by the `create…` function of its kind.
*/

import {InvalidInputError} from '../errors/index.js';

declare const brand: unique symbol;

/** A value that carries the name of its kind in its type. */
export type Branded<Value, Kind extends string> = Value & {readonly [brand]: Kind};

/** Name of a team, the tenant that a caller belongs to. */
export type TeamName = Branded<string, 'TeamName'>;
/** Public identifier of a key; it is no secret. */
export type KeyId = Branded<string, 'KeyId'>;
/** SHA-256 digest of a key's secret, in lower-case hexadecimal. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Name of a service that upstreams provide. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Identifier of a route, made of its method and path pattern. */
export type RouteId = Branded<string, 'RouteId'>;
/** Identifier of one upstream: its service and the node beside it. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Identifier of a node. */
export type NodeId = Branded<string, 'NodeId'>;
/** Identifier of a control process as a member of the replicated log. */
export type MemberId = Branded<string, 'MemberId'>;
/** Name of a failure domain. */
export type FailureDomain = Branded<string, 'FailureDomain'>;
/** Identifier of one call, unique in the fleet. */
export type RequestId = Branded<string, 'RequestId'>;
/** Identifier of an operator's command; a resend carries the same one. */
export type CommandId = Branded<string, 'CommandId'>;
/** The caller's name for one job of a team, from `Idempotency-Key`. */
export type JobKey = Branded<string, 'JobKey'>;
/** Number that an operator gives to a whole configuration; each one is above the one that it replaces. */
export type ConfigurationLabel = Branded<number, 'ConfigurationLabel'>;
/** Number of an accepted configuration; it only ever rises. */
export type Revision = Branded<number, 'Revision'>;
/** Number that orders the holders of a lease; it only ever rises. */
export type FencingNumber = Branded<number, 'FencingNumber'>;

const namePattern = /^[a-z\d][\w.-]{0,62}$/i;

function checkName<Kind extends string>(kind: string, value: string): Branded<string, Kind> {
	if (!namePattern.test(value)) {
		throw new InvalidInputError(`${kind} ${JSON.stringify(value.slice(0, 80))} is not allowed: it takes 1 to 63 letters, digits, "_", "." or "-", the first a letter or digit`);
	}

	return value as Branded<string, Kind>;
}

/**
Checks a team's name.

@throws {InvalidInputError} The value is not a name.
*/
export function createTeamName(value: string): TeamName {
	return checkName<'TeamName'>('team name', value);
}

/**
Checks a service's name.

@throws {InvalidInputError} The value is not a name.
*/
export function createServiceName(value: string): ServiceName {
	return checkName<'ServiceName'>('service name', value);
}

/**
Checks a node's id.

@throws {InvalidInputError} The value is not a name.
*/
export function createNodeId(value: string): NodeId {
	return checkName<'NodeId'>('node id', value);
}

/**
Checks a control member's id.

@throws {InvalidInputError} The value is not a name.
*/
export function createMemberId(value: string): MemberId {
	return checkName<'MemberId'>('member id', value);
}

/**
Checks a failure domain's name.

@throws {InvalidInputError} The value is not a name.
*/
export function createFailureDomain(value: string): FailureDomain {
	return checkName<'FailureDomain'>('failure domain', value);
}

/**
Makes the identifier of the upstream beside a node.

@param instance - Name that the upstream took at its start, if it has one.

@example
```ts
createUpstreamId(createServiceName('orders'), createNodeId('node-1')); // 'orders.node-1'
```
*/
export function createUpstreamId(service: ServiceName, node: NodeId, instance?: string): UpstreamId {
	return (instance === undefined ? `${service}.${node}` : `${service}.${node}.${instance}`) as UpstreamId;
}

/**
Makes the identifier of a route.

@example
```ts
createRouteId('POST', '/orders'); // 'POST /orders'
```
*/
export function createRouteId(method: string, path: string): RouteId {
	return `${method.toUpperCase()} ${path}` as RouteId;
}

/** Label of a configuration that was never replaced as a whole. */
export const initialLabel = 0 as ConfigurationLabel;

/** Revision of a configuration to which nothing was ever changed. */
export const initialRevision = 0 as Revision;
