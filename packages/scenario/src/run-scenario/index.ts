/**
Runs a scenario on virtual time with the production implementations of admission,
routing, retry budget, rate limiter and state machine. Upstreams, network and
callers are fakes. The result is deterministic for a scenario and a seed.
*/

import {GateAdmission} from '@fireflyglade/admission';
import {announcementTimeoutMilliseconds} from '@fireflyglade/model';
import {DistributedRateLimiter} from '@fireflyglade/rates';
import {
	getRemainingAttempts, NodeRetryBudget, splitAttempts, TargetRouting,
} from '@fireflyglade/routing';
import {ConfigurationStateMachine} from '@fireflyglade/state';
import {evaluateExpectation} from '../_lib/evaluate-expectation/index.js';
import {ScenarioSimulation} from '../_lib/scenario-simulation/index.js';
import type {Scenario} from '../scenario.types.js';
import type {ScenarioMechanisms, ScenarioResult} from './types.js';

export type * from './types.js';

/** The production implementations. */
export const defaultMechanisms: ScenarioMechanisms = {
	createAdmission: options => new GateAdmission(options),
	createRouting: options => new TargetRouting(options),
	createRetryBudget: () => new NodeRetryBudget(),
	createRateLimiter: options => new DistributedRateLimiter(options),
	createStateMachine: () => new ConfigurationStateMachine(),
	countRemainingAttempts: (remaining, didRun) => getRemainingAttempts(splitAttempts(remaining), didRun ? {kind: 'ran'} : {kind: 'not-run'}),
	configurationDelayMilliseconds: 500,
	announcementTimeoutMilliseconds,
};

/** Options of a run. */
export type RunScenarioOptions = {
	/** Seed of the random source. */
	readonly seed: number;
	/** Replacements of single mechanisms, with which tests check that a scenario detects a defect. */
	readonly mechanisms?: Partial<ScenarioMechanisms>;
};

/** Runs a scenario to its end and evaluates its expectations. */
export function runScenario(scenario: Scenario, options: RunScenarioOptions): ScenarioResult {
	const simulation = new ScenarioSimulation(scenario, {...defaultMechanisms, ...options.mechanisms}, options.seed);
	simulation.run();
	return {
		expectations: scenario.expectations.map(expectation => evaluateExpectation(expectation, simulation)),
		requests: simulation.requests.length,
		refusedStatements: simulation.refusedStatements,
	};
}
