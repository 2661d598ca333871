/**
Finds the route of a request with the router of `h3`.

The router works on the bare Node request and response: no web `Request` body or
`Response` is made for a call. A configuration gives a new table.
*/

import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {H3, type H3Event, type HTTPMethod} from 'h3';
import {toNodeHandler} from 'h3/node';
import {createRouteId, type Configuration, type Route} from '@fireflyglade/model';

/** Serves a request that has found its route; `undefined` if there is none. Settles when the answer has ended. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse, route: RouteMatch) => void;

/** The result of looking for a route. */
export type RouteMatch =
	| {readonly kind: 'route'; readonly route: Route}
	/** The path has routes, but none for the method. */
	| {readonly kind: 'other-method'}
	| {readonly kind: 'none'};

/** Marks in `h3` that the answer was written to the Node response. */
const answerWritten = Symbol.for('h3.handled');
const noRoute: RouteMatch = {kind: 'none'};
const otherMethod: RouteMatch = {kind: 'other-method'};

/** Builds the request listener that finds the routes of a configuration. */
export function createRouteListener(configuration: Configuration, handler: RouteHandler): RequestListener {
	const router = new H3({silent: true});
	const paths = new Set<string>();
	for (const route of configuration.routes.values()) {
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

function serveWith(match: RouteMatch, handler: RouteHandler): (event: H3Event) => Promise<symbol> {
	return async event => {
		const {req: request, res: response} = event.runtime!.node as unknown as {req: IncomingMessage; res: ServerResponse};
		const ended = new Promise<symbol>(resolve => {
			response.once('close', () => {
				resolve(answerWritten);
			});
		});
		handler(request, response, match);
		return ended;
	};
}
