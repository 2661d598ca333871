import {createTeamName, lowestPriority, type RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import fc from 'fast-check';
import {FixedLimit} from '../test-support/admission-policies/index.js';
import {ModelGate, type GateCommand} from '../test-support/model-gate/index.js';
import {createRequest as request, idsOf} from '../test-support/requests/index.js';
import type {AdmissionRequest} from '../types.js';
import {GateAdmission} from './index.js';

const seed = 20_261_204;

const commands: fc.Arbitrary<GateCommand> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constant('offer' as const),
			team: fc.integer({min: 0, max: 3}),
			priority: fc.integer({min: 0, max: 9}),
			depth: fc.integer({min: 0, max: 2}),
			timeout: fc.integer({min: 1, max: 400}),
			objective: fc.option(fc.integer({min: 0, max: 400}), {nil: undefined}),
			workClass: fc.integer({min: 0, max: 2}),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('finish' as const), index: fc.nat(), outcome: fc.constantFrom('success' as const, 'failure' as const, 'timeout' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cancel' as const), index: fc.nat()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('slots' as const), slots: fc.integer({min: 0, max: 6})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('pass' as const), milliseconds: fc.integer({min: 1, max: 60})})},
);

/** Creates a gate whose only slot is taken by the request `first`. */
function createBusyGate(): GateAdmission {
	const gate = new GateAdmission({slots: 1, now: 0});
	gate.offer(request('first'), 0);
	return gate;
}

/** Fills the queue, whose capacity is 16 at a gate with one slot. */
function fillQueue(gate: GateAdmission, prefix: string, change: Partial<AdmissionRequest>): void {
	for (let count = 0; count < 16; count++) {
		gate.offer(request(`${prefix}${count}`, change), 0);
	}
}

/** Creates a gate that runs one request at a time and is busy at 1000 ms, after runs of 100 ms of class 1 and of 10 ms of class 2. */
function createTrainedGate(slots = 1): GateAdmission {
	const gate = new GateAdmission({slots, now: 0, limit: new FixedLimit(1)});
	for (let now = 0; now < 990; now += 110) {
		gate.offer(request('first', {workClass: 1}), now);
		gate.finish('first' as RequestId, 'success', now + 100);
		gate.offer(request('first', {workClass: 2}), now + 100);
		gate.finish('first' as RequestId, 'success', now + 110);
	}

	gate.offer(request('first'), 1000);
	return gate;
}

/** Ends one run after the other at the given time and returns the order in which queued requests ran. */
function runAll(gate: GateAdmission, now: number): string[] {
	const order: string[] = [];
	for (let running = ['first']; running.length > 0; order.push(...running)) {
		running = idsOf(gate.finish(running[0] as RequestId, 'success', now), 'run');
	}

	return order;
}

describe('GateAdmission', () => {
	it('runs as many requests as there are slots and queues the next one', () => {
		const gate = createBusyGate();
		expect(idsOf(gate.offer(request('second'), 0), 'wait')).to.deep.equal(['second']);
		expect(idsOf(gate.finish('first' as RequestId, 'success', 10), 'run')).to.deep.equal(['second']);
	});

	it('sheds a less important request for a more important one when the queue is full', () => {
		const gate = createBusyGate();
		fillQueue(gate, 'low', {priority: 7});
		const decisions = gate.offer(request('important', {priority: 0}), 0);
		expect(idsOf(decisions, 'wait')).to.deep.equal(['important']);
		expect(idsOf(decisions, 'refuse')).to.have.length(1);
		expect(idsOf(gate.finish('first' as RequestId, 'success', 10), 'run')).to.deep.equal(['important']);
	});

	it('runs a call from deep in the call graph before a new root request of the same priority', () => {
		const gate = createBusyGate();
		gate.offer(request('root'), 0);
		gate.offer(request('deep', {depth: 3}), 1);
		expect(idsOf(gate.finish('first' as RequestId, 'success', 10), 'run')).to.deep.equal(['deep']);
	});

	it('refuses a queued request that can no longer meet its deadline', () => {
		const gate = createBusyGate();
		gate.offer(request('late', {deadline: 50}), 0);
		expect(gate.tick(49)).to.deep.equal([]);
		expect(idsOf(gate.tick(50), 'refuse')).to.deep.equal(['late']);
	});

	it('refuses new requests while draining, and still runs queued ones', () => {
		const gate = createBusyGate();
		gate.offer(request('second'), 0);
		gate.drain();
		expect(gate.offer(request('third'), 1)[0]).to.include({kind: 'refuse', reason: 'draining'});
		expect(idsOf(gate.finish('first' as RequestId, 'success', 2), 'run')).to.deep.equal(['second']);
	});

	it('divides the slots between teams in proportion to their rates while all of them have queued requests', () => {
		const gate = createBusyGate();
		const teams = [createTeamName('small'), createTeamName('large')];
		gate.setTeamWeights(new Map([[teams[0]!, 10], [teams[1]!, 30]]));
		const runsByTeam = [0, 0];
		let running = 'first' as RequestId;
		for (let round = 0; round < 400; round++) {
			for (const [index, team] of teams.entries()) {
				for (let count = 0; count < 4; count++) {
					gate.offer(request(`${index}-${round}-${count}`, {team}), 0);
				}
			}

			running = idsOf(gate.finish(running, 'success', 0), 'run')[0] as RequestId;
			runsByTeam[Number(running.split('-')[0])]!++;
		}

		expect(runsByTeam[1]! / 30).to.be.closeTo(runsByTeam[0]! / 10, 1);
	});

	it('serves a team that stays within its fair share while another team sends a hundred times as much', () => {
		const gate = createBusyGate();
		const storm = createTeamName('storm');
		const quiet = createTeamName('quiet');
		let running = 'first' as RequestId;
		let quietRuns = 0;
		for (let round = 0; round < 200; round++) {
			for (let count = 0; count < 50; count++) {
				gate.offer(request(`s${round}-${count}`, {team: storm}), 0);
			}

			if (round % 2 === 0) {
				gate.offer(request(`q${round}`, {team: quiet}), 0);
			}

			running = idsOf(gate.finish(running, 'success', 0), 'run')[0] as RequestId;
			quietRuns += running.startsWith('q') ? 1 : 0;
		}

		expect(quietRuns).to.be.at.least(99);
	});

	it('reports from which priority it sheds requests, and stops reporting it once it sheds none', () => {
		const gate = createBusyGate();
		expect(gate.level(0).shedPriority).to.equal(lowestPriority + 1);
		fillQueue(gate, 'waiting', {priority: 3});
		gate.offer(request('refused', {priority: 8}), 0);
		expect(gate.level(0).shedPriority).to.equal(4);
		expect(gate.level(1000).shedPriority).to.equal(lowestPriority + 1);
	});

	it('runs requests again after a slow period in which runs exceeded their timeout', () => {
		const gate = createBusyGate();
		gate.finish('first' as RequestId, 'timeout', 5000);
		expect(gate.offer(request('early', {deadline: 5200}), 5100)[0]).to.include({kind: 'refuse', reason: 'deadline'});
		expect(gate.offer(request('later', {deadline: 9200}), 9100)[0]).to.include({kind: 'run'});
	});

	// Guards against a call with a tight objective that waits behind one that has seconds left.
	it('runs the request of a team that must start first to meet its objective, before those that can no longer meet it', () => {
		const gate = createTrainedGate();
		gate.offer(request('late', {workClass: 1, objective: 1100, deadline: 1500}), 1000);
		gate.offer(request('loose', {workClass: 2, objective: 1240, deadline: 2000}), 1000);
		gate.offer(request('tight', {workClass: 1, objective: 1250, deadline: 5000}), 1000);
		expect(runAll(gate, 1020)).to.deep.equal(['tight', 'loose', 'late']);
	});

	// Guards against a tight request of a small team behind a loose one of another team, and against a team that others overtake without end.
	it('lets a request that must start first overtake other teams by less than one run', () => {
		const gate = createTrainedGate();
		gate.offer(request('loose', {team: createTeamName('two'), objective: 9000}), 1000);
		for (let count = 0; count < 4; count++) {
			gate.offer(request(`tight${count}`, {team: createTeamName('three'), objective: 2000 + count}), 1000);
		}

		expect(runAll(gate, 1000)).to.deep.equal(['tight0', 'loose', 'tight1', 'tight2', 'tight3']);
	});

	// Guards against a request that was on time when it arrived and displaces others after its objective has passed.
	it('moves a request behind the others once it can no longer meet its objective', () => {
		const gate = createTrainedGate();
		gate.offer(request('passed', {workClass: 1, objective: 1120, deadline: 3000}), 1000);
		gate.offer(request('on-time', {workClass: 1, objective: 1300, deadline: 4000}), 1000);
		expect(runAll(gate, 1150)).to.deep.equal(['on-time', 'passed']);
	});

	// Guards against a late request that waits until its deadline because others never cease.
	for (const [kind, objective] of [['an objective', 9000], ['none', undefined]] as const) {
		it(`gives one in ten of a team's runs to requests that can no longer meet their objective, beside others with ${kind}`, () => {
			const gate = createTrainedGate();
			gate.offer(request('late', {objective: 900}), 1000);
			for (let count = 0; count < 15; count++) {
				gate.offer(request(`other${count}`, {objective}), 1000);
			}

			expect(runAll(gate, 1000).indexOf('late')).to.equal(9);
		});
	}

	// Guards against a request with a tight objective that is refused while one with seconds left stays.
	it('sheds requests that can no longer meet their objective first, then the one that can wait the longest', () => {
		const gate = createTrainedGate();
		for (let count = 0; count < 12; count++) {
			gate.offer(request(`tight${count}`, {objective: 1300}), 1000);
		}

		gate.offer(request('loose', {objective: 4000}), 1000);
		for (const id of ['late0', 'late1', 'late2']) {
			gate.offer(request(id, {objective: 1010}), 1000);
		}

		const shed = [1, 2, 3].flatMap(count => idsOf(gate.offer(request(`new${count}`, {objective: 1300}), 1000), 'refuse'));
		expect(shed.slice(0, 2).every(id => id.startsWith('late'))).to.equal(true);
		expect(shed[2]).to.equal('loose');
	});

	// Guards against a chain that is cut off, and its work wasted, by new requests.
	it('never refuses a call of a running chain for new work of the same importance', () => {
		const gate = createTrainedGate();
		fillQueue(gate, 'call', {depth: 2, objective: 10});
		const decisions = gate.offer(request('new', {objective: 9000}), 0);
		expect(decisions).to.have.length(1);
		expect(decisions[0]).to.include({kind: 'refuse', requestId: 'new', reason: 'queue-full'});
	});

	// Guards against a request that waits for a second and is refused then.
	it('refuses a request on arrival if the work ahead leaves no time before its deadline, and accepts one that is only late', () => {
		const gate = createTrainedGate();
		for (let count = 0; count < 10; count++) {
			gate.offer(request(`ahead${count}`, {workClass: 1, objective: 1900}), 1000);
		}

		expect(gate.offer(request('hopeless', {workClass: 1, objective: 2000, deadline: 1700}), 1000)[0]).to.include({kind: 'refuse', reason: 'deadline'});
		expect(gate.offer(request('late', {workClass: 1, objective: 1500, deadline: 2500}), 1000)[0]).to.include({kind: 'wait'});
		expect(gate.offer(request('first', {workClass: 1, objective: 1350, deadline: 1400}), 1000)[0]).to.include({kind: 'wait'});
		expect(gate.offer(request('important', {
			workClass: 1, priority: 1, objective: 2000, deadline: 1700,
		}), 1000)[0]).to.include({kind: 'wait'});
		expect(gate.offer(request('other-team', {
			workClass: 1, team: createTeamName('two'), objective: 2000, deadline: 1700,
		}), 1000)[0]).to.include({kind: 'wait'});
	});

	// Guards against a gate in slow start that refuses what it would serve, because its limit doubles meanwhile.
	it('accepts a request that will start in time if the limit doubles', () => {
		const gate = createTrainedGate(4);
		for (let count = 0; count < 10; count++) {
			gate.offer(request(`ahead${count}`, {workClass: 1, objective: 1900}), 1000);
		}

		expect(gate.offer(request('hopeless', {workClass: 1, objective: 2000, deadline: 1400}), 1000)[0]).to.include({kind: 'refuse', reason: 'deadline'});
		expect(gate.offer(request('possible', {workClass: 1, objective: 2000, deadline: 1700}), 1000)[0]).to.include({kind: 'wait'});
	});

	// Guards against callers that ignore Retry-After because it is too long, or that return together.
	it('states a Retry-After that is shorter for more important requests, spread, and at most a third of the time left', () => {
		const gate = createTrainedGate();
		fillQueue(gate, 'waiting', {priority: 3, objective: 9000});
		const retryAfter = (id: string, change: Partial<AdmissionRequest>): number => {
			const decision = gate.offer(request(id, {objective: 9000, ...change}), 1000).find(({kind}) => kind === 'refuse');
			return decision?.kind === 'refuse' ? decision.retryAfterMilliseconds : 0;
		};

		expect(retryAfter('little-left', {priority: 8, deadline: 1360})).to.be.within(50, 120);
		expect(retryAfter('least-left', {priority: 8, deadline: 1090})).to.be.within(1, 30);
		const spread = new Set(Array.from({length: 20}, (_, index) => retryAfter(`same-${index}`, {priority: 8})));
		expect(spread.size).to.be.above(15);
		expect(Math.max(...spread) / Math.min(...spread)).to.be.within(1.2, 1.51);
		gate.drain();
		expect(retryAfter('most-important', {priority: 1})).to.be.below(Math.min(...spread) / 2);
	});

	// Guards against entry nodes that place a class of work by the times of another.
	it('reports the expected service time of a work class, and none before the first run', () => {
		expect(new GateAdmission({slots: 1, now: 0}).level(0, 1)).not.to.have.property('serviceMilliseconds');
		const gate = createTrainedGate();
		expect(gate.level(1000, 1).serviceMilliseconds).to.be.within(95, 105);
		expect(gate.level(1000, 2).serviceMilliseconds).to.be.within(9, 11);
		expect(gate.level(1000, 3).serviceMilliseconds).to.be.within(10, 100);
	});

	// Guards against an average that lags behind the pace of an upstream which shares its machine, and against counting the pace twice at entry nodes.
	it('reports the expected service time at the pace that the upstream states', () => {
		let pace = 2.5;
		const limit = Object.assign(new FixedLimit(4), {pace: () => pace});
		const gate = new GateAdmission({slots: 4, now: 0, limit});
		for (let index = 0; index < 20; index++) {
			gate.offer(request(`r-${index}`, {workClass: 1, deadline: 100_000}), index * 100);
			gate.finish(`r-${index}` as RequestId, 'success', (index * 100) + 50);
		}

		expect(gate.level(2000, 1)).to.deep.include({pace: 2.5});
		expect(gate.level(2000, 1).serviceMilliseconds).to.be.within(49, 51);
		pace = 1;
		expect(gate.level(2000, 1).serviceMilliseconds).to.be.within(19, 21);
	});

	it('ends each request once, respects its limit and sheds the least important first, for any sequence of commands', () => {
		fc.assert(fc.property(fc.array(commands, {maxLength: 300}), fc.constantFrom('earliest-deadline' as const, 'newest-when-standing' as const), (list, order) => {
			const model = new ModelGate(order);
			for (const command of list) {
				model.apply(command);
			}

			model.end();
		}), {seed, numRuns: 150});
	});
});
