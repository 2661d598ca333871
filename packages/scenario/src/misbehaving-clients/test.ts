/**
Tests that a node and a control process survive clients that send without end, or stop
just short of the end: the process lives, stays within its memory and descriptors, and
answers an ordinary request afterwards.
*/

import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {Agent, request} from 'undici';
import {
	DaemonFleet, type ControlDaemon, type FleetNodePlan, type NodeDaemon,
} from '../daemon-fleet/index.js';
import type {DaemonProcess} from '../daemon-process/index.js';
import {
	misbehaveTogether, type Behaviour, type Crowd, type MisbehavingConnection,
} from '../misbehave/index.js';

const clients = 12;
const mebibyte = 1024 * 1024;
const bytesPerClient = 4 * mebibyte;
const heapMebibytes = 64;
/** Time after which the clients stop, however little the node has read. */
const attackMilliseconds = 6000;
/** Memory of a VM. */
const maximumMebibytes = 250;
/** Descriptors that a process needs without clients, with room for connections to targets and peers. */
const ordinaryDescriptors = 188;
const pollMilliseconds = 20;
const requestsPerWrite = 200;
/** Size of the piece that is sent again and again in a body of known length. */
const bodyPieceBytes = 65_535;

/** What a process may take. */
type Bounds = {readonly descriptors: number};

const smallCrowd: Crowd = {clients, bytes: bytesPerClient, milliseconds: attackMilliseconds};

