import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {drawLoopbackHost} from './index.js';

async function listen(port: number, host: string): Promise<Server> {
	const server = createServer();
	server.listen(port, host);
	await once(server, 'listening');
	return server;
}

describe('drawLoopbackHost', () => {
	it('returns an address on which a port is free although it is taken on 127.0.0.1', async () => {
		const taken = await listen(0, '127.0.0.1');
		const {port} = taken.address() as AddressInfo;
		const own = await listen(port, drawLoopbackHost());
		expect((own.address() as AddressInfo).port).to.equal(port);
		own.close();
		taken.close();
	});

	it('returns different addresses, none of them in 127.0', () => {
		const hosts = new Set(Array.from({length: 100}, () => drawLoopbackHost()));
		expect(hosts.size).to.be.above(95);
		expect([...hosts].filter(host => host.startsWith('127.0.'))).to.deep.equal([]);
	});
});
