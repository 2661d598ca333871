/**
Simulates the entry node of a failure domain on virtual time. Routing, retry
budget and rate limiter are the production implementations; the gates are those of
the simulation.
*/

import {
	emptyConfiguration, type Clock, type Configuration, type FailureDomain, type KeyId, type NodeId, type RandomSource, type RequestId, type Route,
	type UpstreamId,
} from '@fireflyglade/model';
import type {RateActions, RateLimiter, RateMessage} from '@fireflyglade/rates';
import type {RetryBudget, Routing} from '@fireflyglade/routing';
import type {ClaimResult, StateMachine} from '@fireflyglade/state';
import type {ScenarioMechanisms, ScenarioRequest} from '../../run-scenario/types.js';
import type {GateAnswer, ScenarioGate} from '../scenario-gate/index.js';

/** Options of an entry node. */
export type ScenarioEntryNodeOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly domain: FailureDomain;
	readonly node: NodeId;
	readonly mechanisms: ScenarioMechanisms;
	/** Returns the gate of an upstream, or undefined if the domain cannot reach it. */
	readonly findGate: (upstream: UpstreamId) => ScenarioGate | undefined;
	/** Returns the replicated state machine, or undefined while the domain is partitioned from it. */
	readonly findStateMachine: () => StateMachine | undefined;
	readonly sendRateMessage: (message: RateMessage) => void;
};

/** A request that has not been answered yet. */
type ActiveRequest = {
	readonly request: ScenarioRequest;
	readonly route: Route;
	/** Virtual milliseconds. */
	readonly deadline: number;
	/** True if the request must claim its job before it runs. */
	readonly shouldClaim: boolean;
	remainingAttempts: number;
	readonly triedUpstreams: Set<UpstreamId>;
};

type Attempt = {
	readonly upstream: UpstreamId;
	/** Undefined if the upstream is unreachable. */
	readonly gate: ScenarioGate | undefined;
	/** Virtual milliseconds. */
	readonly startedAt: number;
};

const claimingGate = 'gate' as NodeId;

/** The simulated entry node of a failure domain. */
export class ScenarioEntryNode {
	configuration: Configuration = emptyConfiguration;
	readonly routing: Routing;
	readonly rateLimiter: RateLimiter;
	readonly #options: ScenarioEntryNodeOptions;
	readonly #retryBudget: RetryBudget;
	/** Requests that wait for the decision of the rate limiter. */
	readonly #pendingRequests = new Map<RequestId, ActiveRequest>();

	constructor(options: ScenarioEntryNodeOptions) {
		const {mechanisms, domain, node} = options;
		this.#options = options;
		this.routing = mechanisms.createRouting({domain, node});
		this.#retryBudget = mechanisms.createRetryBudget();
		this.rateLimiter = mechanisms.createRateLimiter({domain, node, run: 1});
	}

