import {createServer, type Server} from 'node:net';
import {expect} from 'chai';
import {FireflygladeError, ManualClock, SystemClock} from '@fireflyglade/model';
import {FrameRpcServer} from '../frame-rpc-server/index.js';
import {listenOn} from '../_lib/listen-on.js';
import {RpcError} from '../rpc-error/index.js';
import type {RpcMethod} from '../types.js';
import {FrameRpcClient} from './index.js';

const doubleMethod: RpcMethod<{value: number}, {doubled: number}> = {service: 'test', name: 'double'};
const failMethod: RpcMethod<{value: number}, unknown> = {service: 'test', name: 'fail'};
const hangMethod: RpcMethod<Record<string, never>, unknown> = {service: 'test', name: 'hang'};
const missingMethod: RpcMethod<Record<string, never>, unknown> = {service: 'test', name: 'missing'};
const longTimeoutOptions = {timeoutMilliseconds: 5000};

class TestError extends FireflygladeError {
	get code(): string {
		return 'test-error';
	}
}

async function failureOf(promise: Promise<unknown>): Promise<RpcError> {
	try {
		await promise;
	} catch (error: unknown) {
		if (error instanceof RpcError) {
			return error;
		}

		throw error;
	}

	throw new TestError('the call succeeded');
}

describe('FrameRpcClient', () => {
	const clock = new SystemClock();
	let server: FrameRpcServer;
	let client: FrameRpcClient;
	let address: string;
	let decoded = 0;
	let release: (() => void) | undefined;

	async function startServer(at: string): Promise<void> {
		server = new FrameRpcServer('right', clock);
		server.handle(doubleMethod, async request => {
			decoded++;
			return {doubled: request.value * 2};
		});
		server.handle(failMethod, async () => {
			throw new TestError('refused by the handler');
		});
		server.handle(hangMethod, async () => new Promise<Record<string, never>>(resolve => {
			release = () => {
				resolve({});
			};
		}));
		address = await server.listen(at);
	}

	beforeEach(async () => {
		decoded = 0;
		release = undefined;
		await startServer('127.0.0.1:0');
		client = new FrameRpcClient('right', clock);
	});

	afterEach(async () => {
		client.close();
		release?.();
		await server.close();
	});

	it('returns the response of the handler to each of many concurrent calls', async () => {
		const values = Array.from({length: 50}, (_, value) => value);
		const answers = await Promise.all(values.map(async value => client.call(doubleMethod, address, {value}, longTimeoutOptions)));
		expect(answers).to.deep.equal(values.map(value => ({doubled: value * 2})));
	});

	it('preserves maps, sets and bytes', async () => {
		const echoMethod: RpcMethod<unknown, unknown> = {service: 'test', name: 'echo'};
		server.handle(echoMethod, async request => request);
		const message = {map: new Map([['key', new Set([1, 2])]]), bytes: new Uint8Array([1, 2])};
		const answer = await client.call(echoMethod, address, message, longTimeoutOptions) as typeof message;
		expect(answer.map).to.deep.equal(message.map);
		expect([...answer.bytes]).to.deep.equal([1, 2]);
	});

	it('returns the code of the handler\'s error', async () => {
		const error = await failureOf(client.call(failMethod, address, {value: 1}, longTimeoutOptions));
		expect([error.failure, error.remoteCode, error.message]).to.deep.equal(['remote', 'test-error', 'refused by the handler']);
	});

	it('fails as unimplemented if the server has no such method', async () => {
		const error = await failureOf(client.call(missingMethod, address, {}, longTimeoutOptions));
		expect(error.failure).to.equal('unimplemented');
	});

	it('is rejected with a wrong fleet token before its message is decoded', async () => {
		const unauthenticatedClient = new FrameRpcClient('wrong', clock);
		const error = await failureOf(unauthenticatedClient.call(doubleMethod, address, {value: 1}, longTimeoutOptions));
		unauthenticatedClient.close();
		expect(error.failure).to.equal('unauthenticated');
		expect(decoded).to.equal(0);
	});

	it('fails as unavailable if no process listens, and reaches a process as soon as it starts at the address', async () => {
		await client.call(doubleMethod, address, {value: 1}, longTimeoutOptions);
		await server.close();
		const error = await failureOf(client.call(doubleMethod, address, {value: 1}, longTimeoutOptions));
		expect(error.failure).to.equal('unavailable');
		await startServer(address);
		expect(await client.call(doubleMethod, address, {value: 4}, longTimeoutOptions)).to.deep.equal({doubled: 8});
	});

	it('lets running calls finish when the server closes', async () => {
		const answer = client.call(hangMethod, address, {}, longTimeoutOptions);
		await client.call(doubleMethod, address, {value: 1}, longTimeoutOptions);
		const closed = server.close();
		release?.();
		expect(await answer).to.deep.equal({});
		await closed;
	});
});

describe('FrameRpcClient with a server that does not respond', () => {
	it('replaces a connection on which nothing was received before a timeout', async () => {
		let connections = 0;
		const silentServer: Server = createServer(socket => {
			connections++;
			socket.on('error', () => undefined);
			socket.resume();
		});
		const address = await listenOn(silentServer, '127.0.0.1:0');
		const clock = new ManualClock();
		const client = new FrameRpcClient('right', clock);
		const waitUntil = async (condition: () => boolean): Promise<void> => {
			while (!condition()) {
				await new Promise<void>(resolve => {
					setImmediate(resolve);
				});
			}
		};

		const first = failureOf(client.call(doubleMethod, address, {value: 1}, {timeoutMilliseconds: 500}));
		await waitUntil(() => connections === 1);
		clock.advance(500);
		const timeout = await first;
		expect(timeout.failure).to.equal('timeout');
		const second = failureOf(client.call(doubleMethod, address, {value: 1}, {timeoutMilliseconds: 500}));
		await waitUntil(() => connections === 2);
		client.close();
		const closed = await second;
		expect(closed.failure).to.equal('unavailable');
		silentServer.close();
	});
});
