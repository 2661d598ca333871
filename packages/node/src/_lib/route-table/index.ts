/**
Finds the route of a request by prefix or with the router of `h3`.

The router works on the Node request and response directly: no web `Request` body
or `Response` is created for a call. Each configuration gets a new table.
*/

import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {H3, type H3Event, type HTTPMethod} from 'h3';
import {toNodeHandler} from 'h3/node';
import {createRouteId, type Configuration, type Route} from '@fireflyglade/model';
import {PrefixTable} from '../prefix-table/index.js';

/** Handles a request with the result of its route lookup, and writes the whole response. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse, route: RouteMatch) => void;

/** The result of a route lookup. */
export type RouteMatch =
	| {readonly kind: 'route'; readonly route: Route}
	/** The path has routes, but none with the request's method. */
	| {readonly kind: 'other-method'}
	| {readonly kind: 'none'};

/**
Creates the promise that is returned to the router instead of a web `Response`, as
the handler writes to the Node response itself. If the promise settled, the router
would try to write another response, which would raise an error for every call.
*/
async function createPendingPromise(): Promise<never> {
	return new Promise(() => {
		// The promise stays pending and is garbage-collected with the request.
	});
}

const noRoute: RouteMatch = {kind: 'none'};
const otherMethod: RouteMatch = {kind: 'other-method'};

/** Creates a request listener that calls the handler with the route of each request. Prefixes take precedence over path patterns. */
export function createRouteListener(configuration: Configuration, handler: RouteHandler): RequestListener {
	const prefixes = new PrefixTable(configuration.routes.values());
	const patternListener = createPatternListener(configuration, handler);
	if (prefixes.size === 0) {
		return patternListener;
	}

	return (request, response) => {
		const route = prefixes.findRoute(request.headers.host ?? '', request.url!);
		if (route === undefined) {
			patternListener(request, response);
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
		return createPendingPromise();
	};
}
