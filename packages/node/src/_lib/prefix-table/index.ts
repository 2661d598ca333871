/**
Finds the route of a request by its host and the longest prefix of its path.
*/

import type {Route} from '@fireflyglade/model';

/** The routes of a configuration that have a prefix. */
export class PrefixTable {
	readonly #hosts = new Map<string, Map<string, Route>>();
	readonly #size = 0;

	constructor(routes: Iterable<Route>) {
		for (const route of routes) {
			if (route.prefix === undefined) {
				continue;
			}

			const {host, path} = route.prefix;
			const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
			prefixes.set(path, route);
			this.#hosts.set(host, prefixes);
			this.#size++;
		}
	}

	/** Number of routes in the table. */
	get size(): number {
		return this.#size;
	}

	/**
	Finds the route of a request.

	@param host - Value of the field `Host`; a port and letter case are ignored.
	@param target - The request target: a path, optionally with a query.
	*/
	findRoute(host: string, target: string): Route | undefined {
		const prefixes = this.#hosts.get(host) ?? this.#hosts.get(normalizeHost(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const query = target.indexOf('?');
		let end = query === -1 ? target.length : query;
		for (;;) {
			const slash = target.lastIndexOf('/', end - 1);
			if (slash === -1 || end === 0) {
				return undefined;
			}

			const route = prefixes.get(target.slice(0, slash + 1));
			if (route !== undefined) {
				return route;
			}

			end = slash;
		}
	}
}

function normalizeHost(host: string): string {
	return host.toLowerCase().replace(/:\d+$/, '');
}
