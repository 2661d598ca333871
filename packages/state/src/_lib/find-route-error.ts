/**
Validates the fields of a route.

Each function returns the first error as a sentence, or undefined if there is none.
*/

import {
	createRouteId, highestPriority, lowestRoutePriority, type Configuration, type Route,
} from '@fireflyglade/model';

/** The most retries that a route may allow. */
const maximumRetryLimit = 10;
/** The longest timeout of a route, one hour. */
const maximumTimeoutMilliseconds = 3_600_000;
const methodPattern = /^[A-Z]{1,16}$/;
const pathSegmentPattern = /^(?::[a-z]\w*|\*\*|[\w.~!$&'()+,;=@%-]+)$/i;

/** The method and the path pattern without parameter names. Routes with equal shapes match the same requests. */
export function routeShape(route: Route): string {
	return `${route.method} ${route.path.replaceAll(/:\w+/g, ':')}`;
}

/** Finds the first error of a route; its teams must exist in the configuration. */
export function findRouteError(route: Route, configuration: Configuration): string | undefined {
	return findPatternError(route)
		?? findLimitError(route)
		?? findTeamsError(route, configuration);
}

function findPatternError(route: Route): string | undefined {
	if (!methodPattern.test(route.method)) {
		return `method ${JSON.stringify(route.method)} is not in capitals`;
	}

	if (route.id !== createRouteId(route.method, route.path)) {
		return 'the id of a route is its method and path';
	}

	if (!route.path.startsWith('/')) {
		return `path ${JSON.stringify(route.path)} does not begin with "/"`;
	}

	const segments = route.path === '/' ? [] : route.path.slice(1).split('/');
	for (const [position, segment] of segments.entries()) {
		if (!pathSegmentPattern.test(segment)) {
			return `path segment ${JSON.stringify(segment)} is not allowed`;
		}

		if (segment === '**' && position < segments.length - 1) {
			return '"**" may stand only at the end of a path';
		}
	}

	return undefined;
}

function findLimitError(route: Route): string | undefined {
	if (!isWholeNumber(route.priority, highestPriority, lowestRoutePriority)) {
		return `priority is a whole number from ${highestPriority} to ${lowestRoutePriority}`;
	}

	if (!isWholeNumber(route.retryLimit, 0, maximumRetryLimit)) {
		return `retries are a whole number from 0 to ${maximumRetryLimit}`;
	}

	if (!isWholeNumber(route.timeoutMilliseconds, 1, maximumTimeoutMilliseconds)) {
		return `timeout is a whole number of milliseconds from 1 to ${maximumTimeoutMilliseconds}`;
	}

	return undefined;
}

function findTeamsError(route: Route, configuration: Configuration): string | undefined {
	if (route.teams === undefined) {
		return undefined;
	}

	if (route.open) {
		return 'a route open to all names no teams';
	}

	for (const team of route.teams) {
		if (!configuration.teams.has(team)) {
			return `team ${team} does not exist`;
		}
	}

	return undefined;
}

function isWholeNumber(value: number, lowest: number, highest: number): boolean {
	return Number.isSafeInteger(value) && value >= lowest && value <= highest;
}
