/**
The entry side of a failure domain on virtual time: the real routing, retry
budget and rate keeper before the gates of a scenario.
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

/** What the entry side needs of the world. */
export type ScenarioEntryOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly domain: FailureDomain;
	readonly node: NodeId;
	readonly mechanisms: ScenarioMechanisms;
	/** Finds a gate that can be reached from the domain. */
	readonly findGate: (upstream: UpstreamId) => ScenarioGate | undefined;
	/** The replicated state, or undefined while the domain is cut off from it. */
	readonly findState: () => StateMachine | undefined;
	readonly sendRates: (message: RateMessage) => void;
};

type Job = {
	readonly request: ScenarioRequest;
	readonly route: Route;
	readonly deadline: number;
	readonly hasClaim: boolean;
	remaining: number;
	readonly tried: Set<UpstreamId>;
};

type Attempt = {
	readonly upstream: UpstreamId;
	/** Absent if it can't be reached. */
	readonly gate: ScenarioGate | undefined;
	readonly startedAt: number;
};

const gateNode = 'gate' as NodeId;

/** The entry side of a failure domain. */
export class ScenarioEntry {
	configuration: Configuration = emptyConfiguration;
	readonly routing: Routing;
	readonly keeper: RateLimiter;
	readonly #options: ScenarioEntryOptions;
	readonly #budget: RetryBudget;
	readonly #pending = new Map<RequestId, Job>();

	constructor(options: ScenarioEntryOptions) {
		const {mechanisms, domain, node} = options;
		this.#options = options;
		this.routing = mechanisms.createRouting({domain, node});
		this.#budget = mechanisms.createRetryBudget();
		this.keeper = mechanisms.createRateKeeper({domain, node, run: 1});
	}

	setConfiguration(configuration: Configuration): void {
		this.configuration = configuration;
		this.routing.setDrained(configuration.drainedUpstreams);
		this.takeRates(this.keeper.setConfiguration(configuration, this.#options.clock.now()));
	}

	/** Takes a request in. */
	accept(request: ScenarioRequest, route: Route | undefined, key: string | undefined, hasClaim: boolean): void {
		const shown = key === undefined ? undefined : this.configuration.keys.get(key as KeyId);
		if (route === undefined || (!route.open && (shown === undefined || shown.withdrawn))) {
			request.result = 'not-run';
			return;
		}

		const job: Job = {
			request, route, hasClaim, deadline: this.#options.clock.now() + route.timeoutMilliseconds, remaining: route.retryLimit + 1, tried: new Set(),
		};
		if (shown === undefined) {
			this.#admit(job);
			return;
		}

		this.#pending.set(request.id, job);
		this.takeRates(this.keeper.charge(shown.team, request.id, this.#options.clock.now()));
	}

	takeRates({decisions, messages}: RateActions): void {
		for (const message of messages) {
			this.#options.sendRates(message);
		}

		for (const {requestId, outcome} of decisions) {
			const job = this.#pending.get(requestId);
			this.#pending.delete(requestId);
			if (job !== undefined && outcome.kind === 'admitted') {
				this.#admit(job);
			} else if (job !== undefined) {
				job.request.result = 'rate';
			}
		}
	}

	#admit(job: Job): void {
		job.request.isAdmitted = true;
		const claim = job.hasClaim ? this.#claim(job) : 'granted';
		switch (claim) {
			case 'granted': {
				this.#budget.recordAttempt(this.#options.clock.now());
				this.#attempt(job);
				return;
			}

			case 'answered':
			case 'answer-dropped': {
				job.request.result = 'whole';
				return;
			}

			case 'running':
			case 'mismatch':
			case 'outcome-unknown': {
				job.request.result = 'unknown';
				return;
			}

			case 'table-full':
			case 'no-quorum': {
				this.#refuse(job);
			}
		}
	}

	#claim({request, route}: Job): ClaimResult['kind'] | 'no-quorum' {
		const state = this.#options.findState();
		if (state === undefined || request.team === undefined) {
			return 'no-quorum';
		}

		const result = state.apply({
			kind: 'begin-claim',
			claim: {
				team: request.team, job: request.job, requestId: request.id, gate: gateNode, gateIncarnation: 'run-1', fingerprint: route.id,
			},
			at: this.#options.clock.now(),
		});
		return result.kind === 'claim' ? result.result.kind : 'mismatch';
	}

	#attempt(job: Job): void {
		const {clock, random, findGate} = this.#options;
		const choice = this.routing.choose({service: job.route.service, priority: job.route.priority, tried: job.tried}, clock.now(), random);
		if (choice.kind !== 'target') {
			this.#refuse(job);
			return;
		}

		const {upstream} = choice.target;
		const gate = findGate(upstream);
		const startedAt = clock.now();
		job.tried.add(upstream);
		this.routing.begin(upstream, startedAt);
		const answer = (result: GateAnswer): void => {
			this.#endAttempt(job, {upstream, gate, startedAt}, result);
		};

		if (gate === undefined) {
			answer({kind: 'not-run'});
			return;
		}

		gate.call({
			request: job.request, priority: job.route.priority, deadline: job.deadline, answer,
		});
	}

	#endAttempt(job: Job, {upstream, gate, startedAt}: Attempt, result: GateAnswer): void {
		const {clock, mechanisms} = this.#options;
		const now = clock.now();
		const level = gate?.level();
		switch (result.kind) {
			case 'answered': {
				this.routing.end(upstream, {kind: 'answered', latencyMilliseconds: now - startedAt}, level, now);
				this.#finish(job, 'whole');
				return;
			}

			case 'not-run': {
				this.routing.end(upstream, gate === undefined ? {kind: 'failed'} : {kind: 'refused'}, level, now);
				job.remaining = mechanisms.lowerAttempts(job.remaining, false);
				this.#retryOr(job, true);
				return;
			}

			case 'failed': {
				this.routing.end(upstream, {kind: 'failed'}, level, now);
				job.remaining = mechanisms.lowerAttempts(job.remaining, true);
				this.#retryOr(job, false);
			}
		}
	}

	#retryOr(job: Job, isNotRun: boolean): void {
		const now = this.#options.clock.now();
		const mayRetry = (isNotRun || job.route.idempotent) && job.remaining > 0 && now < job.deadline;
		if (mayRetry && this.#budget.takeRetry(now)) {
			this.#attempt(job);
			return;
		}

		if (isNotRun && job.request.starts.length === 0) {
			this.#refuse(job);
			return;
		}

		this.#finish(job, 'unknown');
	}

	/** Answers `not-run`, and gives the token back. */
	#refuse(job: Job): void {
		this.#finishClaim(job, 'not-run');
		job.request.result = 'not-run';
		this.takeRates(this.keeper.refund(job.request.id, this.#options.clock.now()));
	}

	#finish(job: Job, result: 'whole' | 'unknown'): void {
		this.#finishClaim(job, result);
		job.request.result = result;
		this.keeper.settle(job.request.id);
	}

	#finishClaim({request, hasClaim}: Job, result: 'whole' | 'not-run' | 'unknown'): void {
		const state = this.#options.findState();
		if (!hasClaim || state === undefined || request.team === undefined) {
			return;
		}

		state.apply({
			kind: 'finish-claim',
			team: request.team,
			job: request.job,
			requestId: request.id,
			outcome: result === 'whole' ? {kind: 'answered', answer: {status: 200, headers: [], body: new Uint8Array()}} : {kind: result},
			at: this.#options.clock.now(),
		});
	}
}
