/**
A layer between the socket and the HTTP client library (undici). It pauses reading,
tells a regular end of the connection from a reset, and limits the bytes and
lines received that belong to no response's body.

The library's own pause is not used: if a connection ends or breaks while the
library has paused it, an assertion inside the library fails in a socket event
handler, which ends the process.
*/

import type {Socket} from 'node:net';
import process from 'node:process';
import {TLSSocket} from 'node:tls';
import {
	Client, type buildConnector, type Dispatcher,
} from 'undici';
import {ConnectionByteLimit} from './connection-byte-limit/index.js';

/** A request that needs access to the connection that it is sent over. */
export type ConnectionConsumer = {
	/** Called when the request is dispatched to `connection`. */
	setConnection(connection: SendingConnection): void;
};

/** The current connection of a client to its origin; at most one exists at a time. */
export class SendingConnection {
	#socket: Socket | undefined;
	#byteLimit: ConnectionByteLimit | undefined;
	#isPaused = false;
	#isBroken = false;

	/** True if the connection broke, so that a response that lasts until the connection ends is incomplete. */
	get isBroken(): boolean {
		return this.#isBroken;
	}

	/** Wraps `connector` so that this object attaches to each new socket before the client library does. */
	wrapConnector(connector: buildConnector.connector): buildConnector.connector {
		return (options, callback) => {
			connector(options, (...result) => {
				const [error, socket] = result;
				if (error === null) {
					this.#attach(socket);
				}

				callback(...result);
			});
		};
	}

	/** Stops reading from the socket until `resumeReading`. Data that has already been read is still delivered. */
	pauseReading(): void {
		this.#isPaused = true;
	}

	/** Continues reading after `pauseReading`. */
	resumeReading(): void {
		if (!this.#isPaused) {
			return;
		}

		this.#isPaused = false;
		const socket = this.#socket!;
		// Deferred, since the library may be reading from the socket at present.
		process.nextTick(() => {
			if (!this.#isPaused && !socket.destroyed) {
				socket.emit('readable');
			}
		});
	}

	/** Records the head of a final response. */
	recordResponseStart(): void {
		this.#byteLimit?.recordResponseStart();
	}

	/** Records bytes of a body that were delivered. */
	recordBodyBytes(bytes: number): void {
		this.#byteLimit?.recordBodyBytes(bytes);
	}

	/** Records the end of a response and resumes reading for the next one. */
	recordResponseEnd(): void {
		this.resumeReading();
		this.#byteLimit?.recordResponseEnd();
	}

	#attach(socket: Socket): void {
		const byteLimit = new ConnectionByteLimit(socket);
		this.#socket = socket;
		this.#byteLimit = byteLimit;
		this.#isPaused = false;
		this.#isBroken = false;
		const read = socket.read.bind(socket);
		socket.read = () => this.#isPaused ? null : byteLimit.read(read);
		socket.on('readable', () => {
			byteLimit.enforce();
		});
		socket.on('error', () => {
			this.#isBroken = true;
		});
		socket.prependListener('end', () => {
			this.#isBroken ||= wasReset(socket);
		});
	}
}

const emptyBytes = Buffer.alloc(0);

/**
Tells whether a connection that appears to have ended was reset. A reset that
arrives together with the last bytes is reported as an end. The operating system
keeps the reset and returns it at the next use of the connection, so an empty write
reveals it. An end while the request is still being written counts as a reset.
TLS connections are not checked.
*/
function wasReset(socket: Socket): boolean {
	if (socket instanceof TLSSocket) {
		return false;
	}

	if (socket.writableLength > 0) {
		return true;
	}

	socket.write(emptyBytes);
	return socket.errored !== null;
}

/** Dispatch options with the request that receives the connection. */
export type SendOptions = Dispatcher.DispatchOptions & {readonly consumer: ConnectionConsumer};

/** A client that sends requests one after another and passes its connection to each of them. */
export class ConnectionClient extends Client {
	readonly #connection: SendingConnection;

	/** Creates a client that opens its connections with `connector`. */
	constructor(origin: URL, options: Client.Options, connector: buildConnector.connector) {
		const connection = new SendingConnection();
		super(origin, {...options, connect: connection.wrapConnector(connector)});
		this.#connection = connection;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		(options as SendOptions).consumer.setConnection(this.#connection);
		return super.dispatch(options, handler);
	}
}
