/**
The bench of the control daemons, run as real processes on loopback with real
disks.

It measures the latency and throughput of statements, the failover time after the
leader is killed, the loss of acknowledged statements under random kills, and the
restart time after many changes. The bench kills only processes that it started
itself.
*/

import {mkdtemp, open, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {SeededRandom} from '@fireflyglade/model';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {ControlDaemon, chooseFreeAddresses, pause} from './control-daemon.js';
import {StatementSender} from './statement-sender.js';
import {summarize, type DurationSummary} from './summarize.js';

const sequentialStatements = 200;
const concurrentStatements = 3000;
const concurrency = 32;
const failovers = 5;
const longFailovers = 20;
const kills = 20;
const longKills = 200;
const changesBeforeRestart = 500;
const longChangesBeforeRestart = 50_000;
const failoverTargetMilliseconds = 2000;
const maximumExamples = 10;

/** Runs the bench on a cluster of three daemons, and the restarts on single daemons. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-bench-'));
	const fleet: ControlDaemon[] = [];
	try {
		const sync = await measureSync(folder);
		const three = await startFleet(path.join(folder, 'three'), 3, fleet);
		const statements = await measureStatements(three, options);
		const failover = await measureFailover(three, options);
		const loss = await measureLoss(three, options);
		await killAll(three);
		const restarts = await measureRestarts(folder, fleet, options);
		return {
			results: {
				baselineSyncMilliseconds: sync, statements, failoverMilliseconds: failover, loss, restarts,
			},
			targets: createTargets(failover, loss),
		};
	} finally {
		await killAll(fleet);
		await rm(folder, {recursive: true, force: true});
	}
}

type Loss = {
	readonly kills: number;
	readonly acknowledged: number;
	readonly lostCount: number;
	readonly doubledCount: number;
	/** Names of the first lost or duplicated changes. */
	readonly examples: readonly string[];
};

type Restart = {
	readonly changes: number;
	readonly readyMilliseconds: readonly number[];
	/** Time to readiness of a restart that follows one that was killed halfway. */
	readonly readyAfterKillDuringRestartMilliseconds: number;
	readonly emptyReadyMilliseconds: number;
	readonly revision: number;
};

function createTargets(failover: DurationSummary, loss: Loss): readonly BenchTarget[] {
	return [
		{
			name: 'killed leader to next acknowledged statement, worst', target: '< 2000 ms', measured: failover.maximum, held: failover.maximum < failoverTargetMilliseconds,
		},
		{
			name: `acknowledged statements lost in ${loss.kills} kills`, target: '0', measured: loss.lostCount, held: loss.lostCount === 0,
		},
		{
			name: 'statements with two effects', target: '0', measured: loss.doubledCount, held: loss.doubledCount === 0,
		},
	];
}

async function startFleet(folder: string, count: number, fleet: ControlDaemon[]): Promise<readonly ControlDaemon[]> {
	const addresses = await chooseFreeAddresses(count);
	const daemons: ControlDaemon[] = [];
	for (const address of addresses) {
		const daemon = await ControlDaemon.create(folder, address, addresses);
		daemons.push(daemon);
		fleet.push(daemon);
		daemon.start();
	}

	await Promise.all(daemons.map(async daemon => daemon.waitUntilReady()));
	return daemons;
}

async function killAll(daemons: readonly ControlDaemon[]): Promise<void> {
	await Promise.all(daemons.map(async daemon => daemon.kill()));
}

/** Measures the baseline: a small append and its sync on the same disk. */
async function measureSync(folder: string): Promise<DurationSummary> {
	const handle = await open(path.join(folder, 'baseline'), 'w');
	const durations: number[] = [];
	for (let number = 0; number < sequentialStatements; number++) {
		const startedAt = performance.now();
		await handle.write(new Uint8Array(200));
		await handle.sync();
		durations.push(performance.now() - startedAt);
	}

	await handle.close();
	return summarize(durations);
}

