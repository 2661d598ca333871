import {expect} from 'chai';
import type {ReplayArrivals, ReplayCounts, ReplayResult} from '../call-graph-replay/index.js';
import {kinds, repeatRule, replayRefusedShare} from './index.js';

const binsInWindow = 100;
const seeds = [1, 2, 3];

function countsOf({countsByKind}: ReplayResult, name: string): ReplayCounts {
	return countsByKind.get(name)!;
}

function servedOfAll({countsByKind}: ReplayResult): number {
	let served = 0;
	let offered = 0;
	for (const counts of countsByKind.values()) {
		served += counts.served;
		offered += counts.offered;
	}

	return served / offered;
}

function sum(bins: readonly number[], from: number, to: number): number {
	let total = 0;
	for (let bin = Math.max(0, from); bin < to; bin++) {
		total += bins[bin] ?? 0;
	}

	return total;
}

function meanOf<Item>(items: readonly Item[], measure: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += measure(item);
	}

	return total / items.length;
}

/** The largest excess of repeats over the rule in any window. */
function largestExcess({requests, repeats}: ReplayArrivals): number {
	let excess = Number.NEGATIVE_INFINITY;
	for (let end = 1; end <= repeats.length; end++) {
		const start = end - binsInWindow;
		const counted = Math.max(...[0, binsInWindow / 2, binsInWindow].map(earlier => sum(requests, start - earlier, end - earlier)));
		excess = Math.max(excess, sum(repeats, start, end) - (repeatRule.share * counted) - repeatRule.fixed);
	}

	return excess;
}

describe('Call graph whose deepest service refuses a share of its requests', () => {
	it('serves more of every kind that depends on the service if refused calls are retried before whole runs, within the rule', () => {
		const refusal = {upstreamCount: 4, share: 0.55};
		const before = seeds.map(seed => replayRefusedShare('quarter', seed, refusal));
		const after = seeds.map(seed => replayRefusedShare('calls', seed, refusal));
		expect(meanOf(after, servedOfAll) - meanOf(before, servedOfAll)).to.be.greaterThan(0.07);
		for (const {name} of [kinds.lookup, kinds.signoff, kinds.schedule]) {
			const served = (result: ReplayResult): number => countsOf(result, name).served;
			expect(meanOf(after, served)).to.be.greaterThan(meanOf(before, served) * 1.05);
		}

		for (const result of after) {
			expect(countsOf(result, kinds.order.name).served).to.equal(countsOf(result, kinds.order.name).offered);
			for (const arrivals of result.arrivals.values()) {
				expect(largestExcess(arrivals)).to.be.lessThan(0);
			}
		}
	}).timeout(60_000);

	for (const seed of [1, 2]) {
		it(`serves nearly all requests while one upstream of four refuses (seed ${seed})`, () => {
			const result = replayRefusedShare('calls', seed, {upstreamCount: 1, share: 0.55});
			expect(servedOfAll(result)).to.be.greaterThan(0.99);
		}).timeout(20_000);

		it(`serves nearly all requests again from a second after the refusals end, so that no limit outlasts them (seed ${seed})`, () => {
			const measured = {fromMilliseconds: 31_500, untilMilliseconds: 33_500};
			expect(servedOfAll(replayRefusedShare('calls', seed, {upstreamCount: 4, share: 0.55, measured}))).to.be.greaterThan(0.95);
		}).timeout(20_000);
	}

	it('serves as many requests as before without refusals, also under overload', () => {
		for (const {loadFactor, tolerance} of [{loadFactor: 1, tolerance: 0}, {loadFactor: 2.3, tolerance: 0.02}]) {
			const calm = {upstreamCount: 0, share: 0, loadFactor};
			const [before, after] = (['quarter', 'calls'] as const).map(policy => meanOf(seeds, seed => servedOfAll(replayRefusedShare(policy, seed, calm))));
			expect(after).to.be.at.least(before! - tolerance);
		}
	}).timeout(60_000);
});
