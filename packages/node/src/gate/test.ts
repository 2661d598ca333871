import {once} from 'node:events';
import {
	connect as connectTcp, createServer, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {request} from 'undici';
import {
	createNodeId, createServiceName, ManualClock, SystemClock, type Clock, type Problem, type RequestId, type UpstreamLoad,
} from '@fireflyglade/model';
import {AnnouncedLimit, GateAdmission} from '@fireflyglade/admission';
import type {RetryBudget} from '@fireflyglade/routing';
import {
	createRoute, RecordingUpstream, sendRawRequest, redSecret, TestFleet, waitUntil,
	type UpstreamHandler,
} from '../test-support/index.js';
import {productCallInterface} from '../call-interface/index.js';
import type {RunningNode} from '../create-node/index.js';
import {OutcomeTable} from '../_lib/outcome-table/index.js';
import type {GateMetadata} from '../_lib/call-types.js';
import {Gate, type GateOptions} from './index.js';

const authorization = `Bearer ${redSecret}`;

type ObservedResult = {
	/** Absent if the connection broke without an answer. */
	readonly status?: number;
	readonly outcome?: string;
	readonly isComplete: boolean;
};

async function send(node: RunningNode, job: string, headers: Record<string, string> = {}): Promise<ObservedResult> {
	try {
		const answer = await request(`http://${node.addresses.callers}/orders`, {method: 'POST', headers: {authorization, 'x-job': job, ...headers}, body: 'wood'});
		await answer.body.text();
		return {status: answer.statusCode, outcome: answer.headers['fireflyglade-outcome'] as string | undefined, isComplete: true};
	} catch {
		return {isComplete: false};
	}
}

/** Behaviours of the upstream: a normal answer, and faults at different points of the exchange. */
const upstreamBehaviors: Readonly<Record<string, UpstreamHandler>> = {
	answers(message, response) {
		message.resume();
		message.on('end', () => {
			response.end('done');
		});
	},
	breaksAtHead(message) {
		message.socket.destroy();
	},
	resetsAtHead(message) {
		message.socket.resetAndDestroy();
	},
	breaksAfterBody(message) {
		message.resume();
		message.on('end', () => {
			message.socket.destroy();
		});
	},
	breaksMidway(message, response) {
		message.resume();
		response.writeHead(200, {'content-length': 100});
		response.write('part', () => {
			message.socket.destroy();
		});
	},
	answersBeforeTheBody(_message, response) {
		response.writeHead(503);
		response.end();
	},
	refusesAndCloses(message, response) {
		message.resume();
		response.writeHead(503, {connection: 'close'});
		response.end('full');
	},
	staysSilent(message) {
		message.resume();
	},
};

/** The point at which the connection between entry and gate breaks. */
type ConnectionFault = 'none' | 'breaks-at-connect' | 'breaks-after-request' | 'loses-request' | 'loses-answer' | 'breaks-answer-midway';

/** A TCP proxy between entry node and gate that injects a connection fault. */
class FaultInjectingProxy {
	fault: ConnectionFault = 'none';
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(port: number) {
		this.#server = createServer(socket => {
			this.#forward(socket, port);
		});
	}

	async listen(): Promise<string> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return `http://127.0.0.1:${(this.#server.address() as {port: number}).port}`;
	}

	/** Sets the fault and closes open connections, so that the fault applies to the next request from its start. */
	reset(fault: ConnectionFault): void {
		this.fault = fault;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	close(): void {
		this.reset('none');
		this.#server.close();
	}

	#forward(socket: Socket, port: number): void {
		const gateSocket = connectTcp(port, '127.0.0.1');
		for (const each of [socket, gateSocket]) {
			this.#sockets.add(each);
			each.on('error', () => {
				each.destroy();
			});
		}

		socket.on('close', () => {
			gateSocket.destroy();
		});
		gateSocket.on('close', () => {
			socket.destroy();
		});
		if (this.fault === 'breaks-at-connect') {
			socket.destroy();
			return;
		}

		socket.on('data', (chunk: Uint8Array) => {
			this.#forwardRequest(socket, gateSocket, chunk);
		});
		gateSocket.on('data', (chunk: Uint8Array) => {
			this.#forwardResponse(socket, chunk);
		});
	}

	#forwardRequest(socket: Socket, gateSocket: Socket, chunk: Uint8Array): void {
		if (this.fault === 'loses-request') {
			socket.destroy();
			return;
		}

		gateSocket.write(chunk);
		if (this.fault === 'breaks-after-request') {
			socket.destroy();
		}
	}

	#forwardResponse(socket: Socket, chunk: Uint8Array): void {
		if (this.fault === 'loses-answer') {
			socket.destroy();
			return;
		}

		if (this.fault === 'breaks-answer-midway') {
			socket.write(chunk.subarray(0, Math.floor(chunk.byteLength / 2)), () => {
				socket.destroy();
			});
			return;
		}

		socket.write(chunk);
	}
}

