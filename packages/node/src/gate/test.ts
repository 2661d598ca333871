import {once} from 'node:events';
import {
	connect as connectTcp, createServer, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {request} from 'undici';
import {
	createNodeId, createServiceName, SystemClock, type Problem, type RequestId,
} from '@fireflyglade/model';
import {GateAdmission} from '@fireflyglade/admission';
import type {RetryBudget} from '@fireflyglade/routing';
import {
	createRoute, sendRawRequest, redSecret, TestFleet, waitUntil,
	type RecordingUpstream, type UpstreamHandler,
} from '../test-support/index.js';
import type {RunningNode} from '../create-node/index.js';
import {OutcomeTable} from '../_lib/outcome-table/index.js';
import type {GateNote} from '../_lib/call-types.js';
import {Gate} from './index.js';

const authorization = `Bearer ${redSecret}`;

type Seen = {
	/** Absent if the connection broke without an answer. */
	readonly status?: number;
	readonly outcome?: string;
	readonly isWhole: boolean;
};

async function send(node: RunningNode, job: string, headers: Record<string, string> = {}): Promise<Seen> {
	try {
		const answer = await request(`http://${node.addresses.callers}/orders`, {method: 'POST', headers: {authorization, 'x-job': job, ...headers}, body: 'wood'});
		await answer.body.text();
		return {status: answer.statusCode, outcome: answer.headers['fireflyglade-outcome'] as string | undefined, isWhole: true};
	} catch {
		return {isWhole: false};
	}
}

/** A point at which the upstream breaks. */
const upstreamFaults: Readonly<Record<string, UpstreamHandler>> = {
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

/** A point at which the connection between entry and gate breaks. */
type LinkFault = 'none' | 'breaks-at-connect' | 'breaks-after-request' | 'loses-request' | 'loses-answer' | 'breaks-answer-midway';

/** Passes bytes between entry and gate, and breaks where it is told to. */
class FaultyLink {
	fault: LinkFault = 'none';
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(port: number) {
		this.#server = createServer(socket => {
			this.#carry(socket, port);
		});
	}

	async listen(): Promise<string> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return `http://127.0.0.1:${(this.#server.address() as {port: number}).port}`;
	}

	/** Closes the connections that are open, so that the next request meets the fault from its start. */
	reset(fault: LinkFault): void {
		this.fault = fault;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	close(): void {
		this.reset('none');
		this.#server.close();
	}

	#carry(socket: Socket, port: number): void {
		const other = connectTcp(port, '127.0.0.1');
		for (const each of [socket, other]) {
			this.#sockets.add(each);
			each.on('error', () => {
				each.destroy();
			});
		}

		socket.on('close', () => {
			other.destroy();
		});
		other.on('close', () => {
			socket.destroy();
		});
		if (this.fault === 'breaks-at-connect') {
			socket.destroy();
			return;
		}

		socket.on('data', (chunk: Uint8Array) => {
			this.#passRequest(socket, other, chunk);
		});
		other.on('data', (chunk: Uint8Array) => {
			this.#passAnswer(socket, chunk);
		});
	}

	#passRequest(socket: Socket, other: Socket, chunk: Uint8Array): void {
		if (this.fault === 'loses-request') {
			socket.destroy();
			return;
		}

		other.write(chunk);
		if (this.fault === 'breaks-after-request') {
			socket.destroy();
		}
	}

	#passAnswer(socket: Socket, chunk: Uint8Array): void {
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

/** A clock that can be put forward. */
class ShiftedClock extends SystemClock {
	offset = 0;

	override now(): number {
		return super.now() + this.offset;
	}
}

/** Allows every retry, so that more of them are tried. */
const boundlessBudget: RetryBudget = {
	recordAttempt() {
		// Nothing is counted.
	},
	takeRetry: () => true,
};

