/**
Binds a server to an address.
*/

import type {AddressInfo, Server} from 'node:net';
import {parseAddress} from '../parse-address/index.js';

/** Connections that may wait to be accepted. */
const backlog = 1024;

/** Listens on `host:port`, port 0 for any, and returns `host:port`. */
export async function listenOn(server: Server, address: string): Promise<string> {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog}, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const bound = server.address() as AddressInfo;
	return `${host}:${bound.port}`;
}
