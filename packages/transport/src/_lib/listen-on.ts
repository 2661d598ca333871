/**
Binds a server to an address.
*/

import type {AddressInfo, Server} from 'node:net';
import {parseAddress} from '../parse-address/index.js';

/** Maximum number of pending connections that have not been accepted. */
const backlog = 1024;

/** Listens on `host:port` and returns the bound `host:port`; port 0 selects a free port. */
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
