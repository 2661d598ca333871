import {expect} from 'chai';
import fc from 'fast-check';
import {
	createFailureDomain, createNodeId, createTeamName, emptyConfiguration, SeededRandom,
	type Configuration, type FencingNumber, type RequestId, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import type {RatePayload} from '../_lib/messages.js';
import type {Excess} from '../test-support/spend-counter/index.js';
import {SimulatedRateFleet, type SimulatedRateFleetOptions} from '../test-support/simulated-rate-fleet/index.js';
import type {RateMessage} from '../types.js';
import {DistributedRateLimiter} from './index.js';

const council = createTeamName('council');
const county = createTeamName('county');

function team(name: TeamName, ratePerSecond: number, burst: number): Team {
	return {name, ratePerSecond, burst};
}

const reliableNetwork: SimulatedRateFleetOptions = {
	seed: 1, domains: 4, nodesPerDomain: 3, lossShare: 0, duplicateShare: 0, maximumDelayMilliseconds: 0,
};

type Step =
	| {readonly kind: 'charge'; readonly node: number; readonly times: number; readonly isCouncil: boolean}
	| {readonly kind: 'run'; readonly milliseconds: number}
	| {readonly kind: 'flood'; readonly steps: number; readonly isCouncil: boolean}
	| {readonly kind: 'refund'; readonly index: number; readonly times: number}
	| {readonly kind: 'restart'; readonly node: number}
	| {readonly kind: 'drop-lease'; readonly domain: number}
	| {readonly kind: 'cut'; readonly domain: number}
	| {readonly kind: 'heal'}
	| {readonly kind: 'change'; readonly rate: number; readonly burst: number; readonly hasCouncil: boolean; readonly lag: number}
	| {readonly kind: 'weights'; readonly weights: number[]; readonly lag: number};

const node = fc.nat({max: 8});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 12, arbitrary: fc.record({
			kind: fc.constant('charge' as const), node, times: fc.integer({min: 1, max: 30}), isCouncil: fc.boolean(),
		}),
	},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('run' as const), milliseconds: fc.integer({min: 5, max: 900})})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('flood' as const), steps: fc.integer({min: 1, max: 60}), isCouncil: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('refund' as const), index: fc.nat(), times: fc.integer({min: 1, max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('restart' as const), node})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('drop-lease' as const), domain: fc.nat({max: 2})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cut' as const), domain: fc.nat({max: 2})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('change' as const), rate: fc.integer({min: 1, max: 80}), burst: fc.integer({min: 1, max: 100}),
			hasCouncil: fc.boolean(), lag: fc.integer({min: 0, max: 3000}),
		}),
	},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('weights' as const), weights: fc.array(fc.integer({min: 0, max: 5}), {minLength: 3, maxLength: 3}), lag: fc.integer({min: 0, max: 3000}),
		}),
	},
);

/** Charges a team at each node in turn, at three nodes every 20 ms. */
function flood(fleet: SimulatedRateFleet, steps: number, teamName: TeamName): void {
	for (let step = 0; step < steps; step++) {
		for (let nodeIndex = 0; nodeIndex < 3; nodeIndex++) {
			fleet.charge((step * 3) + nodeIndex, teamName);
		}

		fleet.run(20);
	}
}

function apply(fleet: SimulatedRateFleet, step: Step): void {
	switch (step.kind) {
		case 'charge': {
			for (let time = 0; time < step.times; time++) {
				fleet.charge(step.node, step.isCouncil ? council : county);
			}

			break;
		}

		case 'flood': {
			flood(fleet, step.steps, step.isCouncil ? council : county);
			break;
		}

		case 'run': {
			fleet.run(step.milliseconds);
			break;
		}

		case 'refund': {
			fleet.refund(step.index, step.times);
			break;
		}

		case 'restart': {
			fleet.restart(step.node);
			break;
		}

		case 'drop-lease': {
			fleet.stopRenewal(step.domain);
			break;
		}

		case 'cut': {
			fleet.cut(step.domain);
			break;
		}

		case 'heal': {
			fleet.heal();
			break;
		}

		case 'change': {
			const councilTeams = step.hasCouncil ? [team(council, 2, 5)] : [];
			fleet.configure([team(county, step.rate, step.burst), ...councilTeams], fleet.configuration.domains, step.lag);
			break;
		}

		case 'weights': {
			fleet.configure([...fleet.configuration.teams.values()], fleet.createWeightedDomains(step.weights), step.lag);
			break;
		}

		default: {
			throw new TypeError('unexpected step');
		}
	}
}

/** Runs the steps on a new fleet and returns a window in which a team spent too much, if there is one. */
function runSteps(steps: readonly Step[], seed: number, faultOptions: Partial<SimulatedRateFleetOptions>): Excess | undefined {
	const fleet = new SimulatedRateFleet({
		seed, domains: 3, nodesPerDomain: 3, lossShare: 0.1, duplicateShare: 0.2, maximumDelayMilliseconds: 60, ...faultOptions,
	});
	fleet.configure([team(county, 40, 40), team(council, 2, 5)], fleet.configuration.domains, 0);
	fleet.run(700);
	for (const step of steps) {
		apply(fleet, step);
	}

	fleet.run(400);
	return fleet.spendCounter.findExcess();
}

