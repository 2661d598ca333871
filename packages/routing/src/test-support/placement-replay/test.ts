import {expect} from 'chai';
import {replayPlacement, type ReplayOptions, type ReplayResult} from './index.js';

const seeds = [1, 2, 3, 4] as const;
const windowMilliseconds = 100;

function replay(options: Pick<ReplayOptions, 'load'> & Partial<ReplayOptions>): readonly ReplayResult[] {
	return seeds.map(seed => replayPlacement({
		seed, milliseconds: 12_000, hasObjectives: true, ...options,
	}));
}

function getMean(results: readonly ReplayResult[], figure: 'tight' | 'loose' | 'burst' | 'idleWhileQueued'): number {
	return results.reduce((sum, result) => sum + result[figure], 0) / results.length;
}

function countAll(results: readonly ReplayResult[], kind: 'delayed' | 'lost'): number {
	return results.reduce((sum, result) => sum + result[kind].length, 0);
}

/** Returns the mean arrivals per second at a gate in a period. */
function getRate(results: readonly ReplayResult[], gate: number, from: number, to: number): number {
	let sum = 0;
	for (const {arrivals} of results) {
		for (const count of arrivals[gate]!.slice(from / windowMilliseconds, to / windowMilliseconds)) {
			sum += count;
		}
	}

	return sum * 1000 / (to - from) / results.length;
}

describe('replayPlacement', () => {
	for (const load of [0.6, 0.9, 1.2]) {
		it(`meets more objectives, above all tight ones, without sending bursts to a gate, at ${load} of the capacity`, () => {
			const before = replay({load, hasObjectives: false});
			const after = replay({load});
			expect(getMean(after, 'tight')).to.be.above(getMean(before, 'tight') + 0.03);
			expect(getMean(after, 'tight') + getMean(after, 'loose')).to.be.above(getMean(before, 'tight') + getMean(before, 'loose') + 0.03);
			expect(getMean(after, 'burst')).to.be.at.most(getMean(before, 'burst') * 1.1);
		});
	}

	it('keeps the slots of all gates in use when room is short', () => {
		expect(getMean(replay({load: 1.2}), 'idleWhileQueued')).to.be.below(0.01);
	});

	/** Checks that a gate loses work during a fault from 5 s to `end`, and has most of it back 2 s later, as compared with a replay without the fault. */
	function expectLossAndReturn(end: number, fault: Partial<ReplayOptions>): void {
		const usual = replay({load: 0.6});
		const faulty = replay({load: 0.6, ...fault});
		expect(getRate(faulty, 1, 5500, end)).to.be.below(getRate(usual, 1, 5500, end) * 0.6);
		expect(getRate(faulty, 1, end + 2000, end + 4000)).to.be.above(getRate(usual, 1, end + 2000, end + 4000) * 0.75);
	}

	it('takes work from a gate that fails a third of its requests, and returns it after its recovery', () => {
		expectLossAndReturn(8000, {failureShare: (gate, now) => gate === 1 && now >= 5000 && now < 8000 ? 0.35 : 0});
	});

	it('takes work from a gate whose upstream goes down and up every 1.2 s, and returns it when it stays up', () => {
		expectLossAndReturn(8600, {isDown: (gate, now) => gate === 1 && now >= 5000 && now < 8600 && Math.floor((now - 5000) / 1200) % 2 === 0});
	});

	it('takes work from a gate whose upstream becomes six times slower, and returns most of it as the gate reports shorter times again', () => {
		const options = {load: 0.6, milliseconds: 18_000};
		const usual = replay(options);
		const slow = replay({...options, slowness: (gate, now) => gate === 1 && now >= 5000 && now < 8000 ? 6 : 1});
		expect(getRate(slow, 1, 6000, 8000)).to.be.below(getRate(usual, 1, 6000, 8000) * 0.6);
		expect(getRate(slow, 1, 14_000, 18_000)).to.be.above(getRate(usual, 1, 14_000, 18_000) * 0.5);
	});

	for (const hasObjectives of [false, true]) {
		it(`spares requests the wait for gates of a domain that is cut off for 5 s, and uses them again soon after, ${hasObjectives ? 'with' : 'without'} objectives`, () => {
			const options = {
				load: 0.9, milliseconds: 14_000, entryNodes: 12, hasObjectives,
			};
			const interruption = {domain: 2, from: 5000, to: 10_000};
			const before = replay({...options, interruption, reportsReachability: false});
			const after = replay({...options, interruption});
			expect(countAll(after, 'delayed')).to.be.below(countAll(before, 'delayed') * 0.5);
			expect(countAll(after, 'lost')).to.be.below(countAll(before, 'lost') * 0.9);
			const usual = replay(options);
			for (const gate of [8, 9, 10, 11]) {
				expect(getRate(after, gate, 10_000, 12_000)).to.be.above(getRate(usual, gate, 10_000, 12_000) * 0.75);
			}
		});
	}

	it('gives a gate that joins work at once, without a flood before its first level', () => {
		const results = replay({load: 0.6, joinsAt: gate => gate === 3 ? 5000 : 0});
		const peers = getRate(results, 7, 5000, 8000);
		expect(getRate(results, 3, 5000, 6000)).to.be.within(peers * 0.1, peers);
		expect(getRate(results, 3, 5000, 5200)).to.be.below(peers * 0.5);
		expect(getRate(results, 3, 8000, 12_000)).to.be.above(peers * 0.5);
	});
});
