/**
The share of callers' requests that an entry node lets into the call graph.

Answers the load of a graph whose bottleneck lies deep: requests that find no room
there fail after most of their work was done, and take the room of others meanwhile.
The gates tell how long calls wait at the most crowded service below them, and that
comes here beside the answers, before anything fails. While calls wait too long
there, a part of what the requests through that service occupy is turned away: of
the least important ones first, never of those that occupy little, since that would
make no room, and of the most important ones last and not beyond a half. One cut for
each time in which its effect can be seen. What was cut comes back by itself, slowly
at first and then quicker, whatever the traffic of the node.
*/

import {
	millisecondsInSecond, type RandomSource, type RouteId, type ServiceName,
} from '@fireflyglade/model';
import type {QueueingDelay} from '../queueing-delay-tracker/index.js';

/** The part of a route that decides about its share. */
export type RootRoute = {
	readonly id: RouteId;
	/** From 0, the most important, to 99. */
	readonly priority: number;
};

/** Wait at a gate that keeps its upstream busy and does no harm. */
const acceptedWaitMilliseconds = 40;
/** Wait from which on the cut is the largest: what gates let wait at most. */
const longestWaitMilliseconds = 250;
/** Part of what comes in that is turned away for a wait just over the accepted one. */
const smallestCut = 0.03;
/** Part of what comes in that is turned away for the longest wait. */
const largestCut = 0.35;
/** Milliseconds in which waits are averaged. */
const windowMilliseconds = 200;
/** Milliseconds after a cut in which its effect can't be seen yet. */
const settlingMilliseconds = 600;
/** Part of all that comes back in the first second after a cut. */
const gainPerSecond = 0.03;
/** What the gain grows by in each second after. */
const gainPerSquareSecond = 0.01;
/** Largest part of a route that is turned away for the sake of more important ones, so that some always comes through. */
const largestCutOfRoute = 0.75;
/** Largest part of the most important routes that is turned away. */
const largestCutOfMostImportant = 0.5;
/** Part of what all routes occupy up to which a route is left alone. */
const smallPart = 0.1;
/** Milliseconds in which what was counted loses half of its weight. */
const halfLifeMilliseconds = 2000;
/** Part that one answer has in the mean time of its route. */
const weightOfAnswer = 0.1;
/** Milliseconds for which a route counts as one through a service after calls of it waited there. */
const linkMilliseconds = 5000;
/** Part of the accepted wait from which on a route counts as one through that service. */
const linkPart = 0.5;
/** Milliseconds without a request after which a route counts as unused. */
const unusedMilliseconds = 2000;
/** Routes that are kept in mind. */
const rememberedRoutes = 4096;

type RouteState = {
	readonly priority: number;
	/** Requests that were asked for lately; the older weigh less. */
	asked: number;
	askedAt: number;
	/** Mean time to the answer. */
	milliseconds: number;
	/** Services at which calls of the route waited, and when that was last heard. */
	readonly links: Map<ServiceName, number>;
	share: number;
};

type ServiceState = {
	/** Part of what the routes through the service occupy that comes in, at `changedAt`. */
	admitted: number;
	changedAt: number;
	/** Sum and number of the waits in the window that began at `windowAt`. */
	waitSum: number;
	waits: number;
	windowAt: number;
};

/** The shares of one entry node, by route. */
export class RootLoadShedder {
	readonly #routes = new Map<string, RouteState>();
	readonly #services = new Map<ServiceName, ServiceState>();
	#sharedAt = Number.NEGATIVE_INFINITY;

	/** True if a request may come in. */
	admits(route: RootRoute, now: number, random: RandomSource): boolean {
		const state = this.#stateOf(route, now);
		state.asked = askedAt(state, now) + 1;
		state.askedAt = now;
		this.#refresh(now);
		return state.share >= 1 || random.nextFraction() < state.share;
	}

	/** The share of a route that comes in, from 0 to 1. */
	share(route: RootRoute, now: number): number {
		this.#refresh(now);
		return this.#routes.get(nameOf(route))?.share ?? 1;
	}

	/** True if every route comes in whole. */
	admitsAll(now: number): boolean {
		for (const state of this.#services.values()) {
			if (admittedAt(state, now) < 1) {
				return false;
			}
		}

		return true;
	}

	/** Takes note of a wait that was told beside the answer of any call. */
	hear({service, waitMilliseconds}: QueueingDelay, now: number): void {
		const state = this.#services.get(service) ?? {
			admitted: 1, changedAt: now, waitSum: 0, waits: 0, windowAt: now,
		};
		this.#services.set(service, state);
		state.waitSum += Math.min(longestWaitMilliseconds, waitMilliseconds);
		state.waits++;
		if (now - state.windowAt < windowMilliseconds) {
			return;
		}

