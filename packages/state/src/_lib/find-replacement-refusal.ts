/**
Decides whether a replacement of the whole configuration is accepted.
*/

import {
	highestPriority, lowestRoutePriority,
	type Configuration, type ConfigurationReplacement, type KeyDigest, type Route, type ServiceName, type TeamName,
} from '@fireflyglade/model';
import type {ChangeRefusal} from '../types.js';

/**
Finds the reason to refuse a replacement, or returns undefined if it is accepted.

The base label is checked first, so that of two concurrent replacements the later
one is refused with a label conflict rather than with an invalid label.
*/
export function findReplacementRefusal(configuration: Configuration, replacement: ConfigurationReplacement): ChangeRefusal | undefined {
	const {label, base} = replacement;
	if (base !== configuration.label) {
		return {kind: 'label-conflict', expected: base, actual: configuration.label};
	}

	if (label <= configuration.label) {
		return {kind: 'invalid', what: `label ${label} is not above the present one, ${configuration.label}`};
	}

	const error = findContentError(replacement);
	return error === undefined ? undefined : {kind: 'invalid', what: error};
}

function findContentError({teams, keys, routes, services}: ConfigurationReplacement): string | undefined {
	const serviceNames = new Set<ServiceName>(services.map(service => service.name));
	const teamNames = new Set<TeamName>(teams.map(team => team.name));
	if (teamNames.size !== teams.length) {
		return 'two teams have the same name';
	}

	const digests = new Set<KeyDigest>();
	for (const key of keys) {
		if (digests.has(key.digest)) {
			return 'two teams share a key, or one stands twice';
		}

		if (!teamNames.has(key.team)) {
			return `key ${key.id} belongs to no team`;
		}

		digests.add(key.digest);
	}

	return findRoutesError(routes, serviceNames);
}

function findRoutesError(routes: readonly Route[], services: ReadonlySet<ServiceName>): string | undefined {
	const locations = new Set<string>();
	for (const route of routes) {
		const location = route.prefix === undefined ? route.id : `${route.prefix.host}${route.prefix.path}`;
		if (locations.has(location)) {
			return `two routes stand at ${location}`;
		}

		locations.add(location);
		const error = findRouteError(route, services);
		if (error !== undefined) {
			return `route ${route.id}: ${error}`;
		}
	}

	return undefined;
}

function findRouteError(route: Route, services: ReadonlySet<ServiceName>): string | undefined {
	const shares = route.shares ?? [{service: route.service, weight: 1}];
	for (const {service, weight} of shares) {
		if (!services.has(service)) {
			return `service ${service} is unknown`;
		}

		if (!Number.isFinite(weight) || weight < 0) {
			return 'a weight is a number from 0 on';
		}
	}

	if (!shares.some(({weight}) => weight > 0)) {
		return 'no service has a weight above 0';
	}

	if (!Number.isSafeInteger(route.priority) || route.priority < highestPriority || route.priority > lowestRoutePriority) {
		return `priority is a whole number from ${highestPriority} to ${lowestRoutePriority}`;
	}

	if (!Number.isSafeInteger(route.retryLimit) || route.retryLimit < 0) {
		return 'retries are a whole number from 0 on';
	}

	return Number.isFinite(route.timeoutMilliseconds) && route.timeoutMilliseconds > 0 ? undefined : 'the timeout is above 0';
}
