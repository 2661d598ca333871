import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {request} from 'undici';
import {parseAddress} from '@fireflyglade/transport';
import {productCallInterface} from '../../call-interface/index.js';
import type {IncompleteResponse} from '../../dependencies.js';
import type {RunningNode} from '../../create-node/index.js';
import {
	createRoute, sendRawRequest, redSecret, TestFleet, waitUntil,
	type RecordingUpstream, type UpstreamHandler,
} from '../../test-support/index.js';

const callInterface = {...productCallInterface, notRunField: 'x-not-run'};
const pieceBytes = 65_536;
const piece = 'x'.repeat(pieceBytes);
const chunkPiece = `${pieceBytes.toString(16)}\r\n${piece}\r\n`;
const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
/** More than the buffers of all connections and processes between caller and upstream hold. */
const totalBufferBytes = 64 * 1024 * 1024;

/** A response without end: an upstream sends `start` once and then `piece` repeatedly. */
type EndlessResponse = {readonly start: string; readonly piece: string; readonly pauseMilliseconds?: number};

const endlessHead: EndlessResponse = {start: 'HTTP/1.1 200 ', piece};
const endlessBodies: Readonly<Record<string, EndlessResponse>> = {
	'a body in chunks': {start: chunkedHead, piece: chunkPiece},
	'a body without a length': {start: 'HTTP/1.1 200 OK\r\n\r\n', piece},
	'a chunked body in single bytes': {start: chunkedHead, piece: '1\r\nx\r\n', pauseMilliseconds: 20},
	'a body without a length in single bytes': {start: 'HTTP/1.1 200 OK\r\n\r\n', piece: 'x', pauseMilliseconds: 20},
};

/** Progress of an endless response. */
type Sending = {
	/** Bytes that were passed to the network. */
	bytes: number;
	isClosed: boolean;
};

/** Creates a handler that writes without end and reports its progress in `sending`. */
function createEndlessHandler({start, piece: endlessPiece, pauseMilliseconds}: EndlessResponse, sending: Sending): UpstreamHandler {
	return ({socket}) => {
		const writeNext = (): void => {
			if (socket.destroyed) {
				return;
			}

			sending.bytes = socket.bytesWritten - socket.writableLength;
			socket.write(endlessPiece, 'latin1', pauseMilliseconds === undefined ? writeNext : () => setTimeout(writeNext, pauseMilliseconds));
		};

		socket.on('error', () => undefined);
		socket.on('close', () => {
			sending.isClosed = true;
		});
		socket.write(start, 'latin1', writeNext);
	};
}

