/**
The bench of faulty answers. It measures what an upstream that sends fields without end
does to the other callers of its node.

One control daemon and two nodes run as processes. Some callers call the faulty service
beside the first node; four others call, through the same node, a sound service beside
the second one. The same number of callers at a sound answer of the first service is
the baseline of each round.
*/

import {mkdtemp, readFile, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {DaemonFleet, type NodeDaemon} from '../../daemon-fleet/index.js';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';

/** What the other callers saw in one round, and the node's memory after it. */
type RoundFigures = {
	readonly callers: number;
	readonly isFaulty: boolean;
	readonly others: {readonly sent: number; readonly failed: number; readonly p50: number; readonly p99: number};
	readonly faulty: {readonly sent: number; readonly failed: number};
	/** Highest resident memory of the node's process until the end of the round. */
	readonly peakMebibytes: number;
};

type CallFigures = {
	sent: number;
	failed: number;
	readonly latencies: number[];
};

const callerCounts = [1, 12, 60, 200];
const otherCallers = 4;
const roundMilliseconds = 6000;
const longRunFactor = 4;
const pauseMilliseconds = 20;
const team = 'bench';
/** Memory of a VM of the first users, which the node's process may not exceed. */
const maximumMebibytes = 350;
/** Share of the baseline's rate that the other callers keep, at least. */
const minimumRateShare = 0.5;
const kibibytesInMebibyte = 1024;

/** Runs the bench of faulty answers. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-answers-'));
	const fleet = await DaemonFleet.start({
		folder,
		control: 1,
		nodes: [
			{node: 'node-1', domain: 'north', service: 'faulty'},
			{node: 'node-2', domain: 'north', service: 'sound'},
		],
	});
	try {
		return await measure(fleet, options);
	} finally {
		await fleet.stop();
		await rm(folder, {recursive: true, force: true});
	}
}

async function measure(fleet: DaemonFleet, options: BenchOptions): Promise<BenchReport> {
	await fleet.configureDomains();
	const key = await fleet.createTeam(team, 100_000, 100_000);
	await fleet.change('create route POST /faulty service faulty priority 5 idempotent no retries 0 timeout 15s');
	await fleet.change('create route GET /sound service sound priority 5 idempotent yes retries 0');
	const [node] = fleet.nodes;
	const rounds: RoundFigures[] = [];
	for (const callers of callerCounts) {
		for (const isFaulty of [false, true]) {
			options.progress(`${callers} callers of a ${isFaulty ? 'faulty' : 'sound'} upstream`);
			rounds.push(await measureRound(node!, key, {callers, isFaulty, milliseconds: roundMilliseconds * (options.long ? longRunFactor : 1)}));
		}
	}

	const hasEnded = !node!.daemon.isRunning;
	return {
		results: {rounds},
		targets: [...createTargets(rounds), {
			name: 'ends of the node\'s process', target: '0', measured: Number(hasEnded), held: !hasEnded,
		}],
	};
}

type Round = Pick<RoundFigures, 'callers' | 'isFaulty'> & {readonly milliseconds: number};

async function measureRound(node: NodeDaemon, key: string, round: Round): Promise<RoundFigures> {
	const agent = new Agent();
	const end = performance.now() + round.milliseconds;
	const others: CallFigures = {sent: 0, failed: 0, latencies: []};
	const faulty: CallFigures = {sent: 0, failed: 0, latencies: []};
	const call = async (method: 'GET' | 'POST', target: string, figures: CallFigures): Promise<void> => {
		while (performance.now() < end && node.daemon.isRunning) {
			await callOnce({
				agent, key, method, url: `${node.callersUrl}${target}`,
			}, figures);
			await wait(pauseMilliseconds);
		}
	};

	await Promise.all([
		...Array.from({length: round.callers}, async () => call('POST', round.isFaulty ? '/faulty?endless=1' : '/faulty', faulty)),
		...Array.from({length: otherCallers}, async () => call('GET', '/sound?delayMs=30', others)),
	]);
	await agent.destroy();
	return {
		callers: round.callers,
		isFaulty: round.isFaulty,
		others: {
			sent: others.sent, failed: others.failed, p50: percentile(others.latencies, 0.5), p99: percentile(others.latencies, 0.99),
		},
		faulty: {sent: faulty.sent, failed: faulty.failed},
		peakMebibytes: await readPeakMemory(node),
	};
}

type Call = {
	readonly agent: Agent;
	readonly key: string;
	readonly method: 'GET' | 'POST';
	readonly url: string;
};

async function callOnce({agent, key, method, url}: Call, figures: CallFigures): Promise<void> {
	const startedAt = performance.now();
	figures.sent++;
	try {
		const answer = await request(url, {method, dispatcher: agent, headers: {authorization: `Bearer ${key}`}});
		await answer.body.dump();
		figures.failed += answer.statusCode === 200 ? 0 : 1;
	} catch {
		// A broken connection is a failed call like any other.
		figures.failed++;
	}

	figures.latencies.push(performance.now() - startedAt);
}

/** Returns the highest resident memory that the node's process has had, in mebibytes; 0 if it has ended. */
async function readPeakMemory({daemon}: NodeDaemon): Promise<number> {
	if (!daemon.isRunning) {
		return 0;
	}

	const text = await readFile(`/proc/${daemon.processId!}/status`, 'utf8');
	return Math.round(Number(/VmHWM:\s+(\d+)/.exec(text)?.[1] ?? 0) / kibibytesInMebibyte);
}

function percentile(latencies: readonly number[], share: number): number {
	const sorted = [...latencies].sort((first, second) => first - second);
	return Math.round(sorted[Math.floor((sorted.length - 1) * share)] ?? 0);
}

function createTargets(rounds: readonly RoundFigures[]): readonly BenchTarget[] {
	return callerCounts.flatMap(callers => {
		const baseline = rounds.find(round => round.callers === callers && !round.isFaulty)!;
		const faulty = rounds.find(round => round.callers === callers && round.isFaulty)!;
		const rateShare = faulty.others.sent / baseline.others.sent;
		return [
			{
				name: `other calls that failed beside ${callers} callers of a faulty upstream`, target: '0', measured: faulty.others.failed, held: faulty.others.failed === 0,
			},
			{
				name: `their rate as a share of the baseline's beside ${callers} callers`, target: `≥ ${minimumRateShare}`, measured: rateShare, held: rateShare >= minimumRateShare,
			},
			{
				name: `peak memory of the node until then, in MiB, beside ${callers} callers`, target: `< ${maximumMebibytes}`, measured: faulty.peakMebibytes, held: faulty.peakMebibytes < maximumMebibytes,
			},
		];
	});
}
