/**
Sheds requests of external callers at an entry node when a service deep in the
call graph is overloaded.

A request that a deep bottleneck refuses has already used most of the capacity
it needs, at the expense of other requests. To shed load before that, gates
report the queueing delay at the most delayed downstream service with each
answer. While the delay at a service is too long, the entry node admits only a
share of the requests that depend on it. Shedding starts with the least important
routes. It skips routes with a low occupancy (request rate times latency),
because shedding them would free little capacity, and reaches the most important
routes last, up to one half of their requests. The share is lowered at most once
per settling time, so that the effect of a decrease shows before the next one.
It recovers with time alone, at an increasing rate, independent of the node's
traffic.
*/

import {
	millisecondsInSecond, type RandomSource, type RouteId, type ServiceName,
} from '@fireflyglade/model';
import type {QueueingDelay} from '../queueing-delay-tracker/index.js';

/** A route and a priority, which together have one admitted share. */
export type RootRoute = {
	readonly id: RouteId;
	/** From 0 (most important) to 99. */
	readonly priority: number;
};

/** Mean queueing delay that keeps an upstream busy without harm. */
const toleratedDelayMilliseconds = 40;
/** Queueing delay at which the decrease is at its maximum; gates queue requests for about this long at most. */
const maximumDelayMilliseconds = 250;
/** Relative decrease of the admitted share for a delay just above the tolerated one. */
const minimumDecrease = 0.03;
/** Relative decrease of the admitted share for the maximum delay. */
const maximumDecrease = 0.35;
/** Time window over which delays are averaged. */
const averagingWindowMilliseconds = 200;
/** Time after a decrease until its effect shows in the delays. */
const settlingMilliseconds = 600;
/** Linear term of the recovery of the admitted share, per second after a decrease. */
const recoveryPerSecond = 0.03;
/** Quadratic term of the recovery of the admitted share, per square second after a decrease. */
const recoveryPerSquareSecond = 0.01;
/** Maximum share of a route's requests that is shed in favour of more important ones, so that some are always admitted. */
const maximumRouteShedShare = 0.75;
/** Maximum share of the most important routes' requests that is shed. */
const maximumMostImportantShedShare = 0.5;
/** Fraction of the total occupancy up to which a route is not shed. */
const minimumSheddableRatio = 0.1;
/** Half-life of the request counts. */
const halfLifeMilliseconds = 2000;
/** Weight of one answer in the moving average of a route's latency. */
const latencySampleWeight = 0.1;
/** Time for which a route counts as depending on a service after its calls were delayed there. */
const delayedServiceLifetimeMilliseconds = 5000;
/** Fraction of the tolerated delay above which a route counts as depending on the service. */
const delayedServiceRatio = 0.5;
/** Time without a request after which a route counts as idle. */
const idleRouteMilliseconds = 2000;
/** Number of routes at which idle ones are deleted before another is added. */
const maximumRoutes = 4096;

type RouteState = {
	readonly priority: number;
	/** Exponentially decaying count of requests, as of `lastRequestAt`. */
	requestCount: number;
	lastRequestAt: number;
	/** Moving average of the latency; 0 before the first answer. */
	latencyMilliseconds: number;
	/** Services at which calls of the route were delayed, with the time of the latest report. */
	readonly delayedServices: Map<ServiceName, number>;
	/** Share of the route's requests that is admitted, from 0 to 1. */
	share: number;
};

type ServiceState = {
	/** Admitted share of the occupancy of all routes that depend on the service, as of `changedAt`. */
	admitted: number;
	changedAt: number;
	/** Sum and number of the delays in the window that started at `windowStartedAt`. */
	delaySum: number;
	delayCount: number;
	windowStartedAt: number;
};

/** Decides which requests of external callers one entry node admits. */
export class RootLoadShedder {
	readonly #routes = new Map<string, RouteState>();
	readonly #services = new Map<ServiceName, ServiceState>();
	#refreshedAt = Number.NEGATIVE_INFINITY;

	/** Counts a request and returns whether it is admitted; a request is shed at random with a probability of 1 - share. */
	admits(route: RootRoute, now: number, random: RandomSource): boolean {
		const state = this.#routeStateOf(route, now);
		state.requestCount = requestCountAt(state, now) + 1;
		state.lastRequestAt = now;
		this.#refreshShares(now);
		return state.share >= 1 || random.nextFraction() < state.share;
	}

