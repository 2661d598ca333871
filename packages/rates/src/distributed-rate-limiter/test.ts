import {expect} from 'chai';
import fc from 'fast-check';
import {
	createFailureDomain, createNodeId, createTeamName, emptyConfiguration, SeededRandom,
	type Configuration, type FencingNumber, type RequestId, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import type {RatePayload} from '../_lib/messages.js';
import type {Excess} from '../test-support/spend-count/index.js';
import {RateWorld, type WorldOptions} from '../test-support/rate-world/index.js';
import type {RateMessage} from '../types.js';
import {DistributedRateLimiter} from './index.js';

const council = createTeamName('council');
const county = createTeamName('county');

function team(name: TeamName, ratePerSecond: number, burst: number): Team {
	return {name, ratePerSecond, burst};
}

const quiet: WorldOptions = {
	seed: 1, domains: 4, nodesPerDomain: 3, lossShare: 0, repeatShare: 0, maximumDelay: 0,
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

/** Charges at every node in turn, three nodes each 20 ms. */
function flood(world: RateWorld, steps: number, name: TeamName): void {
	for (let step = 0; step < steps; step++) {
		for (let nodeIndex = 0; nodeIndex < 3; nodeIndex++) {
			world.charge((step * 3) + nodeIndex, name);
		}

		world.run(20);
	}
}

function apply(world: RateWorld, step: Step): void {
	switch (step.kind) {
		case 'charge': {
			for (let time = 0; time < step.times; time++) {
				world.charge(step.node, step.isCouncil ? council : county);
			}

			break;
		}

		case 'flood': {
			flood(world, step.steps, step.isCouncil ? council : county);
			break;
		}

		case 'run': {
			world.run(step.milliseconds);
			break;
		}

		case 'refund': {
			world.refund(step.index, step.times);
			break;
		}

		case 'restart': {
			world.restart(step.node);
			break;
		}

		case 'drop-lease': {
			world.dropLease(step.domain);
			break;
		}

		case 'cut': {
			world.cut(step.domain);
			break;
		}

		case 'heal': {
			world.heal();
			break;
		}

		case 'change': {
			const councils = step.hasCouncil ? [team(council, 2, 5)] : [];
			world.configure([team(county, step.rate, step.burst), ...councils], world.configuration.domains, step.lag);
			break;
		}

		case 'weights': {
			world.configure([...world.configuration.teams.values()], world.weights(step.weights), step.lag);
			break;
		}

		default: {
			throw new TypeError('unexpected step');
		}
	}
}

function runSteps(steps: readonly Step[], seed: number, broken: Partial<WorldOptions>): Excess | undefined {
	const world = new RateWorld({
		seed, domains: 3, nodesPerDomain: 3, lossShare: 0.1, repeatShare: 0.2, maximumDelay: 60, ...broken,
	});
	world.configure([team(county, 40, 40), team(council, 2, 5)], world.configuration.domains, 0);
	world.run(700);
	for (const step of steps) {
		apply(world, step);
	}

	world.run(400);
	return world.count.findExcess();
}

/** Steps under constant demand in which leases are lost again and again. */
const leaseStepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('flood' as const), steps: fc.integer({min: 20, max: 80}), isCouncil: fc.constant(false)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('drop-lease' as const), domain: fc.nat({max: 2})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('run' as const), milliseconds: fc.integer({min: 500, max: 1500})})},
);

function check(broken: Partial<WorldOptions>, steps: fc.Arbitrary<Step>, runs: number): fc.RunDetails<[Step[], number]> {
	const property = fc.property(fc.array(steps, {minLength: 20, maxLength: 60}), fc.nat(), (chosen, seed) => runSteps(chosen, seed, broken) === undefined);
	return fc.check(property, {seed: 20_261, numRuns: runs, endOnFailure: true});
}

function tamperGrant(change: (grant: RatePayload & {readonly kind: 'grant'}) => RatePayload): (message: RateMessage) => RateMessage {
	return message => {
		const payload = message.payload as RatePayload;
		return payload.kind === 'grant' ? {...message, payload: change(payload)} : message;
	};
}