describe('Gate', () => {
	let fleet: TestFleet;
	let entry: RunningNode;
	let gate: RunningNode;
	let other: RunningNode;
	let link: FaultyLink;
	let upstreams: RecordingUpstream[];
	let count = 0;
	const gateClock = new ShiftedClock();

	before(async () => {
		fleet = new TestFleet([
			createRoute('POST', '/orders', {retryLimit: 3, timeoutMilliseconds: 400}),
			createRoute('GET', '/orders/:id', {retryLimit: 3}),
		]);
		entry = await fleet.startNode('entry', {retryBudgets: {of: () => boundlessBudget}});
		gate = await fleet.startNode('gate', {clock: gateClock});
		link = new FaultyLink(Number(gate.addresses.gate.split(':')[1]));
		fleet.shared.gateUrls.set('gate', await link.listen());
		other = await fleet.startNode('other');
		upstreams = [await fleet.startUpstream(gate), await fleet.startUpstream(other)];
	});

	after(async () => {
		link.close();
		await fleet.stop();
	});

	function runsOf(job: string): number {
		return upstreams.flatMap(upstream => upstream.received).filter(received => received.headers['x-job'] === job).length;
	}

	it('asks the gate when a connection breaks, and goes elsewhere if the work did not run', async () => {
		link.reset('loses-request');
		for (const upstream of upstreams) {
			upstream.handler = upstreamFaults.answers!;
		}

		gateClock.offset += 10_000;
		const seen = await Promise.all(Array.from({length: 20}, async (_, index) => send(entry, `lost-${index}`)));
		expect(seen.map(each => each.status)).to.deep.equal(seen.map(() => 200));
		expect(seen.map((_, index) => runsOf(`lost-${index}`))).to.deep.equal(Array.from({length: 20}, () => 1));
		link.reset('none');
	});

	it('says not-run only of work that did not run, and runs no order twice, wherever anything fails', async () => {
		const linkFault = fc.constantFrom<LinkFault>('none', 'breaks-at-connect', 'breaks-after-request', 'loses-request', 'loses-answer', 'breaks-answer-midway');
		const upstreamFault = fc.constantFrom(...Object.keys(upstreamFaults));
		await fc.assert(fc.asyncProperty(linkFault, upstreamFault, upstreamFault, fc.boolean(), async (fault, first, second, answersOutcomes) => {
			link.reset(fault);
			fleet.shouldAnswerOutcomes = answersOutcomes;
			upstreams[0]!.handler = upstreamFaults[first]!;
			upstreams[1]!.handler = upstreamFaults[second]!;
			count += 1;
			const job = `job-${count}`;
			const seen = await send(entry, job);
			const runs = runsOf(job);
			expect(runs, `${fault} ${first} ${second}`).to.be.at.most(1);
			if (seen.outcome === 'not-run') {
				expect(runs, `not-run after ${fault} ${first} ${second}`).to.equal(0);
			}

			if (seen.status === 200) {
				expect(runs).to.equal(1);
			}
		}), {seed: 3, numRuns: 120});
		link.reset('none');
		fleet.shouldAnswerOutcomes = true;
	});

	it('takes a waiting request back when it is asked about it', async () => {
		const single = await fleet.startNode('single', {createAdmission: options => new GateAdmission({...options, slots: 1, cold: false})});
		const upstream = await fleet.startUpstream(single, 'alone', 1);
		const release: Array<() => void> = [];
		upstream.handler = (message, response) => {
			message.resume();
			release.push(() => {
				response.end('done');
			});
		};

		const call = (id: string): string => `GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nfireflyglade-fleet-token: fleet-token-of-the-tests\r\nfireflyglade-call: ${id} r - 0 2000 1 0 1 - - alone\r\n\r\n`;
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

	it('refuses an id that it answered not-run for', async () => {
		gate.answerOutcome({requestId: 'late.1' as RequestId, sentMillisecondsAgo: 0});
		const before = upstreams[0]!.received.length;
		const answer = await sendRawRequest(gate.addresses.gate, 'GET /orders/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nfireflyglade-fleet-token: fleet-token-of-the-tests\r\nfireflyglade-call: late.1 r - 0 1000 1 0 1 - - orders\r\n\r\n');
		expect(answer).to.include('fireflyglade-outcome: not-run');
		expect(upstreams[0]!.received.length).to.equal(before);
	});

	it('runs a job with an idempotency key once and gives its answer again', async () => {
		link.reset('none');
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

	it('lets a claimed job run on when its caller goes away', async () => {
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

	it('refuses jobs as not run where no quorum answers', async () => {
		fleet.claims.hasQuorum = false;
		const seen = await send(entry, 'no-quorum', {'idempotency-key': 'order 9'});
		fleet.claims.hasQuorum = true;
		expect(seen).to.include({status: 503, outcome: 'not-run'});
		expect(runsOf('no-quorum')).to.equal(0);
	});
});

describe('OutcomeTable', () => {
	const id = 'r.1' as RequestId;

	it('answers not-run only of requests that it would remember', () => {
		const table = new OutcomeTable(0);
		expect(table.answer({requestId: id, sentMillisecondsAgo: 5000}, 10_000).progress).to.equal('not-run');
		expect(table.isRefused(id)).to.equal(true);
		expect(table.answer({requestId: 'r.2' as RequestId, sentMillisecondsAgo: 9000}, 10_000).progress).to.equal('unknown');
		expect(table.isRefused('r.2' as RequestId)).to.equal(true);
	});

	it('does not take a forgotten request for one that was never seen', () => {
		const table = new OutcomeTable(0);
		table.record(id, 'finished', 10_000);
		for (let index = 0; index < 20_000; index += 1) {
			table.record(`other.${index}` as RequestId, 'finished', 10_001);
		}

		expect(table.answer({requestId: id, sentMillisecondsAgo: 2000}, 12_000).progress).to.equal('unknown');
	});
});

describe('Gate', () => {
	it('refuses a call for another service than its upstream serves, as an address may be used again', () => {
		const gate = new Gate({
			node: createNodeId('node-1'),
			clock: new SystemClock(),
			claims: {
				begin: async () => ({kind: 'granted'}),
				async finish() {
					// No job is claimed.
				},
			},
			observer: {
				requestFinished() {
					// The test looks at the problem.
				},
				hopFinished() {
					// The test looks at the problem.
				},
				renderMetrics: async () => '',
			},
			createAdmission: options => new GateAdmission(options),
		});
		gate.setUpstream({
			service: createServiceName('stock'), address: '127.0.0.1:1', slots: 1, connections: 1,
		});
		const problems: Problem[] = [];
		const notes: GateNote[] = [];
		const nothing = (): void => {
			// Nothing is answered.
		};

		gate.recordCrowding({service: createServiceName('yard'), waitMilliseconds: 70});

		gate.run({
			context: {
				requestId: 'a.1.1' as RequestId, rootId: 'a.1' as RequestId, priority: 0, deadline: Number.MAX_SAFE_INTEGER, remainingAttempts: 1, depth: 0, traceparent: '',
			},
			service: createServiceName('orders'),
			idempotent: true,
			method: 'GET',
			path: '/',
			headers: [],
			body: undefined,
			bodyLength: undefined,
		}, {
			onHead: nothing,
			onData: nothing,
			onEnd: nothing,
			onBroken: nothing,
			onProblem(problem, note) {
				problems.push(problem);
				notes.push(note);
			},
		});
		expect(problems.map(({code, outcome}) => ({code, outcome}))).to.deep.equal([{code: 'no-upstream', outcome: 'not-run'}]);
		// What the upstream's calls waited below rides back beside every answer.
		expect(notes.map(note => note.crowding)).to.deep.equal([{service: 'yard', waitMilliseconds: 70}]);
		expect(gate.size).to.equal(0);
	});
});
