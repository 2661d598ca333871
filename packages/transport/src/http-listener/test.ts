import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {ConnectionBudget} from '../connection-budget/index.js';
import {MemoryBudget} from '../memory-budget/index.js';
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

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise<void>(resolve => {
			setTimeout(resolve, 2);
		});
	}
}

/** Returns everything that is received until the connection has closed. */
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

	it('answers a request that arrives on an open connection during the shutdown, and then closes the connection', async () => {
		const {listener, address} = await startListener();
		const socket = await open(address);
		await exchange(socket);
		const closed = listener.close(1000, idleMilliseconds);
		const answer = await exchange(socket);
		expect(answer).to.contain('200 OK').and.to.contain('Connection: close');
		await closed;
	});

	it('accepts no new connection during the shutdown', async () => {
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

	it('closes idle connections during the shutdown', async () => {
		const {listener, address} = await startListener();
		const idle = await open(address);
		await exchange(idle);
		const ended = once(idle, 'close');
		await listener.close(1000, idleMilliseconds);
		await ended;
	});

	const createRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

	// Guards against: a planned stop cuts requests that were sent behind others and handed on.
	it('answers all requests sent behind one another during the shutdown, and closes after the last', async () => {
		const waiting: ServerResponse[] = [];
		const listener = new HttpListener((_request, response) => {
			waiting.push(response);
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		const received = readToEnd(socket);
		listener.disableKeepAlive();
		socket.write(createRequest('/1') + createRequest('/2') + createRequest('/3'));
		await waitUntil(() => waiting.length === 3);
		for (const [index, response] of waiting.entries()) {
			response.end(`answer ${index + 1}`);
		}

		const text = await received;
		const answers = text.split('HTTP/1.1 200 OK').slice(1);
		expect(answers.map(answer => answer.includes('Connection: close'))).to.deep.equal([false, false, true]);
		expect(answers.map(answer => answer.slice(-8))).to.deep.equal(['answer 1', 'answer 2', 'answer 3']);
		await listener.close(0);
	});

	it('does not hand on a request that arrives after the close of its connection was announced', async () => {
		const paths: string[] = [];
		const listener = new HttpListener((request, response) => {
			paths.push(request.url!);
			response.writeHead(200, {'content-length': 2}).flushHeaders();
			socket.once('data', () => {
				socket.write(createRequest('/late'));
				setTimeout(() => {
					response.end('ok');
				}, 50);
			});
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		listener.disableKeepAlive();
		socket.write(createRequest('/first'));
		expect(await readToEnd(socket)).to.contain('Connection: close').and.to.match(/ok$/u);
		expect(paths).to.deep.equal(['/first']);
		await listener.close(0);
	});

	// Guards against: requests that wait behind others go on after their caller has left.
	it('closes the responses that wait behind others when the caller leaves', async () => {
		let closed = 0;
		const waiting: ServerResponse[] = [];
		const listener = new HttpListener((_request, response) => {
			waiting.push(response);
			response.once('close', () => {
				closed++;
			});
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		socket.write(createRequest('/1') + createRequest('/2'));
		await waitUntil(() => waiting.length === 2);
		socket.destroy();
		await waitUntil(() => closed === 2);
		await waitUntil(() => listener.running === 0);
		await listener.close(0);
	});

	describe('with a caller that sends endlessly', () => {
		const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

		/** Sends one chunk after another until the connection closes, and returns the response. */
		async function sendEndlessly(address: string): Promise<string> {
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

		it('closes the connection some time after a response that was sent before the request ended', async () => {
			const listener = new HttpListener((_request, response) => {
				response.end('early');
			}, {...limits, remainingBodyTimeoutMilliseconds: 50});
			expect(await sendEndlessly(await listener.listen('127.0.0.1:0'))).to.contain('200 OK').and.to.contain('early');
			await listener.close(1000);
		});

		it('answers a malformed body at once, since its request can not complete', async () => {
			const listener = new HttpListener(request => {
				request.resume();
			}, limits);
			const socket = await open(await listener.listen('127.0.0.1:0'));
			const answered = readToEnd(socket);
			socket.write(`${head}no length of a chunk\r\n`);
			expect(await answered).to.contain('400 Bad Request').and.to.contain('unknown');
			await listener.close(0);
		});

		it('answers 408 and closes the connection when a request times out', async () => {
			const listener = new HttpListener(request => {
				request.resume();
			}, {...limits, requestTimeoutMilliseconds: 100});
			expect(await sendEndlessly(await listener.listen('127.0.0.1:0'))).to.contain('408 Request Timeout').and.to.contain('not-run');
			await listener.close(1000);
		});
	});

	describe('with many requests on a connection', () => {
		const requests = 200;
		let running: ServerResponse[];
		let mostRunning: number;

		beforeEach(() => {
			running = [];
			mostRunning = 0;
		});

		function keep(_request: unknown, response: ServerResponse): void {
			running.push(response);
			mostRunning = Math.max(mostRunning, running.length);
		}

		const isRunning = (): boolean => running.length > 0;

		/** Answers running requests, one at a time, until `count` were answered. */
		async function answer(count: number): Promise<void> {
			for (let answered = 0; answered < count; answered++) {
				await waitUntil(isRunning);
				running.shift()!.end(`answer ${answered}.`);
			}
		}

		// Guards against: requests are started without a bound while earlier ones wait for their answers.
		it('runs a few of them at a time and answers all in order', async () => {
			const listener = new HttpListener(keep, {...limits, maximumPipelinedRequests: 3});
			const socket = await open(await listener.listen('127.0.0.1:0'));
			const received = readToEnd(socket);
			socket.write(Array.from({length: requests}, (_, index) => createRequest(`/${index}`)).join(''));
			await waitUntil(() => running.length === 3);
			socket.write(createRequest('/last'));
			await answer(requests + 1);
			await listener.close(0);
			const text = await received;
			const numbers = [...text.matchAll(/answer (\d+)\./g)].map(match => Number(match[1]));
			expect(numbers).to.deep.equal(Array.from({length: requests + 1}, (_, index) => index));
			expect(mostRunning).to.equal(3);
		});

		// Guards against: the bound stops a body in its middle, or a request after it.
		it('receives bodies of pipelined requests whole', async () => {
			const received: string[] = [];
			const listener = new HttpListener(async (request, response) => {
				let body = '';
				for await (const chunk of request) {
					body += String(chunk);
				}

				received.push(body);
				response.end('ok');
			}, {...limits, maximumPipelinedRequests: 2, maximumPipelinedBytes: 1000});
			const socket = await open(await listener.listen('127.0.0.1:0'));
			socket.resume();
			const bodies = Array.from({length: 20}, (_, index) => String(index % 10).repeat(index * 1500));
			socket.write(bodies.map((body, index) => index % 2 === 0
				? `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`
				: `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`).join(''));
			await waitUntil(() => received.length === bodies.length);
			expect(received).to.deep.equal(bodies);
			await listener.close(0);
		});

		// Guards against: a request runs although its caller counts it as not read, and sends it again.
		it('does not run a request that waits behind a response that closes the connection', async () => {
			const listener = new HttpListener(keep, {...limits, maximumPipelinedRequests: 1});
			const socket = await open(await listener.listen('127.0.0.1:0'));
			const closed = once(socket, 'close');
			socket.resume();
			socket.write(createRequest('/1') + createRequest('/2'));
			await waitUntil(() => running.length === 1);
			running[0]!.shouldKeepAlive = false;
			running[0]!.end();
			await closed;
			await waitUntil(() => listener.running === 0);
			expect(mostRunning).to.equal(1);
			await listener.close(0);
		});

		// Guards against: many connections together exhaust the memory.
		it('closes a connection with more than its share while all together have too many, and serves the others', async () => {
			const listener = new HttpListener(keep, {...limits, maximumPipelinedRequests: 2, maximumUnansweredRequests: 4});
			const address = await listener.listen('127.0.0.1:0');
			const modest = await open(address);
			const received = readToEnd(modest);
			modest.write(createRequest('/1') + createRequest('/2'));
			await waitUntil(() => running.length === 2);
			const greedy = await open(address);
			greedy.on('error', () => undefined);
			const closed = once(greedy, 'close');
			greedy.write(createRequest('/').repeat(requests));
			await closed;
			await waitUntil(() => listener.running === 2);
			await answer(2);
			await listener.close(0);
			expect(await received).to.contain('answer 0').and.to.contain('answer 1');
		});

		// Guards against: each new connection has a whole read parsed, so that callers that reconnect exhaust the memory.
		it('parses a few requests of each new connection while a quarter of the limit is unanswered', async () => {
			const mostOfPiece = Math.ceil(1024 / createRequest('/').length);
			const listener = new HttpListener(keep, {...limits, maximumPipelinedRequests: 2, maximumUnansweredRequests: 2000});
			const address = await listener.listen('127.0.0.1:0');
			const sockets = [await open(address)];
			sockets[0]!.write(createRequest('/').repeat(600));
			await waitUntil(() => listener.running >= 500);
			for (let connection = 0; connection < 5; connection++) {
				const before = listener.running;
				const socket = await open(address);
				sockets.push(socket);
				socket.write(createRequest('/').repeat(1000));
				await waitUntil(() => listener.running > before);
				expect(listener.running - before).to.be.at.most(mostOfPiece);
			}

			for (const socket of sockets) {
				socket.destroy();
			}

			await listener.close(0);
		});

		it('refuses a request with a body while the bodies of all requests have no room', async () => {
			const listener = new HttpListener(keep, {...limits, maximumUnansweredBodyBytes: 100});
			const address = await listener.listen('127.0.0.1:0');
			const first = await open(address);
			first.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n${'x'.repeat(60)}`);
			await waitUntil(() => running.length === 1);
			const second = await open(address);
			second.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n${'x'.repeat(60)}`);
			const answered = await readToEnd(second);
			expect(answered).to.contain('503 Service Unavailable').and.to.contain('not-run');
			expect(mostRunning).to.equal(1);
			first.destroy();
			await listener.close(0);
		});
	});

	// Guards against: a caller that was told "not run" on a refused connection finds its request run.
	it('runs no request of a connection beyond the limit', async () => {
		let runs = 0;
		const listener = new HttpListener((_request, response) => {
			runs++;
			response.end('ok');
		}, {...limits, maximumConnections: 1});
		const address = await listener.listen('127.0.0.1:0');
		const first = await open(address);
		const second = connect(Number(address.split(':')[1]), '127.0.0.1');
		second.setEncoding('latin1');
		second.on('error', () => undefined);
		const received = readToEnd(second);
		second.write(createRequest('/'));
		expect(await received).to.contain('too many connections');
		expect(runs).to.equal(0);
		first.destroy();
		await listener.close(0);
	});

	// Guards against: a request is sent to a target although its connection was closed for it.
	it('does not run a request whose connection is evicted for its head', async () => {
		let runs = 0;
		const resources = {memory: new MemoryBudget(1000), connections: new ConnectionBudget(100)};
		const listener = new HttpListener(() => {
			runs++;
		}, {...limits, resources});
		const socket = await open(await listener.listen('127.0.0.1:0'));
		socket.on('error', () => undefined);
		const closed = once(socket, 'close');
		socket.resume();
		socket.write(createRequest('/'));
		await closed;
		expect(runs).to.equal(0);
		expect(listener.running).to.equal(0);
		expect(resources.memory.heldBytes).to.equal(0);
		await listener.close(0);
	});

	it('answers earlier requests before it answers bytes that are not a request', async () => {
		const pendingResponses: ServerResponse[] = [];
		let onSecond: ((responses: ServerResponse[]) => void) | undefined;
		const listener = new HttpListener((_request, response) => {
			pendingResponses.push(response);
			if (pendingResponses.length === 2) {
				// At that time the bytes after the second request have been read as well.
				setImmediate(onSecond!, pendingResponses);
			}
		}, limits);
		const socket = await open(await listener.listen('127.0.0.1:0'));
		let received = '';
		socket.on('data', (text: string) => {
			received += text;
		});
		const closed = once(socket, 'close');
		const [first, second] = await new Promise<ServerResponse[]>(resolve => {
			onSecond = resolve;
			socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\nno request at all\r\n\r\n');
		});
		first!.end('the first');
		second!.end('the second');
		await closed;
		expect(received.indexOf('the first')).to.be.above(0);
		expect(received.indexOf('the second')).to.be.above(received.indexOf('the first'));
		expect(received.indexOf('HTTP/1.1 400')).to.be.above(received.indexOf('the second'));
		await listener.close(0);
	});

	it('does not write an error into a response that has started', async () => {
		const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
		const malformed = 'no length of a chunk\r\n';
		const listener = new HttpListener((request, response) => {
			request.resume();
			response.writeHead(200, {'content-length': '10'});
			response.write('begun');
			const endAfterRead = (): void => {
				if (request.socket.bytesRead < head.length + malformed.length) {
					setImmediate(endAfterRead);
					return;
				}

				response.end('ended');
			};

			endAfterRead();
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

	it('does not write an error into a response that started while an earlier one was awaited', async () => {
		const head = 'POST /second HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
		let first: ServerResponse | undefined;
		const listener = new HttpListener((request, response) => {
			if (first === undefined) {
				first = response;
				return;
			}

			request.resume();
			const earlier = first;
			// At that time the bytes after the head have been read as well.
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
