/**
Tests that no response with an invalid status reaches a caller, over each way to the
upstream. The upstream's bytes go over its connection as they are.
*/

import {expect} from 'chai';
import {
	createRoute, redSecret, sendRawRequest, TestFleet,
	type RecordingUpstream,
} from '../test-support/index.js';

const invalidStatuses = ['000', '20', '099', '600', '999', '1000', '101', '2e2', '-200', '+200', '0x200', ''];
const versions = ['HTTP/1.1', 'HTTP/1.0'];
const framings: Readonly<Record<string, string>> = {
	'with a length': 'content-length: 6\r\n\r\nwhole!',
	'in chunks': 'transfer-encoding: chunked\r\n\r\n6\r\nwhole!\r\n0\r\n\r\n',
	'until the close': 'connection: close\r\n\r\nwhole!',
};
/** Options of both nodes by the way between them; without an entry of its own, the upstream is beside the entry node. */
const ways: Readonly<Record<string, {readonly hasOwnGate: boolean; readonly options: {readonly channelAddress?: string}}>> = {
	'the own gate': {hasOwnGate: true, options: {}},
	'frames between nodes': {hasOwnGate: false, options: {channelAddress: '127.0.0.1:0'}},
	'HTTP between nodes': {hasOwnGate: false, options: {}},
};

describe('an invalid status', () => {
	for (const [way, {hasOwnGate, options}] of Object.entries(ways)) {
		describe(`over ${way}`, () => {
			let fleet: TestFleet;
			let callers: string;
			let upstream: RecordingUpstream;

			beforeEach(async () => {
				fleet = new TestFleet([createRoute('GET', '/orders', {idempotent: true, retryLimit: 1}), createRoute('POST', '/orders', {retryLimit: 1})]);
				const entry = await fleet.startNode('entry', options);
				callers = entry.addresses.callers;
				upstream = await fleet.startUpstream(hasOwnGate ? entry : await fleet.startNode('gate', options));
			});

			afterEach(async () => {
				await fleet.stop();
			});

			async function call(method: string, responseText: string, shouldClose: boolean): Promise<string> {
				upstream.handler = message => {
					const {socket} = message;
					socket.on('error', () => undefined);
					message.resume();
					message.on('end', () => {
						if (shouldClose) {
							socket.end(responseText);
						} else {
							socket.write(responseText);
						}
					});
				};

				const body = method === 'POST' ? 'content-length: 4\r\n\r\nwood' : '\r\n';
				return sendRawRequest(callers, `${method} /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\nfireflyglade-timeout-ms: 2000\r\nauthorization: Bearer ${redSecret}\r\n${body}`);
			}

			for (const method of ['GET', 'POST']) {
				for (const version of versions) {
					// Guards against: a status that the HTTP parser accepts is passed on, or taken for an interim response so that the caller waits until its deadline.
					it(`is answered with 502 (${method}, ${version})`, async () => {
						const valid = await call(method, `${version} 299 Odd\r\n${framings['with a length']}`, false);
						expect(valid).to.match(/^HTTP\/1\.1 299 /).and.to.contain('whole!');
						for (const status of invalidStatuses) {
							for (const [framing, rest] of Object.entries(framings)) {
								const text = await call(method, `${version} ${status} Odd\r\n${rest}`, framing === 'until the close');
								expect(text, `${status} ${framing}`).to.match(/^HTTP\/1\.1 502 /).and.not.to.contain('whole!');
							}
						}
					});
				}
			}
		});
	}
});
