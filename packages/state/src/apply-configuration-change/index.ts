/**
The rules of the configuration: which change may follow which, and what it leads to.

The function is pure and takes no time, so control processes and nodes come to
the same configuration from the same changes.
*/

import {
	UnreachableError,
	type Configuration, type ConfigurationChange, type DomainSettings, type Key, type Revision, type Route, type RouteId, type Team, type TeamName,
} from '@fireflyglade/model';
import {findDomainFault} from '../_lib/find-domain-fault.js';
import {findRouteFault, routeShape} from '../_lib/find-route-fault.js';
import type {ChangeRefusal} from '../types.js';

/** What a change led to. */
export type ConfigurationChangeResult =
	| {readonly kind: 'changed'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly refusal: ChangeRefusal};

/** The parts of a configuration that a change replaces. */
type ChangedParts = Partial<Omit<Configuration, 'revision'>>;

const digestPattern = /^[\da-f]{64}$/;
const namePattern = /^[a-z\d][\w.-]{0,127}$/i;

/**
Applies one change.

@param configuration - The configuration before the change; it is left as it is.
@param change - The change.
@param revision - The revision of the configuration after the change.
@returns The new configuration, or why the change was refused.

@example
```ts
applyConfigurationChange(emptyConfiguration, {kind: 'create-team', team}, 1 as Revision);
```
*/
export function applyConfigurationChange(configuration: Configuration, change: ConfigurationChange, revision: Revision): ConfigurationChangeResult {
	const result = decide(configuration, change);
	if (isRefusal(result)) {
		return {kind: 'refused', refusal: result};
	}

	return {kind: 'changed', configuration: {...configuration, ...result, revision}};
}

function isRefusal(result: ChangedParts | ChangeRefusal): result is ChangeRefusal {
	return 'kind' in result;
}

function decide(configuration: Configuration, change: ConfigurationChange): ChangedParts | ChangeRefusal {
	switch (change.kind) {
		case 'create-team': {
			return createTeam(configuration, change.team);
		}

		case 'change-team': {
			return changeTeam(configuration, change);
		}

		case 'delete-team': {
			return deleteTeam(configuration, change.name);
		}

		case 'issue-key': {
			return issueKey(configuration, change.key);
		}

		case 'withdraw-key': {
			const key = configuration.keys.get(change.id);
			return key === undefined
				? notFound(`key ${change.id}`)
				: {keys: withEntry(configuration.keys, key.id, {...key, withdrawn: true})};
		}

		case 'create-route': {
			return createRoute(configuration, change.route);
		}

		case 'change-route': {
			return changeRoute(configuration, change.id, change.change);
		}

		case 'delete-route': {
			return configuration.routes.has(change.id)
				? {routes: withoutEntry(configuration.routes, change.id)}
				: notFound(`route ${change.id}`);
		}

		case 'drain-upstream': {
			return namePattern.test(change.id)
				? {drainedUpstreams: new Set(configuration.drainedUpstreams).add(change.id)}
				: invalid(`upstream ${JSON.stringify(change.id)} is no upstream's id`);
		}

		case 'undrain-upstream': {
			if (!configuration.drainedUpstreams.has(change.id)) {
				return notFound(`drained upstream ${change.id}`);
			}

			const drainedUpstreams = new Set(configuration.drainedUpstreams);
			drainedUpstreams.delete(change.id);
			return {drainedUpstreams};
		}

		case 'set-domain': {
			return setDomain(configuration, change.domain);
		}

		case 'delete-domain': {
			return configuration.domains.has(change.name)
				? {domains: withoutEntry(configuration.domains, change.name)}
				: notFound(`domain ${change.name}`);
		}

		default: {
			throw new UnreachableError(change);
		}
	}
}

function createTeam(configuration: Configuration, team: Team): ChangedParts | ChangeRefusal {
	if (configuration.teams.has(team.name)) {
		return alreadyExists(`team ${team.name}`);
	}

	const fault = findTeamFault(team);
	return fault === undefined ? {teams: withEntry(configuration.teams, team.name, team)} : invalid(fault);
}

function changeTeam(configuration: Configuration, change: Extract<ConfigurationChange, {kind: 'change-team'}>): ChangedParts | ChangeRefusal {
	const previous = configuration.teams.get(change.name);
	if (previous === undefined) {
		return notFound(`team ${change.name}`);
	}

	const team: Team = {
		name: previous.name,
		ratePerSecond: change.ratePerSecond ?? previous.ratePerSecond,
		burst: change.burst ?? previous.burst,
	};
	const fault = findTeamFault(team);
	return fault === undefined ? {teams: withEntry(configuration.teams, team.name, team)} : invalid(fault);
}

