/**
A connection that carries many small messages in both directions.

Each message is a MessagePack value with a length prefix. All messages that are
sent during one turn of the event loop leave in a single write. While a response is
due, a peer that sends nothing is probed, then reported as silent, and at last the
connection is closed, since a broken network path does not always reset a connection.
*/

import {connect, type Socket} from 'node:net';
import {
	bytesInMebibyte, FireflygladeError, UnreachableError,
	type Clock, type Timer,
} from '@fireflyglade/model';
import {
	decodeFrame, encodeFrames, lengthPrefixBytes, readLength,
} from '../_lib/frame-codec/index.js';
import type {MemoryShare} from '../memory-budget/index.js';
import {parseAddress} from '../parse-address/index.js';

/** The peer violated the protocol, didn't accept the connection in time or stopped responding. */
export class FrameConnectionError extends FireflygladeError {
	get code(): 'frame-connection' {
		return 'frame-connection';
	}
}

/** Callbacks of a connection. */
export type FrameConnectionHandlers = {
	onMessage(message: readonly unknown[]): void;
	/** Called once, when the connection has ended; the error is absent after a regular close. */
	onClosed(error: Error | undefined): void;
	/** Called with the first byte from the peer, when the peer then counts as silent while a response is due, and with the first byte after that. */
	onResponsiveChange?(isResponsive: boolean): void;
	/** Called when the write buffer is empty again, after `send` returned false. */
	onDrain?(): void;
};

/** Options of a connection. */
export type FrameConnectionOptions = {
	readonly clock: Clock;
	/** Maximum size of a received message; two mebibytes if absent. */
	readonly maximumMessageBytes?: number;
	/** Maximum size of a received message before `trustPeer` is called; as large as later ones if absent. */
	readonly maximumGreetingBytes?: number;
	/** Counts the received bytes of messages that are not complete yet. */
	readonly memory?: MemoryShare;
	/** Called when a message of the peer was malformed or its handler failed, after which the connection is closed; for logging. */
	readonly onMessageError?: (error: Error) => void;
};

/** A body that is sent in one message has at most a mebibyte; heads, trailers and parts of responses are smaller. */
const defaultMaximumMessageBytes = 2 * bytesInMebibyte;
/** Milliseconds without a byte from the peer after which a probe is sent, and between the checks for it: checks at the exact time would send more probes in normal operation. */
const probeAfterMilliseconds = 300;
/** Milliseconds for the reply to a probe; an event loop may be blocked for 200 ms. */
const probeReplyMilliseconds = 230;
/** Milliseconds between the two checks before a peer counts as silent or lost. */
const confirmationMilliseconds = 20;
/** Milliseconds without a byte from the peer after which the connection counts as lost. */
const silenceTimeoutMilliseconds = 1200;
const connectTimeoutMilliseconds = 700;
const probeKind = 0;
const probeReplyKind = 1;

/** Steps against a peer that sends nothing while a response is due. */
type SilenceStage =
	/** Bytes from the peer are expected without a probe. */
	| 'expected'
	/** A probe was sent and its reply may still arrive in time. */
	| 'probed'
	/** The reply is overdue; a second check confirms it. */
	| 'unanswered'
	/** The peer counts as silent until its next byte. */
	| 'silent'
	/** The time for the connection is over; a second check closes it. */
	| 'expired';

/** A connection that carries many small messages in both directions. Message kinds 0 and 1 are reserved for its probes. */
export class FrameConnection {
	/** Connects to `host:port`. Messages may be sent before the connection is established. */
	static open(address: string, handlers: FrameConnectionHandlers, options: FrameConnectionOptions): FrameConnection {
		const {host, port} = parseAddress(address);
		const socket = connect({host, port, noDelay: true});
		const connection = new FrameConnection(socket, handlers, options);
		connection.#startConnectTimeout(options.clock);
		return connection;
	}

	readonly #socket: Socket;
	readonly #handlers: FrameConnectionHandlers;
	readonly #clock: Clock;
	readonly #maximumMessageBytes: number;
	readonly #memory: MemoryShare | undefined;
	/** Maximum size of a message at present. */
	#messageLimit: number;
	readonly #onMessageError: ((error: Error) => void) | undefined;
	#unsentMessages: Array<readonly unknown[]> = [];
	#flushCount = 0;
	/** Received bytes of messages that are not complete yet. */
	#receivedChunks: Uint8Array[] = [];
	#receivedBytes = 0;
	/** Number of received bytes at which the next message, or its length prefix, is complete. */
	#neededBytes = lengthPrefixBytes;
	#lastReceivedAt: number;
	#livenessTimer: Timer | undefined;
	#silenceStage: SilenceStage = 'expected';
	#probedAt = Number.NEGATIVE_INFINITY;
	/** False once the peer has counted as silent, until its next byte; undefined before its first byte. */
	#isResponsive: boolean | undefined;
	#isConnected: boolean;
	#isClosed = false;
	#isWriteBufferFull = false;