async function measureStatements(daemons: readonly ControlDaemon[], options: BenchOptions): Promise<unknown> {
	options.progress('statements, one after the other');
	const sender = new StatementSender(daemons);
	await sender.send('create team warm-up rate 1/s burst 1');
	const durations: number[] = [];
	for (let number = 0; number < sequentialStatements; number++) {
		const {milliseconds} = await sender.send(`create team one-${number} rate 20/s burst 10`, number);
		durations.push(milliseconds);
	}

	options.progress(`statements, ${concurrency} at once`);
	const startedAt = performance.now();
	const concurrentDurations = await sendConcurrently(sender, concurrentStatements, 'many');
	const seconds = (performance.now() - startedAt) / 1000;
	await sender.close();
	return {
		oneAtOnceMilliseconds: summarize(durations),
		concurrency,
		perSecond: Math.round(concurrentStatements / seconds),
		concurrentMilliseconds: summarize(concurrentDurations),
	};
}

async function sendConcurrently(sender: StatementSender, count: number, prefix: string): Promise<readonly number[]> {
	const durations: number[] = [];
	let next = 0;
	const sendContinuously = async (): Promise<void> => {
		while (next < count) {
			const number = next;
			next++;
			const {milliseconds} = await sender.send(`create team ${prefix}-${number} rate 20/s burst 10`, number);
			durations.push(milliseconds);
		}
	};

	await Promise.all(Array.from({length: concurrency}, sendContinuously));
	return durations;
}

async function findLeader(daemons: readonly ControlDaemon[], sender: StatementSender): Promise<ControlDaemon> {
	for (;;) {
		const {body} = await sender.send('show members');
		for (const daemon of daemons) {
			if (isListedAsLeader(body, daemon.address.member)) {
				return daemon;
			}
		}

		await pause(20);
	}
}

/** Returns true if the answer to `show members` lists the member as leader. */
function isListedAsLeader(body: unknown, member: string): boolean {
	const {rows} = body as {readonly rows?: ReadonlyArray<Readonly<Record<string, unknown>>>};
	return rows?.some(row => row.member === member && row.leads === true) ?? false;
}

async function measureFailover(daemons: readonly ControlDaemon[], options: BenchOptions): Promise<DurationSummary> {
	const durations: number[] = [];
	for (let number = 0; number < (options.long ? longFailovers : failovers); number++) {
		options.progress(`failover ${number + 1}`);
		const sender = new StatementSender(daemons);
		const leader = await findLeader(daemons, sender);
		const others = new StatementSender(daemons.filter(daemon => daemon !== leader));
		const killing = leader.kill();
		const startedAt = performance.now();
		await others.send(`create team after-kill-${number} rate 1/s burst 1`, number);
		durations.push(performance.now() - startedAt);
		await killing;
		await sender.close();
		await others.close();
		leader.start();
		await leader.waitUntilReady();
	}

	return summarize(durations);
}

/** Sends statements continuously while daemons are killed at random times, then counts acknowledged statements that are missing. */
async function measureLoss(daemons: readonly ControlDaemon[], options: BenchOptions): Promise<Loss> {
	const random = new SeededRandom(options.seed);
	const sender = new StatementSender(daemons);
	const acknowledged = new Map<string, unknown>();
	const killTarget = options.long ? longKills : kills;
	const stopWriting = new AbortController();
	let next = 0;
	const sendContinuously = async (): Promise<void> => {
		while (!stopWriting.signal.aborted) {
			const name = `kept-${next}`;
			next++;
			const {body} = await sender.send(`create team ${name} rate 1/s burst 1`, next);
			acknowledged.set(name, body.revision);
		}
	};

	const writers = Array.from({length: 4}, sendContinuously);
	try {
		for (let number = 0; number < killTarget; number++) {
			options.progress(`kill ${number + 1} of ${killTarget}`);
			await killAndRestartDaemons(daemons, random);
		}
	} finally {
		stopWriting.abort();
	}

	await Promise.all(writers);
	const loss = await findLoss(daemons, acknowledged, killTarget);
	await sender.close();
	return loss;
}

