import {
	createFailureDomain, createNodeId, createServiceName, SeededRandom, type GateLevel, type Target, type UpstreamId,
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
function countChoices(routing: TargetRouting, now: number, rounds = 1000, change: Partial<TargetQuery> = {}): Map<UpstreamId, number> {
	const random = new SeededRandom(9);
	const counts = new Map<UpstreamId, number>();
	for (let round = 0; round < rounds; round++) {
		const choice = routing.choose(query(change), now, random);
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

/** Reports an answer with a service time of work class 7. */
function report(routing: TargetRouting, target: Target, now: number, change: Partial<GateLevel>): void {
	routing.begin(target.upstream, now);
	routing.end(target.upstream, {kind: 'answered', latencyMilliseconds: 100}, createLevel(2, change), now, 7);
}

/** Returns how many of 1000 requests of work class 7 with an objective go to a target. */
function countForObjective(routing: TargetRouting, target: Target, now: number, milliseconds: number): number {
	return countChoices(routing, now, 1000, {workClass: 7, objective: now + milliseconds}).get(target.upstream) ?? 0;
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

	it('chooses a target that is about to stop rather than an unreachable one, which would make each request wait for a connection', () => {
		const [stopping, unreachable] = [createTarget(0, 'here', {stopping: true}), createTarget(1)];
		const routing = createRouting([stopping, unreachable]);
		routing.setResponsive(unreachable.upstream, false, 0);
		expect(countChoices(routing, 1)).to.deep.equal(new Map([[stopping.upstream, 1000]]));
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

	describe('with objectives', () => {
		/** Creates routing to targets of which the first is three times as fast as the others. */
		function createUneven(count = 3): {routing: TargetRouting; targets: readonly Target[]; fast: Target} {
			const targets = createTargets(count);
			const routing = createRouting(targets);
			for (const [index, target] of targets.entries()) {
				report(routing, target, 0, {serviceMilliseconds: index === 0 ? 50 : 150});
			}

			return {routing, targets, fast: targets[0]!};
		}

		it('sends tight requests to a fast target and leaves it free of those that meet their objective anywhere', () => {
			const {routing, fast} = createUneven();
			expect(countForObjective(routing, fast, 1, 200)).to.equal(1000);
			expect(countForObjective(routing, fast, 1, 5000)).to.equal(0);
		});

		it('chooses by load alone without an objective or without reported service times', () => {
			const [uneven, plain] = [createUneven(), createUneven()];
			expect(countChoices(uneven.routing, 1, 100, {workClass: 7})).to.deep.equal(countChoices(plain.routing, 1, 100));
			const unreported = createRouting(uneven.targets);
			expect(countChoices(unreported, 1, 100, {workClass: 7, objective: 100})).to.deep.equal(countChoices(unreported, 1, 100));
		});

		it('compares distinct targets, so that the third best of four is never the best of the sample', () => {
			const targets = createTargets(4);
			const routing = createRouting(targets);
			for (const [index, serviceMilliseconds] of [50, 100, 300, 600].entries()) {
				report(routing, targets[index]!, 0, {serviceMilliseconds});
			}

			expect(countForObjective(routing, targets[2]!, 1, 200)).to.equal(0);
			expect(countForObjective(routing, targets[1]!, 1, 200)).to.be.within(200, 300);
		});

		it('expects no more time than the deadline leaves if the objective is later', () => {
			const {routing, fast} = createUneven();
			expect(countChoices(routing, 1, 1000, {workClass: 7, objective: 5000, deadline: 201})).to.deep.equal(new Map([[fast.upstream, 1000]]));
		});

		it('does not count the load of a level that is older than the known one', () => {
			const [plain, delayed] = [createUneven(), createUneven()];
			for (const {routing, fast} of [plain, delayed]) {
				routing.observeLevel(fast.upstream, createLevel(2), 10);
			}

			delayed.routing.observeLevel(delayed.fast.upstream, createLevel(10, {queueLength: 90}), 5);
			const request = query({workClass: 7, objective: 20_000});
			expect(delayed.routing.explain(request, 12_000)).to.deep.equal(plain.routing.explain(request, 12_000));
		});

		it('uses slow targets when the fast one has a queue', () => {
			const {routing, fast} = createUneven();
			report(routing, fast, 1, {serviceMilliseconds: 50, inFlight: 10, queueLength: 30});
			expect(countForObjective(routing, fast, 2, 200)).to.equal(0);
		});

		it('avoids a target at a slow pace only while the pace is fresh', () => {
			const targets = createTargets(3);
			const routing = createRouting(targets);
			for (const [index, target] of targets.entries()) {
				report(routing, target, 0, index === 0 ? {serviceMilliseconds: 250, pace: 2.5} : {serviceMilliseconds: 100, pace: 1});
			}

			expect(countForObjective(routing, targets[0]!, 10, 250)).to.equal(0);
			expect(countForObjective(routing, targets[0]!, 700, 250)).to.be.within(200, 500);
		});

		it('lets a service time that is not reported any more fade to the mean of the service, so that load decides', () => {
			const {routing, targets, fast} = createUneven();
			for (let now = 1000; now <= 31_000; now += 1000) {
				for (const target of targets.slice(1)) {
					report(routing, target, now, {serviceMilliseconds: 150});
				}
			}

			for (let count = 0; count < 5; count++) {
				routing.begin(fast.upstream, 31_000);
			}

			expect(countForObjective(routing, fast, 4000, 200)).to.equal(1000);
			expect(countForObjective(routing, fast, 31_000, 200)).to.equal(0);
		});

		it('assigns the mean of its peers to a gate that reports no service time', () => {
			const targets = createTargets(3);
			const routing = createRouting(targets);
			report(routing, targets[0]!, 0, {});
			for (const target of targets.slice(1)) {
				report(routing, target, 0, {serviceMilliseconds: 100});
			}

			expect(countForObjective(routing, targets[0]!, 1, 250)).to.be.within(200, 500);
		});

		for (const kind of ['failed', 'refused'] as const) {
			it(`sends less to a target after attempts that were ${kind}, and as much as before soon after`, () => {
				const targets = createTargets(3);
				const routing = createRouting(targets);
				for (const target of targets) {
					report(routing, target, 0, {serviceMilliseconds: 100});
				}

				routing.begin(targets[0]!.upstream, 1);
				routing.end(targets[0]!.upstream, {kind}, createLevel(2, {serviceMilliseconds: 100}), 1, 7);
				expect(countForObjective(routing, targets[0]!, 2, 500)).to.equal(0);
				for (const now of [500, 1000, 1500, 2000, 10_000]) {
					for (const target of targets) {
						report(routing, target, now, {serviceMilliseconds: 100});
					}
				}

				expect(countForObjective(routing, targets[0]!, 10_001, 500)).to.be.within(200, 500);
			});
		}

		it('prefers its own failure domain, unless only another one meets the objective', () => {
			const [own, other] = [createTarget(0), createTarget(1, 'there')];
			const routing = createRouting([own, other]);
			report(routing, own, 0, {serviceMilliseconds: 100});
			report(routing, other, 0, {serviceMilliseconds: 90});
			expect(countForObjective(routing, own, 1, 400)).to.equal(1000);
			report(routing, own, 2, {serviceMilliseconds: 600});
			expect(countForObjective(routing, own, 3, 400)).to.equal(0);
		});

		it('prefers the target on the node itself, unless it would miss the objective that another one meets', () => {
			const targets = [createTarget(0, 'here', {node: createNodeId('caller')}), createTarget(1)];
			const routing = createRouting(targets);
			report(routing, targets[0]!, 0, {serviceMilliseconds: 200});
			report(routing, targets[1]!, 0, {serviceMilliseconds: 100});
			expect(countForObjective(routing, targets[0]!, 1, 5000)).to.equal(1000);
			expect(countForObjective(routing, targets[0]!, 1, 300)).to.equal(0);
		});
	});

	it('gives a new target work before its first level, and by its reported limit afterwards', () => {
		const targets = createTargets(5);
		const routing = createRouting(targets.slice(0, 4));
		routing.setTargets(targets, 1);
		expect(countChoices(routing, 1).get(targets[4]!.upstream)).to.be.within(10, 100);
		for (const target of targets) {
			routing.observeLevel(target.upstream, createLevel(8, target === targets[4] ? {inFlight: 1, limit: 2} : {}), 2);
		}

		expect(countChoices(routing, 3).get(targets[4]!.upstream)).to.be.above(300);
	});

	it('sends single probes to a target after its ejection until two have succeeded', () => {
		const targets = createTargets(2);
		const routing = createRouting(targets);
		const failing = targets[0]!.upstream;
		failRepeatedly(routing, targets[0]!, 0);
		expect(countChoices(routing, 1001).get(failing)).to.be.within(50, 400);
		routing.begin(failing, 1001);
		expect(countChoices(routing, 1001).has(failing)).to.be.false;
		for (let probe = 0; probe < 2; probe++) {
			routing.begin(failing, 1001);
			routing.end(failing, {kind: 'answered', latencyMilliseconds: 5}, undefined, 1001);
		}

		routing.end(failing, {kind: 'answered', latencyMilliseconds: 5}, undefined, 1001);
		expect(countChoices(routing, 1002).get(failing)).to.be.above(400);
	});

	it('goes on probing after answers to requests that were sent before the ejection', () => {
		const targets = createTargets(2);
		const routing = createRouting(targets);
		const failing = targets[0]!.upstream;
		for (let count = 0; count < 3; count++) {
			routing.begin(failing, 0);
		}

		failRepeatedly(routing, targets[0]!, 1);
		for (let count = 0; count < 3; count++) {
			routing.end(failing, {kind: 'answered', latencyMilliseconds: 500}, undefined, 500);
		}

		expect(countChoices(routing, 1002).get(failing)).to.be.within(50, 400);
		routing.begin(failing, 1002);
		expect(countChoices(routing, 1002).has(failing)).to.be.false;
		routing.end(failing, {kind: 'answered', latencyMilliseconds: 1}, undefined, 1003);
		expect(countChoices(routing, 1004).get(failing)).to.be.within(50, 400);
		routing.begin(failing, 1004);
		routing.end(failing, {kind: 'answered', latencyMilliseconds: 1}, undefined, 1005);
		expect(countChoices(routing, 1006).get(failing)).to.be.above(400);
	});

	it('sends no second probe to a target instead of a more loaded new one', () => {
		const [probed, added] = createTargets(2);
		const routing = createRouting([probed!]);
		routing.setTargets([probed!, added!], 1);
		failRepeatedly(routing, probed!, 2);
		routing.begin(probed!.upstream, 1003);
		expect(countChoices(routing, 1004)).to.deep.equal(new Map([[added!.upstream, 1000]]));
	});

	describe('with gates that can not be reached', () => {
		/** Reports that a request to a target found its gate unreachable. */
		function failToReach(routing: TargetRouting, {upstream}: Target, now: number): void {
			routing.begin(upstream, now);
			routing.end(upstream, {kind: 'unreachable'}, undefined, now);
		}

		/** Returns how many of 1000 requests go to a target, without and with an objective. */
		function countBoth(routing: TargetRouting, target: Target, now: number): readonly [number, number] {
			return [countChoices(routing, now).get(target.upstream) ?? 0, countForObjective(routing, target, now, 500)];
		}

		function createReporting(count: number): {routing: TargetRouting; targets: readonly Target[]} {
			const targets = createTargets(count);
			const routing = createRouting(targets);
			for (const target of targets) {
				report(routing, target, 0, {serviceMilliseconds: 100});
			}

			return {routing, targets};
		}

		it('sends no further requests to one at once, so that they do not wait for a connection too', () => {
			const {routing, targets} = createReporting(4);
			failToReach(routing, targets[0]!, 1);
			expect(countBoth(routing, targets[0]!, 2)).to.deep.equal([0, 0]);
			expect(countBoth(routing, targets[0]!, 1000)).to.deep.equal([0, 0]);
		});

		it('probes one with single requests at doubling distances, so that a long interruption delays few requests', () => {
			const {routing, targets} = createReporting(4);
			failToReach(routing, targets[0]!, 0);
			failToReach(routing, targets[0]!, 0);
			const probedAt: number[] = [];
			for (let now = 0; now <= 11_000; now += 100) {
				if (countBoth(routing, targets[0]!, now).some(count => count > 0)) {
					probedAt.push(now);
					routing.begin(targets[0]!.upstream, now);
					expect(countBoth(routing, targets[0]!, now)).to.deep.equal([0, 0]);
					routing.end(targets[0]!.upstream, {kind: 'unreachable'}, undefined, now + 50);
				}
			}

			expect(probedAt).to.deep.equal([1000, 3000, 6000, 9000]);
		});

		it('sends as much as before to one that responds again', () => {
			const {routing, targets} = createReporting(2);
			failToReach(routing, targets[0]!, 0);
			report(routing, targets[0]!, 1000, {serviceMilliseconds: 100});
			report(routing, targets[1]!, 1000, {serviceMilliseconds: 100});
			expect(Math.min(...countBoth(routing, targets[0]!, 1001))).to.be.above(400);
			failToReach(routing, targets[0]!, 1500);
			expect(countBoth(routing, targets[0]!, 1501)).to.deep.equal([0, 0]);
			expect(countBoth(routing, targets[0]!, 2500)[0]).to.be.above(0);
		});

		it('avoids one that has stopped responding until its next byte, before any request has failed', () => {
			const {routing, targets} = createReporting(2);
			routing.setResponsive(targets[0]!.upstream, false, 1);
			expect(countBoth(routing, targets[0]!, 2)).to.deep.equal([0, 0]);
			routing.setResponsive(targets[0]!.upstream, true, 3);
			expect(Math.min(...countBoth(routing, targets[0]!, 4))).to.be.above(400);
		});

		it('avoids at most half of the targets, and none if no other may get the request', () => {
			fc.assert(fc.property(fc.integer({min: 1, max: 9}), fc.integer({min: 0, max: 9}), (count, unreachable) => {
				const {routing, targets} = createReporting(count);
				for (const target of targets.slice(0, unreachable)) {
					failToReach(routing, target, 1);
				}

				const avoided = Math.min(unreachable, Math.floor(count / 2));
				expect(countChoices(routing, 2).size).to.equal(count - avoided);
				const tried = new Set(targets.slice(avoided).map(({upstream}) => upstream));
				expect(countChoices(routing, 2, 1000, {tried}).size).to.equal(avoided);
			}), {seed: 11});
		});
	});

	it('tells callers when the first of the targets is expected to have room, within a third of their time, if all shed', () => {
		const targets = createTargets(2);
		const routing = createRouting([...targets, createTarget(2, 'here', {stopping: true})]);
		for (const [index, target] of targets.entries()) {
			report(routing, target, 0, {
				serviceMilliseconds: 100, shedPriority: 0, inFlight: 10, queueLength: index === 0 ? 79 : 29,
			});
		}

		expect(routing.choose(query({workClass: 7}), 20, new SeededRandom(1))).to.deep.equal({kind: 'all-shedding', retryAfterMilliseconds: 280});
		expect(routing.choose(query({workClass: 7, deadline: 320}), 20, new SeededRandom(1))).to.deep.equal({kind: 'all-shedding', retryAfterMilliseconds: 100});
		expect(routing.choose(query({workClass: 7, deadline: 110}), 20, new SeededRandom(1))).to.deep.equal({kind: 'all-shedding', retryAfterMilliseconds: 30});
		expect(routing.choose(query({workClass: 7}), 249, new SeededRandom(1))).to.deep.equal({kind: 'all-shedding', retryAfterMilliseconds: 51});
		report(routing, targets[1]!, 250, {serviceMilliseconds: 100, shedPriority: 0, inFlight: 2});
		routing.observeLevel(targets[0]!.upstream, createLevel(10, {shedPriority: 0}), 250);
		expect(routing.choose(query({workClass: 7}), 250, new SeededRandom(1))).to.deep.equal({kind: 'all-shedding', retryAfterMilliseconds: 50});
	});

	describe('explain', () => {
		it('names each reason for which a target may not be chosen', () => {
			const targets = createTargets(16).map((target, index) => ({...target, ...(index === 0 && {available: false}), ...(index === 1 && {stopping: true})}));
			const routing = createRouting(targets);
			const [drained, tried, ejected, unreachable, shedding] = targets.slice(2);
			routing.setDrained(new Set([drained!.upstream]));
			failRepeatedly(routing, ejected!, 0);
			routing.setResponsive(unreachable!.upstream, false, 0);
			routing.observeLevel(shedding!.upstream, createLevel(10, {shedPriority: 5}), 0);
			const explained = routing.explain(query({tried: new Set([tried!.upstream])}), 100);
			const kinds = new Map(explained.map(({target, exclusion}) => [target.upstream, exclusion?.kind]));
			expect(targets.slice(0, 8).map(({upstream}) => kinds.get(upstream))).to.deep.equal(['unavailable', 'stopping', 'drained', 'tried', 'ejected', 'unreachable', 'shedding', undefined]);
			expect(explained.find(({target}) => target.upstream === ejected!.upstream)?.exclusion).to.deep.equal({kind: 'ejected', remainingMilliseconds: 900});
			expect(explained.slice(-7).every(({exclusion}) => exclusion !== undefined)).to.equal(true);
		});

		it('puts the target first that most requests get, with and without an objective', () => {
			const targets = createTargets(3);
			const routing = createRouting(targets);
			for (const [index, target] of targets.entries()) {
				report(routing, target, 0, {serviceMilliseconds: index === 1 ? 60 : 240});
				routing.observeLevel(target.upstream, createLevel(index === 2 ? 0 : 8), 0);
			}

			const [byObjective] = routing.explain(query({workClass: 7, objective: 250}), 0);
			expect(byObjective).to.deep.include({
				target: targets[1], isPreferred: true, part: 1, successShare: 1, levelAgeMilliseconds: 0,
			});
			expect(byObjective!.probability).to.be.within(0.5, 1);
			const [byLoad] = routing.explain(query(), 0);
			expect(byLoad).to.deep.equal({
				target: targets[2], isPreferred: true, load: 0, successShare: 1, levelAgeMilliseconds: 0, part: 1,
			});
			expect(routing.explain(query({service: createServiceName('none')}), 0)).to.deep.equal([]);
		});

		it('prefers another failure domain under the same conditions as a choice', () => {
			const targets = [createTarget(0), createTarget(1, 'there')];
			const routing = createRouting(targets);
			for (const load of [5, 40]) {
				routing.observeLevel(targets[0]!.upstream, createLevel(load), 0);
				routing.observeLevel(targets[1]!.upstream, createLevel(0), 0);
				const [preferred] = routing.explain(query(), 0);
				expect(countChoices(routing, 0).get(preferred!.target.upstream)).to.equal(1000);
			}
		});

		it('changes no later choice and no probe', () => {
			const [plain, explained] = [true, false].map(isPlain => {
				const targets = createTargets(6);
				const routing = createRouting(targets);
				report(routing, targets[0]!, 0, {serviceMilliseconds: 100});
				routing.setResponsive(targets[1]!.upstream, false, 0);
				const random = new SeededRandom(3);
				return Array.from({length: 200}, (_, round) => {
					const now = round * 10;
					const request = query(round % 2 === 0 ? {workClass: 7, objective: now + 200} : {});
					if (!isPlain) {
						routing.explain(request, now);
					}

					const choice = routing.choose(request, now, random);
					if (choice.kind === 'target') {
						routing.begin(choice.target.upstream, now);
					}

					return choice;
				});
			});
			expect(explained).to.deep.equal(plain);
		});
	});
});
