/**
The share of callers' requests that an entry node lets into the call graph.

Answers the load of a graph whose bottleneck lies deep: a service below is full,
its gate can't tell whose calls matter more, and requests fail above after most of
their work was done. What an entry node sees is that requests fail for lack of
room. Such failures lower the share of the least important route in use that is
less important than the failed one, and of the failed route itself only when none
is left. So the work of the less important gives way at the door, where nothing has
been spent on it. A share comes back by itself, slowly at first and then quicker,
whatever the traffic of the node.
*/

import {millisecondsInSecond, type RandomSource, type RouteId} from '@fireflyglade/model';

/** How a request that was let in ended, as far as room is concerned. */
export type RootOutcome = 'served' | 'lacked-room';

/** The part of a route that decides about its share. */
export type RootRoute = {
	readonly id: RouteId;
	/** From 0, the most important, to 9. */
	readonly priority: number;
};

/** Part of the requests that may lack room before shares are lowered. */
const toleratedPart = 0.02;
/** Milliseconds in which what was counted loses half of its weight. */
const halfLifeMilliseconds = 2000;
/** Smallest part of a share that is taken away at once. */
const smallestCut = 0.4;
/** Largest part of a share that is taken away at once. */
const largestCut = 0.5;
/** Part of all requests that a share gains in the first second. */
const gainPerSecond = 0.003;
/** What the gain grows by in each second after. */
const gainPerSquareSecond = 0.005;
/** Smallest share of a route for the sake of more important ones, so that room is noticed. */
const smallestShare = 0.05;
/** Smallest share of a route for its own sake: what fails at that share does not fail for lack of room that it takes. */
const smallestOwnShare = 0.3;
/** Milliseconds without a request after which a route counts as unused. */
const unusedMilliseconds = 2000;
/** Routes that are kept in mind. */
const rememberedRoutes = 4096;

type ShareState = {
	readonly priority: number;
	share: number;
	changedAt: number;
	askedAt: number;
};

/** The shares of one entry node, by route. */
export class RootShare {
	readonly #routes = new Map<RouteId, ShareState>();
	#recent = 0;
	#recentFailures = 0;
	#countedAt = 0;
	#loweredAt = Number.NEGATIVE_INFINITY;

	/** True if a request may come in. */
	admits(route: RootRoute, now: number, random: RandomSource): boolean {
		const state = this.#stateOf(route, now);
		state.askedAt = now;
		const share = shareAt(state, now);
		return share >= 1 || random.nextFraction() < share;
	}

	/** The share of a route that comes in, from 0 to 1. */
	share(id: RouteId, now: number): number {
		const state = this.#routes.get(id);
		return state === undefined ? 1 : shareAt(state, now);
	}

	/** True if every route comes in whole. */
	isOpen(now: number): boolean {
		for (const state of this.#routes.values()) {
			if (shareAt(state, now) < 1) {
				return false;
			}
		}

		return true;
	}

	/**
	Takes note of how a request ended. A failure of one that came in before the shares
	were last lowered says nothing of the shares as they are now.
	*/
	record(route: RootRoute, outcome: RootOutcome, admittedAt: number, now: number): void {
		if (outcome === 'served') {
			this.#count(outcome, now);
			return;
		}

		if (admittedAt < this.#loweredAt) {
			return;
		}

		this.#count(outcome, now);
		if (this.#recentFailures > 1 + (this.#recent * toleratedPart)) {
			this.#lower(route, now);
		}
	}

	#count(outcome: RootOutcome, now: number): void {
		const factor = 0.5 ** (Math.max(0, now - this.#countedAt) / halfLifeMilliseconds);
		this.#countedAt = now;
		this.#recent = (this.#recent * factor) + 1;
		this.#recentFailures = (this.#recentFailures * factor) + (outcome === 'served' ? 0 : 1);
	}

	#lower(failed: RootRoute, now: number): void {
		const other = this.#leastImportant(failed.priority, now);
		const state = other ?? this.#stateOf(failed, now);
		const floor = other === undefined ? smallestOwnShare : smallestShare;
		const share = shareAt(state, now);
		state.share = Math.min(share, Math.max(floor, share * (1 - this.#cut())));
		state.changedAt = now;
		this.#loweredAt = now;
		this.#recent = 0;
		this.#recentFailures = 0;
	}

	/** The least important route in use that is less important than `priority` and can still be lowered. */
	#leastImportant(priority: number, now: number): ShareState | undefined {
		let least: ShareState | undefined;
		for (const state of this.#routes.values()) {
			const isCandidate = state.priority > priority
				&& state.priority > (least?.priority ?? priority)
				&& now - state.askedAt < unusedMilliseconds
				&& shareAt(state, now) > smallestShare * 2;
			if (isCandidate) {
				least = state;
			}
		}

		return least;
	}

	#cut(): number {
		return Math.min(largestCut, Math.max(smallestCut, this.#recentFailures / this.#recent));
	}

	#stateOf({id, priority}: RootRoute, now: number): ShareState {
		const known = this.#routes.get(id);
		if (known?.priority === priority) {
			return known;
		}

		this.#forgetUnused(now);
		const state: ShareState = {
			priority, share: 1, changedAt: now, askedAt: now,
		};
		this.#routes.set(id, state);
		return state;
	}

	#forgetUnused(now: number): void {
		if (this.#routes.size < rememberedRoutes) {
			return;
		}

		for (const [id, state] of this.#routes) {
			if (now - state.askedAt >= unusedMilliseconds) {
				this.#routes.delete(id);
			}
		}
	}
}

function shareAt({share, changedAt}: ShareState, now: number): number {
	const seconds = Math.max(0, now - changedAt) / millisecondsInSecond;
	return Math.min(1, share + (gainPerSecond * seconds) + (gainPerSquareSecond * (seconds ** 2)));
}
