/**
The path bench. It measures the latency that the nodes add to a call, and the
time until a withdrawn key stops working.

One control daemon and two nodes run as processes. Calls enter at the first node:
one service runs beside it (one hop), the other beside the second node (two hops).
The same calls sent directly to the simulated upstream are the baseline. The three
paths alternate in rounds of one second, so that load from other processes on the
machine affects all of them alike.
*/

import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {Pool} from 'undici';
import {DaemonFleet} from '../../daemon-fleet/index.js';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {measureWithdrawal} from './_lib/measure-withdrawal/index.js';
import {LoadFigures, offerOpenLoop, type LoadTarget} from './_lib/open-loop/index.js';
import {readProcessorTime} from './_lib/processor-time/index.js';

type PathName = 'direct' | 'one hop' | 'two hops';

/** Latencies in milliseconds. */
type PathFigures = {
	readonly sent: number;
	readonly failed: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
};

type RateFigures = {
	readonly ratePerSecond: number;
	readonly paths: Readonly<Record<PathName, PathFigures>>;
	/** Milliseconds in addition to the direct calls of the same run. */
	readonly added: Readonly<Record<'one hop' | 'two hops', Pick<PathFigures, 'p50' | 'p99' | 'p999'>>>;
};

const pathNames: readonly PathName[] = ['direct', 'one hop', 'two hops'];
const roundMilliseconds = 1000;
const roundsByRate: ReadonlyMap<number, number> = new Map([[100, 15], [500, 6], [1500, 6]]);
const longRunFactor = 4;
const warmUpRatePerSecond = 500;
const warmUpMilliseconds = 4000;
const targetRatePerSecond = 100;
const maximumAddedMilliseconds = 1.5;
const maximumWithdrawalMilliseconds = 2000;
const team = 'bench';
const answerBytes = 700;
const microsecondsInMillisecond = 1000;

/** Runs the path bench. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-path-'));
	const fleet = await DaemonFleet.start({
		folder,
		control: 1,
		nodes: [
			{node: 'node-1', domain: 'north', service: 'near'},
			{node: 'node-2', domain: 'north', service: 'far'},
		],
	});
	const pools: Pool[] = [];
	try {
		return await measure(fleet, pools, options);
	} finally {
		await Promise.all(pools.map(async pool => pool.destroy()));
		await fleet.stop();
		await rm(folder, {recursive: true, force: true});
	}
}

async function measure(fleet: DaemonFleet, pools: Pool[], options: BenchOptions): Promise<BenchReport> {
	const secret = await configure(fleet);
	const targets = createTargets(fleet, pools, secret);
	options.progress('warms up');
	await warmUp(targets);
	const rates: RateFigures[] = [];
	for (const [ratePerSecond, rounds] of roundsByRate) {
		options.progress(`${ratePerSecond} calls a second`);
		rates.push(await measureRate(targets, ratePerSecond, options.long ? rounds * longRunFactor : rounds));
	}

	options.progress('processor time');
	const processorMicroseconds = await measureProcessorTime(fleet, targets);
	options.progress('withdrawal');
	const nodePools = fleet.nodes.map(({callersUrl}) => new Pool(callersUrl, {connections: 8}));
	pools.push(...nodePools);
	const withdrawal = await measureWithdrawal(fleet, nodePools, team, '/far');
	return {
		results: {rates, processorMicroseconds, withdrawal},
		targets: [...latencyTargets(rates), {
			name: 'from acknowledgement of a withdrawal to the last request that ran',
			target: `< ${maximumWithdrawalMilliseconds} ms`,
			measured: withdrawal.lastRunMilliseconds,
			held: withdrawal.lastRunMilliseconds < maximumWithdrawalMilliseconds && withdrawal.refused > 0,
		}],
	};
}

async function configure(fleet: DaemonFleet): Promise<string> {
	await fleet.configureDomains();
	const secret = await fleet.createTeam(team, 10_000, 10_000);
	await fleet.change('create route GET /near service near priority 5 idempotent yes retries 0');
	await fleet.change('create route GET /far service far priority 5 idempotent yes retries 0');
	return secret;
}

function createTargets(fleet: DaemonFleet, pools: Pool[], secret: string): Readonly<Record<PathName, LoadTarget>> {
	const [near] = fleet.nodes;
	const headers = {authorization: `Bearer ${secret}`};
	const entry = new Pool(near!.callersUrl);
	const upstream = new Pool(near!.upstream.url);
	pools.push(entry, upstream);
	return {
		direct: {pool: upstream, path: `/near?bytes=${answerBytes}`, headers: {}},
		'one hop': {pool: entry, path: `/near?bytes=${answerBytes}`, headers},
		'two hops': {pool: entry, path: `/far?bytes=${answerBytes}`, headers},
	};
}

/** Sends requests on every path for some seconds before the measurement, to exclude compilation and cold starts from the figures. */
async function warmUp(targets: Readonly<Record<PathName, LoadTarget>>): Promise<void> {
	for (const name of pathNames) {
		await offerOpenLoop(targets[name], warmUpRatePerSecond, warmUpMilliseconds, new LoadFigures());
	}
}