/** Makes spent tokens come back as if they had been returned. */
function tamperReports(message: RateMessage): RateMessage {
	const payload = message.payload as RatePayload;
	if (payload.kind === 'grant') {
		return message;
	}

	const reports = payload.reports.map(report => ({...report, returned: report.returned + report.spent, spent: 0}));
	return {...message, payload: {...payload, reports}};
}

describe('TokenRateKeeper', () => {
	for (const [name, steps, runs] of [['whatever happens', stepArbitrary, 150], ['where leases are lost again and again', leaseStepArbitrary, 40]] as const) {
		it(`never spends more than burst plus rate times the window, ${name}`, function () {
			this.timeout(60_000);
			const details = check({}, steps, runs);
			expect(details.failed, JSON.stringify(details.counterexample)).to.equal(false);
		});
	}

	const breaks: ReadonlyArray<readonly [string, Partial<WorldOptions>]> = [
		['leases overlap', {hasOverlappingLeases: true}],
		['holders go on after their leases have ended', {leaseStretchMilliseconds: 3000}],
		['grants arrive larger than they were made', {tamper: tamperGrant(grant => ({...grant, amount: grant.amount * 2}))}],
		['spent tokens are reported as returned', {tamper: tamperReports}],
	];
	for (const [name, broken] of breaks) {
		it(`is seen to spend too much where ${name}`, function () {
			this.timeout(60_000);
			expect(check(broken, leaseStepArbitrary, 40).failed).to.equal(true);
		});
	}

	it('lets the whole burst of a small team be used from one node', () => {
		for (const domains of [1, 3, 4, 16]) {
			const world = new RateWorld({...quiet, domains});
			world.configure([team(council, 2, 5)], world.configuration.domains, 0);
			world.run(1500);
			for (let request = 0; request < 6; request++) {
				world.charge(0, council);
			}

			world.run(500);
			expect(world.count.total(council), `${domains} domains`).to.equal(5);
		}
	});

	it('moves a large team\'s demand between domains within a second', () => {
		const world = new RateWorld(quiet);
		world.configure([team(county, 200, 100)], world.configuration.domains, 0);
		world.run(2000);
		for (const node of [0, 11]) {
			const before = world.refusals.length;
			for (let step = 0; step < 540; step++) {
				world.charge(node, county);
				world.charge(node, county);
				world.run(step % 10 === 0 ? 15 : 10);
			}

			expect(world.refusals.length - before).to.be.at.most(10);
		}
	});

	it('does not flood the holders where many nodes see little of many teams', () => {
		const toHolders = {asks: 0, reports: 0};
		const world = new RateWorld({
			...quiet, domains: 3, nodesPerDomain: 8, tamper(message) {
				const {kind} = message.payload as RatePayload;
				toHolders.asks += kind === 'ask' ? 1 : 0;
				toHolders.reports += kind === 'report' ? 1 : 0;
				return message;
			},
		});
		const teams = Array.from({length: 20}, (_, index) => team(createTeamName(`team-${index}`), 20, 20));
		world.configure(teams, world.configuration.domains, 0);
		world.run(1500);
		const random = new SeededRandom(7);
		const charges = 400;
		for (let charge = 0; charge < charges; charge++) {
			world.charge(random.nextInteger(24), teams[random.nextInteger(teams.length)]!.name);
			world.run(5);
		}

		world.run(1500);
		expect(world.refusals).to.have.length(0);
		expect(toHolders.asks / charges, 'requests for tokens for each charge').to.be.at.most(1.05);
		expect(toHolders.reports / charges, 'reports for each charge').to.be.at.most(1.05);
	});

	it('gives a token back once, also when told twice', () => {
		const world = new RateWorld({...quiet, domains: 1});
		world.configure([team(council, 0.001, 5)], world.configuration.domains, 0);
		world.run(1500);
		for (let request = 0; request < 5; request++) {
			world.charge(0, council);
		}

		world.run(200);
		world.refund(0, 2);
		world.run(200);
		world.charge(1, council);
		world.run(100);
		world.charge(2, council);
		world.run(100);
		expect(world.refusals).to.have.length(1);
	});

	it('goes on in a domain that is cut off with that domain\'s own part', () => {
		const world = new RateWorld(quiet);
		world.configure([team(county, 40, 40)], world.configuration.domains, 0);
		world.run(1500);
		world.cut(0);
		world.heal();
		world.cut(0);
		for (let request = 0; request < 20; request++) {
			world.charge(0, county);
		}

		world.run(500);
		expect(world.count.total(county)).to.be.within(10, 15);
	});

	it('refuses a deleted team at once', () => {
		const world = new RateWorld({...quiet, domains: 1});
		world.configure([team(council, 2, 5)], world.configuration.domains, 0);
		world.run(1500);
		world.configure([], world.configuration.domains, 0);
		world.run(10);
		world.charge(0, council);
		expect(world.refusals).to.have.length(1);
	});
});

