import {expect} from 'chai';
import {FireflygladeError} from '@fireflyglade/model';
import {RpcError} from '../rpc-error/index.js';
import {GrpcRpcServer} from '../grpc-rpc-server/index.js';
import type {RpcMethod} from '../types.js';
import {GrpcRpcClient} from './index.js';

const doubleMethod: RpcMethod<{value: number}, {doubled: number}> = {service: 'test', name: 'double'};
const failMethod: RpcMethod<{value: number}, unknown> = {service: 'test', name: 'fail'};
const hangMethod: RpcMethod<Record<string, never>, unknown> = {service: 'test', name: 'hang'};

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

describe('GrpcRpcClient', () => {
	let server: GrpcRpcServer;
	let client: GrpcRpcClient;
	let address: string;
	let decoded = 0;

	beforeEach(async () => {
		decoded = 0;
		server = new GrpcRpcServer({kind: 'token', token: 'right'});
		server.handle(doubleMethod, async request => {
			decoded++;
			return {doubled: request.value * 2};
		});
		server.handle(failMethod, async () => {
			throw new TestError('refused by the handler');
		});
		server.handle(hangMethod, async () => new Promise(() => {})); // eslint-disable-line @typescript-eslint/no-empty-function
		address = await server.listen('127.0.0.1:0');
		client = new GrpcRpcClient({kind: 'token', token: 'right'});
	});

	afterEach(async () => {
		client.close();
		await server.close();
	});

	it('gets the answer of the handler', async () => {
		expect(await client.call(doubleMethod, address, {value: 21}, {timeoutMilliseconds: 2000})).to.deep.equal({doubled: 42});
	});

	it('carries the code of the handler\'s error', async () => {
		const error = await failureOf(client.call(failMethod, address, {value: 1}, {timeoutMilliseconds: 2000}));
		expect(error.failure).to.equal('remote');
		expect(error.remoteCode).to.equal('test-error');
	});

	it('fails with a timeout if no answer comes', async () => {
		const error = await failureOf(client.call(hangMethod, address, {}, {timeoutMilliseconds: 50}));
		expect(error.failure).to.equal('timeout');
	});

	it('is refused with a wrong fleet token before its message is read', async () => {
		const stranger = new GrpcRpcClient({kind: 'token', token: 'wrong'});
		const error = await failureOf(stranger.call(doubleMethod, address, {value: 1}, {timeoutMilliseconds: 2000}));
		stranger.close();
		expect(error.failure).to.equal('unauthenticated');
		expect(decoded).to.equal(0);
	});

	it('fails as unavailable where nobody listens', async () => {
		await server.close();
		const error = await failureOf(client.call(doubleMethod, address, {value: 1}, {timeoutMilliseconds: 2000}));
		expect(error.failure).to.be.oneOf(['unavailable', 'timeout']);
	});
});