/** Kills and restarts one daemon after a random delay; in one of four cases on average, also kills a second one while the first is down. */
async function killAndRestartDaemons(daemons: readonly ControlDaemon[], random: SeededRandom): Promise<void> {
	await pause(random.nextInteger(200));
	const first = random.nextInteger(daemons.length);
	const killedDaemons = [daemons[first], ...(random.nextInteger(4) === 0 ? [daemons[(first + 1) % daemons.length]] : [])];
	for (const killedDaemon of killedDaemons) {
		await killedDaemon?.kill();
		await pause(random.nextInteger(50));
	}

	for (const killedDaemon of killedDaemons) {
		killedDaemon?.start();
	}

	for (const killedDaemon of killedDaemons) {
		await killedDaemon?.waitUntilReady();
	}
}

/** Compares the teams that every daemon lists with the acknowledged statements. */
async function findLoss(daemons: readonly ControlDaemon[], acknowledged: ReadonlyMap<string, unknown>, killCount: number): Promise<Loss> {
	const lost = new Set<string>();
	for (const daemon of daemons) {
		const sender = new StatementSender([daemon]);
		const {body} = await sender.send('show teams');
		const {rows} = body as {readonly rows?: ReadonlyArray<Readonly<Record<string, unknown>>>};
		const present = new Set(rows?.map(row => row.team));
		for (const name of acknowledged.keys()) {
			if (!present.has(name)) {
				lost.add(`${name} at ${daemon.address.member}`);
			}
		}

		await sender.close();
	}

	const duplicates = findDuplicates(acknowledged);
	return {
		kills: killCount, acknowledged: acknowledged.size, lostCount: lost.size, doubledCount: duplicates.length, examples: [...lost, ...duplicates].slice(0, maximumExamples),
	};
}

/** Finds acknowledged statements with the same revision; each change must have its own. */
function findDuplicates(acknowledged: ReadonlyMap<string, unknown>): readonly string[] {
	const byRevision = new Map<unknown, string>();
	const duplicates: string[] = [];
	for (const [name, revision] of acknowledged) {
		const other = byRevision.get(revision);
		if (other !== undefined) {
			duplicates.push(`${name} and ${other}`);
		}

		byRevision.set(revision, name);
	}

	return duplicates;
}

async function measureRestarts(folder: string, fleet: ControlDaemon[], options: BenchOptions): Promise<readonly Restart[]> {
	const restarts = [await measureRestart(path.join(folder, 'few'), fleet, changesBeforeRestart, options)];
	if (options.long) {
		restarts.push(await measureRestart(path.join(folder, 'lots'), fleet, longChangesBeforeRestart, options));
	}

	return restarts;
}

/** Measures restarts of a single daemon: the time from the start of the process to readiness. */
async function measureRestart(folder: string, fleet: ControlDaemon[], changes: number, options: BenchOptions): Promise<Restart> {
	options.progress(`restart after ${changes} changes`);
	const [daemon] = await startFleet(folder, 1, fleet);
	if (daemon === undefined) {
		throw new RangeError('no daemon was started');
	}

	await daemon.kill();
	daemon.start();
	const emptyReadyMilliseconds = await daemon.waitUntilReady();
	const sender = new StatementSender([daemon]);
	await sendConcurrently(sender, changes, 'team');
	const readyMilliseconds: number[] = [];
	for (let number = 0; number < 3; number++) {
		await daemon.kill();
		daemon.start();
		readyMilliseconds.push(await daemon.waitUntilReady());
	}

	await daemon.kill();
	daemon.start();
	await pause((readyMilliseconds[0] ?? 0) / 2);
	await daemon.kill();
	daemon.start();
	const readyAfterKillDuringRestartMilliseconds = await daemon.waitUntilReady();
	const {body} = await sender.send('create team last rate 1/s burst 1');
	await sender.close();
	await daemon.kill();
	return {
		changes, readyMilliseconds, readyAfterKillDuringRestartMilliseconds, emptyReadyMilliseconds, revision: Number(body.revision),
	};
}
