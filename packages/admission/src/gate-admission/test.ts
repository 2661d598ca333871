import {createTeamName, lowestPriority, type RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import fc from 'fast-check';
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