/** Steps under constant demand in which leases are lost repeatedly. */
const leaseStepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('flood' as const), steps: fc.integer({min: 20, max: 80}), isCouncil: fc.constant(false)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('drop-lease' as const), domain: fc.nat({max: 2})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('run' as const), milliseconds: fc.integer({min: 500, max: 1500})})},
);

/** Checks with random steps that no team spends more than its limit; `failed` of the result tells whether one did. */
function checkSpentTokens(faultOptions: Partial<SimulatedRateFleetOptions>, steps: fc.Arbitrary<Step>, runs: number): fc.RunDetails<[Step[], number]> {
	const property = fc.property(fc.array(steps, {minLength: 20, maxLength: 60}), fc.nat(), (chosen, seed) => runSteps(chosen, seed, faultOptions) === undefined);
	return fc.check(property, {seed: 20_261, numRuns: runs, endOnFailure: true});
}

function changeGrants(change: (grant: RatePayload & {readonly kind: 'grant'}) => RatePayload): (message: RateMessage) => RateMessage {
	return message => {
		const payload = message.payload as RatePayload;
		return payload.kind === 'grant' ? {...message, payload: change(payload)} : message;
	};
}

/** Changes reports so that spent tokens are reported as returned. */
function reportSpentAsReturned(message: RateMessage): RateMessage {
	const payload = message.payload as RatePayload;
	if (payload.kind === 'grant') {
		return message;
	}

	const reports = payload.reports.map(report => ({...report, returned: report.returned + report.spent, spent: 0}));
	return {...message, payload: {...payload, reports}};
}

describe('DistributedRateLimiter', () => {
	for (const [name, steps, runs] of [['with any sequence of faults', stepArbitrary, 150], ['when leases are lost repeatedly', leaseStepArbitrary, 40]] as const) {
		it(`never spends more than the burst plus the rate times the window, ${name}`, function () {
			this.timeout(60_000);
			const details = checkSpentTokens({}, steps, runs);
			expect(details.failed, JSON.stringify(details.counterexample)).to.equal(false);
		});
	}

	const faults: ReadonlyArray<readonly [string, Partial<SimulatedRateFleetOptions>]> = [
		['leases overlap', {hasOverlappingLeases: true}],
		['lease holders keep lending after their leases have ended', {leaseStretchMilliseconds: 3000}],
		['grants are enlarged in transit', {tamper: changeGrants(grant => ({...grant, amount: grant.amount * 2}))}],
		['spent tokens are reported as returned', {tamper: reportSpentAsReturned}],
	];
	for (const [name, faultOptions] of faults) {
		it(`fails the check of spent tokens when ${name}`, function () {
			this.timeout(60_000);
			expect(checkSpentTokens(faultOptions, leaseStepArbitrary, 40).failed).to.equal(true);
		});
	}

	it('lets one node use the whole burst of a small team', () => {
		for (const domains of [1, 3, 4, 16]) {
			const fleet = new SimulatedRateFleet({...reliableNetwork, domains});
			fleet.configure([team(council, 2, 5)], fleet.configuration.domains, 0);
			fleet.run(1500);
			for (let request = 0; request < 6; request++) {
				fleet.charge(0, council);
			}

			fleet.run(500);
			expect(fleet.spendCounter.total(council), `${domains} domains`).to.equal(5);
		}
	});

	it('refuses at most 10 requests when a large team\'s demand moves to another domain', () => {
		const fleet = new SimulatedRateFleet(reliableNetwork);
		fleet.configure([team(county, 200, 100)], fleet.configuration.domains, 0);
		fleet.run(2000);
		for (const node of [0, 11]) {
			const before = fleet.refusals.length;
			for (let step = 0; step < 540; step++) {
				fleet.charge(node, county);
				fleet.charge(node, county);
				fleet.run(step % 10 === 0 ? 15 : 10);
			}

			expect(fleet.refusals.length - before).to.be.at.most(10);
		}
	});

	it('sends few messages to the lease holders when many nodes each see few charges of many teams', () => {
		const toHolders = {asks: 0, reports: 0};
		const fleet = new SimulatedRateFleet({
			...reliableNetwork, domains: 3, nodesPerDomain: 8, tamper(message) {
				const {kind} = message.payload as RatePayload;
				toHolders.asks += kind === 'ask' ? 1 : 0;
				toHolders.reports += kind === 'report' ? 1 : 0;
				return message;
			},
		});
		const teams = Array.from({length: 20}, (_, index) => team(createTeamName(`team-${index}`), 20, 20));
		fleet.configure(teams, fleet.configuration.domains, 0);
		fleet.run(1500);
		const random = new SeededRandom(7);
		const charges = 400;
		for (let charge = 0; charge < charges; charge++) {
			fleet.charge(random.nextInteger(24), teams[random.nextInteger(teams.length)]!.name);
			fleet.run(5);
		}

		fleet.run(1500);
		expect(fleet.refusals).to.have.length(0);
		expect(toHolders.asks / charges, 'loan requests per charge').to.be.at.most(1.05);
		expect(toHolders.reports / charges, 'reports per charge').to.be.at.most(1.05);
	});

	it('refunds a token only once when the refund is repeated', () => {
		const fleet = new SimulatedRateFleet({...reliableNetwork, domains: 1});
		fleet.configure([team(council, 0.001, 5)], fleet.configuration.domains, 0);
		fleet.run(1500);
		for (let request = 0; request < 5; request++) {
			fleet.charge(0, council);
		}

		fleet.run(200);
		fleet.refund(0, 2);
		fleet.run(200);
		fleet.charge(1, council);
		fleet.run(100);
		fleet.charge(2, council);
		fleet.run(100);
		expect(fleet.refusals).to.have.length(1);
	});

	it('admits requests up to the domain\'s own part of the burst in a domain that is cut off', () => {
		const fleet = new SimulatedRateFleet(reliableNetwork);
		fleet.configure([team(county, 40, 40)], fleet.configuration.domains, 0);
		fleet.run(1500);
		fleet.cut(0);
		fleet.heal();
		fleet.cut(0);
		for (let request = 0; request < 20; request++) {
			fleet.charge(0, county);
		}

		fleet.run(500);
		expect(fleet.spendCounter.total(county)).to.be.within(10, 15);
	});

	it('refuses requests of a deleted team at once', () => {
		const fleet = new SimulatedRateFleet({...reliableNetwork, domains: 1});
		fleet.configure([team(council, 2, 5)], fleet.configuration.domains, 0);
		fleet.run(1500);
		fleet.configure([], fleet.configuration.domains, 0);
		fleet.run(10);
		fleet.charge(0, council);
		expect(fleet.refusals).to.have.length(1);
	});
});

