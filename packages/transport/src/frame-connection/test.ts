import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {pack} from 'msgpackr';
import {ManualClock, SystemClock} from '@fireflyglade/model';
import {FrameListener} from '../frame-listener/index.js';
import {parseAddress} from '../parse-address/index.js';
import {FrameConnection} from './index.js';

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

const noop = (): void => undefined;

describe('FrameConnection', () => {
	const clock = new SystemClock();
	let listener: FrameListener;
	let address: string;

	before(async () => {
		listener = new FrameListener(connection => ({
			onMessage(message) {
				connection().send([...message, 'back']);
			},
			onClosed: noop,
		}), {clock, maximumMessageBytes: 2_000_000});
		address = await listener.listen('127.0.0.1:0');
	});

	after(() => {
		listener.close();
	});

	it('carries messages of any size in both directions and in order', async () => {
		const received: unknown[][] = [];
		const connection = FrameConnection.open(address, {
			onMessage(message) {
				received.push([...message]);
			},
			onClosed: noop,
		}, {clock});
		const large = new Uint8Array(1_000_000).fill(7);
		connection.send([5, 'first']);
		connection.send([6, large]);
		connection.send([7, {nested: ['x', null]}]);
		await waitUntil(() => received.length === 3);
		expect(received.map(([kind]) => kind)).to.deep.equal([5, 6, 7]);
		expect(Buffer.compare(received[1]![1] as Uint8Array, large)).to.equal(0);
		expect(received[2]).to.deep.equal([7, {nested: ['x', null]}, 'back']);
		connection.close();
	});

	it('ends with the error of a failed message handler, which is reported', async () => {
		const reported: Error[] = [];
		const ended = await new Promise<Error | undefined>(resolve => {
			const connection = FrameConnection.open(address, {
				onMessage() {
					throw new TypeError('the handler failed');
				},
				onClosed: resolve,
			}, {
				clock,
				onMessageError(error) {
					reported.push(error);
				},
			});
			connection.send([5, 'first']);
		});
		expect(ended).to.be.instanceOf(TypeError);
		expect(reported).to.deep.equal([ended]);
	});

	it('is closed by the peer when a message is too large', async () => {
		let isClosed = false;
		const connection = FrameConnection.open(address, {
			onMessage: noop,
			onClosed() {
				isClosed = true;
			},
		}, {clock});
		connection.send([5, new Uint8Array(3_000_000)]);
		await waitUntil(() => isClosed);
		expect(connection.wasConnected).to.equal(true);
	});

	it('rejects messages of more than two mebibytes by default', async () => {
		const defaultMaximumMessageBytes = 2_097_152;
		const closeReasons: string[] = [];
		const defaultListener = new FrameListener(() => ({
			onMessage: noop,
			onClosed(error) {
				closeReasons.push(error?.message ?? 'closed');
			},
		}), {clock});
		const {host, port} = parseAddress(await defaultListener.listen('127.0.0.1:0'));
		const client = connect(port, host);
		client.on('error', noop);
		const length = Buffer.alloc(4);
		length.writeUInt32BE(defaultMaximumMessageBytes + 1);
		client.write(length);
		await waitUntil(() => closeReasons.length === 1);
		expect(closeReasons).to.deep.equal(['a message of 2097153 bytes is too large']);
		client.destroy();
		defaultListener.close();
	});

	it('reads messages that arrive in pieces of any length', async () => {
		const received: Array<readonly unknown[]> = [];
		const recordingListener = new FrameListener(() => ({
			onMessage(message) {
				received.push(message);
			},
			onClosed: noop,
		}), {clock});
		const {host, port} = parseAddress(await recordingListener.listen('127.0.0.1:0'));
		const bytes = Buffer.concat([5, 300, 70_000].map(length => {
			const packed = pack([7, new Uint8Array(length)]);
			const head = Buffer.alloc(4);
			head.writeUInt32BE(packed.length);
			return Buffer.concat([head, packed]);
		}));
		for (const pieceBytes of [1, 3, 4, 5, 311, 65_536]) {
			const sender = connect({host, port, noDelay: true});
			// The first 400 bytes go in small pieces, which split the length prefix of the last message.
			for (let from = 0; from < bytes.length; from += from < 400 ? pieceBytes : 65_536) {
				const to = from + (from < 400 ? pieceBytes : 65_536);
				await new Promise<void>(resolve => {
					sender.write(bytes.subarray(from, to), () => {
						setImmediate(resolve);
					});
				});
			}

			await waitUntil(() => received.length === 3);
			expect(received.splice(0).map(([, content]) => (content as Uint8Array).length)).to.deep.equal([5, 300, 70_000]);
			sender.destroy();
		}

		recordingListener.close();
	});

	it('reports that it was never connected', async () => {
		const closedServer = createServer();
		await new Promise<void>(resolve => {
			closedServer.listen(0, '127.0.0.1', resolve);
		});
		const {port} = closedServer.address() as AddressInfo;
		await new Promise<void>(resolve => {
			closedServer.close(() => {
				resolve();
			});
		});
		let isClosed = false;
		const connection = FrameConnection.open(`127.0.0.1:${port}`, {
			onMessage: noop,
			onClosed() {
				isClosed = true;
			},
		}, {clock});
		await waitUntil(() => isClosed);
		expect(connection.wasConnected).to.equal(false);
	});

	describe('to a peer that stops responding', () => {
		const packed = pack([7]);
		const messageBytes = Uint8Array.from([0, 0, 0, packed.length, ...packed]);
		let silentServer: Server;
		const sockets: Socket[] = [];

		before(async () => {
			silentServer = createServer(socket => {
				sockets.push(socket);
			});
			await new Promise<void>(resolve => {
				silentServer.listen(0, '127.0.0.1', resolve);
			});
		});

		after(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			silentServer.close();
		});

		const connectToSilentServer = async (isResponseDue: () => boolean) => {
			const previousSockets = sockets.length;
			const manual = new ManualClock();
			const ended: Error[] = [];
			const changes: boolean[] = [];
			const messages: Array<readonly unknown[]> = [];
			const connection = FrameConnection.open(`127.0.0.1:${(silentServer.address() as AddressInfo).port}`, {
				onMessage(message) {
					messages.push(message);
				},
				onClosed(error) {
					ended.push(error!);
				},
				onResponsiveChange(isResponsive) {
					changes.push(isResponsive);
				},
			}, {clock: manual});
			connection.monitorLiveness(isResponseDue);
			await waitUntil(() => connection.wasConnected && sockets.length > previousSockets);
			return {
				manual, ended, changes, messages, connection, socket: sockets.at(-1)!,
			};
		};

		it('is closed as lost while a response is due', async () => {
			const {manual, ended} = await connectToSilentServer(() => true);
			manual.advance(1100);
			expect(ended).to.have.length(0);
			manual.advance(400);
			expect(ended.map(error => error.message)).to.deep.equal(['the peer has stopped responding']);
		});

		it('reports a silent peer before it is closed, and the first byte after that', async () => {
			const {manual, ended, changes, connection, socket} = await connectToSilentServer(() => true);
			manual.advance(549);
			expect(changes).to.deep.equal([]);
			manual.advance(1);
			expect(changes).to.deep.equal([false]);
			manual.advance(500);
			socket.write(Uint8Array.of(0));
			await waitUntil(() => changes.length === 2);
			manual.advance(699);
			expect([changes, ended]).to.deep.equal([[false, true], []]);
			manual.advance(1);
			expect(changes).to.deep.equal([false, true, false]);
			connection.destroy();
		});

		it('gets no probe while it sends something every 299 ms, as probes cost both nodes processor time', async () => {
			const {manual, messages, connection, socket} = await connectToSilentServer(() => true);
			for (let round = 1; round <= 10; round++) {
				manual.advance(299);
				socket.write(messageBytes);
				await waitUntil(() => messages.length === round);
			}

			connection.send([7]);
			await waitUntil(() => socket.bytesRead > 0);
			expect(socket.bytesRead).to.equal(messageBytes.length);
			connection.destroy();
		});

		it('is not reported as silent while a response takes seconds and each probe is answered after 200 ms, as by a blocked event loop', async () => {
			const {manual, ended, changes, messages, connection, socket} = await connectToSilentServer(() => true);
			for (let round = 1; round <= 10; round++) {
				const probed = once(socket, 'data');
				manual.advance(round === 1 ? 300 : 400);
				await probed;
				manual.advance(200);
				socket.write(messageBytes);
				await waitUntil(() => messages.length === round);
			}

			expect([changes, ended]).to.deep.equal([[true], []]);
			connection.destroy();
		});

		it('is not reported as silent if its reply was waiting unread when its time had passed, as this event loop was blocked', async () => {
			const {manual, changes, messages, connection, socket} = await connectToSilentServer(() => true);
			manual.advance(549);
			socket.write(messageBytes);
			await waitUntil(() => messages.length === 1);
			manual.advance(1);
			expect(changes).to.deep.equal([true]);
			connection.destroy();
		});

		it('stays open while no response is due', async () => {
			const {manual, ended, connection} = await connectToSilentServer(() => false);
			manual.advance(10_000);
			expect(ended).to.have.length(0);
			connection.destroy();
		});
	});
});
