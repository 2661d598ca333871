/**
Chooses the target of each request of one node.

A request with a latency objective goes to the target that is most likely to meet it at the
lowest price, among a few random ones, once gates report service times. Any other request goes
to the less loaded of two random targets (power of two choices) in the node's own failure
domain, and spills over to another failure domain when the expected reduction in queueing
exceeds the extra latency.
*/

import type {
	GateLevel, RandomSource, ServiceName, Target, UpstreamId,
} from '@fireflyglade/model';
import {chooseSubset} from '../choose-subset/index.js';
import {getRemainingTime} from '../remaining-time/index.js';
import {limitRetryDelay} from '../retry-delay/index.js';
import {CompletionChoice, type CompletionQuery} from '../_lib/completion-choice/index.js';
import {createExplanation} from '../_lib/explanation/index.js';
import {findLeastLoaded, findLocalTarget, pickLessLoadedOfTwo} from '../_lib/least-loaded/index.js';
import {LatencyFloor} from '../_lib/latency-floor/index.js';
import {ServiceTimes} from '../_lib/service-times/index.js';
import {TargetState} from '../_lib/target-state/index.js';
import type {
	AttemptOutcome, Routing, RoutingOptions, TargetChoice, TargetExclusion, TargetExplanation, TargetQuery,
} from '../types.js';

/** Load in the own failure domain from which targets in other failure domains are considered. */
const spilloverLoad = 1;
/** Maximum share of a service's targets that may be ejected at a time. */
const maximumEjectedShare = 0.5;
/** Maximum share of a service's targets that may be avoided at a time because their gates can't be reached or don't respond. */
const maximumAvoidedShare = 0.5;

/** Assumed latency of a service before the first answer. */
const assumedLatencyMilliseconds = 10;
/** Minimum expected gain of a spillover to another failure domain; smaller gains are noise. */
const minimumSpilloverGainMilliseconds = 5;
/** Probability by which the target on the node itself may be less likely to meet the objective than the best one and still be preferred. */
const toleratedLocalDisadvantage = 0.05;
/** Assumed extra latency of another failure domain before the first answer from one. */
const assumedCrossDomainMilliseconds = 2;

/** The state of one service as known to a node. */
type ServiceState = {
	readonly targets: TargetState[];
	/** Latency of targets in the own failure domain. */
	readonly own: LatencyFloor;
	/** Latency of targets in other failure domains. */
	readonly others: LatencyFloor;
	readonly times: ServiceTimes;
};

/** An attempt that has ended, with the gate level that its answer carried. */
type EndedAttempt = {
	readonly outcome: AttemptOutcome;
	readonly level: GateLevel | undefined;
	readonly workClass: number;
};

/** Which targets a choice passes over. */
type PassedOver = {
	/** Those whose gates can't be reached or don't respond. */
	readonly passesOverAvoided: boolean;
	/** Those that are about to stop. */
	readonly passesOverStopping: boolean;
};

const reachableOnly: PassedOver = {passesOverAvoided: true, passesOverStopping: true};
const reachableOrStopping: PassedOver = {passesOverAvoided: true, passesOverStopping: false};
const stayingOnly: PassedOver = {passesOverAvoided: false, passesOverStopping: true};
const everyTarget: PassedOver = {passesOverAvoided: false, passesOverStopping: false};
/** What a choice passes over, in the order in which it is tried until there is a target. */
const passOverSteps = [reachableOnly, reachableOrStopping, stayingOnly, everyTarget];

