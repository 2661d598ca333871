/**
Tests that a response whose length is unknown is presented to the caller as complete
only if the upstream closed its connection normally. A reset together with the last
bytes must not look like a normal end.
*/

import type {Socket} from 'node:net';
import {expect} from 'chai';
import {
	createRoute, sendRawRequest, redSecret, TestFleet,
	type RecordingUpstream,
} from '../test-support/index.js';
import type {RunningNode} from '../create-node/index.js';

const fields = `Host: a\r\nConnection: close\r\nAuthorization: Bearer ${redSecret}\r\n`;
const requestWithLength = `POST /orders HTTP/1.1\r\n${fields}Content-Length: 4\r\n\r\nwood`;
const chunkedRequest = `POST /orders HTTP/1.1\r\n${fields}Transfer-Encoding: chunked\r\n\r\n4\r\nwood\r\n0\r\n\r\n`;
const headWithoutLength = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n';
const lastChunk = '0\r\n\r\n';

/** Resets a connection immediately. `resetAndDestroy` ends a writable socket before the reset; marking it as not writable prevents that. */
function resetAtOnce(socket: Socket): void {
	Object.assign(socket, {writable: false});
	socket.resetAndDestroy();
	socket.destroy();
}

describe('a response without a length, through entry and gate', () => {
	let fleet: TestFleet;
	let entry: RunningNode;
	let upstream: RecordingUpstream;

	before(async () => {
		fleet = new TestFleet([createRoute('POST', '/orders', {retryLimit: 1})]);
		entry = await fleet.startNode('entry');
		upstream = await fleet.startUpstream(await fleet.startNode('gate'));
	});

	after(async () => {
		await fleet.stop();
	});

	/** Makes the upstream call `answer` once it has read a request. */
	function answerBy(answer: (socket: Socket) => void): void {
		upstream.handler = message => {
			message.resume();
			message.on('end', () => {
				answer(message.socket);
			});
		};
	}

	async function expectWhole(request: string): Promise<void> {
		answerBy(socket => {
			socket.end(`${headWithoutLength}whole`);
		});
		const answer = await sendRawRequest(entry.addresses.callers, request);
		expect(answer).to.include('whole');
		expect(answer.endsWith(lastChunk), answer).to.equal(true);
	}

	async function expectBroken(request: string): Promise<void> {
		answerBy(socket => {
			socket.write(`${headWithoutLength}part`);
			resetAtOnce(socket);
		});
		const answer = await sendRawRequest(entry.addresses.callers, request);
		expect(answer.endsWith(lastChunk), answer).to.equal(false);
		expect(answer).not.to.include('content-length');
	}

	it('is complete if the upstream closed its connection normally, after a request with a content length', async () => {
		await expectWhole(requestWithLength);
	});

	it('is complete if the upstream closed its connection normally, after a chunked request', async () => {
		await expectWhole(chunkedRequest);
	});

	it('is not presented as complete if a reset came with its last bytes, after a request with a content length', async () => {
		await expectBroken(requestWithLength);
	});

	it('is not presented as complete if a reset came with its last bytes, after a chunked request', async () => {
		await expectBroken(chunkedRequest);
	});
});