describe('processes with misbehaving clients', function () {
	this.timeout(60_000);
	let folder: string;
	let fleet: DaemonFleet;
	let node: NodeDaemon;
	let control: ControlDaemon;
	let agent: Agent;
	let key: string;
	let held: readonly MisbehavingConnection[];

	beforeEach(async () => {
		folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-test-'));
		agent = new Agent();
		held = [];
	});

	afterEach(async () => {
		closeHeld();
		await agent.destroy();
		await fleet.stop();
		await rm(folder, {recursive: true, force: true});
	});

	async function startFleet(plan: Partial<FleetNodePlan> = {}): Promise<void> {
		fleet = await DaemonFleet.start({
			folder,
			control: 1,
			nodes: [
				{
					node: 'node-1',
					domain: 'north',
					service: 'billing-app',
					runtimeOptions: [`--max-old-space-size=${heapMebibytes}`],
					limits: {maximumPipelinedRequests: 8},
					...plan,
				},
				// The upstream of the requests is beside another node, so that each request waits for the network.
				{
					node: 'node-2',
					domain: 'north',
					service: 'orders-app',
					runtimeOptions: [`--max-old-space-size=${heapMebibytes}`],
					upstream: {slots: 8, serviceMilliseconds: 20},
				},
			],
		});
		[node] = fleet.nodes as [NodeDaemon];
		[control] = fleet.control as [ControlDaemon];
		await fleet.configureDomains();
		key = await fleet.createTeam('crews', 1_000_000, 1_000_000);
		await fleet.change('create route POST /orders service orders-app priority 1 idempotent no retries 0 timeout 5s');
		await fleet.change('create route GET /orders/:id service orders-app priority 5 idempotent yes retries 0 timeout 5s');
		await waitUntilServed();
	}

	function closeHeld(): void {
		for (const connection of held) {
			connection.close();
		}
	}

	async function isServed(): Promise<boolean> {
		try {
			const answer = await request(`${node.callersUrl}/orders/1`, {dispatcher: agent, headers: {authorization: `Bearer ${key}`}});
			await answer.body.dump();
			return answer.statusCode === 200;
		} catch {
			// The node may be ending; `isRunning` tells.
			return false;
		}
	}

	async function waitUntilServed(): Promise<void> {
		while (node.daemon.isRunning && !await isServed()) {
			await wait(pollMilliseconds);
		}
	}

	async function expectWithinBounds(daemon: DaemonProcess, {descriptors}: Bounds): Promise<void> {
		expect(daemon.isRunning, 'the process lives').to.equal(true);
		const {peakMebibytes, openDescriptors} = await daemon.readUsage();
		expect(peakMebibytes, 'peak memory in MiB').to.be.below(maximumMebibytes);
		expect(openDescriptors, 'open descriptors').to.be.below(descriptors);
	}

	/** Each client may take a descriptor of its own, and one for its request on the way to a target. */
	function createBounds(crowd: Crowd): Bounds {
		return {descriptors: ordinaryDescriptors + (crowd === smallCrowd ? clients : crowd.clients * 2)};
	}

	/** A crowd whose clients don't reconnect. */
	function createCrowd(crowdClients: number, bytes: number): Crowd {
		return {
			clients: crowdClients, bytes, milliseconds: attackMilliseconds, connections: 1,
		};
	}

	/** Checks all processes, since what a node holds for a client it also sends to others. */
	async function expectAllWithinBounds(bounds: Bounds): Promise<void> {
		for (const {daemon} of [...fleet.nodes, ...fleet.control]) {
			await expectWithinBounds(daemon, bounds);
		}
	}

	async function expectSurvival(behaviour: Behaviour, crowd = smallCrowd, url = node.callersUrl): Promise<void> {
		held = await misbehaveTogether(url, behaviour, crowd);
		await Promise.all([...fleet.nodes, ...fleet.control].map(async ({daemon}) => daemon.waitUntilSettled()));
		await expectAllWithinBounds(createBounds(crowd));
		closeHeld();
		await waitUntilServed();
		await expectAllWithinBounds(createBounds(crowd));
	}

	const createHead = (method: string, target: string, fields: string): string => `${method} ${target} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\n${fields}\r\n`;
	const createUpload = (): string => createHead('POST', '/orders', 'transfer-encoding: chunked\r\n');
	const createLargeChunk = (): string => `c000\r\n${'x'.repeat(0xC0_00)}\r\n`;

	/** A client whose body of `length` bytes stops at the last whole piece before its end. */
	function createUnfinishedBody(length: number, fields = ''): {readonly behaviour: Behaviour; readonly bytes: number} {
		const opening = createHead('POST', '/orders', `content-length: ${length}\r\n${fields}`);
		const pieces = Math.floor((length - 1) / bodyPieceBytes);
		return {behaviour: {opening, piece: Buffer.alloc(bodyPieceBytes, 'x'), readsAnswers: true}, bytes: opening.length + (pieces * bodyPieceBytes)};
	}

	for (const readsAnswers of [true, false]) {
		const reading = readsAnswers ? 'read' : 'unread';

		// Guards against: requests are parsed and started without a bound while earlier ones wait for their answers, which exhausts the heap.
		it(`survives pipelined POST requests without end, answers ${reading}`, async () => {
			await startFleet();
			await expectSurvival({opening: '', piece: `${createHead('POST', '/orders', 'content-length: 2\r\n')}{}`.repeat(requestsPerWrite), readsAnswers});
		});

		it(`survives pipelined GET requests without end, answers ${reading}`, async () => {
			await startFleet();
			await expectSurvival({opening: '', piece: createHead('GET', '/orders/1', '').repeat(requestsPerWrite), readsAnswers});
		});
	}

	// Guards against: trailer fields are collected without a bound.
	it('survives trailers without end behind a chunked body', async () => {
		await startFleet();
		await expectSurvival({opening: `${createUpload()}1\r\nx\r\n0\r\n`, piece: 'a:b\r\n'.repeat(10_000), readsAnswers: true});
	});

	// Guards against: a request line or a field is collected without a bound.
	it('survives a head without end', async () => {
		await startFleet();
		await expectSurvival({opening: 'GET /', piece: 'a'.repeat(50_000), readsAnswers: true});
	});

	it('survives header fields without end', async () => {
		await startFleet();
		await expectSurvival({opening: 'GET /orders/1 HTTP/1.1\r\n', piece: 'a:b\r\n'.repeat(10_000), readsAnswers: true});
	});

	it('survives chunk extensions without end', async () => {
		await startFleet();
		await expectSurvival({opening: `${createUpload()}1`, piece: ';a=b'.repeat(12_000), readsAnswers: true});
	});

	// Guards against: each of many tiny chunks is kept as an object, which takes many times its bytes.
	it('survives a body of tiny chunks without end', async () => {
		await startFleet();
		await expectSurvival({opening: createUpload(), piece: '1\r\nx\r\n'.repeat(8000), readsAnswers: true});
	});

	it('survives a body of large chunks without end', async () => {
		await startFleet();
		await expectSurvival({opening: createUpload(), piece: createLargeChunk(), readsAnswers: true});
	});

	// Guards against: a body that is read whole for its idempotency key takes more memory than is counted.
	it('survives bodies with an idempotency key that stop short of their end', async () => {
		await startFleet();
		const {behaviour, bytes} = createUnfinishedBody(mebibyte, 'idempotency-key: a\r\n');
		await expectSurvival(behaviour, createCrowd(240, bytes));
	});

	it('survives whole bodies with an idempotency key', async () => {
		await startFleet();
		const opening = createHead('POST', '/orders', `content-length: ${mebibyte}\r\nidempotency-key: a\r\n`);
		const piece = Buffer.alloc(mebibyte / 16, 'x');
		await expectSurvival({opening, piece, readsAnswers: true}, createCrowd(240, opening.length + mebibyte));
	});

	it('survives a body with an idempotency key that comes byte by byte', async () => {
		await startFleet();
		const opening = createHead('POST', '/orders', `content-length: ${mebibyte}\r\nidempotency-key: a\r\n`);
		await expectSurvival({opening, piece: 'x', readsAnswers: true}, createCrowd(clients, mebibyte - 1));
	});

	it('survives bodies of legal size that stop short of their end', async () => {
		await startFleet();
		const {behaviour, bytes} = createUnfinishedBody(4 * mebibyte);
		await expectSurvival(behaviour, createCrowd(240, bytes));
	});

	// Guards against: the heads of requests that wait for their answers aren't counted.
	it('survives large heads of requests that wait for their answers', async () => {
		await startFleet({limits: {maximumHeaderBytes: 64 * 1024}});
		const piece = createHead('GET', '/orders/1?delayMs=2000', `x-padding: ${'x'.repeat(60_000)}\r\n`);
		await expectSurvival({opening: '', piece, readsAnswers: true}, createCrowd(600, 4 * piece.length));
	});

	// Guards against: heads that are not complete aren't counted.
	it('survives large heads that stop short of their end', async () => {
		await startFleet({limits: {maximumHeaderBytes: mebibyte}});
		const opening = 'GET /orders/1 HTTP/1.1\r\nx-padding: ';
		await expectSurvival({opening, piece: 'x'.repeat(50_000), readsAnswers: true}, createCrowd(240, 1_000_000));
	});

	// Guards against: large answers that wait for their turn or for a slow reader take memory without a bound.
	it('survives large answers that are not read', async () => {
		await startFleet();
		const piece = createHead('GET', '/orders/1?bytes=4000000', '');
		await expectSurvival({opening: '', piece, readsAnswers: false}, createCrowd(24, 8 * piece.length));
	});

	// Guards against: a body that is far over the limit is read on after its refusal.
	it('cuts a chunked body at the limit, and no target takes it as whole', async () => {
		await startFleet({limits: {maximumBodyBytes: mebibyte}});
		await expectSurvival({opening: createUpload(), piece: createLargeChunk(), readsAnswers: true}, createCrowd(clients, 64 * mebibyte));
		expect(held.every(({sentBytes}) => sentBytes < 24 * mebibyte), 'the rest is not read').to.equal(true);
		const [, {upstream}] = fleet.nodes as [NodeDaemon, NodeDaemon];
		expect(upstream.runs.some(run => run.method === 'POST' && run.answered), 'a target has taken a part as a whole').to.equal(false);
	});

	// Guards against: the close of a connection with an unread body takes its refusal with it.
	it('refuses a length far over the limit before its body, and each client can read it', async () => {
		await startFleet({limits: {maximumBodyBytes: mebibyte}});
		const opening = createHead('POST', '/orders', `content-length: ${1024 * mebibyte}\r\n`);
		await expectSurvival({opening, piece: Buffer.alloc(bodyPieceBytes, 'x'), readsAnswers: true}, createCrowd(clients, 64 * mebibyte));
		expect(held.map(({status}) => status)).to.deep.equal(held.map(() => 413));
		expect(held.every(({sentBytes}) => sentBytes < 24 * mebibyte), 'the body is not read').to.equal(true);
	});

	// Guards against: a body beyond the limit of announcements ends the process.
	it('survives announcements far over the limit', async () => {
		await startFleet();
		const opening = 'POST /announce HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
		await expectSurvival({opening, piece: createLargeChunk(), readsAnswers: true}, smallCrowd, node.announceUrl);
	});

	it('survives statements of operators far over the limit', async () => {
		await startFleet();
		const opening = 'POST /v1/statements HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
		await expectSurvival({opening, piece: createLargeChunk(), readsAnswers: true}, smallCrowd, control.operatorUrl);
		expect(await fleet.send('show members')).to.include({kind: 'answered'});
	});

	/** The length of a message of almost 64 MiB, and a part of it. */
	const unfinishedMessage: Behaviour = {
		opening: '\u0003\u007F\u007F\u007F', piece: Buffer.alloc(mebibyte, 'x'), readsAnswers: true,
	};

	// Guards against: messages are received before their sender has authenticated itself.
	it('survives large messages of clients that are no processes of the fleet', async () => {
		await startFleet();
		await expectSurvival(unfinishedMessage, createCrowd(clients, 32 * mebibyte), node.rpcUrl);
	});

	it('survives the same at a control process', async () => {
		await startFleet();
		await expectSurvival(unfinishedMessage, createCrowd(clients, 32 * mebibyte), control.rpcUrl);
		expect(await fleet.send('show members')).to.include({kind: 'answered'});
	});

	/** Opens more connections than the process has descriptors, none of which sends a whole request. */
	async function expectFreeDescriptors(listener: 'callersUrl' | 'gateUrl' | 'announceUrl' | 'rpcUrl'): Promise<void> {
		const maximumDescriptors = 400;
		const bounds = {descriptors: 350};
		await startFleet({maximumDescriptors});
		held = await misbehaveTogether(node[listener], {opening: 'G', piece: 'E', readsAnswers: true}, createCrowd(500, 2));
		await expectWithinBounds(node.daemon, bounds);
		await waitUntilServed();
		await expectWithinBounds(node.daemon, bounds);
	}

	// Guards against: idle connections leave no descriptors for targets, peers and ordinary callers.
	it('leaves descriptors free of a crowd of callers, and serves meanwhile', async () => {
		await expectFreeDescriptors('callersUrl');
	});

	it('leaves descriptors free of a crowd at its gate, and serves meanwhile', async () => {
		await expectFreeDescriptors('gateUrl');
	});

	it('leaves descriptors free of a crowd at its listener for announcements, and serves meanwhile', async () => {
		await expectFreeDescriptors('announceUrl');
	});

	it('leaves descriptors free of a crowd at its listener for remote calls, and serves meanwhile', async () => {
		await expectFreeDescriptors('rpcUrl');
	});
});