const requestHead = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${redSecret}\r\n\r\n`;

/** The fleet that a test runs against. */
type TestSetup = {
	readonly fleet: TestFleet;
	readonly entry: RunningNode;
	readonly gate: RunningNode;
	readonly upstream: RecordingUpstream;
};

type Connection = 'its own gate' | 'a shared connection' | 'HTTP between the nodes';
const connections: readonly Connection[] = ['its own gate', 'a shared connection', 'HTTP between the nodes'];

for (const connection of connections) {
	describe(`GateExchange over ${connection}, with an upstream that sends without end`, () => {
		const setups: TestSetup[] = [];
		const setup = (): TestSetup => setups[0]!;
		const lost: IncompleteResponse[] = [];

		beforeEach(async () => {
			lost.length = 0;
			const fleet = new TestFleet([
				createRoute('GET', '/short', {timeoutMilliseconds: 400, retryLimit: 0}),
				createRoute('GET', '/long', {timeoutMilliseconds: 15_000, retryLimit: 0}),
				createRoute('GET', '/tried-elsewhere', {timeoutMilliseconds: 15_000, retryLimit: 3}),
				createRoute('POST', '/order', {timeoutMilliseconds: 15_000, retryLimit: 3}),
			]);
			const change = {
				callInterface,
				...(connection === 'HTTP between the nodes' ? {} : {channelAddress: '127.0.0.1:0'}),
				onIncompleteResponse(answer: IncompleteResponse) {
					lost.push(answer);
				},
			};
			const gate = await fleet.startNode('gate', change);
			const entry = connection === 'its own gate' ? gate : await fleet.startNode('entry', change);
			setups[0] = {
				fleet, gate, entry, upstream: await fleet.startUpstream(gate),
			};
		});

		afterEach(async () => {
			await setup().fleet.stop();
		});

		const expectReleased = async (sending: Sending): Promise<void> => {
			await waitUntil(() => sending.isClosed && setup().gate.level()!.inFlight === 0 && setup().entry.inFlight() === 0);
		};

		for (const [name, endless] of Object.entries(endlessBodies)) {
			it(`aborts ${name} at the deadline, visibly to the caller, and releases slot and connection`, async () => {
				const sending = {bytes: 0, isClosed: false};
				setup().upstream.handler = createEndlessHandler(endless, sending);
				const seen = await readUntilBroken(setup().entry.addresses.callers, requestHead('/short'));
				expect(seen.start).to.match(/^HTTP\/1\.1 200 /u);
				expect(seen.end).to.equal('reset');
				await expectReleased(sending);
			});
		}

		it('buffers a bounded part of an endless body for a caller that does not read, until the deadline', async () => {
			const sending = {bytes: 0, isClosed: false};
			setup().upstream.handler = createEndlessHandler(endlessBodies['a body in chunks']!, sending);
			const caller = openStalled(setup().entry.addresses.callers, requestHead('/short'));
			await expectReleased(sending);
			expect(sending.bytes).to.be.below(totalBufferBytes);
			caller.destroy();
		});

		it('aborts an endless body at the upstream when the caller disconnects', async () => {
			const sending = {bytes: 0, isClosed: false};
			setup().upstream.handler = createEndlessHandler(endlessBodies['a body in chunks']!, sending);
			const caller = openStalled(setup().entry.addresses.callers, requestHead('/long'));
			await waitUntil(() => sending.bytes > pieceBytes);
			caller.destroy();
			await expectReleased(sending);
		});

		it('answers that the outcome is unknown if the head of the response does not end, and reports the cause', async () => {
			const sending = {bytes: 0, isClosed: false};
			setup().upstream.handler = createEndlessHandler(endlessHead, sending);
			const answer = await request(`http://${setup().entry.addresses.callers}/order`, {method: 'POST', headers: {authorization: `Bearer ${redSecret}`}});
			await answer.body.dump();
			expect(answer.statusCode).to.equal(502);
			expect(answer.headers['fireflyglade-outcome']).to.equal('unknown');
			await expectReleased(sending);
			expect(lost.map(({cause}) => (cause as Error & {code: string}).code)).to.deep.equal(['endless-answer']);
			expect(setup().upstream.received).to.have.length(1);
		});

		it('closes the connection of a refusal whose body does not end', async () => {
			for (const endless of Object.values(endlessBodies)) {
				const sending = {bytes: 0, isClosed: false};
				setup().upstream.handler = createEndlessHandler({...endless, start: endless.start.replace('200 OK\r\n', '503 Full\r\nx-not-run: 1\r\n')}, sending);
				const text = await sendRawRequest(setup().entry.addresses.callers, requestHead('/long').replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
				expect(text).to.match(/^HTTP\/1\.1 503 /u);
				await expectReleased(sending);
			}
		});

		for (const [name, endless] of Object.entries({...endlessBodies, 'a head': endlessHead})) {
			it(`retries an idempotent call at another upstream when an error response has ${name} without end`, async () => {
				const other = await setup().fleet.startNode('other', {callInterface, channelAddress: '127.0.0.1:0'});
				const healthy = await setup().fleet.startUpstream(other);
				const sending = {bytes: 0, isClosed: false};
				const sends = createEndlessHandler({...endless, start: endless.start.replace('200 ', '500 ')}, sending);
				setup().upstream.handler = sends;
				for (let index = 0; setup().upstream.received.length === 0; index++) {
					const answer = await request(`http://${setup().entry.addresses.callers}/tried-elsewhere?index=${index}`, {headers: {authorization: `Bearer ${redSecret}`}});
					expect(answer.statusCode).to.equal(200);
					await answer.body.dump();
				}

				expect(healthy.received.map(({path}) => path)).to.include(setup().upstream.received[0]!.path);
				await expectReleased(sending);
			});
		}
	});
}

type ObservedEnd = {readonly start: string; readonly end: 'reset' | 'closed'};

/** Sends a request and reads until the connection ends. */
async function readUntilBroken(address: string, head: string): Promise<ObservedEnd> {
	const socket = openStalled(address, head);
	let start = '';
	let hasLastChunk = false;
	return new Promise(resolve => {
		socket.on('data', (bytes: Uint8Array) => {
			const text = Buffer.from(bytes).toString('latin1');
			start ||= text;
			hasLastChunk = text.endsWith('0\r\n\r\n');
		});
		socket.on('error', () => {
			resolve({start, end: 'reset'});
		});
		socket.on('close', () => {
			resolve({start, end: hasLastChunk || !start.includes('chunked') ? 'closed' : 'reset'});
		});
	});
}

/** Sends a request and reads nothing. */
function openStalled(address: string, head: string): Socket {
	const {host, port} = parseAddress(address);
	const socket = connect(port, host);
	socket.on('error', () => undefined);
	socket.write(head);
	return socket;
}
