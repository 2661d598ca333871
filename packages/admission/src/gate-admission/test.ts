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

/** A gate with one slot, already taken by the request `first`. */
function busyGate(): GateAdmission {
	const gate = new GateAdmission({slots: 1, now: 0});
	gate.offer(request('first'), 0);
	return gate;
}

function fill(gate: GateAdmission, prefix: string, change: Partial<AdmissionRequest>): void {
	for (let count = 0; count < 16; count++) {
		gate.offer(request(`${prefix}${count}`, change), 0);
	}
}

describe('GateAdmission', () => {
	it('runs requests up to the slots and lets the next one wait', () => {
		const gate = busyGate();
		expect(idsOf(gate.offer(request('second'), 0), 'wait')).to.deep.equal(['second']);
		expect(idsOf(gate.finish('first' as RequestId, 'success', 10), 'run')).to.deep.equal(['second']);
	});

	it('sheds a less important request for a more important one when the queue is full', () => {
		const gate = busyGate();
		fill(gate, 'low', {priority: 7});
		const decisions = gate.offer(request('important', {priority: 0}), 0);
		expect(idsOf(decisions, 'wait')).to.deep.equal(['important']);
		expect(idsOf(decisions, 'refuse')).to.have.length(1);
		expect(idsOf(gate.finish('first' as RequestId, 'success', 10), 'run')).to.deep.equal(['important']);
	});

	it('runs a deeper call of a chain before a new root of the same priority', () => {
		const gate = busyGate();
		gate.offer(request('root'), 0);
		gate.offer(request('deep', {depth: 3}), 1);
		expect(idsOf(gate.finish('first' as RequestId, 'success', 10), 'run')).to.deep.equal(['deep']);
	});

	it('refuses a waiting request that can no longer meet its deadline', () => {
		const gate = busyGate();
		gate.offer(request('late', {deadline: 50}), 0);
		expect(gate.tick(49)).to.deep.equal([]);
		expect(idsOf(gate.tick(50), 'refuse')).to.deep.equal(['late']);
	});

	it('refuses new requests while it drains, and runs what waits', () => {
		const gate = busyGate();
		gate.offer(request('second'), 0);
		gate.drain();
		expect(gate.offer(request('third'), 1)[0]).to.include({kind: 'refuse', reason: 'draining'});
		expect(idsOf(gate.finish('first' as RequestId, 'success', 2), 'run')).to.deep.equal(['second']);
	});

	it('shares the slots between teams by their rates while all of them wait', () => {
		const gate = busyGate();
		const teams = [createTeamName('small'), createTeamName('large')];
		gate.setTeamWeights(new Map([[teams[0]!, 10], [teams[1]!, 30]]));
		const ran = [0, 0];
		let running = 'first' as RequestId;
		for (let round = 0; round < 400; round++) {
			for (const [index, team] of teams.entries()) {
				for (let count = 0; count < 4; count++) {
					gate.offer(request(`${index}-${round}-${count}`, {team}), 0);
				}
			}

			running = idsOf(gate.finish(running, 'success', 0), 'run')[0] as RequestId;
			ran[Number(running.split('-')[0])]!++;
		}

		expect(ran[1]! / 30).to.be.closeTo(ran[0]! / 10, 1);
	});

	it('keeps the part of a team that sends within it while another sends a hundred times as much', () => {
		const gate = busyGate();
		const storm = createTeamName('storm');
		const quiet = createTeamName('quiet');
		let running = 'first' as RequestId;
		let quietRan = 0;
		for (let round = 0; round < 200; round++) {
			for (let count = 0; count < 50; count++) {
				gate.offer(request(`s${round}-${count}`, {team: storm}), 0);
			}

			if (round % 2 === 0) {
				gate.offer(request(`q${round}`, {team: quiet}), 0);
			}

			running = idsOf(gate.finish(running, 'success', 0), 'run')[0] as RequestId;
			quietRan += running.startsWith('q') ? 1 : 0;
		}

		expect(quietRan).to.be.at.least(99);
	});

	it('tells others which priority it sheds, and that only while it sheds', () => {
		const gate = busyGate();
		expect(gate.level(0).shedPriority).to.equal(lowestPriority + 1);
		fill(gate, 'waiting', {priority: 3});
		gate.offer(request('refused', {priority: 8}), 0);
		expect(gate.level(0).shedPriority).to.equal(4);
		expect(gate.level(1000).shedPriority).to.equal(lowestPriority + 1);
	});

	it('runs requests again after a slow time whose runs took longer than their timeout', () => {
		const gate = busyGate();
		gate.finish('first' as RequestId, 'timeout', 5000);
		expect(gate.offer(request('early', {deadline: 5200}), 5100)[0]).to.include({kind: 'refuse', reason: 'deadline'});
		expect(gate.offer(request('later', {deadline: 9200}), 9100)[0]).to.include({kind: 'run'});
	});

	it('ends each request once, keeps to its limit and sheds the least important first, whatever comes', () => {
		fc.assert(fc.property(fc.array(commands, {maxLength: 300}), fc.constantFrom('earliest-deadline' as const, 'newest-when-standing' as const), (list, order) => {
			const model = new ModelGate(order);
			for (const command of list) {
				model.apply(command);
			}

			model.end();
		}), {seed, numRuns: 150});
	});
});
