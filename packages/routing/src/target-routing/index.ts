/**
Chooses the target of each request of one node.

The choice is the less loaded of two random targets (power of two choices) in
the node's own failure domain. Requests spill over to another failure domain
when the expected reduction in queueing exceeds the extra latency.
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

/** Load in the own failure domain from which targets in other failure domains are considered. */
const spilloverLoad = 1;
/** Delay before a retry that is reported with a request that every usable target sheds. */
const retryAfterMilliseconds = 100;
/** Maximum share of a service's targets that may be ejected at a time. */
const maximumEjectedShare = 0.5;

/** Assumed latency of a service before the first answer. */
const assumedLatencyMilliseconds = 10;
/** Minimum expected gain of a spillover to another failure domain; smaller gains are noise. */
const minimumSpilloverGainMilliseconds = 5;
/** Load up to which the target on the node itself is preferred. */
const maximumLocalLoad = 0.85;
/** Load by which the target on the node itself may exceed another target and still be preferred. */
const toleratedLocalLoadExcess = 0.1;
/** Assumed extra latency of another failure domain before the first answer from one. */
const assumedCrossDomainMilliseconds = 2;

/** The state of one service as known to a node. */
type ServiceState = {
	readonly targets: TargetState[];
	/** Latency of targets in the own failure domain. */
	readonly own: LatencyFloor;
	/** Latency of targets in other failure domains. */
	readonly others: LatencyFloor;
};

/** Chooses targets by load, failure domain and recent outcomes. */
export class TargetRouting implements Routing {
	readonly #options: RoutingOptions;
	readonly #states = new Map<UpstreamId, TargetState>();
	readonly #services = new Map<ServiceName, ServiceState>();
	#drained: ReadonlySet<UpstreamId> = new Set();
	/** False until the first targets are set; those get no warm-up. */
	#hasReceivedTargets = false;

	constructor(options: RoutingOptions) {
		this.#options = options;
	}

	setTargets(targets: readonly Target[], now: number): void {
		const previousStates = new Map(this.#states);
		const previousServices = new Map(this.#services);
		this.#states.clear();
		this.#services.clear();
		for (const [service, group] of groupByService(targets)) {
			const {own, others} = previousServices.get(service) ?? {own: new LatencyFloor(), others: new LatencyFloor()};
			this.#services.set(service, {targets: this.#updateStates(group, previousStates, now), own, others});
		}

		this.#hasReceivedTargets ||= targets.length > 0;
	}

	setDrained(drained: ReadonlySet<UpstreamId>): void {
		this.#drained = drained;
	}

	choose(query: TargetQuery, now: number, random: RandomSource): TargetChoice {
		const service = this.#services.get(query.service);
		const usable = service === undefined ? [] : this.#selectUsable(service, query, now);
		if (service === undefined || usable.length === 0) {
			return {kind: 'no-target'};
		}

		const accepting = usable.filter(state => !state.sheds(query.priority, now));
		if (accepting.length === 0) {
			return {kind: 'all-shedding', retryAfterMilliseconds};
		}

		return {kind: 'target', target: this.#selectTarget(service, accepting, now, random).target};
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

	#updateStates(group: readonly Target[], previousStates: ReadonlyMap<UpstreamId, TargetState>, now: number): TargetState[] {
		const states: TargetState[] = [];
		for (const target of chooseSubset(group, this.#options)) {
			const state = previousStates.get(target.upstream) ?? new TargetState(target, this.#hasReceivedTargets ? now : Number.NEGATIVE_INFINITY);
			state.updateTarget(target);
			this.#states.set(target.upstream, state);
			states.push(state);
		}

		return states;
	}

	/** Returns the targets that may get requests; those that are about to stop are included only if there is no other. */
	#selectUsable(service: ServiceState, query: TargetQuery, now: number): TargetState[] {
		const usable = service.targets.filter(state => state.target.available
			&& !this.#drained.has(state.target.upstream)
			&& !query.tried.has(state.target.upstream)
			&& !state.outcomes.isEjected(now));
		const notStopping = usable.filter(({target}) => target.stopping !== true);
		return notStopping.length > 0 ? notStopping : usable;
	}

	#selectTarget(service: ServiceState, accepting: readonly TargetState[], now: number, random: RandomSource): TargetState {
		const own = accepting.filter(state => state.target.domain === this.#options.domain);
		const others = accepting.filter(state => state.target.domain !== this.#options.domain);
		if (own.length === 0) {
			return pickLessLoadedOfTwo(others, now, random);
		}

		const best = preferLocalTarget(pickLessLoadedOfTwo(own, now, random), own, this.#options.node, now);
		if (others.length === 0 || best.load(now) < spilloverLoad) {
			return best;
		}

		const other = pickLessLoadedOfTwo(others, now, random);
		return spilloverGainMilliseconds(service, best.load(now), other.load(now)) > minimumSpilloverGainMilliseconds ? other : best;
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
		if (ejected + 1 > states.length * maximumEjectedShare) {
			return;
		}

		state.outcomes.eject(now);
		state.startWarmUp(state.outcomes.ejectedUntil);
	}
}

/** Prefers the target on the node itself while it has spare capacity, because it needs no hop between nodes. */
function preferLocalTarget(best: TargetState, states: readonly TargetState[], node: NodeId, now: number): TargetState {
	const local = states.find(state => state.target.node === node);
	return local !== undefined && local.part(now) >= 1 && local.load(now) <= Math.min(maximumLocalLoad, best.load(now) + toleratedLocalLoadExcess) ? local : best;
}

/** Returns the milliseconds that a request is expected to save in another failure domain; negative if it takes longer there. */
function spilloverGainMilliseconds(service: ServiceState, ownLoad: number, otherLoad: number): number {
	const own = service.own.milliseconds ?? assumedLatencyMilliseconds;
	const others = service.others.milliseconds ?? own + assumedCrossDomainMilliseconds;
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

/** Returns the less loaded of two random targets. While that target warms up, it is returned with a probability equal to its `part`, and the other one otherwise. */
function pickLessLoadedOfTwo(states: readonly TargetState[], now: number, random: RandomSource): TargetState {
	const first = states[random.nextInteger(states.length)]!;
	if (states.length === 1) {
		return first;
	}

	const others = states.filter(state => state !== first);
	const second = others[random.nextInteger(others.length)]!;
	const [better, worse] = second.load(now) < first.load(now) ? [second, first] : [first, second];
	return random.nextFraction() < better.part(now) ? better : worse;
}