/** The system clock plus an offset that tests can advance. */
class ShiftedClock extends SystemClock {
	offset = 0;

	override now(): number {
		return super.now() + this.offset;
	}
}

/** Permits every retry, so that the tests cover many retries. */
const unlimitedBudget: RetryBudget = {
	recordAttempt() {
		// Attempts are not counted.
	},
	takeRetry: () => true,
};

describe('Gate', () => {
	let fleet: TestFleet;
	let entry: RunningNode;
	let gate: RunningNode;
	let other: RunningNode;
	let proxy: FaultInjectingProxy;
	let upstreams: RecordingUpstream[];
	let count = 0;
	const gateClock = new ShiftedClock();

	before(async () => {
		fleet = new TestFleet([
			createRoute('POST', '/orders', {retryLimit: 3, timeoutMilliseconds: 400}),
			createRoute('GET', '/orders/:id', {retryLimit: 3}),
		]);
		entry = await fleet.startNode('entry', {retryBudgets: {of: () => unlimitedBudget}});
		gate = await fleet.startNode('gate', {clock: gateClock});
		proxy = new FaultInjectingProxy(Number(gate.addresses.gate.split(':')[1]));
		fleet.shared.gateUrls.set('gate', await proxy.listen());
		other = await fleet.startNode('other');
		upstreams = [await fleet.startUpstream(gate), await fleet.startUpstream(other)];
	});

	after(async () => {
		proxy.close();
		await fleet.stop();
	});

	function countRuns(job: string): number {
		return upstreams.flatMap(upstream => upstream.received).filter(received => received.headers['x-job'] === job).length;
	}

	it('queries the gate when a connection breaks, and retries at another upstream if the request did not run', async () => {
		proxy.reset('loses-request');
		for (const upstream of upstreams) {
			upstream.handler = upstreamBehaviors.answers!;
		}

		gateClock.offset += 10_000;
		const results = await Promise.all(Array.from({length: 20}, async (_, index) => send(entry, `lost-${index}`)));
		expect(results.map(result => result.status)).to.deep.equal(results.map(() => 200));
		expect(results.map((_, index) => countRuns(`lost-${index}`))).to.deep.equal(Array.from({length: 20}, () => 1));
		proxy.reset('none');
	});

	it('reports not-run only for requests that did not run, and runs no request twice, whichever connection or upstream fails', async () => {
		const connectionFault = fc.constantFrom<ConnectionFault>('none', 'breaks-at-connect', 'breaks-after-request', 'loses-request', 'loses-answer', 'breaks-answer-midway');
		const upstreamBehavior = fc.constantFrom(...Object.keys(upstreamBehaviors));
		await fc.assert(fc.asyncProperty(connectionFault, upstreamBehavior, upstreamBehavior, fc.boolean(), async (fault, first, second, shouldAnswerOutcomes) => {
			proxy.reset(fault);
			fleet.shouldAnswerOutcomes = shouldAnswerOutcomes;
			upstreams[0]!.handler = upstreamBehaviors[first]!;
			upstreams[1]!.handler = upstreamBehaviors[second]!;
			count += 1;
			const job = `job-${count}`;
			const result = await send(entry, job);
			const runs = countRuns(job);
			expect(runs, `${fault} ${first} ${second}`).to.be.at.most(1);
			if (result.outcome === 'not-run') {
				expect(runs, `not-run after ${fault} ${first} ${second}`).to.equal(0);
			}

			if (result.status === 200) {
				expect(runs).to.equal(1);
			}
		}), {seed: 3, numRuns: 120});
		proxy.reset('none');
		fleet.shouldAnswerOutcomes = true;
	});

	it('withdraws a queued request when its outcome is queried', async () => {
		const single = await fleet.startNode('single', {createAdmission: options => new GateAdmission({...options, slots: 1, isCold: false})});
		const upstream = await fleet.startUpstream(single, 'alone', 1);
		const release: Array<() => void> = [];
		upstream.handler = (message, response) => {
			message.resume();
			release.push(() => {
				response.end('done');
			});
		};

		const call = (id: string): string => `GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nfireflyglade-fleet-token: fleet-token-of-the-tests\r\nfireflyglade-call: ${id} r - 0 2000 1 0 1 - - alone 0 -\r\n\r\n`;
		const answers: Array<Promise<string>> = [];
		for (let index = 0; index < 5; index += 1) {
			answers.push(sendRawRequest(single.addresses.gate, call(`w.${index}`)));
		}

		const size = (): number => single.level()!.queueLength + single.level()!.inFlight;
		await waitUntil(() => size() === 5);
		const running = single.level()!.inFlight;
		const progress = Array.from({length: 5}, (_, index) => single.answerOutcome({requestId: `w.${index}` as RequestId, sentMillisecondsAgo: 10}).progress);
		expect(progress.filter(each => each === 'running')).to.have.length(running);
		expect(progress.filter(each => each === 'not-run')).to.have.length(5 - running);
		expect(running).to.be.below(5);
		await waitUntil(() => release.length === running);
		for (const end of release) {
			end();
		}

		await waitUntil(() => size() === 0);
		expect(upstream.received).to.have.length(running);
		await single.stop();
		await Promise.allSettled(answers);
	});

	it('refuses a request id that it has reported as not run', async () => {
		gate.answerOutcome({requestId: 'late.1' as RequestId, sentMillisecondsAgo: 0});
		const before = upstreams[0]!.received.length;
		const answer = await sendRawRequest(gate.addresses.gate, 'GET /orders/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nfireflyglade-fleet-token: fleet-token-of-the-tests\r\nfireflyglade-call: late.1 r - 0 1000 1 0 1 - - orders 0 -\r\n\r\n');
		expect(answer).to.include('fireflyglade-outcome: not-run');
		expect(upstreams[0]!.received.length).to.equal(before);
	});

	it('runs a job with an idempotency key once and replays its response', async () => {
		proxy.reset('none');
		const order: string[] = [];
		for (const upstream of upstreams) {
			upstream.handler = (message, response) => {
				message.resume();
				order.push('run');
				response.end(`run ${order.length}`);
			};
		}

		const options = {method: 'POST', headers: {authorization, 'idempotency-key': 'order 7'}, body: 'oak'} as const;
		const first = await request(`http://${entry.addresses.callers}/orders`, options);
		const second = await request(`http://${other.addresses.callers}/orders`, options);
		expect(await first.body.text()).to.equal('run 1');
		expect(await second.body.text()).to.equal('run 1');
	});

	it('does not cancel a claimed job when its caller disconnects', async () => {
		const release: Array<() => void> = [];
		for (const upstream of upstreams) {
			upstream.handler = (message, response) => {
				message.resume();
				release.push(() => {
					response.end('kept');
				});
			};
		}

		const controller = new AbortController();
		const options = {method: 'POST', headers: {authorization, 'idempotency-key': 'order 8'}, body: 'oak'} as const;
		const sent = request(`http://${entry.addresses.callers}/orders`, {...options, signal: controller.signal});
		await waitUntil(() => release.length === 1);
		controller.abort();
		await Promise.allSettled([sent]);
		const again = await request(`http://${entry.addresses.callers}/orders`, options);
		expect(await again.body.json()).to.include({code: 'job-running'});
		release[0]!();
		await waitUntil(() => fleet.claims.outcomes.get('order 8') !== 'running');
		const last = await request(`http://${entry.addresses.callers}/orders`, options);
		expect(await last.body.text()).to.equal('kept');
	});

	it('refuses jobs as not run while no quorum is reachable', async () => {
		fleet.claims.hasQuorum = false;
		const result = await send(entry, 'no-quorum', {'idempotency-key': 'order 9'});
		fleet.claims.hasQuorum = true;
		expect(result).to.include({status: 503, outcome: 'not-run'});
		expect(countRuns('no-quorum')).to.equal(0);
	});
});

