/**
Listens for connections that carry many small messages.
*/

import {createServer, type Server} from 'node:net';
import {listenOn} from '../_lib/listen-on.js';
import {FrameConnection, type FrameConnectionHandlers, type FrameConnectionOptions} from '../frame-connection/index.js';

/** Gives the handlers of a new connection. */
export type AcceptConnection = (connection: () => FrameConnection) => FrameConnectionHandlers;

/** Listens for connections that carry many small messages. */
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

	/** Listens on `host:port`, port 0 for any, and returns `host:port`. */
	async listen(address: string): Promise<string> {
		return listenOn(this.#server, address);
	}

	/** Takes no new connections and ends those that are open. */
	close(): void {
		this.#server.close();
		for (const connection of this.#connections) {
			connection.close();
		}
	}
}
