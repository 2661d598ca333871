import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {bytesInMebibyte} from '@fireflyglade/model';
import {expect} from 'chai';
import type {AnswerFlow} from '../http-types/index.js';
import {HttpSender} from './index.js';

type Ended = {readonly kind: 'whole' | 'broken'; readonly body: string};

/** Resets a connection without ending it first, as `resetAndDestroy` does while a socket can be written to. */
function resetAtOnce(socket: Socket): void {
	Object.assign(socket, {writable: false});
	socket.resetAndDestroy();
	socket.destroy();
}

/** Lets the event loop turn some times. */
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

	async function exchange(onData: (flow: AnswerFlow) => void = () => undefined): Promise<Ended> {
		return new Promise(resolve => {
			let body = '';
			let flow: AnswerFlow;
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

	for (const fields of ['', 'connection: close\r\ncontent-length: 10\r\n']) {
		it(`does not end the process when an answer that is held back is reset (${fields === '' ? 'without' : 'with'} a length)`, async () => {
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

	it('does not end the process when an answer that is held back at its last bytes ends', async () => {
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

	it('reads no more of an answer while it is held back, and passes on all of it afterwards', async () => {
		const length = 16 * bytesInMebibyte;
		await start(socket => {
			socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
			socket.write(Buffer.alloc(length, 'x'));
		});
		let heldFlow: AnswerFlow | undefined;
		let chunksWhileHeld = 0;
		let isHeld = false;
		const ended = await exchange(flow => {
			chunksWhileHeld += isHeld ? 1 : 0;
			if (heldFlow === undefined) {
				heldFlow = flow;
				isHeld = true;
				flow.pause();
				void afterTurns(100, () => {
					isHeld = false;
					flow.resume();
				});
			}
		});
		expect(chunksWhileHeld).to.be.at.most(1);
		expect(ended.kind).to.equal('whole');
		expect(ended.body).to.have.lengthOf(length);
	});

	it('serves the next request over a connection whose last answer ended while it was held back', async () => {
		await start(socket => {
			const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole';
			socket.write(answer);
			socket.on('data', () => {
				socket.write(answer);
			});
		});
		const hold = (flow: AnswerFlow): void => {
			flow.pause();
		};

		expect(await exchange(hold)).to.deep.equal({kind: 'whole', body: 'whole'});
		expect(await exchange(hold)).to.deep.equal({kind: 'whole', body: 'whole'});
	});

	it('takes an answer that is shorter than its length for a failure', async () => {
		await start(socket => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart');
		});
		const ended = await exchange();
		expect(ended.kind).to.equal('broken');
	});
});
