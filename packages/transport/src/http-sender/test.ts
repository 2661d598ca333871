import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {HttpSender} from './index.js';

type Ended = {readonly kind: 'whole' | 'broken'; readonly body: string};

/** Resets a connection without ending it first, as `resetAndDestroy` does while a socket can be written to. */
function resetAtOnce(socket: Socket): void {
	Object.assign(socket, {writable: false});
	socket.resetAndDestroy();
	socket.destroy();
}

describe('HttpSender', () => {
	let server: Server;
	let sender: HttpSender;

	async function start(answer: (socket: Socket) => void): Promise<void> {
		server = createServer(socket => {
			socket.on('error', () => {
				// The test breaks connections.
			});
			socket.once('data', () => {
				answer(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		sender = new HttpSender(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	}

	async function exchange(): Promise<Ended> {
		return new Promise(resolve => {
			let body = '';
			sender.send({
				method: 'GET', path: '/', headers: [], body: undefined,
			}, {
				onHead() {
					// Only the end counts.
				},
				onData(chunk) {
					body += Buffer.from(chunk).toString();
				},
				onEnd() {
					resolve({kind: 'whole', body});
				},
				onFailure() {
					resolve({kind: 'broken', body});
				},
			});
		});
	}

	afterEach(async () => {
		await sender.destroy();
		server.close();
	});

	it('takes the close of the connection for the end of an answer without a length', async () => {
		await start(socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		});
		expect(await exchange()).to.deep.equal({kind: 'whole', body: 'whole'});
	});

	it('takes a reset in the middle of an answer without a length for a failure', async () => {
		await start(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			});
		});
		const ended = await exchange();
		expect(ended.kind).to.equal('broken');
	});

	it('does not pass on an answer without a length as whole whose last bytes came together with the reset', async () => {
		await start(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\npart');
			resetAtOnce(socket);
		});
		expect(await exchange()).to.deep.equal({kind: 'broken', body: 'part'});
	});

	it('takes an answer that is shorter than its length for a failure', async () => {
		await start(socket => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart');
		});
		const ended = await exchange();
		expect(ended.kind).to.equal('broken');
	});
});
