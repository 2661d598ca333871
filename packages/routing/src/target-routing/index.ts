/**
The routing state of one node: which target gets a request.

Of two targets drawn at random the less loaded one is taken, in the node's own
failure domain first. Targets in other domains are taken when what is gained
there exceeds the cost of the longer way.
*/

import type {
	GateLevel, RandomSource, ServiceName, Target, UpstreamId,
} from '@fireflyglade/model';
import {chooseSubset} from '../choose-subset/index.js';
import {TargetState} from '../_lib/target-state/index.js';
import type {
	AttemptOutcome, Routing, RoutingOptions, TargetChoice, TargetQuery,
} from '../types.js';

/** Load of the own domain above which targets in other domains are weighed. */
const spillLoad = 1;
const retryAfterMilliseconds = 100;
/** Largest share of a service's targets that outcomes may eject. */
const largestEjectedShare = 0.5;

/** The routing state of one node. */
export class TargetRouting implements Routing {
	readonly #options: RoutingOptions;
	readonly #states = new Map<UpstreamId, TargetState>();
	readonly #services = new Map<ServiceName, TargetState[]>();
	#drained: ReadonlySet<UpstreamId> = new Set();
	#started = false;

	constructor(options: RoutingOptions) {
		this.#options = options;
	}

	setTargets(targets: readonly Target[], now: number): void {
		const known = new Map(this.#states);
		this.#states.clear();
		this.#services.clear();
		for (const [service, group] of groupByService(targets)) {
			this.#services.set(service, this.#takeOver(group, known, now));
		}

		this.#started ||= targets.length > 0;
	}

	setDrained(drained: ReadonlySet<UpstreamId>): void {
		this.#drained = drained;
	}

	choose(query: TargetQuery, now: number, random: RandomSource): TargetChoice {
		const usable = this.#usable(query, now);
		if (usable.length === 0) {
			return {kind: 'no-target'};
		}

		const open = usable.filter(state => !state.sheds(query.priority, now));
		if (open.length === 0) {
			return {kind: 'all-shedding', retryAfterMilliseconds};
		}

		return {kind: 'target', target: this.#pick(open, now, random).target};
	}

	begin(upstream: UpstreamId, _now: number): void {
		this.#states.get(upstream)?.begin();
	}

	end(upstream: UpstreamId, outcome: AttemptOutcome, level: GateLevel | undefined, now: number): void {
		const state = this.#states.get(upstream);
		if (state === undefined) {
			return;
		}

		state.end();
		if (level !== undefined) {
			state.observeLevel(level, now);
		}

		this.#recordOutcome(state, outcome, now);
	}

	observeLevel(upstream: UpstreamId, level: GateLevel, now: number): void {
		this.#states.get(upstream)?.observeLevel(level, now);
	}

	#takeOver(group: readonly Target[], known: ReadonlyMap<UpstreamId, TargetState>, now: number): TargetState[] {
		const states: TargetState[] = [];
		for (const target of chooseSubset(group, this.#options)) {
			const state = known.get(target.upstream) ?? new TargetState(target, this.#started ? now : Number.NEGATIVE_INFINITY);
			state.describe(target);
			this.#states.set(target.upstream, state);
			states.push(state);
		}

		return states;
	}

	#usable(query: TargetQuery, now: number): TargetState[] {
		const states = this.#services.get(query.service) ?? [];
		return states.filter(state => state.target.available
			&& !this.#drained.has(state.target.upstream)
			&& !query.tried.has(state.target.upstream)
			&& !state.outcomes.isEjected(now));
	}

	#pick(open: readonly TargetState[], now: number, random: RandomSource): TargetState {
		const own = open.filter(state => state.target.domain === this.#options.domain);
		const others = open.filter(state => state.target.domain !== this.#options.domain);
		if (own.length === 0) {
			return pickOfTwo(others, now, random);
		}

		const best = pickOfTwo(own, now, random);
		if (others.length === 0 || best.load(now) < spillLoad) {
			return best;
		}

		const other = pickOfTwo(others, now, random);
		return other.load(now) < best.load(now) ? other : best;
	}

	#recordOutcome(state: TargetState, outcome: AttemptOutcome, now: number): void {
		switch (outcome.kind) {
			case 'answered': {
				state.outcomes.recordSuccess(now);
				break;
			}

			case 'failed': {
				state.outcomes.recordFailure(now);
				this.#ejectIfAllowed(state, now);
				break;
			}

			case 'refused':
			case 'cancelled': {
				break;
			}
		}
	}

	#ejectIfAllowed(state: TargetState, now: number): void {
		if (!state.outcomes.shouldEject()) {
			return;
		}

		const states = this.#services.get(state.target.service) ?? [];
		const ejected = states.filter(other => other.outcomes.isEjected(now)).length;
		if (ejected + 1 > states.length * largestEjectedShare) {
			return;
		}

		state.outcomes.eject(now);
		state.warmUpFrom(state.outcomes.ejectedUntil);
	}
}

function groupByService(targets: readonly Target[]): Map<ServiceName, Target[]> {
	const groups = new Map<ServiceName, Target[]>();
	for (const target of targets) {
		const group = groups.get(target.service);
		if (group === undefined) {
			groups.set(target.service, [target]);
			continue;
		}

		group.push(target);
	}

	return groups;
}

/** Takes the less loaded of two; one that still warms up is taken in part of the cases. */
function pickOfTwo(states: readonly TargetState[], now: number, random: RandomSource): TargetState {
	const first = states[random.nextInteger(states.length)]!;
	if (states.length === 1) {
		return first;
	}

	const others = states.filter(state => state !== first);
	const second = others[random.nextInteger(others.length)]!;
	const [better, worse] = second.load(now) < first.load(now) ? [second, first] : [first, second];
	return random.nextFraction() < better.part(now) ? better : worse;
}
