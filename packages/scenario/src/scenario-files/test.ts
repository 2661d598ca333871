import {readdirSync, readFileSync} from 'node:fs';
import {GateAdmission, type Admission} from '@fireflyglade/admission';
import type {RateLimiter} from '@fireflyglade/rates';
import {TargetRouting, type Routing} from '@fireflyglade/routing';
import {ConfigurationStateMachine, type StateMachine} from '@fireflyglade/state';
import {expect} from 'chai';
import {parseScenario} from '../parse-scenario/index.js';
import {runScenario, type ScenarioMechanisms, type ScenarioResult} from '../run-scenario/index.js';

const seed = 11;
const folder = new URL('../../../../scenarios/', import.meta.url);
const files = readdirSync(folder).filter(name => name.endsWith('.scenario')).sort();

function run(file: string, mechanisms: Partial<ScenarioMechanisms> = {}): ScenarioResult {
	return runScenario(parseScenario(readFileSync(new URL(file, folder), 'utf8')), {seed, mechanisms});
}

function listUnmetExpectations(result: ScenarioResult): string[] {
	return result.expectations.filter(({isMet}) => !isMet).map(({expectation, measured}) => `${expectation.text}: ${measured}`);
}

/** Creates a rate limiter that admits every request. */
function createUnlimitedRateLimiter(): RateLimiter {
	const noActions = {decisions: [], messages: []};
	return {
		charge: (_team, requestId) => ({decisions: [{requestId, outcome: {kind: 'admitted'}}], messages: []}),
		refund: () => noActions,
		settle() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		receive: () => noActions,
		tick: () => noActions,
		setConfiguration: () => noActions,
		setHolders: () => noActions,
		setOwnLease: () => noActions,
		shutDown: () => noActions,
	};
}

/** Creates a state machine that grants every claim without storing it. */
function createStateMachineWithoutClaims(): StateMachine {
	const machine = new ConfigurationStateMachine();
	return {
		apply: command => command.kind === 'begin-claim' ? {kind: 'claim', result: {kind: 'granted'}} : machine.apply(command),
		configuration: () => machine.configuration(),
		changesAfter: revision => machine.changesAfter(revision),
		resultOf: commandId => machine.resultOf(commandId),
		departuresAt: address => machine.departuresAt(address),
		document: () => machine.document(),
		save: () => machine.save(),
	};
}

/** Creates an admission that gives every request the same priority. */
function createAdmissionWithoutPriorities(...parameters: ConstructorParameters<typeof GateAdmission>): Admission {
	const admission = new GateAdmission(...parameters);
	const offer = admission.offer.bind(admission);
	admission.offer = (request, now) => offer({...request, priority: 5}, now);
	return admission;
}

/** Creates an admission that ignores drains. */
function createAdmissionWithoutDrain(...parameters: ConstructorParameters<typeof GateAdmission>): Admission {
	const admission = new GateAdmission(...parameters);
	admission.drain = () => {}; // eslint-disable-line @typescript-eslint/no-empty-function
	return admission;
}

/** Creates a routing that treats every target as available and ignores drains. */
function createRoutingWithoutDrain(...parameters: ConstructorParameters<typeof TargetRouting>): Routing {
	const routing = new TargetRouting(...parameters);
	const setTargets = routing.setTargets.bind(routing);
	routing.setTargets = (targets, now) => {
		setTargets(targets.map(target => ({...target, available: true})), now);
	};

	routing.setDrained = () => {}; // eslint-disable-line @typescript-eslint/no-empty-function
	return routing;
}

const unlimitedRetries: Partial<ScenarioMechanisms> = {
	createRetryBudget: () => ({
		recordAttempt() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		takeRetry: () => true,
	}),
	countRemainingAttempts: remaining => remaining,
};

/** For each guarantee, mechanisms with a defect that violates it, and the scenario and expectation that must detect the defect. */
const mutations: ReadonlyArray<{readonly guarantee: string; readonly file: string; readonly mechanisms: Partial<ScenarioMechanisms>; readonly expectedFailure: string}> = [
	{
		guarantee: 'team rates', file: 'team-rate.scenario', mechanisms: {createRateLimiter: createUnlimitedRateLimiter}, expectedFailure: 'admitted of storm-north',
	},
	{
		guarantee: 'withdrawn keys', file: 'withdrawn-key.scenario', mechanisms: {configurationDelayMilliseconds: 60_000}, expectedFailure: 'starts of clerk',
	},
	{
		guarantee: 'at most one run', file: 'at-most-once.scenario', mechanisms: {createStateMachine: createStateMachineWithoutClaims}, expectedFailure: 'runs of council',
	},
	{
		guarantee: 'bounded retries', file: 'bounded-retries.scenario', mechanisms: unlimitedRetries, expectedFailure: 'runs of owners',
	},
	{
		guarantee: 'the order of shedding', file: 'shed-order.scenario', mechanisms: {createAdmission: options => createAdmissionWithoutPriorities(options)}, expectedFailure: 'goodput of sign-offs',
	},
	{
		guarantee: 'leaving upstreams',
		file: 'leaving-upstream.scenario',
		mechanisms: {createAdmission: options => createAdmissionWithoutDrain(options), createRouting: options => createRoutingWithoutDrain(options)},
		expectedFailure: 'work of node-1 at most 0',
	},
	{
		guarantee: 'claims at both sides of a cut', file: 'cut-domain.scenario', mechanisms: {createStateMachine: createStateMachineWithoutClaims}, expectedFailure: 'runs of closings',
	},
	{
		guarantee: 'withdrawn keys while a service is slow', file: 'slow-and-withdrawn.scenario', mechanisms: {configurationDelayMilliseconds: 60_000}, expectedFailure: 'starts of owners',
	},
];

describe('scenario files', () => {
	for (const file of files) {
		it(`meets every expectation of ${file}`, () => {
			const result = run(file);
			expect(result.refusedStatements).deep.equal([]);
			expect(listUnmetExpectations(result)).deep.equal([]);
		});
	}

	it('produces the same result for the same seed', () => {
		expect(run('shed-order.scenario')).deep.equal(run('shed-order.scenario'));
	});

	for (const {guarantee, file, mechanisms, expectedFailure} of mutations) {
		it(`detects with ${file} a defect in the mechanism for ${guarantee}`, () => {
			expect(listUnmetExpectations(run(file, mechanisms)).join('\n')).contains(expectedFailure);
		});
	}
});
