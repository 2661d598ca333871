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
const patient = {timeoutMilliseconds: 5000};

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

	it('gets the answer of the handler, each call its own', async () => {
		const values = Array.from({length: 50}, (_, value) => value);
		const answers = await Promise.all(values.map(async value => client.call(doubleMethod, address, {value}, patient)));
		expect(answers).to.deep.equal(values.map(value => ({doubled: value * 2})));
	});

	it('keeps maps, sets and undefined as the codec does', async () => {
		const echoMethod: RpcMethod<unknown, unknown> = {service: 'test', name: 'echo'};
		server.handle(echoMethod, async request => request);
		const message = {map: new Map([['key', new Set([1, 2])]]), bytes: new Uint8Array([1, 2])};
		const answer = await client.call(echoMethod, address, message, patient) as typeof message;
		expect(answer.map).to.deep.equal(message.map);
		expect([...answer.bytes]).to.deep.equal([1, 2]);
	});

	it('carries the code of the handler\'s error', async () => {
		const error = await failureOf(client.call(failMethod, address, {value: 1}, patient));
		expect([error.failure, error.remoteCode, error.message]).to.deep.equal(['remote', 'test-error', 'refused by the handler']);
	});

	it('is told of a method that is not there', async () => {
		const error = await failureOf(client.call(missingMethod, address, {}, patient));
		expect(error.failure).to.equal('unimplemented');
	});

	it('is refused with a wrong fleet token before its message is read', async () => {
		const stranger = new FrameRpcClient('wrong', clock);
		const error = await failureOf(stranger.call(doubleMethod, address, {value: 1}, patient));
		stranger.close();
		expect(error.failure).to.equal('unauthenticated');
		expect(decoded).to.equal(0);
	});

	it('fails as unavailable where nobody listens, and reaches a process that starts there at once', async () => {
		await client.call(doubleMethod, address, {value: 1}, patient);
		await server.close();
		const error = await failureOf(client.call(doubleMethod, address, {value: 1}, patient));
		expect(error.failure).to.equal('unavailable');
		await startServer(address);
		expect(await client.call(doubleMethod, address, {value: 4}, patient)).to.deep.equal({doubled: 8});
	});

	it('lets calls that are being answered end when the server closes', async () => {
		const answer = client.call(hangMethod, address, {}, patient);
		await client.call(doubleMethod, address, {value: 1}, patient);
		const closed = server.close();
		release?.();
		expect(await answer).to.deep.equal({});
		await closed;
	});
});

describe('FrameRpcClient at a server that has fallen silent', () => {
	it('does not go on with a connection on which nothing was heard', async () => {
		let connections = 0;
		const silent: Server = createServer(socket => {
			connections++;
			socket.on('error', () => undefined);
			socket.resume();
		});
		const address = await listenOn(silent, '127.0.0.1:0');
		const clock = new ManualClock();
		const client = new FrameRpcClient('right', clock);
		const until = async (condition: () => boolean): Promise<void> => {
			while (!condition()) {
				await new Promise<void>(resolve => {
					setImmediate(resolve);
				});
			}
		};

		const first = failureOf(client.call(doubleMethod, address, {value: 1}, {timeoutMilliseconds: 500}));
		await until(() => connections === 1);
		clock.advance(500);
		const timeout = await first;
		expect(timeout.failure).to.equal('timeout');
		const second = failureOf(client.call(doubleMethod, address, {value: 1}, {timeoutMilliseconds: 500}));
		await until(() => connections === 2);
		client.close();
		const closed = await second;
		expect(closed.failure).to.equal('unavailable');
		silent.close();
	});
});
