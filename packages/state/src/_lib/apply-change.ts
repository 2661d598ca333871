/**
The rules for configuration changes: which changes are valid, and what they modify.
*/

import {
	UnreachableError,
	type Configuration, type ConfigurationChange, type DomainSettings, type Key, type Route, type Team, type TeamName,
} from '@fireflyglade/model';
import type {ChangeRefusal} from '../types.js';
import {findDomainError} from './find-domain-error.js';
import {findRouteError, routeShape} from './find-route-error.js';
import type {CollectionEditor} from './collection-editor.js';

/** The parts of a configuration that a change modifies. */
export type ChangedParts = Partial<Omit<Configuration, 'revision'>>;

const digestPattern = /^[\da-f]{64}$/;
const namePattern = /^[a-z\d][\w.-]{0,127}$/i;

/** True if a change was refused. */
export function isRefusal(result: ChangedParts | ChangeRefusal): result is ChangeRefusal {
	return 'kind' in result;
}

/**
Applies a change by means of an editor, or refuses it.

@param configuration - The configuration before the change; it is modified if the editor works in place.
@returns The modified parts, or the reason why the change was refused, in which case nothing is modified.
*/
export function applyChange(configuration: Configuration, change: ConfigurationChange, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	switch (change.kind) {
		case 'create-team': {
			return createTeam(configuration, change.team, editor);
		}

		case 'change-team': {
			return changeTeam(configuration, change, editor);
		}

		case 'delete-team': {
			return deleteTeam(configuration, change.name, editor);
		}

		case 'issue-key': {
			return issueKey(configuration, change.key, editor);
		}

		case 'withdraw-key': {
			const key = configuration.keys.get(change.id);
			return key === undefined
				? notFound(`key ${change.id}`)
				: {keys: editor.set(configuration.keys, key.id, {...key, withdrawn: true})};
		}

		case 'create-route': {
			return createRoute(configuration, change.route, editor);
		}

		case 'change-route': {
			return changeRoute(configuration, change, editor);
		}

		case 'delete-route': {
			return configuration.routes.has(change.id)
				? {routes: editor.delete(configuration.routes, change.id)}
				: notFound(`route ${change.id}`);
		}

		case 'drain-upstream': {
			return namePattern.test(change.id)
				? {drainedUpstreams: editor.add(configuration.drainedUpstreams, change.id)}
				: invalid(`upstream ${JSON.stringify(change.id)} is no upstream's id`);
		}

		case 'undrain-upstream': {
			return configuration.drainedUpstreams.has(change.id)
				? {drainedUpstreams: editor.remove(configuration.drainedUpstreams, change.id)}
				: notFound(`drained upstream ${change.id}`);
		}

		case 'set-domain': {
			return setDomain(configuration, change.domain, editor);
		}

		case 'delete-domain': {
			return configuration.domains.has(change.name)
				? {domains: editor.delete(configuration.domains, change.name)}
				: notFound(`domain ${change.name}`);
		}

		default: {
			throw new UnreachableError(change);
		}
	}
}

function createTeam(configuration: Configuration, team: Team, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	if (configuration.teams.has(team.name)) {
		return alreadyExists(`team ${team.name}`);
	}

	const error = findTeamError(team);
	return error === undefined ? {teams: editor.set(configuration.teams, team.name, team)} : invalid(error);
}

function changeTeam(configuration: Configuration, change: Extract<ConfigurationChange, {kind: 'change-team'}>, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	const previous = configuration.teams.get(change.name);
	if (previous === undefined) {
		return notFound(`team ${change.name}`);
	}

	const team: Team = {
		name: previous.name,
		ratePerSecond: change.ratePerSecond ?? previous.ratePerSecond,
		burst: change.burst ?? previous.burst,
	};
	const error = findTeamError(team);
	return error === undefined ? {teams: editor.set(configuration.teams, team.name, team)} : invalid(error);
}

function findTeamError(team: Team): string | undefined {
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

/** Deletes a team and its keys; refused while a route names the team. */
function deleteTeam(configuration: Configuration, name: TeamName, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	if (!configuration.teams.has(name)) {
		return notFound(`team ${name}`);
	}

	for (const route of configuration.routes.values()) {
		if (route.teams?.includes(name)) {
			return invalid(`route ${route.id} names team ${name}`);
		}
	}

	let {keys} = configuration;
	for (const key of keys.values()) {
		if (key.team === name) {
			keys = editor.delete(keys, key.id);
		}
	}

	return {teams: editor.delete(configuration.teams, name), keys};
}

function issueKey(configuration: Configuration, key: Key, editor: CollectionEditor): ChangedParts | ChangeRefusal {
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

	return {keys: editor.set(configuration.keys, key.id, key)};
}

function createRoute(configuration: Configuration, route: Route, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	const shape = routeShape(route);
	for (const other of configuration.routes.values()) {
		if (routeShape(other) === shape) {
			return alreadyExists(`route ${other.id}`);
		}
	}

	const error = findRouteError(route, configuration);
	return error === undefined ? {routes: editor.set(configuration.routes, route.id, route)} : invalid(error);
}

function changeRoute(configuration: Configuration, {id, change}: Extract<ConfigurationChange, {kind: 'change-route'}>, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	const previous = configuration.routes.get(id);
	if (previous === undefined) {
		return notFound(`route ${id}`);
	}

	const route = mergeRoute(previous, change);
	const error = findRouteError(route, configuration);
	return error === undefined ? {routes: editor.set(configuration.routes, id, route)} : invalid(error);
}

/** Merges a change into a route. A field that is undefined keeps its value, except for `teams`: an explicit undefined removes the list of teams. */
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

function setDomain(configuration: Configuration, domain: DomainSettings, editor: CollectionEditor): ChangedParts | ChangeRefusal {
	const error = findDomainError(domain, configuration.domains.get(domain.name));
	return error === undefined ? {domains: editor.set(configuration.domains, domain.name, domain)} : invalid(error);
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
