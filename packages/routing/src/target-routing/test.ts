import {
	createFailureDomain, createNodeId, SeededRandom, type Target, type UpstreamId,
} from '@fireflyglade/model';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	createLevel, createTarget, createTargets, service,
} from '../test-support/targets/index.js';
import type {TargetQuery} from '../types.js';
import {TargetRouting} from './index.js';

function createRouting(targets: readonly Target[]): TargetRouting {
	const routing = new TargetRouting({domain: createFailureDomain('here'), node: createNodeId('caller')});
	routing.setTargets(targets, 0);
	return routing;
}

function query(change: Partial<TargetQuery> = {}): TargetQuery {
	return {
		service, priority: 5, tried: new Set(), ...change,
	};
}

/** Counts how often each target is chosen in `rounds` choices. */
function countChoices(routing: TargetRouting, now: number, rounds = 1000): Map<UpstreamId, number> {
	const random = new SeededRandom(9);
	const counts = new Map<UpstreamId, number>();
	for (let round = 0; round < rounds; round++) {
		const choice = routing.choose(query(), now, random);
		if (choice.kind === 'target') {
			counts.set(choice.target.upstream, (counts.get(choice.target.upstream) ?? 0) + 1);
		}
	}

	return counts;
}

/** Reports five consecutive failures of a target, which is the limit for an ejection. */
function failRepeatedly(routing: TargetRouting, target: Target, now: number): void {
	for (let count = 0; count < 5; count++) {
		routing.begin(target.upstream, now);
		routing.end(target.upstream, {kind: 'failed'}, undefined, now);
	}
}

