import {SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import type {RetryDemand} from '../types.js';
import {WindowedRetryBudget} from './index.js';

const share = 0.2;
const fixed = 94;
const windowMilliseconds = 10_000;
const refusedCall: RetryDemand = {kind: 'refused-call', depth: 1, priority: 10};

/** Counts of a fleet per millisecond, as prefix sums. */
class PrefixSums {
	readonly #sums: Float64Array;

	constructor(counts: Float64Array) {
		this.#sums = new Float64Array(counts.length + 1);
		for (const [index, count] of counts.entries()) {
			this.#sums[index + 1] = this.#sums[index]! + count;
		}
	}

	between(from: number, to: number): number {
		return this.#sums[Math.max(0, to)]! - this.#sums[Math.max(0, from)]!;
	}
}

/** Returns the largest excess of the fleet's repeats over the rule in any window. */
function largestExcess(requests: PrefixSums, repeats: PrefixSums, duration: number): number {
	let excess = Number.NEGATIVE_INFINITY;
	for (let end = 1; end <= duration; end++) {
		const start = end - windowMilliseconds;
		const counted = Math.max(...[0, 5000, windowMilliseconds].map(earlier => requests.between(start - earlier, end - earlier)));
		excess = Math.max(excess, repeats.between(start, end) - (share * counted) - fixed);
	}

	return excess;
}

/** The traffic of one node: on and off at random, with waves and a period in which most calls are refused. */
function createRate(random: SeededRandom): (now: number) => number {
	const mean = random.nextFraction() * 0.12;
	const period = 4000 + (random.nextFraction() * 20_000);
	const phase = random.nextFraction() * 7;
	const offFrom = random.nextFraction() * 40_000;
	const offUntil = offFrom + (random.nextFraction() * 20_000);
	return now => now >= offFrom && now < offUntil ? 0 : mean * (1 + (0.95 * Math.sin(phase + (now * 2 * Math.PI / period))));
}

function takeAll(budget: WindowedRetryBudget, now: number, demand: RetryDemand): number {
	let taken = 0;
	while (budget.takeRetry(now, demand)) {
		taken++;
	}

	return taken;
}

/** A budget after 20 s of a request each millisecond. */
function createBusyBudget(): WindowedRetryBudget {
	const budget = new WindowedRetryBudget({share, getFixed: () => 0});
	for (let now = 0; now < 20_000; now++) {
		budget.recordAttempt(now);
	}

	return budget;
}

describe('WindowedRetryBudget', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		it(`keeps the repeats of a fleet within the rule in every window, though each node knows its own traffic alone (seed ${seed})`, () => {
			const random = new SeededRandom(seed);
			const duration = 60_000;
			const requests = new Float64Array(duration);
			const repeats = new Float64Array(duration);
			const nodeCount = 23;
			let retries = 0;
			for (let node = 0; node < nodeCount; node++) {
				const budget = new WindowedRetryBudget({share, getFixed: () => fixed / nodeCount});
				const getRate = createRate(random);
				for (let now = 0; now < duration; now++) {
					if (random.nextFraction() >= getRate(now)) {
						continue;
					}

					const isRepeatedRun = random.nextFraction() < 0.05;
					budget.recordAttempt(now, Number(isRepeatedRun));
					(isRepeatedRun ? repeats : requests)[now]!++;
					while (random.nextFraction() < 0.7 && budget.takeRetry(now, {
						kind: random.nextFraction() < 0.8 ? 'refused-call' : 'repeated-run', depth: random.nextInteger(2), priority: random.nextInteger(20),
					})) {
						repeats[now]!++;
						retries++;
					}
				}
			}

			expect(largestExcess(new PrefixSums(requests), new PrefixSums(repeats), duration)).to.be.at.most(0);
			expect(retries).to.be.greaterThan(1000);
		}).timeout(20_000);
	}

	it('spends nearly the whole budget on refused calls, and spreads it over the window where the demand exceeds it', () => {
		const budget = createBusyBudget();
		const takenBySecond = [0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
		for (let now = 20_000; now < 30_000; now++) {
			budget.recordAttempt(now);
			takenBySecond[Math.floor((now - 20_000) / 1000)]! += Number(budget.takeRetry(now, refusedCall));
		}

		const total = takenBySecond.reduce((sum, count) => sum + count, 0);
		expect(total).to.be.within(1700, 2000);
		expect(Math.max(...takenBySecond.slice(2))).to.be.lessThan(300);
		expect(Math.min(...takenBySecond)).to.be.greaterThan(50);
	});

	it('prefers refused calls of direct requests, then those of important chains, where the demand exceeds the budget', () => {
		const budget = createBusyBudget();
		const demands: readonly RetryDemand[] = [
			{kind: 'refused-call', depth: 0, priority: 30}, refusedCall, {kind: 'refused-call', depth: 1, priority: 20}, {kind: 'repeated-run', depth: 0, priority: 0},
		];
		const taken = [0, 0, 0, 0];
		for (let now = 20_000; now < 30_000; now++) {
			budget.recordAttempt(now);
			if (now % 8 < 4) {
				taken[now % 8]! += Number(budget.takeRetry(now, demands[now % 8]));
			}
		}

		expect(taken[0]).to.be.greaterThan(1000);
		expect(taken[1]).to.be.greaterThan(taken[2]! * 2);
		expect(taken[3]).to.be.lessThan(150);
	});

	it('prefers the chains that have made more calls, so that the budget completes chains instead of starting them', () => {
		const budget = createBusyBudget();
		const taken = [0, 0];
		for (let now = 20_000; now < 30_000; now++) {
			budget.recordAttempt(now);
			if (now % 4 < 2) {
				taken[now % 4]! += Number(budget.takeRetry(now, {...refusedCall, priority: now % 4, progress: (now % 4) * 3}));
			}
		}

		expect(taken[1]).to.be.greaterThan(taken[0]! * 2);
	});

	it('keeps most of the budget from repeated runs, whose calls count as repeats further down', () => {
		expect(takeAll(createBusyBudget(), 20_000, {kind: 'repeated-run', depth: 0, priority: 0})).to.be.within(50, 600);
	});

	it('counts the calls of repeated runs as repeats, and no requests that reached no upstream', () => {
		const budget = createBusyBudget();
		for (let now = 10_000; now < 20_000; now++) {
			budget.withdrawAttempt(now);
			budget.recordAttempt(19_999, 0.2);
		}

		expect(takeAll(budget, 20_000, refusedCall)).to.equal(0);
	});
});