	/** Applies a configuration to routing and rate limiter. */
	setConfiguration(configuration: Configuration): void {
		this.configuration = configuration;
		this.routing.setDrained(configuration.drainedUpstreams);
		this.applyRateActions(this.rateLimiter.setConfiguration(configuration, this.#options.clock.now()));
	}

	/**
	Accepts a request of a caller. Its result is set on the request, now or at a later virtual time.

	@param route - Undefined if no route matches.
	@param key - Id of the API key; undefined if the caller sends none.
	@param shouldClaim - True if the request must claim its job before it runs.
	*/
	accept(request: ScenarioRequest, route: Route | undefined, key: string | undefined, shouldClaim: boolean): void {
		const keyRecord = key === undefined ? undefined : this.configuration.keys.get(key as KeyId);
		if (route === undefined || (!route.open && (keyRecord === undefined || keyRecord.withdrawn))) {
			request.result = 'not-run';
			return;
		}

		const activeRequest: ActiveRequest = {
			request, route, shouldClaim, deadline: this.#options.clock.now() + route.timeoutMilliseconds, remainingAttempts: route.retryLimit + 1, triedUpstreams: new Set(),
		};
		if (keyRecord === undefined) {
			this.#admit(activeRequest);
			return;
		}

		this.#pendingRequests.set(request.id, activeRequest);
		this.applyRateActions(this.rateLimiter.charge(keyRecord.team, request.id, this.#options.clock.now()));
	}

	/** Sends the messages and applies the admission decisions of the rate limiter. */
	applyRateActions({decisions, messages}: RateActions): void {
		for (const message of messages) {
			this.#options.sendRateMessage(message);
		}

		for (const {requestId, outcome} of decisions) {
			const activeRequest = this.#pendingRequests.get(requestId);
			this.#pendingRequests.delete(requestId);
			if (activeRequest !== undefined && outcome.kind === 'admitted') {
				this.#admit(activeRequest);
			} else if (activeRequest !== undefined) {
				activeRequest.request.result = 'rate';
			}
		}
	}

	#admit(activeRequest: ActiveRequest): void {
		activeRequest.request.isAdmitted = true;
		const claim = activeRequest.shouldClaim ? this.#beginClaim(activeRequest) : 'granted';
		switch (claim) {
			case 'granted': {
				this.#retryBudget.recordAttempt(this.#options.clock.now());
				this.#startAttempt(activeRequest);
				return;
			}

			case 'answered':
			case 'answer-dropped': {
				activeRequest.request.result = 'whole';
				return;
			}

			case 'running':
			case 'mismatch':
			case 'outcome-unknown': {
				activeRequest.request.result = 'unknown';
				return;
			}

			case 'table-full':
			case 'no-quorum': {
				this.#finishNotRun(activeRequest);
			}
		}
	}

	#beginClaim({request, route}: ActiveRequest): ClaimResult['kind'] | 'no-quorum' {
		const stateMachine = this.#options.findStateMachine();
		if (stateMachine === undefined || request.team === undefined) {
			return 'no-quorum';
		}

		const result = stateMachine.apply({
			kind: 'begin-claim',
			claim: {
				team: request.team, job: request.job, requestId: request.id, gate: claimingGate, gateIncarnation: 'run-1', fingerprint: route.id,
			},
			at: this.#options.clock.now(),
		});
		return result.kind === 'claim' ? result.result.kind : 'mismatch';
	}

	#startAttempt(activeRequest: ActiveRequest): void {
		const {clock, random, findGate} = this.#options;
		const choice = this.routing.choose({service: activeRequest.route.service, priority: activeRequest.route.priority, tried: activeRequest.triedUpstreams}, clock.now(), random);
		if (choice.kind !== 'target') {
			this.#finishNotRun(activeRequest);
			return;
		}

		const {upstream} = choice.target;
		const gate = findGate(upstream);
		const startedAt = clock.now();
		activeRequest.triedUpstreams.add(upstream);
		this.routing.begin(upstream, startedAt);
		const answer = (result: GateAnswer): void => {
			this.#endAttempt(activeRequest, {upstream, gate, startedAt}, result);
		};

		if (gate === undefined) {
			answer({kind: 'not-run'});
			return;
		}

		gate.call({
			request: activeRequest.request, priority: activeRequest.route.priority, deadline: activeRequest.deadline, answer,
		});
	}

	#endAttempt(activeRequest: ActiveRequest, {upstream, gate, startedAt}: Attempt, result: GateAnswer): void {
		const {clock, mechanisms} = this.#options;
		const now = clock.now();
		const gateLevel = gate?.level();
		switch (result.kind) {
			case 'answered': {
				this.routing.end(upstream, {kind: 'answered', latencyMilliseconds: now - startedAt}, gateLevel, now);
				this.#finish(activeRequest, 'whole');
				return;
			}

			case 'not-run': {
				this.routing.end(upstream, gate === undefined ? {kind: 'failed'} : {kind: 'refused'}, gateLevel, now);
				activeRequest.remainingAttempts = mechanisms.countRemainingAttempts(activeRequest.remainingAttempts, false);
				this.#retryOrFinish(activeRequest, true);
				return;
			}

			case 'failed': {
				this.routing.end(upstream, {kind: 'failed'}, gateLevel, now);
				activeRequest.remainingAttempts = mechanisms.countRemainingAttempts(activeRequest.remainingAttempts, true);
				this.#retryOrFinish(activeRequest, false);
			}
		}
	}

	/** Starts another attempt if limits, deadline and retry budget allow it; answers the request otherwise. */
	#retryOrFinish(activeRequest: ActiveRequest, isNotRun: boolean): void {
		const now = this.#options.clock.now();
		const canRetry = (isNotRun || activeRequest.route.idempotent) && activeRequest.remainingAttempts > 0 && now < activeRequest.deadline;
		if (canRetry && this.#retryBudget.takeRetry(now)) {
			this.#startAttempt(activeRequest);
			return;
		}

		if (isNotRun && activeRequest.request.starts.length === 0) {
			this.#finishNotRun(activeRequest);
			return;
		}

		this.#finish(activeRequest, 'unknown');
	}

	/** Answers `not-run` and refunds the token of the rate limiter. */
	#finishNotRun(activeRequest: ActiveRequest): void {
		this.#finishClaim(activeRequest, 'not-run');
		activeRequest.request.result = 'not-run';
		this.applyRateActions(this.rateLimiter.refund(activeRequest.request.id, this.#options.clock.now()));
	}

	#finish(activeRequest: ActiveRequest, result: 'whole' | 'unknown'): void {
		this.#finishClaim(activeRequest, result);
		activeRequest.request.result = result;
		this.rateLimiter.settle(activeRequest.request.id);
	}

	#finishClaim({request, shouldClaim}: ActiveRequest, result: 'whole' | 'not-run' | 'unknown'): void {
		const stateMachine = this.#options.findStateMachine();
		if (!shouldClaim || stateMachine === undefined || request.team === undefined) {
			return;
		}

		stateMachine.apply({
			kind: 'finish-claim',
			team: request.team,
			job: request.job,
			requestId: request.id,
			outcome: result === 'whole' ? {kind: 'answered', answer: {status: 200, headers: [], body: new Uint8Array()}} : {kind: result},
			at: this.#options.clock.now(),
		});
	}
}
