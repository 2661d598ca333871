/**
A client that sends without end, or stops just short of the end, for tests and trials of
what a process bears.
*/

import {connect, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';

/** What a misbehaving client sends on each of its connections. */
export type Behaviour = {
	readonly opening: string;
	/** Sent again and again after the opening. */
	readonly piece: string | Uint8Array;
	readonly readsAnswers: boolean;
};

/** How long a client goes on. */
export type Extent = {
	/** Bytes after which the client stops; it leaves its last connection open. */
	readonly bytes: number;
	/** Time after which the client stops, however little the node has read. */
	readonly milliseconds: number;
	/** Connections that a client opens when earlier ones are closed; fifty if absent. */
	readonly connections?: number;
};

const defaultConnections = 50;
/** A connection whose peer reads nothing for this time is held open. */
const stallMilliseconds = 3000;
const statusLine = /^HTTP\/1\.1 (?<status>\d{3}) /;

/** A connection of a misbehaving client. */
export class MisbehavingConnection {
	readonly #socket: Socket;
	#beginning = '';

	/** Connects to the host and port of a URL. */
	constructor(url: string, readsAnswers: boolean) {
		const {hostname, port} = new URL(url);
		this.#socket = connect({host: hostname, port: Number(port), noDelay: true});
		// Resets are what a misbehaving client has to expect.
		this.#socket.on('error', () => undefined);
		if (readsAnswers) {
			this.#socket.on('data', (bytes: Uint8Array) => {
				this.#beginning ||= Buffer.from(bytes).toString('latin1');
			});
		}
	}

	get isWritable(): boolean {
		return this.#socket.writable;
	}

	/** Bytes that the operating system has taken. */
	get sentBytes(): number {
		return this.#socket.bytesWritten - this.#socket.writableLength;
	}

	/** Status of the first answer; undefined if none was read. */
	get status(): number | undefined {
		const status = statusLine.exec(this.#beginning)?.groups?.status;
		return status === undefined ? undefined : Number(status);
	}

	/** Writes and returns true, or waits until the peer has read what was written; returns false if it doesn't read for some time. */
	async write(data: string | Uint8Array): Promise<boolean> {
		if (this.#socket.write(data)) {
			await wait(0);
			return true;
		}

		return new Promise(resolve => {
			const finish = (isRead: boolean): void => {
				clearTimeout(timer);
				this.#socket.removeListener('drain', proceed);
				this.#socket.removeListener('close', proceed);
				resolve(isRead);
			};

			const proceed = (): void => {
				finish(true);
			};

			const timer = setTimeout(finish, stallMilliseconds, false);
			this.#socket.on('drain', proceed);
			this.#socket.on('close', proceed);
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#socket.destroy();
	}
}

/** Sends on one connection until its share is sent, the peer closes it, or the peer stops reading. Returns the bytes written. */
async function sendUntilStalled(connection: MisbehavingConnection, {opening, piece}: Behaviour, bytes: number, end: number): Promise<number> {
	let sent = 0;
	let next: string | Uint8Array = Buffer.concat([Buffer.from(opening), Buffer.from(piece)]);
	while (sent < bytes && connection.isWritable && performance.now() < end) {
		sent += next.length;
		if (!await connection.write(next)) {
			return bytes;
		}

		next = piece;
	}

	return sent;
}

/** A number of clients that behave alike. */
export type Crowd = Extent & {readonly clients: number};

/** Plays a crowd until each client has stopped. Returns all connections; the last ones are still open unless the peer has closed them. */
export async function misbehaveTogether(url: string, behaviour: Behaviour, crowd: Crowd): Promise<readonly MisbehavingConnection[]> {
	const held: MisbehavingConnection[] = [];
	await Promise.all(Array.from({length: crowd.clients}, async () => misbehave(url, behaviour, crowd, held)));
	return held;
}

/** Plays one misbehaving client, which reconnects at once when its connection is closed. Its connections are added to `held`. */
export async function misbehave(url: string, behaviour: Behaviour, extent: Extent, held: MisbehavingConnection[]): Promise<void> {
	const {bytes, milliseconds, connections = defaultConnections} = extent;
	const end = performance.now() + milliseconds;
	let left = bytes;
	for (let opened = 0; opened < connections && left > 0 && performance.now() < end; opened++) {
		const connection = new MisbehavingConnection(url, behaviour.readsAnswers);
		held.push(connection);
		left -= await sendUntilStalled(connection, behaviour, left, end);
	}
}
