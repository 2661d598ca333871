/**
One connection of a sender, between the socket and the client library: it can be
held back, it tells an end from a reset, and it brings no bytes without end that
belong to no answer.

The library's own pause is not used. A connection that ends or breaks while the
library has paused it fails an assertion inside the library, in an event of the
socket, which ends the process.
*/

import type {Socket} from 'node:net';
import process from 'node:process';
import {TLSSocket} from 'node:tls';
import {
	Client, type buildConnector, type Dispatcher,
} from 'undici';
import {ConnectionByteLimit} from './connection-byte-limit/index.js';

/** What is sent over a connection. */
export type ConnectionUser = {
	/** The request goes out over `connection`. */
	useConnection(connection: SendingConnection): void;
};

/** One connection at a time to an origin. */
export class SendingConnection {
	#socket: Socket | undefined;
	#bytes: ConnectionByteLimit | undefined;
	#isHeld = false;
	#isBroken = false;

	/** True once the connection broke, so that nothing that ends with it is whole. */
	get isBroken(): boolean {
		return this.#isBroken;
	}

	/** Watches each connection that `connector` opens, before the client library does. */
	watch(connector: buildConnector.connector): buildConnector.connector {
		return (options, callback) => {
			connector(options, (...result) => {
				const [error, socket] = result;
				if (error === null) {
					this.#take(socket);
				}

				callback(...result);
			});
		};
	}

	/** Reads no more until `release`. What has been read by then still arrives. */
	hold(): void {
		this.#isHeld = true;
	}

	/** Reads on. */
	release(): void {
		if (!this.#isHeld) {
			return;
		}

		this.#isHeld = false;
		const socket = this.#socket!;
		// The library may be in the middle of reading.
		process.nextTick(() => {
			if (!this.#isHeld && !socket.destroyed) {
				socket.emit('readable');
			}
		});
	}

	/** Bytes of a body were handed over. */
	recordBody(bytes: number): void {
		this.#bytes?.recordBody(bytes);
	}

	/** An answer has ended; the connection is read on for the next one. */
	recordEnd(): void {
		this.release();
		this.#bytes?.recordEnd();
	}

	#take(socket: Socket): void {
		const bytes = new ConnectionByteLimit(socket);
		this.#socket = socket;
		this.#bytes = bytes;
		this.#isHeld = false;
		this.#isBroken = false;
		const read = socket.read.bind(socket);
		socket.read = size => this.#isHeld ? null : read(size) as unknown;
		socket.on('readable', () => {
			bytes.check();
		});
		socket.on('error', () => {
			this.#isBroken = true;
		});
		socket.prependListener('end', () => {
			this.#isBroken ||= wasReset(socket);
		});
	}
}

const nothing = Buffer.alloc(0);

/**
Tells whether a connection that seems to have ended was reset in truth: a reset that
comes together with the last bytes is read as an end. A write of no bytes asks the
operating system, which keeps the reset for the next use of the connection. While
the request itself is still being written, an end is none.
*/
function wasReset(socket: Socket): boolean {
	if (socket instanceof TLSSocket) {
		return false;
	}

	if (socket.writableLength > 0) {
		return true;
	}

	socket.write(nothing);
	return socket.errored !== null;
}

/** Options of a request, with the one that sends it. */
export type SendOptions = Dispatcher.DispatchOptions & {readonly user: ConnectionUser};

/** Sends requests one after the other over a connection that its users know. */
export class ConnectionClient extends Client {
	readonly #connection: SendingConnection;

	/** Makes a client that opens its connections by `connector`. */
	constructor(origin: URL, options: Client.Options, connector: buildConnector.connector) {
		const connection = new SendingConnection();
		super(origin, {...options, connect: connection.watch(connector)});
		this.#connection = connection;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		(options as SendOptions).user.useConnection(this.#connection);
		return super.dispatch(options, handler);
	}
}
