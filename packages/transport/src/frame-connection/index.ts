/**
A connection that carries many small messages both ways.

Each message is a MessagePack value behind its length. All that is sent while one
event is handled leaves in one write. The connection proves that the other
side still answers: one that is silent for too long while an answer is due counts
as lost, since a broken path need not reset it.
*/

import {connect, type Socket} from 'node:net';
import {
	bytesInMebibyte, FireflygladeError,
	type Clock, type Timer,
} from '@fireflyglade/model';
import {Packr} from 'msgpackr';
import {parseAddress} from '../parse-address/index.js';

/** The other side broke the rules of the connection, or fell silent. */
export class FrameConnectionError extends FireflygladeError {
	get code(): 'frame-connection' {
		return 'frame-connection';
	}
}

/** What a connection tells its owner. */
export type FrameConnectionHandlers = {
	onMessage(message: readonly unknown[]): void;
	/** The connection has ended; called once. */
	onClosed(error: Error | undefined): void;
	/** What was sent has left, after `send` returned false. */
	onDrain?(): void;
};

/** Options of a connection. */
export type FrameConnectionOptions = {
	readonly clock: Clock;
	readonly maximumMessageBytes?: number;
};

const lengthBytes = 4;
/** A body that is sent whole has at most a mebibyte; heads, trailers and pieces of answers have less. */
const defaultMaximumMessageBytes = 2 * bytesInMebibyte;
/** Milliseconds without a byte from the other side after which a sign of life is asked for. */
const quietMilliseconds = 300;
/** Milliseconds without a byte from the other side after which the connection counts as lost. */
const lostMilliseconds = 1200;
const connectMilliseconds = 700;
const probeKind = 0;
const replyKind = 1;

const packr = new Packr({useRecords: false, copyBuffers: true});

/** A connection that carries many small messages both ways. Kinds 0 and 1 of messages are its own. */
export class FrameConnection {
	/** Connects to `host:port`; messages may be sent at once. */
	static open(address: string, handlers: FrameConnectionHandlers, options: FrameConnectionOptions): FrameConnection {
		const {host, port} = parseAddress(address);
		const socket = connect({host, port, noDelay: true});
		const connection = new FrameConnection(socket, handlers, options);
		connection.#awaitConnect(options.clock);
		return connection;
	}

	readonly #socket: Socket;
	readonly #handlers: FrameConnectionHandlers;
	readonly #clock: Clock;
	readonly #maximumMessageBytes: number;
	#outgoing: Array<readonly unknown[]> = [];
	#flushes = 0;
	/** What has come of messages that are not whole yet. */
	#received: Uint8Array[] = [];
	#receivedBytes = 0;
	/** Bytes with which the next message, or its length, is whole. */
	#neededBytes = lengthBytes;
	#heardAt: number;
	#watch: Timer | undefined;
	#isConnected: boolean;
	#isClosed = false;
	#isFull = false;

	constructor(socket: Socket, handlers: FrameConnectionHandlers, {clock, maximumMessageBytes}: FrameConnectionOptions) {
		this.#socket = socket;
		this.#handlers = handlers;
		this.#clock = clock;
		this.#maximumMessageBytes = maximumMessageBytes ?? defaultMaximumMessageBytes;
		this.#heardAt = clock.now();
		this.#isConnected = !socket.connecting;
		socket.on('data', (bytes: Uint8Array) => {
			this.#take(bytes);
		});
		socket.on('drain', () => {
			this.#isFull = false;
			handlers.onDrain?.();
		});
		socket.on('error', error => {
			this.#end(error);
		});
		socket.on('close', () => {
			this.#end(undefined);
		});
	}

