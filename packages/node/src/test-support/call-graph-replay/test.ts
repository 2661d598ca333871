import {expect} from 'chai';
import {RootLoadShedder} from '@fireflyglade/routing';
import {
	replayCallGraph, type ReplayEntryNode, type ReplayKind, type ReplayLoad, type ReplayOptions, type ReplayResult, type ReplayService,
} from './index.js';

/** Four services; the deepest one has the lowest capacity and slows down while all of its slots are occupied. */
const services: readonly ReplayService[] = [
	{name: 'reports', slots: 45, speeds: [0.5, 1, 1, 1, 1.5]},
	{name: 'accounts', slots: 56, speeds: [0.7, 0.7, 1, 1.6]},
	{name: 'register', slots: 75, speeds: [0.5, 1, 1.5]},
	{
		name: 'stock', slots: 19, speeds: [0.6, 1, 1.4], slowdownWhenFull: 1.3,
	},
];

const stock: ReplayKind = {
	name: 'stock', service: 'stock', priority: 0, workMilliseconds: 40, timeoutMilliseconds: 700,
};
const register: ReplayKind = {
	name: 'register', service: 'register', priority: 0, workMilliseconds: 15, timeoutMilliseconds: 2000, calls: {kind: stock, times: 4, isParallel: false},
};
const check: ReplayKind = {
	name: 'check', service: 'accounts', priority: 0, workMilliseconds: 15, timeoutMilliseconds: 2500, calls: {kind: register, times: 1, isParallel: false},
};
const lookup: ReplayKind = {
	name: 'lookup', service: 'reports', priority: 12, workMilliseconds: 160, timeoutMilliseconds: 1000, calls: {kind: check, times: 2, isParallel: true},
};
const signoff: ReplayKind = {
	name: 'signoff', service: 'accounts', priority: 10, workMilliseconds: 210, timeoutMilliseconds: 1200, calls: {kind: register, times: 2, isParallel: true},
};
const order: ReplayKind = {
	name: 'order', service: 'register', priority: 10, workMilliseconds: 110, timeoutMilliseconds: 1200,
};
const schedule: ReplayKind = {
	name: 'schedule', service: 'stock', priority: 11, workMilliseconds: 64, timeoutMilliseconds: 800,
};

const loads: readonly ReplayLoad[] = [
	{kind: lookup, perSecond: 95, objectiveMilliseconds: 1000},
	{kind: signoff, perSecond: 45, objectiveMilliseconds: 1200},
	{kind: order, perSecond: 35, objectiveMilliseconds: 300},
	{kind: schedule, perSecond: 35, objectiveMilliseconds: 200},
];

function createEntryNode(random: Parameters<ReplayOptions['createEntryNode']>[0]): ReplayEntryNode {
	const loadShedder = new RootLoadShedder();
	return {
		admits: (route, now) => loadShedder.admits(route, now, random),
		recordDelay(crowding, now) {
			loadShedder.recordDelay(crowding, now);
		},
		ended(route, {isServed, admittedAt, crowding}, now) {
			if (isServed) {
				loadShedder.recordLatency(route, now - admittedAt, now);
			}

			if (crowding !== undefined) {
				loadShedder.recordRouteDelay(route, crowding, now);
			}
		},
	};
}

function run(loadFactor: number, seed: number): ReplayResult {
	return replayCallGraph({
		services, loads, entryNodeCount: 15, loadFactor: () => loadFactor, durationMilliseconds: 20_000, measuredFromMilliseconds: 5000, measuredUntilMilliseconds: 18_000, seed, createEntryNode,
	});
}

/** Fraction of the requests of a kind that were served. */
function served({countsByKind}: ReplayResult, {name}: ReplayKind): number {
	const {served: count, offered} = countsByKind.get(name)!;
	return count / offered;
}

/** Fraction of the requests of a kind that were served within their latency objective. */
function withinObjective({countsByKind}: ReplayResult, {name}: ReplayKind): number {
	const {withinObjective: count, offered} = countsByKind.get(name)!;
	return count / offered;
}

describe('Call graph whose deepest service is the bottleneck', () => {
	for (const seed of [1, 2]) {
		it(`serves nearly all requests at a load that the deepest service can process if it keeps one slot of each upstream free (seed ${seed})`, () => {
			const result = run(1.12, seed);
			expect(served(result, signoff)).to.be.greaterThan(0.97);
			expect(served(result, order)).to.be.greaterThan(0.97);
			expect(withinObjective(result, schedule)).to.be.greaterThan(0.93);
			expect(served(result, lookup)).to.be.greaterThan(0.9);
		}).timeout(20_000);

		it(`serves nearly all important requests and starves no kind at 1.6 times the load (seed ${seed})`, () => {
			const result = run(1.6, seed);
			expect(served(result, signoff)).to.be.greaterThan(0.92);
			expect(served(result, order)).to.be.greaterThan(0.97);
			expect(withinObjective(result, schedule)).to.be.greaterThan(0.93);
			expect(served(result, lookup)).to.be.greaterThan(0.4);
			expect(result.utilization.get('stock')).to.be.greaterThan(0.9);
			expect(result.usefulFraction.get('stock')).to.be.greaterThan(0.95);
		}).timeout(20_000);

		it(`serves each kind at least a quarter as often as all kinds together at 2.3 times the load (seed ${seed})`, () => {
			const result = run(2.3, seed);
			expect(served(result, signoff)).to.be.greaterThan(0.8);
			expect(served(result, order)).to.be.greaterThan(0.97);
			expect(withinObjective(result, schedule)).to.be.greaterThan(0.95);
			expect(served(result, lookup)).to.be.greaterThan(0.2);
			expect(result.utilization.get('stock')).to.be.greaterThan(0.9);
			expect(result.usefulFraction.get('stock')).to.be.greaterThan(0.93);
		}).timeout(20_000);
	}
});
