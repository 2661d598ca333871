/**
Divides the requests of a route among services in proportion to their weights.

For each route, a low-discrepancy sequence advances by the golden ratio, so that a
few requests already match the weights closely. It starts at a random position, so
that many nodes with few requests each don't all start with the same service.
*/

import type {
	RandomSource, Route, RouteId, ServiceName,
} from '@fireflyglade/model';

/** Fractional part of the golden ratio, whose multiples modulo 1 are distributed most evenly. */
const goldenRatioFraction = (Math.sqrt(5) - 1) / 2;

/** Selects the service of each request. */
export class WeightedServiceSelector {
	readonly #random: RandomSource;
	readonly #positions = new Map<RouteId, number>();

	constructor(random: RandomSource) {
		this.#random = random;
	}

	/** Selects the service of the next request on a route. */
	select(route: Route): ServiceName {
		const {shares} = route;
		if (shares === undefined || shares.length < 2) {
			return route.service;
		}

		const position = ((this.#positions.get(route.id) ?? this.#random.nextFraction()) + goldenRatioFraction) % 1;
		this.#positions.set(route.id, position);
		return findServiceAt(route, position);
	}

	/** Removes the state of routes that no longer exist. */
	retain(routes: ReadonlyMap<RouteId, Route>): void {
		for (const id of this.#positions.keys()) {
			if (!routes.has(id)) {
				this.#positions.delete(id);
			}
		}
	}
}

/** Finds the service whose interval contains the position, if the interval from 0 to 1 is divided by weight. */
function findServiceAt({service, shares = []}: Route, position: number): ServiceName {
	let totalWeight = 0;
	for (const {weight} of shares) {
		totalWeight += weight;
	}

	let remainingWeight = position * totalWeight;
	for (const share of shares) {
		remainingWeight -= share.weight;
		if (remainingWeight < 0) {
			return share.service;
		}
	}

	return service;
}
