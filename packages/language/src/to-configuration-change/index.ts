/**
Converts a change statement to a change of the configuration: validates the names
and fills in defaults.
*/

import {
	createFailureDomain, createNodeId, createRouteId, createServiceName, createTeamName,
	defaultPriority, defaultRetryLimit, defaultTimeoutMilliseconds, highestPriority, InvalidInputError, lowestRoutePriority, UnreachableError,
	type Configuration, type ConfigurationChange, type DomainSettings, type KeyDigest, type KeyId, type Route, type UpstreamId,
} from '@fireflyglade/model';
import type {ChangeStatement, RouteStatementSettings} from '../types.js';

/** Inputs of the conversion beside the statement. */
export type ChangeContext = {
	/** The present configuration. An existing domain keeps the settings that the statement doesn't name. */
	readonly configuration: Configuration;
	/** Creates the id and the digest of a new key; called only for `issue key`. */
	readonly createKey: () => {readonly id: KeyId; readonly digest: KeyDigest};
};

type RouteChange = Extract<ConfigurationChange, {kind: 'change-route'}>['change'];

const defaultDomainWeight = 1;
const identifierPattern = /^[a-z\d][\w.-]{0,126}$/i;
const pathPattern = /^\/[\w.~%!$&'()*+,;=:@/-]*$/;
/** HTTP methods without side effects. A route with any other method is idempotent only if its statement says so. */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

function checkIdentifier(kind: string, value: string): string {
	if (!identifierPattern.test(value)) {
		throw new InvalidInputError(`${kind} ${JSON.stringify(value.slice(0, 140))} is not allowed`);
	}

	return value;
}

function checkUpstream(value: string): UpstreamId {
	if (!value.includes('.')) {
		throw new InvalidInputError(`upstream ${JSON.stringify(value)} is not allowed: it takes a service, "." and a node, such as orders.node-1`);
	}

	return checkIdentifier('upstream', value) as UpstreamId;
}

function checkPath(path: string): string {
	if (!pathPattern.test(path)) {
		throw new InvalidInputError(`path ${JSON.stringify(path)} is not allowed`);
	}

	const wildcard = path.indexOf('**');
	if (wildcard !== -1 && (wildcard !== path.length - 2 || path[wildcard - 1] !== '/')) {
		throw new InvalidInputError(`path ${JSON.stringify(path)} is not allowed: "**" is the last segment`);
	}

	return path;
}

function checkRouteSettings(settings: RouteStatementSettings): RouteChange {
	const {service, teams, ...rest} = settings;
	if (rest.priority !== undefined && (rest.priority < highestPriority || rest.priority > lowestRoutePriority)) {
		throw new InvalidInputError(`priority ${rest.priority} is not allowed: it takes ${highestPriority}, the most important, to ${lowestRoutePriority}`);
	}

	return {
		...rest,
		...(service === undefined ? {} : {service: createServiceName(service)}),
		...(teams === undefined ? {} : {teams: teams.map(team => createTeamName(team))}),
	};
}

function createRoute(method: string, path: string, statementSettings: RouteStatementSettings): Route {
	const {service, ...settings} = checkRouteSettings(statementSettings);
	if (service === undefined) {
		throw new InvalidInputError('a new route needs a service');
	}

	return {
		id: createRouteId(method, checkPath(path)),
		method,
		path,
		service,
		priority: defaultPriority,
		idempotent: safeMethods.has(method),
		open: false,
		retryLimit: defaultRetryLimit,
		timeoutMilliseconds: defaultTimeoutMilliseconds,
		whenCutOff: 'serve',
		...settings,
	};
}

function createDomain(change: Extract<ChangeStatement, {kind: 'set-domain'}>, configuration: Configuration): DomainSettings {
	const name = createFailureDomain(change.name);
	const existing = configuration.domains.get(name);
	return {
		name,
		weight: change.weight ?? existing?.weight ?? defaultDomainWeight,
		witnesses: change.witnesses?.map(node => createNodeId(node)) ?? existing?.witnesses ?? [],
	};
}

/**
Converts a change statement to a change of the configuration.

@throws {InvalidInputError} A name or a value is not allowed.
*/
export function toConfigurationChange(change: ChangeStatement, context: ChangeContext): ConfigurationChange {
	switch (change.kind) {
		case 'create-team': {
			return {kind: 'create-team', team: {name: createTeamName(change.name), ratePerSecond: change.ratePerSecond, burst: change.burst}};
		}

		case 'change-team': {
			return {...change, name: createTeamName(change.name)};
		}

		case 'delete-team': {
			return {kind: 'delete-team', name: createTeamName(change.name)};
		}

		case 'issue-key': {
			const team = createTeamName(change.team);
			return {kind: 'issue-key', key: {...context.createKey(), team, withdrawn: false}};
		}

		case 'withdraw-key': {
			return {kind: 'withdraw-key', id: checkIdentifier('key id', change.id) as KeyId};
		}

		case 'create-route': {
			return {kind: 'create-route', route: createRoute(change.method, change.path, change.settings)};
		}

		case 'change-route': {
			return {kind: 'change-route', id: createRouteId(change.method, checkPath(change.path)), change: checkRouteSettings(change.settings)};
		}

		case 'delete-route': {
			return {kind: 'delete-route', id: createRouteId(change.method, checkPath(change.path))};
		}

		case 'drain-upstream': {
			return {kind: 'drain-upstream', id: checkUpstream(change.id)};
		}

		case 'undrain-upstream': {
			return {kind: 'undrain-upstream', id: checkUpstream(change.id)};
		}

		case 'set-domain': {
			return {kind: 'set-domain', domain: createDomain(change, context.configuration)};
		}

		case 'delete-domain': {
			return {kind: 'delete-domain', name: createFailureDomain(change.name)};
		}

		default: {
			throw new UnreachableError(change);
		}
	}
}