describe('OutcomeTable', () => {
	const id = 'r.1' as RequestId;

	it('answers not-run only for requests sent within the time that the table covers', () => {
		const table = new OutcomeTable(0);
		expect(table.answer({requestId: id, sentMillisecondsAgo: 5000}, 10_000).progress).to.equal('not-run');
		expect(table.isRefused(id)).to.equal(true);
		expect(table.answer({requestId: 'r.2' as RequestId, sentMillisecondsAgo: 9000}, 10_000).progress).to.equal('unknown');
		expect(table.isRefused('r.2' as RequestId)).to.equal(true);
	});

	it('answers unknown for a request whose entry was evicted', () => {
		const table = new OutcomeTable(0);
		table.record(id, 'finished', 10_000);
		for (let index = 0; index < 20_000; index += 1) {
			table.record(`other.${index}` as RequestId, 'finished', 10_001);
		}

		expect(table.answer({requestId: id, sentMillisecondsAgo: 2000}, 12_000).progress).to.equal('unknown');
	});
});

describe('Gate', () => {
	const announced = {
		service: createServiceName('stock'), address: '127.0.0.1:1', slots: 1, connections: 1,
	};

	type Refusal = {readonly problem: Problem; readonly metadata: GateMetadata};

	const createGate = (overrides: Partial<GateOptions> = {}): Gate => {
		const gate = new Gate({
			node: createNodeId('node-1'),
			clock: new SystemClock(),
			claims: {
				begin: async () => ({kind: 'granted'}),
				async finish() {
					// This test claims no job.
				},
			},
			observer: {
				requestFinished() {
					// Not used by this test.
				},
				hopFinished() {
					// Not used by this test.
				},
				renderMetrics: async () => '',
			},
			createAdmission: options => new GateAdmission({...options, isCold: false}),
			...overrides,
		});
		gate.setUpstream(announced);
		return gate;
	};

	/** Offers a call to the gate; its refusals are added to `refusals`. */
	const offer = (gate: Gate, requestId: string, service: string, refusals: Refusal[]): void => {
		const doNothing = (): void => {
			// The call is refused before any response.
		};

		gate.run({
			context: {
				requestId: requestId as RequestId, rootId: 'a.1' as RequestId, priority: 0, deadline: Number.MAX_SAFE_INTEGER, workClass: 0, remainingAttempts: 1, depth: 0, traceparent: '',
			},
			service: createServiceName(service),
			idempotent: true,
			method: 'GET',
			path: '/',
			headers: [],
			body: undefined,
			bodyLength: undefined,
		}, {
			onHead: doNothing,
			onData: doNothing,
			onEnd: doNothing,
			onBroken: doNothing,
			onProblem(problem, metadata) {
				refusals.push({problem, metadata});
			},
		});
	};

	it('refuses a call for a service that its upstream does not serve, because an address may have been reassigned', () => {
		const gate = createGate();
		const refusals: Refusal[] = [];
		gate.recordQueueingDelay({service: createServiceName('yard'), waitMilliseconds: 70});
		offer(gate, 'a.1.1', 'orders', refusals);
		expect(refusals.map(({problem: {code, outcome}}) => ({code, outcome}))).to.deep.equal([{code: 'no-upstream', outcome: 'not-run'}]);
		// Every answer contains the longest queueing delay that was reported for calls of the upstream.
		expect(refusals.map(({metadata}) => metadata.crowding)).to.deep.equal([{service: 'yard', waitMilliseconds: 70}]);
		expect(gate.size).to.equal(0);
	});

	// Guards against: a call goes on waiting for an upstream that has left, as the upstream announced itself in between.
	it('refuses the calls that wait when its upstream leaves, also those that came before its last announcement', async () => {
		const gate = createGate();
		const refusals: Refusal[] = [];
		offer(gate, 'a.1.1', 'stock', refusals);
		offer(gate, 'a.2.1', 'stock', refusals);
		gate.setUpstream({...announced, coldMilliseconds: 0});
		gate.removeUpstream();
		expect(refusals.map(({problem: {code, outcome}}) => ({code, outcome}))).to.deep.equal([{code: 'draining', outcome: 'not-run'}]);
		await gate.close();
	});

	// Guards against: the load in a refusal, the clearest sign of a full upstream, is ignored.
	it('reports and follows the load that its upstream states, also in refusals', async () => {
		for (const fields of [{}, {'x-not-run': '1'}]) {
			const upstream = new RecordingUpstream();
			upstream.handler = (_message, response) => {
				response.writeHead(200, {'x-load': '{"running":1,"waiting":0,"slots":20,"pace":2.5}', ...fields});
				response.end();
			};

			await upstream.start();
			const gate = createGate({
				clock: new ManualClock(),
				callInterface: {...productCallInterface, notRunField: 'x-not-run', loadField: {name: 'x-load', parse: value => JSON.parse(value) as UpstreamLoad}},
			});
			gate.setUpstream({...announced, address: upstream.address, slots: 40});
			offer(gate, 'a.1.1', 'stock', []);
			await waitUntil(() => gate.size === 0);
			const level = gate.level();
			const state = gate.describeLimit();
			await gate.close();
			await upstream.stop();
			expect(level).to.include({limit: 20, pace: 2.5});
			expect(state?.reportedLoad).to.include({slots: 20});
		}
	});

	describe('slow start', () => {
		const warm = {
			...announced, slots: 40, coldMilliseconds: 0, bornAt: 1000,
		};

		/** Creates a gate of an upstream that isn't cold, and the events that it logs. */
		const createWarmGate = (clock: Clock) => {
			const causes: string[] = [];
			const gate = createGate({
				clock,
				createAdmission: options => new GateAdmission({...options, limit: new AnnouncedLimit(options)}),
				onLogEvent(_event, {cause}) {
					causes.push(cause);
				},
			});
			gate.removeUpstream();
			gate.setUpstream(warm);
			return {gate, causes};
		};

		it('starts slowly an upstream that is cold, and no other', async () => {
			const {gate} = createWarmGate(new ManualClock());
			expect(gate.level()?.limit).to.equal(40);
			gate.removeUpstream();
			gate.setUpstream({...warm, coldMilliseconds: 3000});
			expect(gate.level()?.limit).to.equal(10);
			await gate.close();
		});

		// Guards against: an upstream that restarts between two announcements gets its full share while it is cold.
		it('starts slowly again when a cold upstream announces itself under the same name', async () => {
			for (const change of [{bornAt: 2000, coldMilliseconds: 2900}, {coldMilliseconds: 2900}]) {
				const {gate, causes} = createWarmGate(new ManualClock());
				gate.setUpstream({...warm, ...change});
				expect(gate.level()?.limit).to.equal(10);
				expect(causes).to.deep.equal(['a restart of the upstream']);
				gate.setUpstream({...warm, ...change, coldMilliseconds: 2600});
				expect(causes).to.have.length(1);
				await gate.close();
			}
		});

		// Guards against: an upstream that states its start or its remaining cold time late is taken for one that restarted.
		it('does not start slowly again when a cold upstream states a value that was unknown, or no longer states one', async () => {
			const changes = [
				[{bornAt: undefined}, {}],
				[{bornAt: 0}, {}],
				[{}, {bornAt: 0}],
				[{bornAt: undefined}, {bornAt: 0}],
				[{coldMilliseconds: undefined}, {}],
				[{}, {coldMilliseconds: undefined}],
			];
			for (const [earlier, later] of changes) {
				const {gate, causes} = createWarmGate(new ManualClock());
				const cold = {...warm, coldMilliseconds: 2900};
				gate.removeUpstream();
				gate.setUpstream({...cold, ...earlier});
				gate.setUpstream({...cold, ...later});
				expect(causes).to.deep.equal([]);
				await gate.close();
			}
		});

		it('does not start slowly when an upstream that is not cold has restarted', async () => {
			const {gate, causes} = createWarmGate(new ManualClock());
			gate.setUpstream({...warm, bornAt: 2000});
			expect(gate.level()?.limit).to.equal(40);
			expect(causes).to.deep.equal([]);
			await gate.close();
		});

		it('starts slowly again after the machine was suspended while requests ran', async () => {
			const clock = new ManualClock();
			const suspension = {milliseconds: 0};
			const {gate, causes} = createWarmGate({
				now: () => clock.now(),
				wallNow: () => clock.now() + suspension.milliseconds,
				startTimer: (delay, action) => clock.startTimer(delay, action),
			});
			suspension.milliseconds += 5000;
			clock.advance(1000);
			expect(gate.level()?.limit).to.equal(40);
			offer(gate, 'a.1.1', 'stock', []);
			suspension.milliseconds += 5000;
			clock.advance(1000);
			expect(gate.level()?.limit).to.equal(10);
			expect(causes).to.deep.equal(['a pause of 5000 ms']);
			await gate.close();
		});
	});
});