	/** True once the connection has been established; nothing was sent to anybody before. */
	get wasConnected(): boolean {
		return this.#isConnected;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Number of writes so far: a message that was sent at this count may still be added to. */
	get flushCount(): number {
		return this.#flushes;
	}

	/** Sends a message, which is read when the event that is handled now has ended; returns false if much is waiting to leave. */
	send(message: readonly unknown[]): boolean {
		if (this.#isClosed) {
			return true;
		}

		this.#outgoing.push(message);
		if (this.#outgoing.length === 1) {
			process.nextTick(flushConnection, this);
		}

		return !this.#isFull;
	}

	/** Writes what was sent. */
	flush(): void {
		if (this.#outgoing.length === 0 || this.#isClosed) {
			return;
		}

		const messages = this.#outgoing;
		this.#outgoing = [];
		this.#flushes++;
		if (!this.#socket.write(packFrames(messages))) {
			this.#isFull = true;
		}
	}

	/** Watches that the other side goes on answering, while `isAnswerDue` holds. */
	monitorLiveness(isAnswerDue: () => boolean): void {
		if (this.#watch === undefined && !this.#isClosed) {
			this.#heardAt = this.#clock.now();
			this.#watchOn(isAnswerDue);
		}
	}

	/** Ends the connection at once. */
	destroy(error?: Error): void {
		this.#socket.destroy();
		this.#end(error);
	}

	/** Ends the connection once all that was sent has left. */
	close(): void {
		this.flush();
		this.#socket.end();
	}

	#awaitConnect(clock: Clock): void {
		const timer = clock.startTimer(connectMilliseconds, () => {
			this.destroy(new FrameConnectionError('the connection was not established in time'));
		});
		this.#socket.once('connect', () => {
			timer.cancel();
			this.#isConnected = true;
			this.#heardAt = clock.now();
		});
		this.#socket.once('close', () => {
			timer.cancel();
		});
	}

	#watchOn(isAnswerDue: () => boolean): void {
		this.#watch = this.#clock.startTimer(quietMilliseconds, () => {
			this.#watch = undefined;
			if (this.#isClosed || !isAnswerDue()) {
				return;
			}

			const quiet = this.#clock.now() - this.#heardAt;
			if (this.#isConnected && quiet >= lostMilliseconds) {
				this.destroy(new FrameConnectionError('the other side has fallen silent'));
				return;
			}

			if (this.#isConnected && quiet >= quietMilliseconds) {
				this.send([probeKind]);
			}

			this.#watchOn(isAnswerDue);
		});
	}

	#take(bytes: Uint8Array): void {
		this.#heardAt = this.#clock.now();
		this.#received.push(bytes);
		this.#receivedBytes += bytes.length;
		if (this.#receivedBytes < this.#neededBytes) {
			return;
		}

		let rest: Uint8Array = this.#received.length === 1 ? bytes : Buffer.concat(this.#received);
		this.#neededBytes = lengthBytes;
		while (rest.length >= lengthBytes && !this.#isClosed) {
			const length = readLength(rest);
			if (length > this.#maximumMessageBytes) {
				this.destroy(new FrameConnectionError(`a message of ${length} bytes is too large`));
				return;
			}

			if (rest.length < lengthBytes + length) {
				this.#neededBytes = lengthBytes + length;
				break;
			}

			this.#takeMessage(rest.subarray(lengthBytes, lengthBytes + length));
			rest = rest.subarray(lengthBytes + length);
		}

		this.#received = rest.length === 0 ? [] : [rest];
		this.#receivedBytes = rest.length;
	}

	#takeMessage(bytes: Uint8Array): void {
		const message = decodeFrame(bytes);
		if (message === undefined) {
			this.destroy(new FrameConnectionError('a message can\'t be read'));
			return;
		}

		if (message[0] === probeKind) {
			this.send([replyKind]);
			return;
		}

		if (message[0] !== replyKind) {
			this.#handlers.onMessage(message);
		}
	}

	#end(error: Error | undefined): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#watch?.cancel();
		this.#outgoing = [];
		this.#handlers.onClosed(error);
	}
}

function readLength(bytes: Uint8Array): number {
	return (((((bytes[0]! * 256) + bytes[1]!) * 256) + bytes[2]!) * 256) + bytes[3]!;
}

function flushConnection(connection: FrameConnection): void {
	connection.flush();
}

/** Packs messages one behind the other, each behind its length. */
function packFrames(messages: ReadonlyArray<readonly unknown[]>): Uint8Array {
	const parts: Uint8Array[] = [];
	for (const message of messages) {
		const packed = packr.pack(message);
		const length = Buffer.allocUnsafe(lengthBytes);
		length.writeUInt32BE(packed.length);
		parts.push(length, packed);
	}

	return Buffer.concat(parts);
}

function decodeFrame(bytes: Uint8Array): readonly unknown[] | undefined {
	try {
		const value = packr.unpack(bytes) as unknown;
		return Array.isArray(value) ? value as readonly unknown[] : undefined;
	} catch {
		// The caller ends the connection and says why.
		return undefined;
	}
}
