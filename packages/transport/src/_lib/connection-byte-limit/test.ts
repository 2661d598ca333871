import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {HttpSender} from '../../http-sender/index.js';
import {EndlessAnswerError} from './index.js';

type ExchangeResult = {readonly status?: number; readonly body: string; readonly cause?: Error};

/** An upstream's response: `start` is sent once, then `piece` repeatedly. */
type EndlessResponse = {readonly start: string; readonly piece: string};

const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const longText = 'x'.repeat(65_536);
const pieceBytes = 65_536;

const endlessAnswersBeforeEnd: Readonly<Record<string, EndlessResponse>> = {
	'a reason phrase': {start: 'HTTP/1.1 200 ', piece: longText},
	'empty lines before the head': {start: '', piece: '\r\n'},
	'a field name': {start: 'HTTP/1.1 200 OK\r\n', piece: longText},
	'a field value': {start: 'HTTP/1.1 200 OK\r\na: ', piece: longText},
	'spaces before a field value': {start: 'HTTP/1.1 200 OK\r\na:', piece: ' '},
	fields: {start: 'HTTP/1.1 200 OK\r\n', piece: 'a: b\r\n'},
	'interim responses': {start: '', piece: 'HTTP/1.1 102 Processing\r\n\r\n'},
	'interim responses with fields': {start: '', piece: 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'},
	'a chunk extension': {start: `${chunkedHead}5;a=`, piece: longText},
	'chunks that consist mostly of extensions': {start: chunkedHead, piece: `1;${longText}\r\nx\r\n`},
	'a chunk length': {start: chunkedHead, piece: '0'},
	trailers: {start: `${chunkedHead}1\r\nx\r\n0\r\n`, piece: 'a: b\r\n'},
	'bytes that are not HTTP': {start: '', piece: longText},
};

const endlessAnswersAfterEnd: Readonly<Record<string, EndlessResponse>> = {
	bytes: {start: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', piece: longText},
	'empty lines': {start: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', piece: '\r\n'},
};

/** Writes endlessly, as fast as the peer reads. */
function writeEndlessly(socket: Socket, {start, piece}: EndlessResponse): void {
	const bytes = Buffer.from(piece.repeat(Math.ceil(pieceBytes / piece.length)));
	const writeNext = (): void => {
		if (!socket.destroyed) {
			socket.write(bytes, writeNext);
		}
	};

	socket.write(start, writeNext);
}

describe('ConnectionByteLimit', () => {
	let server: Server;
	let sender: HttpSender;
	const upstream = {
		connections: [] as Socket[],
		answer(_socket: Socket): void {
			// Each test assigns its own.
		},
	};

	beforeEach(async () => {
		upstream.connections = [];
		server = createServer(socket => {
			upstream.connections.push(socket);
			socket.on('error', () => {
				// Expected, since the sender closes connections in the middle of a response.
			});
			socket.on('data', () => {
				upstream.answer(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		sender = new HttpSender(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {connections: 1});
	});

	afterEach(async () => {
		await sender.destroy();
		for (const connection of upstream.connections) {
			connection.destroy();
		}

		server.close();
	});

	const exchange = async (): Promise<ExchangeResult> => new Promise(resolve => {
		let status: number | undefined;
		let body = '';
		sender.send({
			method: 'GET', path: '/', headers: [], body: undefined,
		}, {
			onHead(head) {
				status = head.status;
			},
			onData(chunk) {
				body += Buffer.from(chunk).toString();
			},
			onEnd() {
				resolve({...(status === undefined ? {} : {status}), body});
			},
			onFailure({cause}) {
				resolve({...(status === undefined ? {} : {status}), body, cause});
			},
		});
	});

	const expectNextServed = async (): Promise<void> => {
		upstream.answer = socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext');
		};

		expect(await exchange()).to.deep.equal({status: 200, body: 'next'});
	};

	for (const [name, endless] of Object.entries(endlessAnswersBeforeEnd)) {
		it(`closes a connection that endlessly sends ${name} and serves the next request`, async () => {
			upstream.answer = socket => {
				writeEndlessly(socket, endless);
			};

			const ended = await exchange();
			expect(ended.cause).to.be.instanceOf(Error);
			await waitForClose(upstream.connections[0]!);
			await expectNextServed();
		});
	}

	for (const [name, endless] of Object.entries(endlessAnswersAfterEnd)) {
		it(`closes a connection that endlessly sends ${name} after a complete response`, async () => {
			upstream.answer = socket => {
				writeEndlessly(socket, endless);
			};

			expect(await exchange()).to.deep.equal({status: 200, body: 'ok'});
			await waitForClose(upstream.connections[0]!);
			await expectNextServed();
		});
	}

	// Guards against: many short fields, which take many times their length in memory, exhaust the memory of a node.
	for (const [name, createResponse] of Object.entries({
		'header fields': (count: number) => `HTTP/1.1 200 OK\r\n${'a: b\r\n'.repeat(count)}content-length: 1\r\n\r\nx`,
		trailers: (count: number) => `${chunkedHead}1\r\nx\r\n0\r\n${'a: b\r\n'.repeat(count)}\r\n`,
		'interim responses': (count: number) => `${'HTTP/1.1 102 Processing\r\n\r\n'.repeat(count / 2)}HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx`,
	})) {
		it(`closes a connection with thousands of lines of ${name}, and accepts hundreds`, async () => {
			upstream.answer = socket => {
				socket.write(createResponse(900));
			};

			expect(await exchange()).to.deep.equal({status: 200, body: 'x'});
			upstream.answer = socket => {
				socket.write(createResponse(8000));
			};

			const {cause} = await exchange();
			expect(cause).to.be.instanceOf(EndlessAnswerError);
			await expectNextServed();
		});
	}

	it('reports EndlessAnswerError as the cause', async () => {
		upstream.answer = socket => {
			writeEndlessly(socket, {start: 'HTTP/1.1 200 ', piece: longText});
		};

		const ended = await exchange();
		expect(ended.cause).to.be.instanceOf(EndlessAnswerError);
	});

	it('accepts a large response in chunks of one byte', async () => {
		const count = 400_000;
		upstream.answer = socket => {
			socket.write(`${chunkedHead}${'1\r\nx\r\n'.repeat(count)}0\r\n\r\n`);
		};

		const {body, cause} = await exchange();
		expect(cause).to.equal(undefined);
		expect(body).to.have.length(count);
	});

	it('accepts many responses on one connection, each with a large head', async () => {
		const field = `a: ${'y'.repeat(60_000)}`;
		upstream.answer = socket => {
			socket.write(`HTTP/1.1 200 OK\r\n${field}\r\ncontent-length: 1\r\n\r\nz`);
		};

		for (let index = 0; index < 10; index++) {
			const {body} = await exchange();
			expect(body).to.equal('z');
		}

		expect(upstream.connections).to.have.length(1);
	});
});

async function waitForClose(socket: Socket): Promise<void> {
	await new Promise<void>(resolve => {
		if (socket.closed) {
			resolve();
			return;
		}

		socket.once('close', () => {
			resolve();
		});
	});
}
