import {createTeamName, type RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import type {AdmissionDecision, AdmissionRequest} from '../types.js';
import {GateAdmission} from './index.js';

function request(id: string, change: Partial<AdmissionRequest> = {}): AdmissionRequest {
	return {
		requestId: id as RequestId, rootId: id as RequestId, team: createTeamName('one'), priority: 5, deadline: 10_000, depth: 0, ...change,
	};
}

function idsOf(decisions: readonly AdmissionDecision[], kind: AdmissionDecision['kind']): string[] {
	return decisions.filter(decision => decision.kind === kind).map(decision => decision.requestId);
}

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
});