describe('TokenRateKeeper without a holder', () => {
	const domain = createFailureDomain('north');
	const configuration: Configuration = {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map([[council, team(council, 20, 5)]]),
		domains: new Map([[domain, {name: domain, weight: 1, witnesses: [createNodeId('node-1')]}]]),
	};

	function createKeeper(): DistributedRateLimiter {
		const keeper = new DistributedRateLimiter({node: createNodeId('node-2'), domain, run: 1});
		keeper.setConfiguration(configuration, 0);
		return keeper;
	}

	it('lets requests wait for a holder that is due, and refuses them after 3 s', () => {
		const keeper = createKeeper();
		expect(keeper.charge(council, 'request-1' as RequestId, 0).decisions).to.deep.equal([]);
		expect(keeper.tick(2900).decisions).to.deep.equal([]);
		expect(keeper.tick(3000).decisions.map(({outcome}) => outcome.kind)).to.deep.equal(['refused']);
	});

	it('lets no more requests wait than fit into the burst', () => {
		const keeper = createKeeper();
		const refusals = Array.from({length: 6}, (_, index) => keeper.charge(council, `request-${index}` as RequestId, 0).decisions.length);
		expect(refusals).to.deep.equal([0, 0, 0, 0, 0, 1]);
	});

	it('refuses at once when no holder has come for long', () => {
		const keeper = createKeeper();
		keeper.charge(council, 'request-1' as RequestId, 0);
		keeper.tick(6000);
		expect(keeper.charge(council, 'request-2' as RequestId, 6000).decisions.map(({outcome}) => outcome.kind)).to.deep.equal(['refused']);
	});

	it('lets requests wait for a holder that has just started empty, and refuses them after 0.5 s more', () => {
		const keeper = createKeeper();
		const holder = createNodeId('node-1');
		const view = {holder, fencing: 1 as FencingNumber, revision: 1 as Revision};
		keeper.charge(council, 'request-1' as RequestId, 0);
		const {messages} = keeper.setHolders(new Map([[domain, view]]), 1000);
		const asked = [...messages, ...keeper.tick(1001).messages].map(({payload}) => payload as RatePayload).find(payload => payload.kind === 'ask');
		if (asked?.kind !== 'ask') {
			throw new TypeError('the holder was not asked');
		}

		const nothing: RatePayload = {
			kind: 'grant', domain, fencing: asked.fencing, run: asked.run, team: council, loan: asked.loan, amount: 0, durationMilliseconds: 1000, level: 0,
		};
		expect(keeper.receive({from: holder, to: createNodeId('node-2'), payload: nothing}, 1010).decisions).to.deep.equal([]);
		expect(keeper.tick(1300).decisions).to.deep.equal([]);
		expect(keeper.tick(1600).decisions.map(({outcome}) => outcome.kind)).to.deep.equal(['refused']);
	});
});
