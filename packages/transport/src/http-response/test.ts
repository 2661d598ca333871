import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {ResponseWriter} from './index.js';

const flow = {
	pause() {
		// The response is short.
	},
	resume() {
		// The response is short.
	},
};

describe('ResponseWriter', () => {
	let server: Server;

	afterEach(() => {
		server.closeAllConnections();
		server.close();
	});

	async function writeFields(fields: Record<string, string>): Promise<{readonly received: string; readonly errors: readonly Error[]}> {
		const errors: Error[] = [];
		server = createServer((_request, response) => {
			const writer = new ResponseWriter(response, error => {
				errors.push(error);
			});
			writer.writeHead({status: 200, headers: fields}, flow);
			setImmediate(() => {
				writer.writeChunk(Buffer.from('a'));
				writer.end({});
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		let received = '';
		socket.on('data', (data: Uint8Array) => {
			received += Buffer.from(data).toString();
		});
		socket.on('error', () => undefined);
		socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		await new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		});
		return {received, errors};
	}

	// Guards against: a response that can't be written ends the process, or the connection that its parts came over.
	for (const [name, fields] of [
		['a field with a line break', {'x-a': 'b\r\nc'}],
		['a field name that is not allowed', {'x a': 'b'}],
	] as const) {
		it(`closes the connection of a response with ${name}, and reports it once`, async () => {
			const {received, errors} = await writeFields(fields);
			expect(received).to.equal('');
			expect(errors).to.have.length(1);
		});
	}
});
