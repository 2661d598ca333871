/**
Measures the resident memory and processor time of idle daemons: one control
daemon and a few nodes run as processes and get no requests.
*/

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as wait} from 'node:timers/promises';
import {FireflygladeError} from '@fireflyglade/model';

/** The cost of one idle daemon. */
export type DaemonCost = {
	readonly residentBytes: number;
	/** Processor time in milliseconds per second. */
	readonly processorMillisecondsPerSecond: number;
};

/** The costs of idle daemons by kind. */
export type DaemonCosts = {
	readonly control: DaemonCost;
	/** The mean of the nodes. */
	readonly node: DaemonCost;
};

/** Thrown when a daemon exits before it is ready. */
class DaemonStartError extends FireflygladeError {
	get code(): 'daemon-start-failed' {
		return 'daemon-start-failed';
	}
}

const nodeCount = 3;
const warmUpSeconds = 15;
const measuredSeconds = 10;
const millisecondsInSecond = 1000;
/** Linux counts processor time in hundredths of a second. */
const millisecondsInTick = 10;
const bytesInKibibyte = 1024;
const ephemeralAddress = '127.0.0.1:0';

async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

async function startDaemon(packageName: string, settings: unknown, file: string): Promise<ChildProcess> {
	await writeFile(file, JSON.stringify(settings));
	const program = new URL('main.js', import.meta.resolve(packageName));
	const daemon = spawn(process.execPath, [program.pathname, file], {stdio: ['ignore', 'ignore', 'pipe']});
	for await (const line of createInterface({input: daemon.stderr})) {
		if (line.includes('serves')) {
			daemon.stderr.resume();
			return daemon;
		}
	}

	throw new DaemonStartError(`${packageName} exited before it was ready`);
}

async function readProcessorMilliseconds(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) * millisecondsInTick;
}

async function readResidentBytes(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(?<kibibytes>\d+) kB/.exec(text)!.groups!.kibibytes) * bytesInKibibyte;
}

async function measureDaemon({pid}: ChildProcess): Promise<DaemonCost> {
	const start = await readProcessorMilliseconds(pid!);
	await wait(measuredSeconds * millisecondsInSecond);
	const end = await readProcessorMilliseconds(pid!);
	return {
		residentBytes: await readResidentBytes(pid!),
		processorMillisecondsPerSecond: (end - start) / measuredSeconds,
	};
}

async function stopDaemon(daemon: ChildProcess): Promise<void> {
	if (daemon.exitCode !== null) {
		return;
	}

	daemon.kill('SIGTERM');
	await once(daemon, 'exit');
}

async function startFleet(folder: string, daemons: ChildProcess[]): Promise<void> {
	const tokenFile = join(folder, 'token');
	await writeFile(tokenFile, 'a-fleet-token-of-the-capacity-bench', {mode: 0o600});
	const shared = {
		domain: 'north', security: {kind: 'token', tokenFile}, shutdownTimeoutMilliseconds: 1000, log: {level: 'info', format: 'json'},
	};
	const controlAddress = `127.0.0.1:${await findFreePort()}`;
	daemons.push(await startDaemon('@fireflyglade/control', {
		...shared, member: 'control-1', dataFolder: join(folder, 'data'), operatorAddress: ephemeralAddress, rpcAddress: controlAddress,
		members: [{member: 'control-1', rpcAddress: controlAddress}], operators: [{name: 'bench', role: 'operator', tokenFile}],
	}, join(folder, 'control.jsonc')));
	const seed = `127.0.0.1:${await findFreePort()}`;
	for (let index = 0; index < nodeCount; index += 1) {
		daemons.push(await startDaemon('@fireflyglade/node', {
			...shared, node: `node-${index}`, callersAddress: ephemeralAddress, gateAddress: ephemeralAddress, rpcAddress: index === 0 ? seed : ephemeralAddress, announceAddress: ephemeralAddress,
			egressAddress: ephemeralAddress, statusAddress: ephemeralAddress, control: [controlAddress], seeds: [seed], limits: {},
		}, join(folder, `node-${index}.jsonc`)));
	}
}

/**
Starts a fleet of idle daemons, measures them and stops them.

@throws {DaemonStartError} A daemon exits before it is ready.
*/
export async function measureDaemons(): Promise<DaemonCosts> {
	const folder = await mkdtemp(join(tmpdir(), 'fireflyglade-capacity-'));
	const daemons: ChildProcess[] = [];
	try {
		await startFleet(folder, daemons);
		await wait(warmUpSeconds * millisecondsInSecond);
		const [control, ...nodes] = await Promise.all(daemons.map(async daemon => measureDaemon(daemon)));
		return {control: control!, node: meanCost(nodes)};
	} finally {
		await Promise.all(daemons.map(async daemon => stopDaemon(daemon)));
		await rm(folder, {recursive: true});
	}
}

function meanCost(costs: readonly DaemonCost[]): DaemonCost {
	let residentBytes = 0;
	let processorMillisecondsPerSecond = 0;
	for (const cost of costs) {
		residentBytes += cost.residentBytes / costs.length;
		processorMillisecondsPerSecond += cost.processorMillisecondsPerSecond / costs.length;
	}

	return {residentBytes, processorMillisecondsPerSecond};
}
