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

function failuresOf(result: ScenarioResult): string[] {
	return result.expectations.filter(({held}) => !held).map(({expectation, measured}) => `${expectation.text}: ${measured}`);
}

/** Admits every request, whatever its team has spent. */
function createBoundlessKeeper(): RateLimiter {
	const nothing = {decisions: [], messages: []};
	return {
		charge: (_team, requestId) => ({decisions: [{requestId, outcome: {kind: 'admitted'}}], messages: []}),
		refund: () => nothing,
		settle() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		receive: () => nothing,
		tick: () => nothing,
		setConfiguration: () => nothing,
		setHolders: () => nothing,
		setOwnLease: () => nothing,
		shutDown: () => nothing,
	};
}

/** Grants every claim, as if none were kept. */
function createForgetfulState(): StateMachine {
	const machine = new ConfigurationStateMachine();
	return {
		apply: command => command.kind === 'begin-claim' ? {kind: 'claim', result: {kind: 'granted'}} : machine.apply(command),
		configuration: () => machine.configuration(),
		changesAfter: revision => machine.changesAfter(revision),
		resultOf: commandId => machine.resultOf(commandId),
		document: () => machine.document(),
		save: () => machine.save(),
	};
}

/** Takes every request for equally important. */
function createLevelAdmission(...parameters: ConstructorParameters<typeof GateAdmission>): Admission {
	const admission = new GateAdmission(...parameters);
	const offer = admission.offer.bind(admission);
	admission.offer = (request, now) => offer({...request, priority: 5}, now);
	return admission;
}

/** Goes on after it was told to drain. */
function createTirelessAdmission(...parameters: ConstructorParameters<typeof GateAdmission>): Admission {
	const admission = new GateAdmission(...parameters);
	admission.drain = () => {}; // eslint-disable-line @typescript-eslint/no-empty-function
	return admission;
}

/** Doesn't hear that upstreams leave. */
function createDeafRouting(...parameters: ConstructorParameters<typeof TargetRouting>): Routing {
	const routing = new TargetRouting(...parameters);
	const setTargets = routing.setTargets.bind(routing);
	routing.setTargets = (targets, now) => {
		setTargets(targets.map(target => ({...target, available: true})), now);
	};

	routing.setDrained = () => {}; // eslint-disable-line @typescript-eslint/no-empty-function
	return routing;
}

const boundlessRetries: Partial<ScenarioMechanisms> = {
	createRetryBudget: () => ({
		recordAttempt() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		takeRetry: () => true,
	}),
	lowerAttempts: remaining => remaining,
};

/** A mechanism that is broken for each promise, and the scenario that must notice. */
const breaks: ReadonlyArray<{readonly promise: string; readonly file: string; readonly mechanisms: Partial<ScenarioMechanisms>; readonly notices: string}> = [
	{
		promise: 'team rates', file: 'team-rate.scenario', mechanisms: {createRateKeeper: createBoundlessKeeper}, notices: 'admitted of storm-north',
	},
	{
		promise: 'withdrawn keys', file: 'withdrawn-key.scenario', mechanisms: {feedDelayMilliseconds: 60_000}, notices: 'starts of clerk',
	},
	{
		promise: 'at most one run', file: 'at-most-once.scenario', mechanisms: {createStateMachine: createForgetfulState}, notices: 'runs of council',
	},
	{
		promise: 'bounded retries', file: 'bounded-retries.scenario', mechanisms: boundlessRetries, notices: 'runs of owners',
	},
	{
		promise: 'the order of shedding', file: 'shed-order.scenario', mechanisms: {createAdmission: options => createLevelAdmission(options)}, notices: 'goodput of sign-offs',
	},
	{
		promise: 'leaving upstreams',
		file: 'leaving-upstream.scenario',
		mechanisms: {createAdmission: options => createTirelessAdmission(options), createRouting: options => createDeafRouting(options)},
		notices: 'work of node-1 at most 0',
	},
	{
		promise: 'claims at both sides of a cut', file: 'cut-domain.scenario', mechanisms: {createStateMachine: createForgetfulState}, notices: 'runs of closings',
	},
	{
		promise: 'withdrawn keys while a service is slow', file: 'slow-and-withdrawn.scenario', mechanisms: {feedDelayMilliseconds: 60_000}, notices: 'starts of owners',
	},
];

describe('scenario files', () => {
	for (const file of files) {
		it(`holds every expectation of ${file}`, () => {
			const result = run(file);
			expect(result.refusedStatements).deep.equal([]);
			expect(failuresOf(result)).deep.equal([]);
		});
	}

	it('gives the same result again from the same seed', () => {
		expect(run('shed-order.scenario')).deep.equal(run('shed-order.scenario'));
	});

	for (const {promise, file, mechanisms, notices} of breaks) {
		it(`notices in ${file} that the mechanism of ${promise} is broken`, () => {
			expect(failuresOf(run(file, mechanisms)).join('\n')).contains(notices);
		});
	}
});
