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
/** More than what the buffers of the connections and of the processes between caller and upstream take. */
const buffersBytes = 64 * 1024 * 1024;

/** What an upstream sends once, and then again and again. */
type Endless = {readonly start: string; readonly piece: string; readonly pauseMilliseconds?: number};

const endlessHead: Endless = {start: 'HTTP/1.1 200 ', piece};
const endlessBodies: Readonly<Record<string, Endless>> = {
	'a body in chunks': {start: chunkedHead, piece: chunkPiece},
	'a body without a length': {start: 'HTTP/1.1 200 OK\r\n\r\n', piece},
	'a body in chunks, bit by bit': {start: chunkedHead, piece: '1\r\nx\r\n', pauseMilliseconds: 20},
	'a body without a length, bit by bit': {start: 'HTTP/1.1 200 OK\r\n\r\n', piece: 'x', pauseMilliseconds: 20},
};

type Sending = {
	/** Bytes that the other side took. */
	bytes: number;
	isClosed: boolean;
};

/** Makes a handler that writes without end, and tells what became of it. */
function sendsEndlessly({start, piece: endlessPiece, pauseMilliseconds}: Endless, sending: Sending): UpstreamHandler {
	return ({socket}) => {
		const writeOn = (): void => {
			if (socket.destroyed) {
				return;
			}

			sending.bytes = socket.bytesWritten - socket.writableLength;
			socket.write(endlessPiece, 'latin1', pauseMilliseconds === undefined ? writeOn : () => setTimeout(writeOn, pauseMilliseconds));
		};

		socket.on('error', () => undefined);
		socket.on('close', () => {
			sending.isClosed = true;
		});
		socket.write(start, 'latin1', writeOn);
	};
}

const requestHead = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${redSecret}\r\n\r\n`;

/** What a test runs against. */
type Rig = {
	readonly fleet: TestFleet;
	readonly entry: RunningNode;
	readonly gate: RunningNode;
	readonly upstream: RecordingUpstream;
};

type Way = 'its own gate' | 'a shared connection' | 'HTTP between the nodes';
const ways: readonly Way[] = ['its own gate', 'a shared connection', 'HTTP between the nodes'];

for (const way of ways) {
	describe(`GateExchange over ${way}, beside an upstream that sends without end`, () => {
		const rigs: Rig[] = [];
		const rig = (): Rig => rigs[0]!;
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
				...(way === 'HTTP between the nodes' ? {} : {channelAddress: '127.0.0.1:0'}),
				onIncompleteResponse(answer: IncompleteResponse) {
					lost.push(answer);
				},
			};
			const gate = await fleet.startNode('gate', change);
			const entry = way === 'its own gate' ? gate : await fleet.startNode('entry', change);
			rigs[0] = {
				fleet, gate, entry, upstream: await fleet.startUpstream(gate),
			};
		});

		afterEach(async () => {
			await rig().fleet.stop();
		});

		const expectFree = async (sending: Sending): Promise<void> => {
			await waitUntil(() => sending.isClosed && rig().gate.level()!.inFlight === 0 && rig().entry.inFlight() === 0);
		};

		for (const [name, endless] of Object.entries(endlessBodies)) {
			it(`breaks ${name} off at the deadline, visibly, and frees slot and connection`, async () => {
				const sending = {bytes: 0, isClosed: false};
				rig().upstream.handler = sendsEndlessly(endless, sending);
				const seen = await readUntilBroken(rig().entry.addresses.callers, requestHead('/short'));
				expect(seen.start).to.match(/^HTTP\/1\.1 200 /u);
				expect(seen.end).to.equal('reset');
				await expectFree(sending);
			});
		}

		it('holds a bounded part of an endless body for a caller that does not read, until the deadline', async () => {
			const sending = {bytes: 0, isClosed: false};
			rig().upstream.handler = sendsEndlessly(endlessBodies['a body in chunks']!, sending);
			const caller = openStalled(rig().entry.addresses.callers, requestHead('/short'));
			await expectFree(sending);
			expect(sending.bytes).to.be.below(buffersBytes);
			caller.destroy();
		});

		it('ends an endless body at the upstream when the caller leaves midway', async () => {
			const sending = {bytes: 0, isClosed: false};
			rig().upstream.handler = sendsEndlessly(endlessBodies['a body in chunks']!, sending);
			const caller = openStalled(rig().entry.addresses.callers, requestHead('/long'));
			await waitUntil(() => sending.bytes > pieceBytes);
			caller.destroy();
			await expectFree(sending);
		});

		it('says of an endless head that the outcome is unknown, in time, and names the cause', async () => {
			const sending = {bytes: 0, isClosed: false};
			rig().upstream.handler = sendsEndlessly(endlessHead, sending);
			const answer = await request(`http://${rig().entry.addresses.callers}/order`, {method: 'POST', headers: {authorization: `Bearer ${redSecret}`}});
			await answer.body.dump();
			expect(answer.statusCode).to.equal(502);
			expect(answer.headers['fireflyglade-outcome']).to.equal('unknown');
			await expectFree(sending);
			expect(lost.map(({cause}) => (cause as Error & {code: string}).code)).to.deep.equal(['endless-answer']);
			expect(rig().upstream.received).to.have.length(1);
		});

		it('frees the connection of a refusal whose body does not end', async () => {
			for (const endless of Object.values(endlessBodies)) {
				const sending = {bytes: 0, isClosed: false};
				rig().upstream.handler = sendsEndlessly({...endless, start: endless.start.replace('200 OK\r\n', '503 Full\r\nx-not-run: 1\r\n')}, sending);
				const text = await sendRawRequest(rig().entry.addresses.callers, requestHead('/long').replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
				expect(text).to.match(/^HTTP\/1\.1 503 /u);
				await expectFree(sending);
			}
		});

		for (const [name, endless] of Object.entries({...endlessBodies, 'a head': endlessHead})) {
			it(`sends an idempotent call elsewhere when a failure has ${name} without end`, async () => {
				const other = await rig().fleet.startNode('other', {callInterface, channelAddress: '127.0.0.1:0'});
				const sound = await rig().fleet.startUpstream(other);
				const sending = {bytes: 0, isClosed: false};
				const sends = sendsEndlessly({...endless, start: endless.start.replace('200 ', '500 ')}, sending);
				rig().upstream.handler = sends;
				for (let index = 0; rig().upstream.received.length === 0; index++) {
					const answer = await request(`http://${rig().entry.addresses.callers}/tried-elsewhere?index=${index}`, {headers: {authorization: `Bearer ${redSecret}`}});
					expect(answer.statusCode).to.equal(200);
					await answer.body.dump();
				}

				expect(sound.received.map(({path}) => path)).to.include(rig().upstream.received[0]!.path);
				await expectFree(sending);
			});
		}
	});
}

type SeenEnd = {readonly start: string; readonly end: 'reset' | 'closed'};

/** Sends a request and reads until the connection ends. */
async function readUntilBroken(address: string, head: string): Promise<SeenEnd> {
	const socket = openStalled(address, head);
	let start = '';
	let isLastChunkSeen = false;
	return new Promise(resolve => {
		socket.on('data', (bytes: Uint8Array) => {
			const text = Buffer.from(bytes).toString('latin1');
			start ||= text;
			isLastChunkSeen = text.endsWith('0\r\n\r\n');
		});
		socket.on('error', () => {
			resolve({start, end: 'reset'});
		});
		socket.on('close', () => {
			resolve({start, end: isLastChunkSeen || !start.includes('chunked') ? 'closed' : 'reset'});
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
