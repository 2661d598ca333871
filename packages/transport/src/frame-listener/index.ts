/**
Listens for connections that carry many small messages.
*/

import {createServer, type AddressInfo, type Server} from 'node:net';
import {FrameConnection, type FrameConnectionHandlers, type FrameConnectionOptions} from '../frame-connection/index.js';
import {parseAddress} from '../http-listener/index.js';

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
		const {host, port} = parseAddress(address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog: 1024}, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Takes no new connections and ends those that are open. */
	close(): void {
		this.#server.close();
		for (const connection of this.#connections) {
			connection.close();
		}
	}
}