describe('DistributedRateLimiter without a lease holder', () => {
	const domain = createFailureDomain('north');
	const configuration: Configuration = {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map([[council, team(council, 20, 5)]]),
		domains: new Map([[domain, {name: domain, weight: 1, witnesses: [createNodeId('node-1')]}]]),
	};

	function createLimiter(): DistributedRateLimiter {
		const limiter = new DistributedRateLimiter({node: createNodeId('node-2'), domain, run: 1});
		limiter.setConfiguration(configuration, 0);
		return limiter;
	}

	it('lets requests wait for a lease holder that is expected soon, and refuses them after 3 s', () => {
		const limiter = createLimiter();
		expect(limiter.charge(council, 'request-1' as RequestId, 0).decisions).to.deep.equal([]);
		expect(limiter.tick(2900).decisions).to.deep.equal([]);
		expect(limiter.tick(3000).decisions.map(({outcome}) => outcome.kind)).to.deep.equal(['refused']);
	});

	it('lets only as many requests wait as fit into the burst', () => {
		const limiter = createLimiter();
		const refusals = Array.from({length: 6}, (_, index) => limiter.charge(council, `request-${index}` as RequestId, 0).decisions.length);
		expect(refusals).to.deep.equal([0, 0, 0, 0, 0, 1]);
	});

	it('refuses at once when there has been no lease holder for 6 s', () => {
		const limiter = createLimiter();
		limiter.charge(council, 'request-1' as RequestId, 0);
		limiter.tick(6000);
		expect(limiter.charge(council, 'request-2' as RequestId, 6000).decisions.map(({outcome}) => outcome.kind)).to.deep.equal(['refused']);
	});

	it('lets requests wait for a lease holder that has just started with empty buckets, and refuses them after 0.5 s more', () => {
		const limiter = createLimiter();
		const holder = createNodeId('node-1');
		const view = {holder, fencing: 1 as FencingNumber, revision: 1 as Revision};
		limiter.charge(council, 'request-1' as RequestId, 0);
		const {messages} = limiter.setHolders(new Map([[domain, view]]), 1000);
		const request = [...messages, ...limiter.tick(1001).messages].map(({payload}) => payload as RatePayload).find(payload => payload.kind === 'ask');
		if (request?.kind !== 'ask') {
			throw new TypeError('the lease holder was not asked for a loan');
		}

		const emptyResponse: RatePayload = {
			kind: 'grant', domain, fencing: request.fencing, run: request.run, team: council, loan: request.loan, amount: 0, durationMilliseconds: 1000, level: 0,
		};
		expect(limiter.receive({from: holder, to: createNodeId('node-2'), payload: emptyResponse}, 1010).decisions).to.deep.equal([]);
		expect(limiter.tick(1300).decisions).to.deep.equal([]);
		expect(limiter.tick(1600).decisions.map(({outcome}) => outcome.kind)).to.deep.equal(['refused']);
	});
});