	/** The share of a route's requests that is admitted, from 0 to 1. */
	share(route: RootRoute, now: number): number {
		this.#refreshShares(now);
		return this.#routes.get(keyOf(route))?.share ?? 1;
	}

	/** True if the admitted share of every service is 1, so that no request is shed. */
	admitsAll(now: number): boolean {
		for (const state of this.#services.values()) {
			if (admittedShareAt(state, now) < 1) {
				return false;
			}
		}

		return true;
	}

	/** Milliseconds until no request is shed any more, if the delays stay tolerated. */
	recoveryMilliseconds(now: number): number {
		let longest = 0;
		for (const {admitted, changedAt} of this.#services.values()) {
			const root = Math.sqrt((recoveryPerSecond ** 2) + (4 * recoveryPerSquareSecond * Math.max(0, 1 - admitted)));
			const seconds = (root - recoveryPerSecond) / (2 * recoveryPerSquareSecond);
			longest = Math.max(longest, changedAt + (seconds * millisecondsInSecond) - now);
		}

		return longest;
	}

	/** Records a queueing delay that was reported with the answer to a call of the node, whichever request the call belongs to. */
	recordDelay({service, waitMilliseconds}: QueueingDelay, now: number): void {
		const state = this.#services.get(service) ?? {
			admitted: 1, changedAt: now, delaySum: 0, delayCount: 0, windowStartedAt: now,
		};
		this.#services.set(service, state);
		state.delaySum += Math.min(maximumDelayMilliseconds, waitMilliseconds);
		state.delayCount++;
		if (now - state.windowStartedAt < averagingWindowMilliseconds) {
			return;
		}

		const meanDelayMilliseconds = state.delaySum / state.delayCount;
		state.delaySum = 0;
		state.delayCount = 0;
		state.windowStartedAt = now;
		if (meanDelayMilliseconds > toleratedDelayMilliseconds && (state.admitted >= 1 || now - state.changedAt >= settlingMilliseconds)) {
			this.#lowerAdmittedShare(service, state, meanDelayMilliseconds, now);
		}
	}

	/** Records the queueing delay that was reported with the answer to an admitted request, which shows a service that its route depends on. */
	recordRouteDelay(route: RootRoute, {service, waitMilliseconds}: QueueingDelay, now: number): void {
		if (waitMilliseconds > toleratedDelayMilliseconds * delayedServiceRatio) {
			this.#routeStateOf(route, now).delayedServices.set(service, now);
		}
	}

	/** Records the latency in milliseconds of an admitted request that succeeded. */
	recordLatency(route: RootRoute, milliseconds: number, now: number): void {
		const state = this.#routeStateOf(route, now);
		state.latencyMilliseconds += (milliseconds - state.latencyMilliseconds) * (state.latencyMilliseconds === 0 ? 1 : latencySampleWeight);
	}

	#lowerAdmittedShare(service: ServiceName, state: ServiceState, meanDelayMilliseconds: number, now: number): void {
		const excess = (meanDelayMilliseconds - toleratedDelayMilliseconds) / (maximumDelayMilliseconds - toleratedDelayMilliseconds);
		const decrease = minimumDecrease + ((maximumDecrease - minimumDecrease) * excess);
		const groups = this.#groupDelayedRoutes(service, now);
		state.admitted = Math.max(1 - sheddablePart(groups), admittedShareAt(state, now) * (1 - decrease));
		state.changedAt = now;
		this.#refreshedAt = Number.NEGATIVE_INFINITY;
	}

	/** Recalculates the shares of all routes, at most once per averaging window. */
	#refreshShares(now: number): void {
		if (now - this.#refreshedAt < averagingWindowMilliseconds) {
			return;
		}

		this.#refreshedAt = now;
		for (const state of this.#routes.values()) {
			state.share = 1;
		}

		for (const [service, state] of this.#services) {
			const admitted = admittedShareAt(state, now);
			if (admitted < 1) {
				lowerRouteShares(this.#groupDelayedRoutes(service, now), 1 - admitted);
			}
		}
	}

	/** Groups the active routes that depend on a service by priority, least important first. Routes with a low occupancy are left out, because they are not shed. */
	#groupDelayedRoutes(service: ServiceName, now: number): readonly RouteGroup[] {
		const groups = new Map<number, {routes: RouteState[]; occupancy: number}>();
		let totalOccupancy = 0;
		const delayedRoutes: RouteState[] = [];
		for (const state of this.#routes.values()) {
			const delayedAt = state.delayedServices.get(service);
			if (delayedAt === undefined || now - delayedAt > delayedServiceLifetimeMilliseconds || now - state.lastRequestAt > idleRouteMilliseconds) {
				continue;
			}

			totalOccupancy += occupancyOf(state, now);
			delayedRoutes.push(state);
		}

		for (const state of delayedRoutes) {
			const occupancy = occupancyOf(state, now);
			if (occupancy <= totalOccupancy * minimumSheddableRatio) {
				continue;
			}

			const group = groups.get(state.priority) ?? {routes: [], occupancy: 0};
			group.routes.push(state);
			group.occupancy += occupancy;
			groups.set(state.priority, group);
		}

		const mostImportant = Math.min(...delayedRoutes.map(state => state.priority));
		return [...groups].toSorted(([left], [right]) => right - left).map(([priority, {routes, occupancy}]) => ({
			routes,
			part: totalOccupancy === 0 ? 0 : occupancy / totalOccupancy,
			maximumShedShare: priority === mostImportant ? maximumMostImportantShedShare : maximumRouteShedShare,
		}));
	}

	#routeStateOf(route: RootRoute, now: number): RouteState {
		const key = keyOf(route);
		const existing = this.#routes.get(key);
		if (existing !== undefined) {
			return existing;
		}

		this.#deleteIdleRoutes(now);
		const state: RouteState = {
			priority: route.priority, requestCount: 0, lastRequestAt: now, latencyMilliseconds: 0, delayedServices: new Map(), share: 1,
		};
		this.#routes.set(key, state);
		return state;
	}

	#deleteIdleRoutes(now: number): void {
		if (this.#routes.size < maximumRoutes) {
			return;
		}

		for (const [key, state] of this.#routes) {
			if (now - state.lastRequestAt >= idleRouteMilliseconds) {
				this.#routes.delete(key);
			}
		}
	}
}

