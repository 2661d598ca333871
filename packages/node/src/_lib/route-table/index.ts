/**
Finds the route of a request with the router of `h3`.

The router works on the bare Node request and response: no web `Request` body or
`Response` is made for a call. A configuration gives a new table.
*/

import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {H3, type H3Event, type HTTPMethod} from 'h3';
import {toNodeHandler} from 'h3/node';
import {createRouteId, type Configuration, type Route} from '@fireflyglade/model';
import {PrefixTable} from '../prefix-table/index.js';

/** Serves a request that has found its route; the handler writes the whole answer. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse, route: RouteMatch) => void;

/** The result of looking for a route. */
export type RouteMatch =
	| {readonly kind: 'route'; readonly route: Route}
	/** The path has routes, but none for the method. */
	| {readonly kind: 'other-method'}
	| {readonly kind: 'none'};

/**
Told to the router in place of a web response, as the answer is written to the
Node response. Were it settled, the router would try to write an answer of its
own after it, at the cost of an error for every call.
*/
async function neverSettle(): Promise<never> {
	return new Promise(() => {
		// Stays pending, and goes with the request.
	});
}

const noRoute: RouteMatch = {kind: 'none'};
const otherMethod: RouteMatch = {kind: 'other-method'};

/** Builds the request listener that finds the routes of a configuration. */
export function createRouteListener(configuration: Configuration, handler: RouteHandler): RequestListener {
	const prefixes = new PrefixTable(configuration.routes.values());
	const patterns = createPatternListener(configuration, handler);
	if (prefixes.size === 0) {
		return patterns;
	}

	return (request, response) => {
		const route = prefixes.findRoute(request.headers.host ?? '', request.url!);
		if (route === undefined) {
			patterns(request, response);
			return;
		}

		handler(request, response, {kind: 'route', route});
	};
}

function createPatternListener(configuration: Configuration, handler: RouteHandler): RequestListener {
	const router = new H3({silent: true});
	const paths = new Set<string>();
	for (const route of configuration.routes.values()) {
		if (route.prefix !== undefined) {
			continue;
		}

		router.on(route.method as HTTPMethod, route.path, serveWith({kind: 'route', route}, handler));
		paths.add(route.path);
		if (route.method === 'GET' && !configuration.routes.has(createRouteId('HEAD', route.path))) {
			router.on('HEAD', route.path, serveWith({kind: 'route', route}, handler));
		}
	}

	for (const path of paths) {
		router.all(path, serveWith(otherMethod, handler));
	}

	if (!paths.has('/**')) {
		router.all('/**', serveWith(noRoute, handler));
	}

	return toNodeHandler(router);
}

function serveWith(match: RouteMatch, handler: RouteHandler): (event: H3Event) => Promise<never> {
	return async event => {
		const {req: request, res: response} = event.runtime!.node as unknown as {req: IncomingMessage; res: ServerResponse};
		handler(request, response, match);
		return neverSettle();
	};
}
