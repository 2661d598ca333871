import {expect} from 'chai';
import {runSteps, shrinkSteps, type RunOptions} from './explore.js';
import type {Sabotage} from './simulated-member.js';
import {makeSteps} from './steps.js';

/** The seeds of a range that fail, with what they fail by. */
function explore(from: number, count: number, options: RunOptions): string[] {
	const violations: string[] = [];
	for (let seed = from; seed < from + count; seed++) {
		const {violation} = runSteps(makeSteps(seed), options);
		if (violation !== undefined) {
			violations.push(`seed ${seed}: ${violation}`);
		}
	}

	return violations;
}

/** The first seed that fails by this check. */
function findSeed(check: string, sabotage: Sabotage): number | undefined {
	for (let seed = 1; seed < 1000; seed++) {
		const {violation} = runSteps(makeSteps(seed), {members: 3, sabotage});
		if (violation?.includes(check)) {
			return seed;
		}
	}

	return undefined;
}

describe('random search over the replicated log', () => {
	it('finds no broken promise among three members', () => {
		expect(explore(1, 250, {members: 3, sabotage: 'none'})).to.deep.equal([]);
	});

	it('finds no broken promise among five members', () => {
		expect(explore(5000, 120, {members: 5, sabotage: 'none'})).to.deep.equal([]);
	});

	it('has runs in which much is committed, read and led', () => {
		const result = runSteps(makeSteps(2), {members: 3, sabotage: 'none'});
		expect(result.committed).to.be.above(5);
		expect(result.terms).to.be.above(1);
	});

	const faults: ReadonlyArray<readonly [Sabotage, string]> = [
		['confirm-before-sync', 'kept'],
		['grant-all-votes', 'one leader a term'],
		['answer-reads-at-once', 'linearizable'],
		['forget-effects', 'one effect a command'],
		['hide-disks', 'kept'],
		['change-entries', 'log matching'],
	];
	for (const [sabotage, check] of faults) {
		it(`fails the check "${check}" when a mechanism is broken by ${sabotage}`, () => {
			expect(findSeed(check, sabotage)).to.be.a('number');
		});
	}

	it('shrinks a failing run to a short one that fails by the same check', () => {
		const options: RunOptions = {members: 3, sabotage: 'answer-reads-at-once'};
		for (let seed = 1; seed < 100; seed++) {
			const steps = makeSteps(seed);
			if (runSteps(steps, options).violation !== undefined) {
				const shrunk = shrinkSteps(steps, options);
				expect(shrunk.length).to.be.below(steps.length / 4);
				expect(runSteps(shrunk, options).violation).to.match(/^linearizable/);
				return;
			}
		}

		expect.fail('no seed failed');
	});
});
