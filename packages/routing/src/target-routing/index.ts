/**
The routing state of one node: which target gets a request.

Of two targets drawn at random the less loaded one is taken, in the node's own
failure domain first. Targets in other domains are taken when what is gained
there exceeds the cost of the longer way.
*/

import type {
	GateLevel, NodeId, RandomSource, ServiceName, Target, UpstreamId,
} from '@fireflyglade/model';
import {chooseSubset} from '../choose-subset/index.js';
import {LatencyFloor} from '../_lib/latency-floor/index.js';
import {TargetState} from '../_lib/target-state/index.js';
import type {
	AttemptOutcome, Routing, RoutingOptions, TargetChoice, TargetQuery,
} from '../types.js';

/** Load of the own domain above which targets in other domains are weighed. */
const spillLoad = 1;
const retryAfterMilliseconds = 100;
/** Largest share of a service's targets that outcomes may eject. */
const largestEjectedShare = 0.5;

/** Latency that is assumed of a service whose latency isn't known. */
const assumedLatencyMilliseconds = 10;
/** Milliseconds below which a gain is noise, and the way to another failure domain a waste. */
const leastSpillGainMilliseconds = 5;
/** Load up to which the target beside the node is preferred. */
const largestOwnLoad = 0.85;
/** Load by which the target beside the node may exceed another and still be preferred. */
const toleratedOwnExcess = 0.1;
/** Cost of the way to another failure domain where it isn't known. */
const assumedCrossingMilliseconds = 2;

/** What a node knows of one service. */
type ServiceState = {
	readonly targets: TargetState[];
	/** Latency in the own failure domain. */
	readonly own: LatencyFloor;
	/** Latency in other failure domains. */
	readonly others: LatencyFloor;
};

/** The routing state of one node. */
export class TargetRouting implements Routing {
	readonly #options: RoutingOptions;
	readonly #states = new Map<UpstreamId, TargetState>();
	readonly #services = new Map<ServiceName, ServiceState>();
	#drained: ReadonlySet<UpstreamId> = new Set();
	#started = false;

	constructor(options: RoutingOptions) {
		this.#options = options;
	}

	setTargets(targets: readonly Target[], now: number): void {
		const known = new Map(this.#states);
		const knownServices = new Map(this.#services);
		this.#states.clear();
		this.#services.clear();
		for (const [service, group] of groupByService(targets)) {
			const {own, others} = knownServices.get(service) ?? {own: new LatencyFloor(), others: new LatencyFloor()};
			this.#services.set(service, {targets: this.#takeOver(group, known, now), own, others});
		}

		this.#started ||= targets.length > 0;
	}

	setDrained(drained: ReadonlySet<UpstreamId>): void {
		this.#drained = drained;
	}

	choose(query: TargetQuery, now: number, random: RandomSource): TargetChoice {
		const service = this.#services.get(query.service);
		const usable = service === undefined ? [] : this.#usable(service, query, now);
		if (service === undefined || usable.length === 0) {
			return {kind: 'no-target'};
		}

		const open = usable.filter(state => !state.sheds(query.priority, now));
		if (open.length === 0) {
			return {kind: 'all-shedding', retryAfterMilliseconds};
		}

		return {kind: 'target', target: this.#pick(service, open, now, random).target};
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

	/** The targets that may get work; those that are about to stop only if there is no other. */
	#usable(service: ServiceState, query: TargetQuery, now: number): TargetState[] {
		const usable = service.targets.filter(state => state.target.available
			&& !this.#drained.has(state.target.upstream)
			&& !query.tried.has(state.target.upstream)
			&& !state.outcomes.isEjected(now));
		const staying = usable.filter(({target}) => target.stopping !== true);
		return staying.length > 0 ? staying : usable;
	}

	#pick(service: ServiceState, open: readonly TargetState[], now: number, random: RandomSource): TargetState {
		const own = open.filter(state => state.target.domain === this.#options.domain);
		const others = open.filter(state => state.target.domain !== this.#options.domain);
		if (own.length === 0) {
			return pickOfTwo(others, now, random);
		}

		const best = preferOwnNode(pickOfTwo(own, now, random), own, this.#options.node, now);
		if (others.length === 0 || best.load(now) < spillLoad) {
			return best;
		}

		const other = pickOfTwo(others, now, random);
		return spillGain(service, best.load(now), other.load(now)) > leastSpillGainMilliseconds ? other : best;
	}

	#recordOutcome(state: TargetState, outcome: AttemptOutcome, now: number): void {
		switch (outcome.kind) {
			case 'answered': {
				state.outcomes.recordSuccess(now);
				this.#recordLatency(state.target, outcome.latencyMilliseconds);
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

	#recordLatency(target: Target, milliseconds: number): void {
		const service = this.#services.get(target.service);
		const floor = target.domain === this.#options.domain ? service?.own : service?.others;
		floor?.record(milliseconds);
	}

	#ejectIfAllowed(state: TargetState, now: number): void {
		if (!state.outcomes.shouldEject()) {
			return;
		}

		const states = this.#services.get(state.target.service)?.targets ?? [];
		const ejected = states.filter(other => other.outcomes.isEjected(now)).length;
		if (ejected + 1 > states.length * largestEjectedShare) {
			return;
		}

		state.outcomes.eject(now);
		state.warmUpFrom(state.outcomes.ejectedUntil);
	}
}

/** The target beside the node itself costs no hop between nodes, and is taken while it has room to spare. */
function preferOwnNode(best: TargetState, states: readonly TargetState[], node: NodeId, now: number): TargetState {
	const beside = states.find(state => state.target.node === node);
	return beside !== undefined && beside.part(now) >= 1 && beside.load(now) <= Math.min(largestOwnLoad, best.load(now) + toleratedOwnExcess) ? beside : best;
}

/** Milliseconds that a request is expected to gain in another failure domain. */
function spillGain(service: ServiceState, ownLoad: number, otherLoad: number): number {
	const own = service.own.milliseconds ?? assumedLatencyMilliseconds;
	const others = service.others.milliseconds ?? own + assumedCrossingMilliseconds;
	const ownWait = Math.max(0, ownLoad - 1) * own;
	const otherWait = Math.max(0, otherLoad - 1) * own;
	return own + ownWait - (others + otherWait);
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