/** Chooses targets by load, failure domain and recent outcomes. */
export class TargetRouting implements Routing {
	readonly #options: RoutingOptions;
	readonly #states = new Map<UpstreamId, TargetState>();
	readonly #services = new Map<ServiceName, ServiceState>();
	#drained: ReadonlySet<UpstreamId> = new Set();
	readonly #completionChoice = new CompletionChoice();
	/** Working memory of a choice: the accepting targets in the own failure domain and in the others. */
	readonly #own: TargetState[] = [];
	readonly #others: TargetState[] = [];
	/** False until the first targets are set; those don't count as new. */
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
			const {own, others, times} = previousServices.get(service) ?? createEstimates();
			this.#services.set(service, {
				targets: this.#updateStates(group, previousStates, now), own, others, times,
			});
		}

		this.#hasReceivedTargets ||= targets.length > 0;
	}

	setDrained(drained: ReadonlySet<UpstreamId>): void {
		this.#drained = drained;
	}

	choose(query: TargetQuery, now: number, random: RandomSource): TargetChoice {
		const service = this.#services.get(query.service);
		if (service === undefined) {
			return {kind: 'no-target'};
		}

		if (this.#collectCandidates(service, query, now) === undefined) {
			return {kind: 'no-target'};
		}

		if (this.#own.length + this.#others.length === 0) {
			return {kind: 'all-shedding', retryAfterMilliseconds: this.#getRetryDelay(service, query, now)};
		}

		return {kind: 'target', target: this.#selectTarget(service, query, now, random).target};
	}

	explain(query: TargetQuery, now: number): readonly TargetExplanation[] {
		const service = this.#services.get(query.service);
		if (service === undefined) {
			return [];
		}

		const passedOver = this.#collectCandidates(service, query, now) ?? everyTarget;
		const preferred = this.#own.length + this.#others.length === 0 ? undefined : this.#selectTarget(service, query, now);
		const completionQuery = this.#createCompletionQuery(service, query, now);
		return createExplanation(service.targets.map(state => ({
			state,
			exclusion: this.#findExclusion(state, query, passedOver, now),
			isPreferred: state === preferred,
			...(completionQuery !== undefined && {estimate: this.#completionChoice.estimate(state, completionQuery)}),
		})), this.#options.domain, now);
	}

	begin(upstream: UpstreamId, now: number): void {
		const state = this.#states.get(upstream);
		if (state === undefined) {
			return;
		}

		state.begin();
		if (state.reachability.isProbeDue(now) && this.#mayAvoid(state, now)) {
			state.reachability.recordProbe(now);
		}
	}

	end(upstream: UpstreamId, outcome: AttemptOutcome, level: GateLevel | undefined, now: number, workClass = 0): void { // eslint-disable-line max-params -- The parameters of the interface.
		const state = this.#states.get(upstream);
		if (state === undefined) {
			return;
		}

		if (level !== undefined) {
			this.#recordLevel(state, level, now);
			this.#recordServiceTime(state, level, workClass, now);
		}

		if (level !== undefined || outcome.kind === 'answered' || outcome.kind === 'refused') {
			state.reachability.recordResponse();
		}

		this.#recordOutcome(state, {outcome, level, workClass}, now);
		state.end(outcome.kind !== 'unreachable');
	}

	setResponsive(upstream: UpstreamId, isResponsive: boolean, now: number): void {
		const state = this.#states.get(upstream);
		if (state === undefined) {
			return;
		}

		if (isResponsive) {
			state.reachability.recordResponse();
			return;
		}

		this.#avoidIfAllowed(state, now);
	}

	observeLevel(upstream: UpstreamId, level: GateLevel, now: number): void {
		const state = this.#states.get(upstream);
		if (state !== undefined) {
			this.#recordLevel(state, level, now);
		}
	}

	#recordLevel(state: TargetState, level: GateLevel, now: number): void {
		if (!state.observeLevel(level, now)) {
			return;
		}

		this.#services.get(state.target.service)?.times.recordLoad((level.inFlight + level.queueLength) / Math.max(1, level.limit));
	}

	/** Records the service time of a level that an answer carried. It is at the pace of that moment; the time at the usual pace is kept. */
	#recordServiceTime(state: TargetState, {serviceMilliseconds, pace = 1}: GateLevel, workClass: number, now: number): void {
		const times = this.#services.get(state.target.service)?.times;
		if (times === undefined || serviceMilliseconds === undefined || serviceMilliseconds <= 0 || pace <= 0) {
			return;
		}

		const usual = serviceMilliseconds / pace;
		times.recordReport(workClass, usual, now);
		state.recordServiceTime(workClass, usual, times.mean(workClass, now) ?? usual, now);
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

	/** Collects the targets that may get the request and don't shed it. Returns which ones were passed over, or undefined if no target may get the request. */
	#collectCandidates(service: ServiceState, query: TargetQuery, now: number): PassedOver | undefined {
		for (const passedOver of passOverSteps) {
			if (this.#collect(service, query, passedOver, now)) {
				return passedOver;
			}
		}

		return undefined;
	}

	/**
	Collects the targets that may get the request and don't shed it, except those that are passed over.
	Returns false if no target may get the request.
	*/
	#collect(service: ServiceState, query: TargetQuery, passedOver: PassedOver, now: number): boolean {
		const own = this.#own;
		const others = this.#others;
		own.length = 0;
		others.length = 0;
		let hasUsable = false;
		for (const state of service.targets) {
			const exclusion = this.#findExclusion(state, query, passedOver, now);
			if (exclusion !== undefined && exclusion !== 'shedding') {
				continue;
			}

			hasUsable = true;
			if (exclusion === undefined) {
				(state.target.domain === this.#options.domain ? own : others).push(state);
			}
		}

		return hasUsable;
	}

	/** Returns why a target doesn't get the request; undefined if it may be chosen. */
	#findExclusion(state: TargetState, query: TargetQuery, {passesOverAvoided, passesOverStopping}: PassedOver, now: number): TargetExclusion['kind'] | undefined {
		const {target} = state;
		if (!target.available) {
			return 'unavailable';
		}

		if (this.#drained.has(target.upstream)) {
			return 'drained';
		}

		if (query.tried.has(target.upstream)) {
			return 'tried';
		}

		if (state.outcomes.isEjected(now)) {
			return 'ejected';
		}

		if (passesOverStopping && target.stopping === true) {
			return 'stopping';
		}

		if (passesOverAvoided && state.reachability.isAvoided(now)) {
			return 'unreachable';
		}

		return state.sheds(query.priority, now) ? 'shedding' : undefined;
	}

	/** Returns the delay in milliseconds after which the first of the shedding targets is expected to have room, within its limits. */
	#getRetryDelay(service: ServiceState, query: TargetQuery, now: number): number {
		const {workClass = 0, deadline = Number.POSITIVE_INFINITY} = query;
		const mean = service.times.mean(workClass, now);
		let earliest = Number.POSITIVE_INFINITY;
		for (const state of service.targets) {
			if (this.#findExclusion(state, query, everyTarget, now) === 'shedding') {
				const serviceMilliseconds = mean === undefined ? service.own.milliseconds ?? assumedLatencyMilliseconds : state.expectServiceTime(workClass, mean, now);
				earliest = Math.min(earliest, state.expectRoom(serviceMilliseconds, now));
			}
		}

		return limitRetryDelay(Math.ceil(earliest), deadline - now);
	}

	/** Selects among the collected targets. Without a random source, all of them are compared instead of a sample. */
	#selectTarget(service: ServiceState, query: TargetQuery, now: number, random?: RandomSource): TargetState {
		const completionQuery = this.#createCompletionQuery(service, query, now);
		return completionQuery === undefined ? this.#selectByLoad(service, now, random) : this.#selectByCompletion(completionQuery, random);
	}

	/** Returns undefined if the request has no objective or no gate has reported service times. */
	#createCompletionQuery(service: ServiceState, {objective, deadline, workClass = 0}: TargetQuery, now: number): CompletionQuery | undefined {
		const meanMilliseconds = objective === undefined ? undefined : service.times.mean(workClass, now);
		if (objective === undefined || meanMilliseconds === undefined) {
			return undefined;
		}

		return {
			now,
			domain: this.#options.domain,
			workClass,
			remainingMilliseconds: getRemainingTime({objective, deadline}, now),
			meanMilliseconds,
			meanLoad: service.times.load,
			crossDomainMilliseconds: estimateCrossDomainMilliseconds(service),
		};
	}

	#selectByCompletion(query: CompletionQuery, random: RandomSource | undefined): TargetState {
		const choice = this.#completionChoice;
		const best = choice.pick(this.#own, this.#others, query, random)!;
		const local = findLocalTarget(best, this.#own, this.#options.node, query.now);
		if (local === undefined || local === best) {
			return best;
		}

		const disadvantage = choice.getProbability(best, query) - choice.getProbability(local, query);
		return disadvantage <= toleratedLocalDisadvantage ? local : best;
	}

	#selectByLoad(service: ServiceState, now: number, random: RandomSource | undefined): TargetState {
		const own = this.#own;
		const others = this.#others;
		if (own.length === 0) {
			return pickByLoad(others, now, random);
		}

		const candidate = pickByLoad(own, now, random);
		const best = findLocalTarget(candidate, own, this.#options.node, now) ?? candidate;
		if (others.length === 0 || best.load(now) < spilloverLoad) {
			return best;
		}

		const other = pickByLoad(others, now, random);
		return spilloverGainMilliseconds(service, best.load(now), other.load(now)) > minimumSpilloverGainMilliseconds ? other : best;
	}

	#recordOutcome(state: TargetState, {outcome, level, workClass}: EndedAttempt, now: number): void {
		switch (outcome.kind) {
			case 'answered': {
				state.recordSuccess(now);
				this.#recordLatency(state.target, outcome.latencyMilliseconds, workClass);
				break;
			}

			case 'failed': {
				state.outcomes.recordFailure(now);
				this.#ejectIfAllowed(state, now);
				break;
			}

			case 'unreachable': {
				this.#avoidIfAllowed(state, now);
				break;
			}

			case 'refused': {
				state.recordRefusal(level, now);
				break;
			}

			case 'cancelled': {
				break;
			}
		}
	}

	#recordLatency(target: Target, milliseconds: number, workClass: number): void {
		const service = this.#services.get(target.service);
		service?.times.recordLatency(workClass, milliseconds);
		const floor = target.domain === this.#options.domain ? service?.own : service?.others;
		floor?.record(milliseconds);
	}

	#avoidIfAllowed(state: TargetState, now: number): void {
		if (this.#mayAvoid(state, now)) {
			state.reachability.recordUnreachable(now);
		}
	}

	/** True if enough of the service's other targets remain when this one is avoided. */
	#mayAvoid(state: TargetState, now: number): boolean {
		const states = this.#services.get(state.target.service)?.targets ?? [];
		const avoided = states.filter(other => other !== state && other.reachability.isAvoided(now)).length;
		return avoided + 1 <= states.length * maximumAvoidedShare;
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
		state.startProbing();
	}
}

