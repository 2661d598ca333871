import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {bytesInMebibyte} from '@fireflyglade/model';
import {expect} from 'chai';
import type {ResponseFlow} from '../http-types/index.js';
import {HttpSender} from './index.js';

type ExchangeResult = {readonly kind: 'whole' | 'broken'; readonly body: string};

/** Resets a connection without ending it first. `resetAndDestroy` ends a socket first while it is writable. */
function resetAtOnce(socket: Socket): void {
	Object.assign(socket, {writable: false});
	socket.resetAndDestroy();
	socket.destroy();
}

/** Calls `then` after `turns` turns of the event loop. */
async function afterTurns(turns: number, then: () => void): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	then();
}

describe('HttpSender', () => {
	let server: Server;
	let sender: HttpSender;

	async function start(answer: (socket: Socket) => void): Promise<void> {
		server = createServer(socket => {
			socket.on('error', () => {
				// Expected, since the tests break connections.
			});
			socket.once('data', () => {
				answer(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		sender = new HttpSender(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	}

	async function exchange(onData: (flow: ResponseFlow) => void = () => undefined): Promise<ExchangeResult> {
		return new Promise(resolve => {
			let body = '';
			let flow: ResponseFlow;
			sender.send({
				method: 'GET', path: '/', headers: [], body: undefined,
			}, {
				onHead(_head, answerFlow) {
					flow = answerFlow;
				},
				onData(chunk) {
					body += Buffer.from(chunk).toString();
					onData(flow);
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

	it('treats the close of the connection as the end of a response without a length', async () => {
		await start(socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		});
		expect(await exchange()).to.deep.equal({kind: 'whole', body: 'whole'});
	});

	it('reports a failure if the connection is reset in the middle of a response without a length', async () => {
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

	it('reports a failure if the last bytes of a response without a length arrive together with a reset', async () => {
		await start(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\npart');
			resetAtOnce(socket);
		});
		expect(await exchange()).to.deep.equal({kind: 'broken', body: 'part'});
	});

	for (const fields of ['', 'connection: close\r\ncontent-length: 10\r\n']) {
		it(`does not end the process when the connection of a paused response is reset (${fields === '' ? 'without' : 'with'} a length)`, async () => {
			let upstream: Socket;
			await start(socket => {
				upstream = socket;
				socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\npart`);
			});
			const ended = await exchange(flow => {
				flow.pause();
				resetAtOnce(upstream);
			});
			expect(ended).to.deep.equal({kind: 'broken', body: 'part'});
		});
	}

	it('does not end the process when a response ends that was paused at its last bytes', async () => {
		await start(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			socket.end(Buffer.alloc(bytesInMebibyte, 'x'));
		});
		const ended = await exchange(flow => {
			flow.pause();
			setImmediate(() => {
				flow.resume();
			});
		});
		expect(ended.kind).to.equal('whole');
		expect(ended.body).to.have.lengthOf(bytesInMebibyte);
	});

	it('stops reading a response while it is paused and delivers all of it afterwards', async () => {
		const length = 16 * bytesInMebibyte;
		await start(socket => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
			socket.write(Buffer.alloc(length, 'x'));
		});
		let pausedFlow: ResponseFlow | undefined;
		let chunksWhilePaused = 0;
		let isPaused = false;
		const ended = await exchange(flow => {
			chunksWhilePaused += isPaused ? 1 : 0;
			if (pausedFlow === undefined) {
				pausedFlow = flow;
				isPaused = true;
				flow.pause();
				void afterTurns(100, () => {
					isPaused = false;
					flow.resume();
				});
			}
		});
		expect(chunksWhilePaused).to.be.at.most(1);
		expect(ended.kind).to.equal('whole');
		expect(ended.body).to.have.lengthOf(length);
	});

	it('reuses a connection whose last response ended while it was paused', async () => {
		await start(socket => {
			const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole';
			socket.write(answer);
			socket.on('data', () => {
				socket.write(answer);
			});
		});
		const pause = (flow: ResponseFlow): void => {
			flow.pause();
		};

		expect(await exchange(pause)).to.deep.equal({kind: 'whole', body: 'whole'});
		expect(await exchange(pause)).to.deep.equal({kind: 'whole', body: 'whole'});
	});

	it('reports a failure if a response is shorter than its length', async () => {
		await start(socket => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart');
		});
		const ended = await exchange();
		expect(ended.kind).to.equal('broken');
	});
});
