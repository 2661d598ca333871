/**
Branded identifiers.

Each kind of identifier is a string or number with a distinct type, so that a team
name can't be passed where a node id is expected. Values from outside are validated
once, by the `create…` function of their kind.
*/

import {InvalidInputError} from '../errors/index.js';

declare const brand: unique symbol;

/** A value whose type is marked with the name of its kind. */
export type Branded<Value, Kind extends string> = Value & {readonly [brand]: Kind};

/** Name of a team, the tenant that a caller belongs to. */
export type TeamName = Branded<string, 'TeamName'>;
/** Public identifier of a key; it is not secret. */
export type KeyId = Branded<string, 'KeyId'>;
/** SHA-256 digest of a key's secret, in lower-case hexadecimal. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** Name of a service that upstreams provide. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Identifier of a route, made of its method and path pattern. */
export type RouteId = Branded<string, 'RouteId'>;
/** Identifier of one upstream: its service, the node beside it and the name of its instance, if any. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** Identifier of a node. */
export type NodeId = Branded<string, 'NodeId'>;
/** Identifier of a control process as a member of the replicated log. */
export type MemberId = Branded<string, 'MemberId'>;
/** Name of a failure domain. */
export type FailureDomain = Branded<string, 'FailureDomain'>;
/** Identifier of one call, unique in the fleet. */
export type RequestId = Branded<string, 'RequestId'>;
/** Identifier of an operator's command; a command that is sent again keeps its identifier. */
export type CommandId = Branded<string, 'CommandId'>;
/** The caller's name for one job of a team, from `Idempotency-Key`. */
export type JobKey = Branded<string, 'JobKey'>;
/** Number that an operator assigns to a complete configuration; it is greater than that of the replaced one. */
export type ConfigurationLabel = Branded<number, 'ConfigurationLabel'>;
/** Number of an accepted configuration; it increases monotonically. */
export type Revision = Branded<number, 'Revision'>;
/** Number that orders the successive holders of a lease; it increases monotonically. */
export type FencingNumber = Branded<number, 'FencingNumber'>;

const namePattern = /^[a-z\d][\w.-]{0,62}$/i;

function checkName<Kind extends string>(kind: string, value: string): Branded<string, Kind> {
	if (!namePattern.test(value)) {
		throw new InvalidInputError(`${kind} ${JSON.stringify(value.slice(0, 80))} is not allowed: it takes 1 to 63 letters, digits, "_", "." or "-", the first a letter or digit`);
	}

	return value as Branded<string, Kind>;
}

/**
Validates a team name.

@throws {InvalidInputError} The value is not a valid name.
*/
export function createTeamName(value: string): TeamName {
	return checkName<'TeamName'>('team name', value);
}

/**
Validates a service name.

@throws {InvalidInputError} The value is not a valid name.
*/
export function createServiceName(value: string): ServiceName {
	return checkName<'ServiceName'>('service name', value);
}

/**
Validates a node id.

@throws {InvalidInputError} The value is not a valid name.
*/
export function createNodeId(value: string): NodeId {
	return checkName<'NodeId'>('node id', value);
}

/**
Validates the id of a control member.

@throws {InvalidInputError} The value is not a valid name.
*/
export function createMemberId(value: string): MemberId {
	return checkName<'MemberId'>('member id', value);
}

/**
Validates the name of a failure domain.

@throws {InvalidInputError} The value is not a valid name.
*/
export function createFailureDomain(value: string): FailureDomain {
	return checkName<'FailureDomain'>('failure domain', value);
}

/**
Creates the identifier of the upstream beside a node.

@param instance - Name that the upstream chose at its start, if any.

@example
```ts
createUpstreamId(createServiceName('orders'), createNodeId('node-1')); // 'orders.node-1'
```
*/
export function createUpstreamId(service: ServiceName, node: NodeId, instance?: string): UpstreamId {
	return (instance === undefined ? `${service}.${node}` : `${service}.${node}.${instance}`) as UpstreamId;
}

/**
Creates the identifier of a route.

@example
```ts
createRouteId('POST', '/orders'); // 'POST /orders'
```
*/
export function createRouteId(method: string, path: string): RouteId {
	return `${method.toUpperCase()} ${path}` as RouteId;
}

/** Label of a configuration that has never been replaced completely. */
export const initialLabel = 0 as ConfigurationLabel;

/** Revision of the initial configuration, before any change. */
export const initialRevision = 0 as Revision;
