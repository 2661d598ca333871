import {expect} from 'chai';
import {runSteps, shrinkSteps, type RunOptions} from './explore.js';
import type {InjectedFault} from './simulated-member.js';
import {generateSteps} from './steps.js';

/** Runs a range of seeds and returns the failing ones, each with its failed check. */
function explore(from: number, count: number, options: RunOptions): string[] {
	const violations: string[] = [];
	for (let seed = from; seed < from + count; seed++) {
		const {violation} = runSteps(generateSteps(seed), options);
		if (violation !== undefined) {
			violations.push(`seed ${seed}: ${violation}`);
		}
	}

	return violations;
}

/** The first seed that fails this check; undefined if none of the first 999 does. */
function findSeed(check: string, injectedFault: InjectedFault): number | undefined {
	for (let seed = 1; seed < 1000; seed++) {
		const {violation} = runSteps(generateSteps(seed), {members: 3, injectedFault});
		if (violation?.includes(check)) {
			return seed;
		}
	}

	return undefined;
}

describe('randomized simulation of the replicated log', () => {
	it('fails no check in a cluster of three members', () => {
		expect(explore(1, 250, {members: 3, injectedFault: 'none'})).to.deep.equal([]);
	});

	it('fails no check in a cluster of five members', () => {
		expect(explore(5000, 120, {members: 5, injectedFault: 'none'})).to.deep.equal([]);
	});

	it('generates a run with more than five committed entries and more than one term', () => {
		const result = runSteps(generateSteps(2), {members: 3, injectedFault: 'none'});
		expect(result.committed).to.be.above(5);
		expect(result.terms).to.be.above(1);
	});

	const faults: ReadonlyArray<readonly [InjectedFault, string]> = [
		['confirm-before-sync', 'kept'],
		['grant-all-votes', 'one leader a term'],
		['answer-reads-at-once', 'linearizable'],
		['forget-effects', 'one effect a command'],
		['hide-disks', 'kept'],
		['change-entries', 'log matching'],
	];
	for (const [injectedFault, check] of faults) {
		it(`fails the check "${check}" under the injected fault ${injectedFault}`, () => {
			expect(findSeed(check, injectedFault)).to.be.a('number');
		});
	}

	it('shrinks a failing run to a shorter one that fails the same check', () => {
		const options: RunOptions = {members: 3, injectedFault: 'answer-reads-at-once'};
		for (let seed = 1; seed < 100; seed++) {
			const steps = generateSteps(seed);
			if (runSteps(steps, options).violation !== undefined) {
				const shrunk = shrinkSteps(steps, options);
				expect(shrunk.length).to.be.below(steps.length / 4);
				expect(runSteps(shrunk, options).violation).to.match(/^linearizable/);
				return;
			}
		}

		expect.fail('no seed fails a check');
	});
});