describe('TargetRouting', () => {
	it('never chooses a target that is drained, unavailable, already tried or removed', () => {
		fc.assert(fc.property(fc.array(fc.constantFrom('usable', 'drained', 'unavailable', 'tried', 'forgotten'), {minLength: 1, maxLength: 12}), fc.nat(), (states, seed) => {
			const targets = states.map((state, index) => createTarget(index, 'here', {available: state !== 'unavailable'}));
			const upstreamsInState = (wanted: string): Set<UpstreamId> => new Set(targets.filter((_, index) => states[index] === wanted).map(target => target.upstream));
			const routing = createRouting(targets);
			routing.setDrained(upstreamsInState('drained'));
			routing.setTargets(targets.filter((_, index) => states[index] !== 'forgotten'), 1);
			const choice = routing.choose(query({tried: upstreamsInState('tried')}), 1, new SeededRandom(seed));
			if (upstreamsInState('usable').size === 0) {
				expect(choice.kind).to.equal('no-target');
				return;
			}

			expect(choice.kind === 'target' && upstreamsInState('usable').has(choice.target.upstream)).to.be.true;
		}), {seed: 43});
	});

	it('chooses a target that is about to stop only if no other target is available', () => {
		const [stopping, staying] = [createTarget(0, 'here', {stopping: true}), createTarget(1, 'there')];
		const routing = createRouting([stopping, staying]);
		expect(countChoices(routing, 0)).to.deep.equal(new Map([[staying.upstream, 1000]]));
		routing.setTargets([stopping, {...staying, available: false}], 1);
		expect(countChoices(routing, 1)).to.deep.equal(new Map([[stopping.upstream, 1000]]));
		routing.setTargets([{...stopping, available: false}], 2);
		expect(countChoices(routing, 2).size).to.equal(0);
	});

	it('stays in its own failure domain while it has capacity and spills over when it is full', () => {
		const [own, other] = [createTarget(0), createTarget(1, 'there')];
		const routing = createRouting([own, other]);
		routing.observeLevel(own.upstream, createLevel(8), 0);
		expect(countChoices(routing, 0).get(own.upstream)).to.equal(1000);
		routing.observeLevel(own.upstream, createLevel(10, {queueLength: 30}), 1);
		expect(countChoices(routing, 1).get(other.upstream)).to.equal(1000);
	});

	it('stays in its own failure domain while queueing there costs less than the latency of another one', () => {
		const [own, other] = [createTarget(0), createTarget(1, 'there')];
		const routing = createRouting([own, other]);
		for (const [target, latencyMilliseconds] of [[own, 10], [other, 40]] as const) {
			routing.begin(target.upstream, 0);
			routing.end(target.upstream, {kind: 'answered', latencyMilliseconds}, undefined, 0);
		}

		routing.observeLevel(own.upstream, createLevel(10, {queueLength: 10}), 1);
		expect(countChoices(routing, 1).get(own.upstream)).to.equal(1000);
		routing.observeLevel(own.upstream, createLevel(10, {queueLength: 50}), 2);
		expect(countChoices(routing, 2).get(other.upstream)).to.equal(1000);
	});

	it('ramps up requests to a new, empty target slowly', () => {
		const targets = createTargets(5);
		const routing = createRouting(targets.slice(0, 4));
		for (const target of targets.slice(0, 4)) {
			routing.observeLevel(target.upstream, createLevel(9), 0);
		}

		routing.setTargets(targets, 1);
		expect(countChoices(routing, 1).get(targets[4]!.upstream)).to.be.below(100);
		for (const target of targets.slice(0, 4)) {
			routing.observeLevel(target.upstream, createLevel(9), 5000);
		}

		expect(countChoices(routing, 5000).get(targets[4]!.upstream)).to.be.above(300);
	});

	it('ignores a gate level that is too old', () => {
		const targets = createTargets(2);
		const routing = createRouting(targets);
		routing.observeLevel(targets[0]!.upstream, createLevel(10, {queueLength: 100}), 0);
		expect(countChoices(routing, 100).get(targets[0]!.upstream) ?? 0).to.equal(0);
		expect(countChoices(routing, 5000).get(targets[0]!.upstream)).to.be.within(300, 700);
	});

	it('refuses requests of a priority that all targets shed, and chooses a target again when the reported levels are old', () => {
		const targets = createTargets(3);
		const routing = createRouting(targets);
		for (const target of targets) {
			routing.observeLevel(target.upstream, createLevel(10, {shedPriority: 4}), 0);
		}

		expect(routing.choose(query(), 0, new SeededRandom(1)).kind).to.equal('all-shedding');
		expect(routing.choose(query({priority: 3}), 0, new SeededRandom(1)).kind).to.equal('target');
		expect(routing.choose(query(), 1000, new SeededRandom(1)).kind).to.equal('target');
	});

	it('ejects failing targets temporarily, but never more than half of them', () => {
		const targets = createTargets(4);
		const routing = createRouting(targets);
		failRepeatedly(routing, targets[0]!, 0);
		expect(countChoices(routing, 1).has(targets[0]!.upstream)).to.be.false;
		for (const target of targets) {
			failRepeatedly(routing, target, 2);
		}

		expect(countChoices(routing, 3).size).to.equal(2);
		expect(countChoices(routing, 20_000).size).to.equal(4);
	});

	it('does not eject a target that refuses requests, because a refusal is not a failure', () => {
		const targets = createTargets(2);
		const routing = createRouting(targets);
		for (let count = 0; count < 50; count++) {
			routing.begin(targets[0]!.upstream, 0);
			routing.end(targets[0]!.upstream, {kind: 'refused'}, undefined, 0);
		}

		expect(countChoices(routing, 1).size).to.equal(2);
	});

	it('distributes requests evenly over idle targets by its own requests in flight', () => {
		const targets = createTargets(4);
		const routing = createRouting(targets);
		const random = new SeededRandom(3);
		const counts = new Map<UpstreamId, number>();
		for (let round = 0; round < 40; round++) {
			const choice = routing.choose(query(), 0, random);
			if (choice.kind === 'target') {
				routing.begin(choice.target.upstream, 0);
				counts.set(choice.target.upstream, (counts.get(choice.target.upstream) ?? 0) + 1);
			}
		}

		expect(Math.max(...counts.values()) - Math.min(...counts.values())).to.be.at.most(4);
	});
});
