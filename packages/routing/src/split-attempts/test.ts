import {maximumCallDepth, type RandomSource, SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import fc from 'fast-check';
import {getRemainingAttempts, SharedAttempts, splitAttempts} from './index.js';

/** A call site and the calls that its upstream makes when it runs. */
type Graph = {readonly site: number; readonly calls: readonly Graph[]};

/** Counts of one simulation, with its random source and its share of failing attempts. */
type Tally = {readonly runs: Map<number, number>; sent: number; readonly random: RandomSource; readonly failingShare: number};

function countSites(graph: Graph): number {
	let sites = 1;
	for (const call of graph.calls) {
		sites += countSites(call);
	}

	return sites;
}

/** Runs one call, retrying until it succeeds or has no attempts left; returns the number of unspent attempts. */
function makeCall(graph: Graph, attempts: number, tally: Tally): number {
	for (let remaining = attempts; remaining > 0;) {
		const split = splitAttempts(remaining);
		tally.sent++;
		const randomOutcome = tally.random.nextFraction();
		if (randomOutcome < tally.failingShare / 2) {
			remaining = getRemainingAttempts(split, {kind: 'not-run'});
			continue;
		}

		const unspent = run(graph, split.passed, tally);
		const isReported = tally.random.nextFraction() < 0.5;
		const left = getRemainingAttempts(split, isReported ? {kind: 'ran', unspent} : {kind: 'ran'});
		if (randomOutcome >= tally.failingShare) {
			return left;
		}

		remaining = left;
	}

	return 0;
}

/** Runs the upstream of a call site, which makes its calls in parallel or in sequence; returns the number of unspent attempts. */
function run(graph: Graph, attempts: number, tally: Tally): number {
	tally.runs.set(graph.site, (tally.runs.get(graph.site) ?? 0) + 1);
	const shared = new SharedAttempts(attempts);
	const isParallel = tally.random.nextFraction() < 0.5;
	const taken = isParallel ? graph.calls.map(() => shared.take()) : [];
	for (const [index, call] of graph.calls.entries()) {
		shared.refund(makeCall(call, taken[index] ?? shared.take(), tally));
	}

	return shared.unspent;
}

function createChain(depth: number): Graph {
	let graph: Graph = {site: depth, calls: []};
	for (let site = depth - 1; site >= 0; site--) {
		graph = {site, calls: [graph]};
	}

	return graph;
}

function createRandomGraph(random: RandomSource, depth: number, counter: {sites: number}): Graph {
	const site = counter.sites++;
	const calls: Graph[] = [];
	const width = depth === 0 || counter.sites > 60 ? 0 : random.nextInteger(4);
	for (let count = 0; count < width; count++) {
		calls.push(createRandomGraph(random, depth - 1, counter));
	}

	return {site, calls};
}

function checkAttemptBound(graph: Graph, attempts: number, seed: number, failingShare: number): void {
	const tally: Tally = {
		runs: new Map(), sent: 0, random: new SeededRandom(seed), failingShare,
	};
	makeCall(graph, attempts, tally);
	let total = 0;
	for (const runs of tally.runs.values()) {
		expect(runs).to.be.at.most(attempts);
		total += runs;
	}

	expect(total).to.be.at.most(attempts * countSites(graph));
	expect(tally.sent).to.be.at.most(attempts * countSites(graph));
}

describe('splitAttempts', () => {
	it('never runs a call site more often for one root request than its attempts, for any graph and any outcomes', () => {
		fc.assert(fc.property(fc.nat(), fc.integer({min: 1, max: 6}), fc.integer({min: 0, max: maximumCallDepth}), fc.double({min: 0, max: 1, noNaN: true}), (seed, attempts, depth, failingShare) => {
			checkAttemptBound(createRandomGraph(new SeededRandom(seed), depth, {sites: 0}), attempts, seed + 1, failingShare);
		}), {seed: 41, numRuns: 500});
	});

	it('keeps the limit on a chain of the maximum depth where every attempt fails', () => {
		checkAttemptBound(createChain(maximumCallDepth), 3, 5, 1);
	});

	it('lets a call that was refused without running use all its attempts', () => {
		let remaining = 4;
		let sent = 0;
		while (remaining > 0) {
			sent++;
			remaining = getRemainingAttempts(splitAttempts(remaining), {kind: 'not-run'});
		}

		expect(sent).to.equal(4);
	});

	it('ignores unspent attempts in an answer beyond the number that was passed on', () => {
		expect(getRemainingAttempts(splitAttempts(3), {kind: 'ran', unspent: 100})).to.equal(2);
	});
});
