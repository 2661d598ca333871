import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {request} from 'undici';
import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, SeededRandom, SystemClock, type Problem, type RequestId, type Target,
} from '@fireflyglade/model';
import {TargetRouting} from '@fireflyglade/routing';
import type {RunningNode} from '../../create-node/index.js';
import {
	createRoute, fleetToken, redSecret, TestFleet, waitUntil,
	type RecordingUpstream,
} from '../../test-support/index.js';
import type {GateCall, GateMetadata} from '../call-types.js';
import {RemoteGates} from '../remote-gate/index.js';
import {ChannelGates} from './index.js';

const noop = (): void => undefined;

const authorization = `Bearer ${redSecret}`;

type ObservedResponse = {
	/** Absent if the connection broke without a response. */
	readonly status?: number;
	readonly outcome?: string;
	readonly text?: string;
};

async function send(node: RunningNode, job: string, body = 'wood'): Promise<ObservedResponse> {
	try {
		const answer = await request(`http://${node.addresses.callers}/orders`, {method: 'POST', headers: {authorization, 'x-job': job}, body});
		const text = await answer.body.text();
		return {status: answer.statusCode, outcome: answer.headers['fireflyglade-outcome'] as string | undefined, text};
	} catch {
		return {};
	}
}

/** How a link fails after a number of bytes in one direction. */
type LinkFault = {
	readonly direction: 'to-gate' | 'from-gate' | 'none';
	readonly afterBytes: number;
	readonly kind: 'reset' | 'silence';
};

const noFault: LinkFault = {direction: 'none', afterBytes: 0, kind: 'reset'};

/** A TCP proxy that resets each connection, or stops forwarding on it, after a number of bytes. */
class FailingLink {
	fault: LinkFault = noFault;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(address: () => string) {
		this.#server = createServer(entrySocket => {
			const [host, port] = address().split(':') as [string, string];
			const gateSocket = connect(Number(port), host);
			const {fault} = this;
			this.#forward(entrySocket, gateSocket, fault.direction === 'to-gate' ? fault : noFault);
			this.#forward(gateSocket, entrySocket, fault.direction === 'from-gate' ? fault : noFault);
		});
	}

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Resets all connections. New ones fail according to `fault`. */
	reset(fault: LinkFault): void {
		this.fault = fault;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	close(): void {
		this.reset(noFault);
		this.#server.close();
	}

	#forward(from: Socket, to: Socket, fault: LinkFault): void {
		let remainingBytes = fault.direction === 'none' ? Number.POSITIVE_INFINITY : fault.afterBytes;
		this.#sockets.add(from);
		from.on('error', () => undefined);
		from.on('close', () => {
			this.#sockets.delete(from);
			to.destroy();
		});
		from.on('data', (bytes: Uint8Array) => {
			const forwarded = bytes.subarray(0, remainingBytes);
			remainingBytes -= forwarded.length;
			to.write(forwarded);
			if (remainingBytes <= 0 && fault.kind === 'reset') {
				to.destroy();
				from.destroy();
			}
		});
	}
}

describe('ChannelGates', () => {
	let fleet: TestFleet;
	let entry: RunningNode;
	let gate: RunningNode;
	let upstream: RecordingUpstream;
	let link: FailingLink;
	let gateTarget: () => Target;
	let count = 0;

	before(async () => {
		fleet = new TestFleet([createRoute('POST', '/orders', {retryLimit: 1, timeoutMilliseconds: 4000})]);
		const channelAddress = '127.0.0.1:0';
		let gateAddress = '';
		link = new FailingLink(() => gateAddress);
		fleet.shared.channelAddresses.set('gate', await link.listen());
		entry = await fleet.startNode('entry', {channelAddress});
		gate = await fleet.startNode('gate', {
			channelAddress, onChannelListening(address) {
				gateAddress = address;
			},
		});
		upstream = await fleet.startUpstream(gate);
		gateTarget = () => fleet.shared.targets.get('gate')!;
	});

	after(async () => {
		link.close();
		await fleet.stop();
	});

	const countRuns = (job: string): number => upstream.received.filter(received => received.headers['x-job'] === job).length;

	it('transfers a call and its response', async () => {
		const seen = await send(entry, 'plain');
		expect(seen.status).to.equal(200);
		expect(countRuns('plain')).to.equal(1);
		expect(gateTarget().domain).to.equal(createFailureDomain('north'));
	});

	it('multiplexes concurrent calls and matches each to its own response', async () => {
		upstream.handler = (message, response) => {
			message.resume();
			setTimeout(() => {
				response.end(`answer to ${String(message.headers['x-job'])}`);
			}, Math.random() * 20);
		};

		const seen = await Promise.all(Array.from({length: 60}, async (_, index) => send(entry, `many-${index}`)));
		expect(seen.map(({text}) => text)).to.deep.equal(seen.map((_, index) => `answer to many-${index}`));
	});

	it('transfers a large response completely', async () => {
		const size = 3_000_000;
		upstream.handler = (message, response) => {
			message.resume();
			response.end(Buffer.alloc(size, 'x'));
		};

		const seen = await send(entry, 'large');
		expect(seen.text).to.have.length(size);
	});

	it('transfers a large buffered request body', async () => {
		const bytes = 1_000_000;
		upstream.handler = (message, response) => {
			let received = 0;
			message.on('data', (chunk: Uint8Array) => {
				received += chunk.length;
			});
			message.on('end', () => {
				response.end(String(received));
			});
		};

		const answer = await request(`http://${entry.addresses.callers}/orders`, {method: 'POST', headers: {authorization, 'idempotency-key': 'largest'}, body: 'x'.repeat(bytes)});
		expect(await answer.body.text()).to.equal(String(bytes));
	});

	it('cancels a call at the upstream when the caller disconnects', async () => {
		upstream.handler = message => {
			message.resume();
		};

		const controller = new AbortController();
		const pending = request(`http://${entry.addresses.callers}/orders`, {
			method: 'POST', headers: {authorization, 'x-job': 'left'}, body: 'wood', signal: controller.signal,
		});
		await waitUntil(() => countRuns('left') === 1);
		controller.abort();
		await Promise.allSettled([pending]);
		await waitUntil(() => upstream.received.find(received => received.headers['x-job'] === 'left')!.isCancelled);
	});

	it('answers not-run only for calls that did not run, and runs no call twice, wherever the link fails', async () => {
		upstream.handler = (message, response) => {
			message.resume();
			message.on('end', () => {
				response.end('done');
			});
		};

		const fault = fc.record<LinkFault>({
			direction: fc.constantFrom('to-gate', 'from-gate'), afterBytes: fc.integer({min: 1, max: 1500}), kind: fc.constantFrom('reset', 'reset', 'reset', 'silence'),
		});
		await fc.assert(fc.asyncProperty(fault, fc.integer({min: 1, max: 4}), async (linkFault, calls) => {
			link.reset(linkFault);
			count++;
			const jobs = Array.from({length: calls}, (_, index) => `job-${count}-${index}`);
			const seen = await Promise.all(jobs.map(async job => send(entry, job)));
			for (const [index, job] of jobs.entries()) {
				const runs = countRuns(job);
				expect(runs, JSON.stringify(linkFault)).to.be.at.most(1);
				if (seen[index]!.outcome === 'not-run') {
					expect(runs, `not-run after ${JSON.stringify(linkFault)}`).to.equal(0);
				}

				if (seen[index]!.status === 200) {
					expect(runs).to.equal(1);
				}
			}
		}), {seed: 5, numRuns: 40});
	}).timeout(120_000);
});

