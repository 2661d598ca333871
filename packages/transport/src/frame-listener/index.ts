/**
Listens for frame connections and closes them on shutdown. Where peers have to
authenticate themselves, one that has not may send one small message and has a few
seconds for it.
*/

import {createServer, type Server, type Socket} from 'node:net';
import {bytesInKibibyte, type Timer} from '@fireflyglade/model';
import {listenOn} from '../_lib/listen-on.js';
import {FrameConnection, type FrameConnectionHandlers, type FrameConnectionOptions} from '../frame-connection/index.js';
import type {MemoryShare} from '../memory-budget/index.js';
import {createProcessResources, type ProcessResources} from '../process-resources/index.js';

/** What a listener knows of a connection. */
export type AcceptedPeer = {
	/** The memory that the connection holds. */
	readonly memory: MemoryShare;
	/** True if what all connections of the process hold is within its limit. */
	hasRoom(): boolean;
	/** Accepts larger messages and the connection for longer, since the peer has authenticated itself. */
	trust(): void;
};

/** Creates the handlers of a new connection. Its first argument returns the connection and may be called only after this function has returned. */
export type AcceptConnection = (connection: () => FrameConnection, peer: AcceptedPeer) => FrameConnectionHandlers;

/** Options of a listener. */
export type FrameListenerOptions = Omit<FrameConnectionOptions, 'memory' | 'maximumGreetingBytes'> & {
	/** True if each peer has to authenticate itself with its first message. */
	readonly mustAuthenticate?: boolean;
	/** What the listeners of the process share; the listener has resources of its own if absent. */
	readonly resources?: ProcessResources;
};

/** Maximum size of the message with which a peer authenticates itself, and the time that it has for it. */
const maximumGreetingBytes = 4 * bytesInKibibyte;
const greetingTimeoutMilliseconds = 5000;

/** Listens for frame connections, which carry many small messages. */
export class FrameListener {
	readonly #server: Server;
	readonly #accept: AcceptConnection;
	readonly #options: FrameListenerOptions;
	readonly #resources: ProcessResources;
	readonly #connections = new Set<FrameConnection>();
	/** Connections whose peers have to authenticate themselves, the oldest first. */
	readonly #unauthenticated = new Set<FrameConnection>();

	constructor(accept: AcceptConnection, options: FrameListenerOptions) {
		this.#accept = accept;
		this.#options = options;
		this.#resources = options.resources ?? createProcessResources();
		this.#server = createServer({noDelay: true}, socket => {
			this.#admit(socket);
		});
	}

	/** Listens on `host:port` and returns the bound `host:port`; port 0 selects a free port. */
	async listen(address: string): Promise<string> {
		return listenOn(this.#server, address);
	}

	/** Stops accepting connections and closes the open ones. */
	close(): void {
		this.#server.close();
		for (const connection of this.#connections) {
			connection.close();
		}
	}

	/** Refuses a connection if there are too many, unless one whose peer has not authenticated itself can be closed for it. */
	#admit(socket: Socket): void {
		const {connections} = this.#resources;
		const isFull = this.#connections.size >= connections.maximumPerListener || connections.isFull;
		const [oldest] = this.#unauthenticated;
		if (isFull && oldest === undefined) {
			socket.destroy();
			return;
		}

		if (isFull) {
			oldest!.destroy();
		}

		connections.open();
		socket.once('close', () => {
			connections.close();
		});
		this.#open(socket);
	}

	#open(socket: Socket): void {
		const memory = this.#resources.memory.open();
		const timer = this.#startGreetingTimer(() => {
			connection.destroy();
		});
		const handlers = this.#accept(() => connection, {
			memory,
			hasRoom: () => this.#resources.memory.hasRoom(0),
			trust: () => {
				this.#unauthenticated.delete(connection);
				timer?.cancel();
				connection.trustPeer();
			},
		});
		const connection: FrameConnection = new FrameConnection(socket, {
			onMessage(message) {
				handlers.onMessage(message);
			},
			onDrain() {
				handlers.onDrain?.();
			},
			onClosed: error => {
				timer?.cancel();
				this.#connections.delete(connection);
				this.#unauthenticated.delete(connection);
				handlers.onClosed(error);
			},
		}, {...this.#options, memory, ...(timer === undefined ? {} : {maximumGreetingBytes})});
		this.#connections.add(connection);
		if (timer !== undefined) {
			this.#unauthenticated.add(connection);
		}
	}

	/** Limits the time that a peer has to authenticate itself, if it must. */
	#startGreetingTimer(close: () => void): Timer | undefined {
		return this.#options.mustAuthenticate === true ? this.#options.clock.startTimer(greetingTimeoutMilliseconds, close) : undefined;
	}
}