function pickByLoad(states: readonly TargetState[], now: number, random: RandomSource | undefined): TargetState {
	return random === undefined ? findLeastLoaded(states, now) : pickLessLoadedOfTwo(states, now, random);
}

/** Returns the extra milliseconds of the way to another failure domain. */
function estimateCrossDomainMilliseconds(service: ServiceState): number {
	const {milliseconds: own} = service.own;
	const {milliseconds: others} = service.others;
	return own === undefined || others === undefined ? assumedCrossDomainMilliseconds : Math.max(assumedCrossDomainMilliseconds, others - own);
}

/** Returns the milliseconds that a request is expected to save in another failure domain; negative if it takes longer there. */
function spilloverGainMilliseconds(service: ServiceState, ownLoad: number, otherLoad: number): number {
	const own = service.own.milliseconds ?? assumedLatencyMilliseconds;
	const others = service.others.milliseconds ?? own + assumedCrossDomainMilliseconds;
	const ownWait = Math.max(0, ownLoad - 1) * own;
	const otherWait = Math.max(0, otherLoad - 1) * own;
	return own + ownWait - (others + otherWait);
}

function createEstimates(): Pick<ServiceState, 'own' | 'others' | 'times'> {
	return {own: new LatencyFloor(), others: new LatencyFloor(), times: new ServiceTimes()};
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