	constructor(socket: Socket, handlers: FrameConnectionHandlers, options: FrameConnectionOptions) {
		const {clock, maximumMessageBytes = defaultMaximumMessageBytes, maximumGreetingBytes = maximumMessageBytes, memory, onMessageError} = options;
		this.#socket = socket;
		this.#handlers = handlers;
		this.#clock = clock;
		this.#maximumMessageBytes = maximumMessageBytes;
		this.#messageLimit = maximumGreetingBytes;
		this.#memory = memory;
		this.#onMessageError = onMessageError;
		this.#lastReceivedAt = clock.now();
		this.#isConnected = !socket.connecting;
		socket.on('data', (bytes: Uint8Array) => {
			this.#receive(bytes);
		});
		socket.on('drain', () => {
			this.#isWriteBufferFull = false;
			handlers.onDrain?.();
		});
		socket.on('error', error => {
			this.#handleClosed(error);
		});
		socket.on('close', () => {
			this.#handleClosed(undefined);
		});
	}

	/** True once the connection has been established; before that, no byte has been sent. */
	get wasConnected(): boolean {
		return this.#isConnected;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Number of writes so far. While it hasn't changed since a call of `send`, the message has not been written yet and may still be extended. */
	get flushCount(): number {
		return this.#flushCount;
	}

	/** Accepts larger messages from now on, since the peer has authenticated itself. */
	trustPeer(): void {
		this.#messageLimit = this.#maximumMessageBytes;
	}

	/** Queues a message, which is encoded and written after the current event has been handled. Returns false if the write buffer is full. Discards the message if the connection is closed. */
	send(message: readonly unknown[]): boolean {
		if (this.#isClosed) {
			return true;
		}

		this.#unsentMessages.push(message);
		if (this.#unsentMessages.length === 1) {
			process.nextTick(flushConnection, this);
		}

		return !this.#isWriteBufferFull;
	}

	/** Writes all queued messages. */
	flush(): void {
		if (this.#unsentMessages.length === 0 || this.#isClosed) {
			return;
		}

		const messages = this.#unsentMessages;
		this.#unsentMessages = [];
		this.#flushCount++;
		if (!this.#socket.write(encodeFrames(messages))) {
			this.#isWriteBufferFull = true;
		}
	}

	/** Closes the connection if the peer sends nothing for too long. Stops monitoring once `isResponseDue` returns false. */
	monitorLiveness(isResponseDue: () => boolean): void {
		if (this.#livenessTimer === undefined && !this.#isClosed) {
			this.#lastReceivedAt = this.#clock.now();
			this.#silenceStage = 'expected';
			this.#scheduleLivenessCheck(isResponseDue, probeAfterMilliseconds);
		}
	}

	/** Closes the connection at once; queued messages are lost. */
	destroy(error?: Error): void {
		this.#socket.destroy();
		this.#handleClosed(error);
	}

	/** Closes the connection after all queued messages have been sent. */
	close(): void {
		this.flush();
		this.#socket.end();
	}

	#startConnectTimeout(clock: Clock): void {
		const timer = clock.startTimer(connectTimeoutMilliseconds, () => {
			this.destroy(new FrameConnectionError('the connection was not established in time'));
		});
		this.#socket.once('connect', () => {
			timer.cancel();
			this.#isConnected = true;
			this.#lastReceivedAt = clock.now();
		});
		this.#socket.once('close', () => {
			timer.cancel();
		});
	}

	#scheduleLivenessCheck(isResponseDue: () => boolean, delay: number): void {
		this.#livenessTimer = this.#clock.startTimer(delay, () => {
			this.#livenessTimer = undefined;
			if (this.#isClosed || (!isResponseDue() && this.#isResponsive !== false)) {
				return;
			}

			const nextDelay = this.#checkSilence();
			if (nextDelay !== undefined) {
				this.#scheduleLivenessCheck(isResponseDue, nextDelay);
			}
		});
	}

	/**
	Takes the next step against a peer that sends nothing, and returns the milliseconds until the one after it;
	undefined if the connection was closed. A verdict falls in the second of two checks, so that bytes
	which arrived while this event loop was blocked are read before it.
	*/
	#checkSilence(): number | undefined {
		const now = this.#clock.now();
		const silentMilliseconds = now - this.#lastReceivedAt;
		if (this.#silenceStage !== 'expected' && this.#lastReceivedAt >= this.#probedAt) {
			this.#silenceStage = 'expected';
			// Keeps the checks on the interval's grid.
			return probeAfterMilliseconds - ((now - this.#probedAt) % probeAfterMilliseconds);
		}

		switch (this.#silenceStage) {
			case 'expected': {
				return silentMilliseconds < probeAfterMilliseconds ? probeAfterMilliseconds : this.#probe(now);
			}

			case 'probed': {
				this.#silenceStage = 'unanswered';
				return confirmationMilliseconds;
			}

			case 'unanswered': {
				this.#silenceStage = 'silent';
				this.#setResponsive(false);
				return Math.max(0, silenceTimeoutMilliseconds - confirmationMilliseconds - silentMilliseconds);
			}

			case 'silent': {
				this.#silenceStage = 'expired';
				return confirmationMilliseconds;
			}

			case 'expired': {
				this.destroy(new FrameConnectionError('the peer has stopped responding'));
				return undefined;
			}

			default: {
				throw new UnreachableError(this.#silenceStage);
			}
		}
	}

	/** Sends a probe and returns the milliseconds that its reply may take. A connection that is not established after this time needs no probe; it counts as unanswered at once. */
	#probe(now: number): number {
		this.#probedAt = now;
		if (!this.#isConnected) {
			this.#silenceStage = 'unanswered';
			return confirmationMilliseconds;
		}

		this.#silenceStage = 'probed';
		this.send([probeKind]);
		return probeReplyMilliseconds;
	}

	#setResponsive(isResponsive: boolean): void {
		if (this.#isResponsive !== isResponsive) {
			this.#isResponsive = isResponsive;
			this.#handlers.onResponsiveChange?.(isResponsive);
		}
	}

	#receive(bytes: Uint8Array): void {
		this.#lastReceivedAt = this.#clock.now();
		this.#setResponsive(true);
		this.#receivedChunks.push(bytes);
		this.#setReceivedBytes(this.#receivedBytes + bytes.length);
		if (this.#receivedBytes < this.#neededBytes) {
			return;
		}

		let remaining: Uint8Array = this.#receivedChunks.length === 1 ? bytes : Buffer.concat(this.#receivedChunks);
		this.#neededBytes = lengthPrefixBytes;
		while (remaining.length >= lengthPrefixBytes && !this.#isClosed) {
			const length = readLength(remaining);
			if (length > this.#messageLimit) {
				this.destroy(new FrameConnectionError(`a message of ${length} bytes is too large`));
				return;
			}

			if (remaining.length < lengthPrefixBytes + length) {
				this.#neededBytes = lengthPrefixBytes + length;
				break;
			}

			this.#handleMessage(remaining.subarray(lengthPrefixBytes, lengthPrefixBytes + length));
			remaining = remaining.subarray(lengthPrefixBytes + length);
		}

		this.#receivedChunks = remaining.length === 0 ? [] : [remaining];
		this.#setReceivedBytes(remaining.length);
	}

	#setReceivedBytes(bytes: number): void {
		this.#memory?.add(bytes - this.#receivedBytes);
		this.#receivedBytes = bytes;
	}

	#handleMessage(bytes: Uint8Array): void {
		const message = decodeFrame(bytes);
		if (message === undefined) {
			this.#rejectMessage(new FrameConnectionError('a message is not a valid MessagePack array'));
			return;
		}

		if (message[0] === probeKind) {
			this.send([probeReplyKind]);
			return;
		}

		if (message[0] !== probeReplyKind) {
			this.#passOn(message);
		}
	}

	/** Passes a message to its handler. An error of the handler ends this connection alone, as it would otherwise end the process. */
	#passOn(message: readonly unknown[]): void {
		try {
			this.#handlers.onMessage(message);
		} catch (error: unknown) {
			this.#rejectMessage(error instanceof Error ? error : new FrameConnectionError('the handler of a message failed', {cause: error}));
		}
	}

	#rejectMessage(error: Error): void {
		this.#onMessageError?.(error);
		this.destroy(error);
	}

	#handleClosed(error: Error | undefined): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#livenessTimer?.cancel();
		this.#unsentMessages = [];
		this.#receivedChunks = [];
		this.#memory?.close();
		this.#handlers.onClosed(error);
	}
}

function flushConnection(connection: FrameConnection): void {
	connection.flush();
}
