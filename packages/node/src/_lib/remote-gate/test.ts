import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, SystemClock,
	type Problem, type RequestId, type Target,
} from '@fireflyglade/model';
import {fleetToken} from '../../test-support/index.js';
import {RemoteGates} from './index.js';

const problemHead = 'HTTP/1.1 503 Service Unavailable\r\nfireflyglade-problem: overloaded\r\nfireflyglade-outcome: not-run\r\ntransfer-encoding: chunked\r\n\r\n';

describe('RemoteGates', () => {
	for (const [name, piece, pauseMilliseconds] of [
		['fast', `10000\r\n${'x'.repeat(65_536)}\r\n`, 0],
		['in single bytes', '1\r\nx\r\n', 20],
	] as const) {
		it(`reports a gate's problem whose body does not end (${name}), and closes the connection`, async () => {
			const connections: Socket[] = [];
			const server = createServer(socket => {
				connections.push(socket);
				socket.on('error', () => undefined);
				socket.once('data', () => {
					writeEndlessProblem(socket, piece, pauseMilliseconds);
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const gates = new RemoteGates({
				credentials: {kind: 'token', token: fleetToken}, clock: new SystemClock(), outcomes: {
					async ask() {
						return {progress: 'unknown'};
					},
				},
			});
			const problem = await runCall(gates, (server.address() as AddressInfo).port);
			expect(problem).to.include({code: 'overloaded', outcome: 'not-run'});
			await new Promise<void>(resolve => {
				connections[0]!.once('close', () => {
					resolve();
				});
			});
			await gates.close();
			server.close();
		});
	}
});

function writeEndlessProblem(socket: Socket, piece: string, pauseMilliseconds: number): void {
	const next = (): void => {
		if (!socket.destroyed) {
			socket.write(piece, () => setTimeout(next, pauseMilliseconds));
		}
	};

	socket.write(problemHead, next);
}

async function runCall(gates: RemoteGates, port: number): Promise<Problem> {
	const service = createServiceName('orders');
	const target: Target = {
		upstream: createUpstreamId(service, createNodeId('a')), service, node: createNodeId('a'), domain: createFailureDomain('north'), gateUrl: `http://127.0.0.1:${port}`, rpcAddress: 'a', available: true, slots: 1,
	};
	return new Promise((resolve, reject) => {
		const unexpected = (): void => {
			reject(new Error('expected a problem, got another callback'));
		};

		gates.to(target).run({
			context: {
				requestId: 'r.1' as RequestId, rootId: 'r' as RequestId, priority: 1, deadline: Number.MAX_SAFE_INTEGER, workClass: 0, remainingAttempts: 1, depth: 0, traceparent: '', team: undefined,
			},
			service,
			idempotent: true,
			job: undefined,
			method: 'GET',
			path: '/',
			headers: [],
			body: undefined,
			bodyLength: undefined,
		}, {
			onHead: unexpected, onData: unexpected, onEnd: unexpected, onBroken: unexpected, onProblem: resolve,
		});
	});
}
