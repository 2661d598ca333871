/**
Divides the requests of a route among services in the proportion of their weights.

The sequence advances by the golden ratio, so that the shares are met closely
after few requests, and begins at a random place, so that many nodes with few
requests each don't all begin with the same service.
*/

import type {
	RandomSource, Route, RouteId, ServiceName,
} from '@fireflyglade/model';

/** Fractional part of the golden ratio; its multiples are spread most evenly. */
const step = (Math.sqrt(5) - 1) / 2;

/** Chooses the service of each request. */
export class WeightedServiceSelector {
	readonly #random: RandomSource;
	readonly #positions = new Map<RouteId, number>();

	constructor(random: RandomSource) {
		this.#random = random;
	}

	/** The service of the next request on a route. */
	select(route: Route): ServiceName {
		const {shares} = route;
		if (shares === undefined || shares.length < 2) {
			return route.service;
		}

		const position = ((this.#positions.get(route.id) ?? this.#random.nextFraction()) + step) % 1;
		this.#positions.set(route.id, position);
		return serviceAt(route, position);
	}

	/** Forgets the routes that are gone. */
	retain(routes: ReadonlyMap<RouteId, Route>): void {
		for (const id of this.#positions.keys()) {
			if (!routes.has(id)) {
				this.#positions.delete(id);
			}
		}
	}
}

/** The service whose part of the whole, from 0 to 1, holds the position. */
function serviceAt({service, shares = []}: Route, position: number): ServiceName {
	let sum = 0;
	for (const {weight} of shares) {
		sum += weight;
	}

	let left = position * sum;
	for (const share of shares) {
		left -= share.weight;
		if (left < 0) {
			return share.service;
		}
	}

	return service;
}