describe('ChannelGates and TargetRouting', () => {
	it('send new requests to another target once a gate that accepted a request is silent, and return with its first byte', async () => {
		const sockets: Socket[] = [];
		const standIn = createServer(socket => {
			sockets.push(socket.on('error', () => undefined));
		});
		standIn.listen(0, '127.0.0.1');
		await once(standIn, 'listening');
		const clock = new SystemClock();
		const [silent, other] = ['silent', 'other'].map(name => createTarget(name, (standIn.address() as AddressInfo).port)) as [Target, Target];
		const routing = new TargetRouting({domain: silent.domain, node: createNodeId('entry')});
		routing.setTargets([silent, other], clock.now());
		const isChosen = (): boolean => {
			const random = new SeededRandom(1);
			return Array.from({length: 100}, () => routing.choose({service: silent.service, priority: 5, tried: new Set()}, clock.now(), random))
				.some(choice => choice.kind === 'target' && choice.target === silent);
		};

		const gates = new ChannelGates({
			clock, token: fleetToken, fallback: () => expect.fail('the call fits into a message'), onResponsiveChange(target, isResponsive) {
				routing.setResponsive(target.upstream, isResponsive, clock.now());
			}, outcomes: {
				async ask() {
					return {progress: 'unknown'};
				},
			},
		});
		const ended = new Promise<Problem>(resolve => {
			gates.to(silent).run(createGateCall(), {
				onHead: noop, onData: noop, onEnd: noop, onBroken: noop, onProblem: resolve,
			});
		});
		expect(isChosen()).to.equal(true);
		await waitUntil(() => !isChosen());
		expect(sockets[0]!.readyState).to.equal('open');
		sockets[0]!.write(Uint8Array.of(0));
		await waitUntil(() => isChosen());
		sockets[0]!.destroy();
		const {outcome} = await ended;
		expect(outcome).to.equal('unknown');
		gates.close();
		standIn.close();
	});

	it('report a gate that refuses connections as unreachable', async () => {
		const closed = createServer();
		closed.listen(0, '127.0.0.1');
		await once(closed, 'listening');
		const {port} = closed.address() as AddressInfo;
		closed.close();
		await once(closed, 'close');
		const clock = new SystemClock();
		const outcomes = {
			async ask() {
				return expect.fail('a request that was not sent needs no inquiry');
			},
		};
		const remoteGates = new RemoteGates({credentials: {kind: 'token', token: fleetToken}, clock, outcomes});
		const channelGates = new ChannelGates({
			clock, token: fleetToken, outcomes, fallback: () => expect.fail('the call fits into a message'),
		});
		for (const gates of [remoteGates, channelGates]) {
			const metadata = await new Promise<GateMetadata>(resolve => {
				gates.to(createTarget('gone', port)).run(createGateCall(), {
					onHead: noop, onData: noop, onEnd: noop, onBroken: noop, onProblem(_problem, reported) {
						resolve(reported);
					},
				});
			});
			expect(metadata.isUnreachable).to.equal(true);
		}

		await remoteGates.close();
	});
});

function createTarget(name: string, port: number): Target {
	const [service, node] = [createServiceName('orders'), createNodeId(name)];
	return {
		upstream: createUpstreamId(service, node), service, node, domain: createFailureDomain('north'), gateUrl: `http://127.0.0.1:${port}`, channelAddress: `127.0.0.1:${port}`, rpcAddress: 'a', available: true, slots: 1,
	};
}

function createGateCall(): GateCall {
	return {
		context: {
			requestId: 'r.1' as RequestId, rootId: 'r' as RequestId, priority: 1, deadline: Number.MAX_SAFE_INTEGER, workClass: 0, remainingAttempts: 1, depth: 0, traceparent: '', team: undefined,
		},
		service: createServiceName('orders'), idempotent: true, method: 'GET', path: '/', headers: [], body: undefined, bodyLength: undefined,
	};
}
