/**
Trial of a node against many misbehaving clients that reconnect at once, with the
default limits. Run by hand, as it takes minutes of a quiet machine:

	node packages/scenario/dist/misbehaving-clients/trial.js CLIENTS HEAP_MEBIBYTES [CASE...]
*/

import {mkdtemp, readFile, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {DaemonFleet, type NodeDaemon} from '../daemon-fleet/index.js';
import {misbehave, type Behaviour, type MisbehavingConnection} from '../misbehave/index.js';

const extent = {bytes: 4 * 1024 * 1024, milliseconds: 6000};
const requestsPerWrite = 200;
const kibibytesInMebibyte = 1024;
const pollMilliseconds = 100;
/** Time after the attack within which an ordinary request has to be answered. */
const recoveryMilliseconds = 10_000;
const requestTimeoutMilliseconds = 2000;

const createBehaviours = (key: string): Record<string, Behaviour> => {
	const createHead = (method: string, target: string, fields: string): string => `${method} ${target} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\n${fields}\r\n`;
	const posts = `${createHead('POST', '/orders', 'content-length: 2\r\n')}{}`.repeat(requestsPerWrite);
	const gets = createHead('GET', '/orders/1', '').repeat(requestsPerWrite);
	return {
		'post-read': {opening: '', piece: posts, readsAnswers: true},
		'get-read': {opening: '', piece: gets, readsAnswers: true},
		'post-unread': {opening: '', piece: posts, readsAnswers: false},
		'get-unread': {opening: '', piece: gets, readsAnswers: false},
		'tiny-chunks': {opening: createHead('POST', '/orders', 'transfer-encoding: chunked\r\n'), piece: '1\r\nx\r\n'.repeat(8000), readsAnswers: true},
	};
};

/** Returns the status of an ordinary request, or 'none' if there is no answer in time. */
async function callOnce({callersUrl}: NodeDaemon, key: string): Promise<string> {
	try {
		const answer = await request(`${callersUrl}/orders/1`, {
			headers: {authorization: `Bearer ${key}`, connection: 'close'}, signal: AbortSignal.timeout(requestTimeoutMilliseconds),
		});
		await answer.body.dump();
		return String(answer.statusCode);
	} catch {
		return 'none';
	}
}

async function waitUntilServed(node: NodeDaemon, key: string): Promise<boolean> {
	const end = performance.now() + recoveryMilliseconds;
	while (node.daemon.isRunning && performance.now() < end) {
		if (await callOnce(node, key) === '200') {
			return true;
		}

		await wait(pollMilliseconds);
	}

	return false;
}

async function readPeakMebibytes({daemon}: NodeDaemon): Promise<number> {
	const status = await readFile(`/proc/${daemon.processId!}/status`, 'utf8');
	return Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / kibibytesInMebibyte);
}

/** Attacks a fresh node and returns what became of it. */
async function runCase(name: string, clients: number, heapMebibytes: number): Promise<string> {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-trial-'));
	const fleet = await DaemonFleet.start({
		folder,
		control: 1,
		nodes: [
			{
				node: 'node-1', domain: 'north', service: 'billing-app', runtimeOptions: [`--max-old-space-size=${heapMebibytes}`],
			},
			{
				node: 'node-2', domain: 'north', service: 'orders-app', upstream: {slots: 8, serviceMilliseconds: 20},
			},
		],
	});
	const node = fleet.nodes[0]!;
	const held: MisbehavingConnection[] = [];
	try {
		await fleet.configureDomains();
		const key = await fleet.createTeam('crews', 1_000_000, 1_000_000);
		await fleet.change('create route POST /orders service orders-app priority 1 idempotent no retries 0 timeout 5s');
		await fleet.change('create route GET /orders/:id service orders-app priority 5 idempotent yes retries 0 timeout 5s');
		await waitUntilServed(node, key);
		const behaviour = createBehaviours(key)[name]!;
		const duringStatuses: Record<string, number> = {};
		const attack = Promise.all(Array.from({length: clients}, async () => misbehave(node.callersUrl, behaviour, extent, held)));
		const end = performance.now() + extent.milliseconds;
		while (performance.now() < end && node.daemon.isRunning) {
			const status = await callOnce(node, key);
			duringStatuses[status] = (duringStatuses[status] ?? 0) + 1;
			await wait(pollMilliseconds);
		}

		await attack;
		const connections = held.length;
		if (!node.daemon.isRunning) {
			return `process ended; ${connections} connections; during the attack ${JSON.stringify(duringStatuses)}`;
		}

		const peak = await readPeakMebibytes(node);
		for (const connection of held) {
			connection.close();
		}

		const isServed = await waitUntilServed(node, key);
		return `lives, peak ${peak} MiB; ${connections} connections; during the attack ${JSON.stringify(duringStatuses)}; served afterwards: ${isServed}`;
	} finally {
		for (const connection of held) {
			connection.close();
		}

		await fleet.stop();
		await rm(folder, {recursive: true, force: true});
	}
}

const [clients, heapMebibytes, ...names] = process.argv.slice(2);
for (const name of names.length > 0 ? names : Object.keys(createBehaviours(''))) {
	console.log(`${name}: ${await runCase(name, Number(clients), Number(heapMebibytes))}`);
}
