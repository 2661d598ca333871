import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {HttpListener} from './index.js';

const limits = {maximumHeaderBytes: 8192, maximumConnections: 10};
const idleMilliseconds = 200;

async function open(address: string): Promise<Socket> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.setEncoding('latin1');
	await once(socket, 'connect');
	return socket;
}

async function exchange(socket: Socket): Promise<string> {
	socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	const [answer] = await once(socket, 'data') as [string];
	return answer;
}

/** Reads all that comes until the connection has closed. */
async function readToEnd(socket: Socket): Promise<string> {
	let received = '';
	socket.on('data', (text: string) => {
		received += text;
	});
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	return received;
}

describe('HttpListener', () => {
	async function startListener(): Promise<{listener: HttpListener; address: string}> {
		const listener = new HttpListener((_request, response) => {
			response.end('ok');
		}, limits);
		return {listener, address: await listener.listen('127.0.0.1:0')};
	}

	it('answers a request that comes on an open connection after the close began, and then ends the connection', async () => {
		const {listener, address} = await startListener();
		const socket = await open(address);
		await exchange(socket);
		const closed = listener.close(1000, idleMilliseconds);
		const answer = await exchange(socket);
		expect(answer).to.contain('200 OK').and.to.contain('Connection: close');
		await closed;
	});

	it('takes no new connection once the close began', async () => {
		const {listener, address} = await startListener();
		const idle = await open(address);
		await exchange(idle);
		const closed = listener.close(1000, idleMilliseconds);
		let failure: unknown;
		try {
			await open(address);
		} catch (error: unknown) {
			failure = error;
		}

		expect(failure).to.include({code: 'ECONNREFUSED'});
		await closed;
	});

	it('ends connections that stay without a request', async () => {
		const {listener, address} = await startListener();
		const idle = await open(address);
		await exchange(idle);
		const ended = once(idle, 'close');
		await listener.close(1000, idleMilliseconds);
		await ended;
	});

	describe('with a caller that sends without end', () => {
		const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

		/** Sends a body bit by bit until the connection ends, and returns what was answered. */
		async function sendOn(address: string): Promise<string> {
			const socket = await open(address);
			socket.on('error', () => undefined);
			const answered = readToEnd(socket);
			const writer = setInterval(() => {
				socket.write('1\r\nx\r\n');
			}, 5);
			socket.write(head);
			const answer = await answered;
			clearInterval(writer);
			return answer;
		}

		it('closes the connection some time after an early answer', async () => {
			const listener = new HttpListener((_request, response) => {
				response.end('early');
			}, {...limits, remainingBodyTimeoutMilliseconds: 50});
			expect(await sendOn(await listener.listen('127.0.0.1:0'))).to.contain('200 OK').and.to.contain('early');
			await listener.close(1000);
		});

		it('answers a body that can not be read at once, as its request waits for nothing else', async () => {
			const listener = new HttpListener(request => {
				request.resume();
			}, limits);
			const socket = await open(await listener.listen('127.0.0.1:0'));
			const answered = readToEnd(socket);
			socket.write(`${head}no length of a chunk\r\n`);
			expect(await answered).to.contain('400 Bad Request').and.to.contain('unknown');
			await listener.close(0);
		});

		it('answers 408 and closes the connection once the time for a request is over', async () => {
			const listener = new HttpListener(request => {
				request.resume();
			}, {...limits, requestTimeoutMilliseconds: 100});
			expect(await sendOn(await listener.listen('127.0.0.1:0'))).to.contain('408 Request Timeout').and.to.contain('not-run');
			await listener.close(1000);
		});
	});

	it('does not answer bytes that are no request before the requests that came before them', async () => {
		const waiting: ServerResponse[] = [];
		let onSecond: ((responses: ServerResponse[]) => void) | undefined;
		const listener = new HttpListener((_request, response) => {
			waiting.push(response);
			if (waiting.length === 2) {
				// By then the bytes behind the second request have been read as well.
				setImmediate(onSecond!, waiting);
			}
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		let received = '';
		socket.on('data', (text: string) => {
			received += text;
		});
		const refused = once(socket, 'close');
		const [first, second] = await new Promise<ServerResponse[]>(resolve => {
			onSecond = resolve;
			socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\nno request at all\r\n\r\n');
		});
		first!.end('the first');
		second!.end('the second');
		await refused;
		expect(received.indexOf('the first')).to.be.above(0);
		expect(received.indexOf('the second')).to.be.above(received.indexOf('the first'));
		expect(received.indexOf('HTTP/1.1 400')).to.be.above(received.indexOf('the second'));
		await listener.close(0);
	});

	it('does not write a refusal into an answer that has begun', async () => {
		const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
		const malformed = 'no length of a chunk\r\n';
		const listener = new HttpListener((request, response) => {
			request.resume();
			response.writeHead(200, {'content-length': '10'});
			response.write('begun');
			const endOnceRead = (): void => {
				if (request.socket.bytesRead < head.length + malformed.length) {
					setImmediate(endOnceRead);
					return;
				}

				response.end('ended');
			};

			endOnceRead();
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		const answered = readToEnd(socket);
		socket.write(head);
		await once(socket, 'data');
		socket.write(malformed);
		const text = await answered;
		expect(text).to.contain('begunended');
		expect(text).not.to.contain('400 Bad Request');
		await listener.close(0);
	});

	it('does not write a refusal into an answer that began while an earlier one was awaited', async () => {
		const head = 'POST /second HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
		let first: ServerResponse | undefined;
		const listener = new HttpListener((request, response) => {
			if (first === undefined) {
				first = response;
				return;
			}

			request.resume();
			const earlier = first;
			// By then the bytes behind the head have been read as well.
			setImmediate(() => {
				response.writeHead(200, {'content-length': '10'});
				response.write('begun');
				earlier.once('close', () => {
					setImmediate(() => {
						response.end('ended');
					});
				});
				earlier.end('the first');
			});
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		const answered = readToEnd(socket);
		socket.write(`GET /first HTTP/1.1\r\nHost: a\r\n\r\n${head}no length of a chunk\r\n`);
		const text = await answered;
		expect(text).to.contain('the first');
		expect(text).to.contain('begunended');
		expect(text).not.to.contain('400 Bad Request');
		await listener.close(0);
	});
});