/** Routes of one priority that depend on one service. */
type RouteGroup = {
	readonly routes: readonly RouteState[];
	/** Fraction of the total occupancy of all routes that depend on the service. */
	readonly part: number;
	/** Maximum share of the group's requests that may be shed. */
	readonly maximumShedShare: number;
};

/** Includes the priority, because requests of one route may differ in priority by team. */
function keyOf({id, priority}: RootRoute): string {
	return `${priority} ${id}`;
}

/** Returns the decayed request count of a route. */
function requestCountAt(state: RouteState, now: number): number {
	return state.requestCount * (0.5 ** (Math.max(0, now - state.lastRequestAt) / halfLifeMilliseconds));
}

/** Returns the occupancy of a route if all its requests were admitted. It is proportional to concurrency (Little's law); only ratios between routes are used. */
function occupancyOf(state: RouteState, now: number): number {
	return requestCountAt(state, now) * state.latencyMilliseconds;
}

/** Returns the admitted share of a service after its recovery since the latest decrease. */
function admittedShareAt({admitted, changedAt}: ServiceState, now: number): number {
	const seconds = Math.max(0, now - changedAt) / millisecondsInSecond;
	return Math.min(1, admitted + (recoveryPerSecond * seconds) + (recoveryPerSquareSecond * (seconds ** 2)));
}

/** Returns the maximum fraction of the total occupancy that can be shed. */
function sheddablePart(groups: readonly RouteGroup[]): number {
	let part = 0;
	for (const group of groups) {
		part += group.part * group.maximumShedShare;
	}

	return part;
}

/** Lowers the shares of routes until a fraction of the total occupancy is shed, starting with the least important group. */
function lowerRouteShares(groups: readonly RouteGroup[], part: number): void {
	let remainingPart = part;
	for (const group of groups) {
		if (remainingPart <= 0) {
			return;
		}

		const decrease = Math.min(group.maximumShedShare, remainingPart / group.part);
		remainingPart -= decrease * group.part;
		for (const state of group.routes) {
			state.share = Math.min(state.share, 1 - decrease);
		}
	}
}
