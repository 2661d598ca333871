import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {pack} from 'msgpackr';
import {ManualClock, SystemClock} from '@fireflyglade/model';
import {FrameListener} from '../frame-listener/index.js';
import {parseAddress} from '../parse-address/index.js';
import {FrameConnection} from './index.js';

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

const nothing = (): void => undefined;

describe('FrameConnection', () => {
	const clock = new SystemClock();
	let listener: FrameListener;
	let address: string;

	before(async () => {
		listener = new FrameListener(connection => ({
			onMessage(message) {
				connection().send([...message, 'back']);
			},
			onClosed: nothing,
		}), {clock, maximumMessageBytes: 2_000_000});
		address = await listener.listen('127.0.0.1:0');
	});

	after(() => {
		listener.close();
	});

	it('carries messages both ways in their order, also large ones', async () => {
		const received: unknown[][] = [];
		const connection = FrameConnection.open(address, {
			onMessage(message) {
				received.push([...message]);
			},
			onClosed: nothing,
		}, {clock});
		const large = new Uint8Array(1_000_000).fill(7);
		connection.send([5, 'first']);
		connection.send([6, large]);
		connection.send([7, {nested: ['x', null]}]);
		await until(() => received.length === 3);
		expect(received.map(([kind]) => kind)).to.deep.equal([5, 6, 7]);
		expect(Buffer.compare(received[1]![1] as Uint8Array, large)).to.equal(0);
		expect(received[2]).to.deep.equal([7, {nested: ['x', null]}, 'back']);
		connection.close();
	});

	it('is ended by the other side when a message is too large', async () => {
		let isClosed = false;
		const connection = FrameConnection.open(address, {
			onMessage: nothing,
			onClosed() {
				isClosed = true;
			},
		}, {clock});
		connection.send([5, new Uint8Array(3_000_000)]);
		await until(() => isClosed);
		expect(connection.wasConnected).to.equal(true);
	});

	it('takes no message of more than two mebibytes unless it is told to', async () => {
		const longest = 2_097_152;
		const ends: string[] = [];
		const plain = new FrameListener(() => ({
			onMessage: nothing,
			onClosed(error) {
				ends.push(error?.message ?? 'closed');
			},
		}), {clock});
		const {host, port} = parseAddress(await plain.listen('127.0.0.1:0'));
		const stranger = connect(port, host);
		stranger.on('error', nothing);
		const length = Buffer.alloc(4);
		length.writeUInt32BE(longest + 1);
		stranger.write(length);
		await until(() => ends.length === 1);
		expect(ends).to.deep.equal(['a message of 2097153 bytes is too large']);
		stranger.destroy();
		plain.close();
	});

	it('reads messages that come in pieces of any length', async () => {
		const received: Array<readonly unknown[]> = [];
		const listening = new FrameListener(() => ({
			onMessage(message) {
				received.push(message);
			},
			onClosed: nothing,
		}), {clock});
		const {host, port} = parseAddress(await listening.listen('127.0.0.1:0'));
		const bytes = Buffer.concat([5, 300, 70_000].map(length => {
			const packed = pack([7, new Uint8Array(length)]);
			const head = Buffer.alloc(4);
			head.writeUInt32BE(packed.length);
			return Buffer.concat([head, packed]);
		}));
		for (const pieceBytes of [1, 3, 4, 5, 311, 65_536]) {
			const sender = connect({host, port, noDelay: true});
			// Small pieces go one by one up to the beginning of the last message, whose length they cut.
			for (let from = 0; from < bytes.length; from += from < 400 ? pieceBytes : 65_536) {
				const to = from + (from < 400 ? pieceBytes : 65_536);
				await new Promise<void>(resolve => {
					sender.write(bytes.subarray(from, to), () => {
						setImmediate(resolve);
					});
				});
			}

			await until(() => received.length === 3);
			expect(received.splice(0).map(([, content]) => (content as Uint8Array).length)).to.deep.equal([5, 300, 70_000]);
			sender.destroy();
		}

		listening.close();
	});

	it('tells that it never was connected', async () => {
		const unused = createServer();
		await new Promise<void>(resolve => {
			unused.listen(0, '127.0.0.1', resolve);
		});
		const {port} = unused.address() as AddressInfo;
		await new Promise<void>(resolve => {
			unused.close(() => {
				resolve();
			});
		});
		let isClosed = false;
		const connection = FrameConnection.open(`127.0.0.1:${port}`, {
			onMessage: nothing,
			onClosed() {
				isClosed = true;
			},
		}, {clock});
		await until(() => isClosed);
		expect(connection.wasConnected).to.equal(false);
	});

	describe('to a side that falls silent', () => {
		let silent: Server;
		const sockets: Socket[] = [];

		before(async () => {
			silent = createServer(socket => {
				sockets.push(socket);
			});
			await new Promise<void>(resolve => {
				silent.listen(0, '127.0.0.1', resolve);
			});
		});

		after(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			silent.close();
		});

		const openSilent = async (isAnswerDue: () => boolean) => {
			const manual = new ManualClock();
			const ended: Error[] = [];
			const connection = FrameConnection.open(`127.0.0.1:${(silent.address() as AddressInfo).port}`, {
				onMessage: nothing,
				onClosed(error) {
					ended.push(error!);
				},
			}, {clock: manual});
			connection.monitorLiveness(isAnswerDue);
			await until(() => connection.wasConnected);
			return {manual, ended, connection};
		};

		it('counts as lost while an answer is due', async () => {
			const {manual, ended} = await openSilent(() => true);
			manual.advance(1100);
			expect(ended).to.have.length(0);
			manual.advance(400);
			expect(ended.map(error => error.message)).to.deep.equal(['the other side has fallen silent']);
		});

		it('is left alone while nothing is due', async () => {
			const {manual, ended, connection} = await openSilent(() => false);
			manual.advance(10_000);
			expect(ended).to.have.length(0);
			connection.destroy();
		});
	});
});