function findTeamFault(team: Team): string | undefined {
	if (!namePattern.test(team.name)) {
		return `team name ${JSON.stringify(team.name)} is not allowed`;
	}

	if (!Number.isFinite(team.ratePerSecond) || team.ratePerSecond <= 0) {
		return 'the rate of a team is a number above 0';
	}

	if (!Number.isFinite(team.burst) || team.burst < 1) {
		return 'the burst of a team is a number from 1 on';
	}

	return undefined;
}

/** Deletes a team with its keys; a route that names the team must be changed first. */
function deleteTeam(configuration: Configuration, name: TeamName): ChangedParts | ChangeRefusal {
	if (!configuration.teams.has(name)) {
		return notFound(`team ${name}`);
	}

	for (const route of configuration.routes.values()) {
		if (route.teams?.includes(name)) {
			return invalid(`route ${route.id} names team ${name}`);
		}
	}

	const keys = new Map(configuration.keys);
	for (const key of configuration.keys.values()) {
		if (key.team === name) {
			keys.delete(key.id);
		}
	}

	return {teams: withoutEntry(configuration.teams, name), keys};
}

function issueKey(configuration: Configuration, key: Key): ChangedParts | ChangeRefusal {
	if (configuration.keys.has(key.id)) {
		return alreadyExists(`key ${key.id}`);
	}

	if (!configuration.teams.has(key.team)) {
		return notFound(`team ${key.team}`);
	}

	if (!namePattern.test(key.id) || !digestPattern.test(key.digest) || key.withdrawn) {
		return invalid('a new key has a name, a SHA-256 digest in lower-case hexadecimal, and is not withdrawn');
	}

	for (const other of configuration.keys.values()) {
		if (other.digest === key.digest) {
			return alreadyExists('a key with this digest');
		}
	}

	return {keys: withEntry(configuration.keys, key.id, key)};
}

function createRoute(configuration: Configuration, route: Route): ChangedParts | ChangeRefusal {
	const shape = routeShape(route);
	for (const other of configuration.routes.values()) {
		if (routeShape(other) === shape) {
			return alreadyExists(`route ${other.id}`);
		}
	}

	const fault = findRouteFault(route, configuration);
	return fault === undefined ? {routes: withEntry(configuration.routes, route.id, route)} : invalid(fault);
}

function changeRoute(configuration: Configuration, id: RouteId, change: Partial<Route>): ChangedParts | ChangeRefusal {
	const previous = configuration.routes.get(id);
	if (previous === undefined) {
		return notFound(`route ${id}`);
	}

	const route = mergeRoute(previous, change);
	const fault = findRouteFault(route, configuration);
	return fault === undefined ? {routes: withEntry(configuration.routes, id, route)} : invalid(fault);
}

/** A field without a value is left as it was, but for `teams`, whose absence opens the route to all teams. */
function mergeRoute(previous: Route, change: Partial<Route>): Route {
	return {
		id: previous.id,
		method: previous.method,
		path: previous.path,
		service: change.service ?? previous.service,
		priority: change.priority ?? previous.priority,
		idempotent: change.idempotent ?? previous.idempotent,
		open: change.open ?? previous.open,
		retryLimit: change.retryLimit ?? previous.retryLimit,
		timeoutMilliseconds: change.timeoutMilliseconds ?? previous.timeoutMilliseconds,
		whenCutOff: change.whenCutOff ?? previous.whenCutOff,
		teams: 'teams' in change ? change.teams : previous.teams,
	};
}

function setDomain(configuration: Configuration, domain: DomainSettings): ChangedParts | ChangeRefusal {
	const fault = findDomainFault(domain, configuration.domains.get(domain.name));
	return fault === undefined ? {domains: withEntry(configuration.domains, domain.name, domain)} : invalid(fault);
}

function withEntry<Name, Value>(entries: ReadonlyMap<Name, Value>, name: Name, value: Value): ReadonlyMap<Name, Value> {
	return new Map(entries).set(name, value);
}

function withoutEntry<Name, Value>(entries: ReadonlyMap<Name, Value>, name: Name): ReadonlyMap<Name, Value> {
	const rest = new Map(entries);
	rest.delete(name);
	return rest;
}

function alreadyExists(what: string): ChangeRefusal {
	return {kind: 'already-exists', what};
}

function notFound(what: string): ChangeRefusal {
	return {kind: 'not-found', what};
}

function invalid(what: string): ChangeRefusal {
	return {kind: 'invalid', what};
}
