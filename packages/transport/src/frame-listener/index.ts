/**
Listens for frame connections and closes them on shutdown.
*/

import {createServer, type Server} from 'node:net';
import {listenOn} from '../_lib/listen-on.js';
import {FrameConnection, type FrameConnectionHandlers, type FrameConnectionOptions} from '../frame-connection/index.js';

/** Creates the handlers of a new connection. Its argument returns the connection and may be called only after this function has returned. */
export type AcceptConnection = (connection: () => FrameConnection) => FrameConnectionHandlers;

/** Listens for frame connections, which carry many small messages. */
export class FrameListener {
	readonly #server: Server;
	readonly #connections = new Set<FrameConnection>();

	constructor(accept: AcceptConnection, options: FrameConnectionOptions) {
		this.#server = createServer({noDelay: true}, socket => {
			const handlers = accept(() => connection);
			const connection: FrameConnection = new FrameConnection(socket, {
				onMessage(message) {
					handlers.onMessage(message);
				},
				onDrain() {
					handlers.onDrain?.();
				},
				onClosed: error => {
					this.#connections.delete(connection);
					handlers.onClosed(error);
				},
			}, options);
			this.#connections.add(connection);
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
}