async function measureRate(targets: Readonly<Record<PathName, LoadTarget>>, ratePerSecond: number, rounds: number): Promise<RateFigures> {
	const figures = {direct: new LoadFigures(), 'one hop': new LoadFigures(), 'two hops': new LoadFigures()};
	for (let round = 0; round < rounds; round++) {
		for (const name of pathNames) {
			await offerOpenLoop(targets[name], ratePerSecond, roundMilliseconds, figures[name]);
		}
	}

	const paths = {
		direct: summarize(figures.direct), 'one hop': summarize(figures['one hop']), 'two hops': summarize(figures['two hops']),
	};
	return {
		ratePerSecond,
		paths,
		added: {'one hop': subtract(paths['one hop'], paths.direct), 'two hops': subtract(paths['two hops'], paths.direct)},
	};
}

function summarize({latency, sent, failed}: LoadFigures): PathFigures {
	const percentile = (share: number): number => latency.getValueAtPercentile(share) / microsecondsInMillisecond;
	return {
		sent, failed, p50: percentile(50), p99: percentile(99), p999: percentile(99.9),
	};
}

function subtract(figures: PathFigures, baseline: PathFigures): Pick<PathFigures, 'p50' | 'p99' | 'p999'> {
	return {p50: figures.p50 - baseline.p50, p99: figures.p99 - baseline.p99, p999: figures.p999 - baseline.p999};
}

/** Measures the processor time of each node for one call in microseconds, by path. */
async function measureProcessorTime(fleet: DaemonFleet, targets: Readonly<Record<PathName, LoadTarget>>): Promise<Record<string, Record<string, number>>> {
	const results: Record<string, Record<string, number>> = {};
	for (const name of pathNames) {
		const before = await readProcessorTimes(fleet);
		const figures = new LoadFigures();
		await offerOpenLoop(targets[name], 1500, 3000, figures);
		const after = await readProcessorTimes(fleet);
		results[name] = Object.fromEntries([...after].map(([node, time]) => [node, (time - before.get(node)!) / figures.sent]));
	}

	return results;
}

async function readProcessorTimes(fleet: DaemonFleet): Promise<ReadonlyMap<string, number>> {
	const times = new Map<string, number>();
	for (const {plan, daemon} of fleet.nodes) {
		times.set(plan.node, await readProcessorTime(daemon.processId!));
	}

	return times;
}

function latencyTargets(rates: readonly RateFigures[]): readonly BenchTarget[] {
	const figures = rates.find(({ratePerSecond}) => ratePerSecond === targetRatePerSecond)!;
	const failed = pathNames.reduce((sum, name) => sum + figures.paths[name].failed, 0);
	return (['one hop', 'two hops'] as const).map(name => ({
		name: `added at p99, ${name}, ${targetRatePerSecond} calls a second`,
		target: `≤ ${maximumAddedMilliseconds} ms`,
		measured: figures.added[name].p99,
		held: figures.added[name].p99 <= maximumAddedMilliseconds && failed === 0,
	}));
}