		const wait = state.waitSum / state.waits;
		state.waitSum = 0;
		state.waits = 0;
		state.windowAt = now;
		if (wait > acceptedWaitMilliseconds && (state.admitted >= 1 || now - state.changedAt >= settlingMilliseconds)) {
			this.#cut(service, state, wait, now);
		}
	}

	/** Takes note of the wait that was told beside the answer to a request that came in. */
	recordRouteDelay(route: RootRoute, {service, waitMilliseconds}: QueueingDelay, now: number): void {
		if (waitMilliseconds > acceptedWaitMilliseconds * linkPart) {
			this.#stateOf(route, now).links.set(service, now);
		}
	}

	/** Takes note of how long a request that came in took until it was served. */
	recordLatency(route: RootRoute, milliseconds: number, now: number): void {
		const state = this.#stateOf(route, now);
		state.milliseconds += (milliseconds - state.milliseconds) * (state.milliseconds === 0 ? 1 : weightOfAnswer);
	}

	#cut(service: ServiceName, state: ServiceState, wait: number, now: number): void {
		const excess = (wait - acceptedWaitMilliseconds) / (longestWaitMilliseconds - acceptedWaitMilliseconds);
		const cut = smallestCut + ((largestCut - smallestCut) * excess);
		const groups = this.#groupsThrough(service, now);
		state.admitted = Math.max(1 - cuttablePart(groups), admittedAt(state, now) * (1 - cut));
		state.changedAt = now;
		this.#sharedAt = Number.NEGATIVE_INFINITY;
	}

	/** Works the shares out anew, not more often than waits are averaged. */
	#refresh(now: number): void {
		if (now - this.#sharedAt < windowMilliseconds) {
			return;
		}

		this.#sharedAt = now;
		for (const state of this.#routes.values()) {
			state.share = 1;
		}

		for (const [service, state] of this.#services) {
			const admitted = admittedAt(state, now);
			if (admitted < 1) {
				lowerShares(this.#groupsThrough(service, now), 1 - admitted);
			}
		}
	}

	/** The routes in use through a service by importance, the least important first. */
	#groupsThrough(service: ServiceName, now: number): readonly RouteGroup[] {
		const groups = new Map<number, {routes: RouteState[]; occupied: number}>();
		let whole = 0;
		const through: RouteState[] = [];
		for (const state of this.#routes.values()) {
			const linkedAt = state.links.get(service);
			if (linkedAt === undefined || now - linkedAt > linkMilliseconds || now - state.askedAt > unusedMilliseconds) {
				continue;
			}

			whole += occupiedBy(state, now);
			through.push(state);
		}

		for (const state of through) {
			const occupied = occupiedBy(state, now);
			if (occupied <= whole * smallPart) {
				continue;
			}

			const group = groups.get(state.priority) ?? {routes: [], occupied: 0};
			group.routes.push(state);
			group.occupied += occupied;
			groups.set(state.priority, group);
		}

		const mostImportant = Math.min(...through.map(state => state.priority));
		return [...groups].toSorted(([left], [right]) => right - left).map(([priority, {routes, occupied}]) => ({
			routes,
			part: whole === 0 ? 0 : occupied / whole,
			largestCut: priority === mostImportant ? largestCutOfMostImportant : largestCutOfRoute,
		}));
	}

	#stateOf(route: RootRoute, now: number): RouteState {
		const name = nameOf(route);
		const known = this.#routes.get(name);
		if (known !== undefined) {
			return known;
		}

		this.#forgetUnused(now);
		const state: RouteState = {
			priority: route.priority, asked: 0, askedAt: now, milliseconds: 0, links: new Map(), share: 1,
		};
		this.#routes.set(name, state);
		return state;
	}

	#forgetUnused(now: number): void {
		if (this.#routes.size < rememberedRoutes) {
			return;
		}

		for (const [name, state] of this.#routes) {
			if (now - state.askedAt >= unusedMilliseconds) {
				this.#routes.delete(name);
			}
		}
	}
}

/** Routes of one importance through one service. */
type RouteGroup = {
	readonly routes: readonly RouteState[];
	/** Part of what all routes through the service occupy. */
	readonly part: number;
	readonly largestCut: number;
};

/** Requests of one route may differ in importance, as teams do. */
function nameOf({id, priority}: RootRoute): string {
	return `${priority} ${id}`;
}

/** Requests of a route that were asked for lately. */
function askedAt(state: RouteState, now: number): number {
	return state.asked * (0.5 ** (Math.max(0, now - state.askedAt) / halfLifeMilliseconds));
}

/** What the requests of a route would occupy if all came in; only the ratios between routes count. */
function occupiedBy(state: RouteState, now: number): number {
	return askedAt(state, now) * state.milliseconds;
}

function admittedAt({admitted, changedAt}: ServiceState, now: number): number {
	const seconds = Math.max(0, now - changedAt) / millisecondsInSecond;
	return Math.min(1, admitted + (gainPerSecond * seconds) + (gainPerSquareSecond * (seconds ** 2)));
}

/** Largest part of what all occupy that can be turned away. */
function cuttablePart(groups: readonly RouteGroup[]): number {
	let part = 0;
	for (const group of groups) {
		part += group.part * group.largestCut;
	}

	return part;
}

/** Turns a part of what all occupy away, from the least important on. */
function lowerShares(groups: readonly RouteGroup[], part: number): void {
	let left = part;
	for (const group of groups) {
		if (left <= 0) {
			return;
		}

		const cut = Math.min(group.largestCut, left / group.part);
		left -= cut * group.part;
		for (const state of group.routes) {
			state.share = Math.min(state.share, 1 - cut);
		}
	}
}
