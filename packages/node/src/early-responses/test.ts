/**
Tests of upstreams that answer an upload before it has arrived completely. The caller
gets the answer of another upstream or an error, and other requests go on.
*/

import {once} from 'node:events';
import {request as nodeRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import {expect} from 'chai';
import type {RunningNode} from '../create-node/index.js';
import {
	createRoute, echoRequest, redSecret, TestFleet, waitUntil,
	type ReceivedRequest, type RecordingUpstream,
} from '../test-support/index.js';

const uploadBytes = 400_000;
const pieceBytes = 20_000;
/** More than is kept for another attempt. */
const bytesAfterRetryIsDecided = 200_000;

describe('an upstream that answers an upload with 500 before it has arrived', () => {
	let fleet: TestFleet;
	let entry: RunningNode;
	let upstreams: RecordingUpstream[];
	/** Number of retries that the entry node has decided on. */
	let retries: number;

	beforeEach(async () => {
		fleet = new TestFleet([createRoute('PUT', '/parts/:id', {idempotent: true, retryLimit: 1})]);
		retries = 0;
		entry = await fleet.startNode('entry', {
			retryBudgets: {
				of: () => ({
					recordAttempt: () => undefined,
					takeRetry() {
						retries++;
						return true;
					},
				}),
			},
		});
		upstreams = [await fleet.startUpstream(await fleet.startNode('one')), await fleet.startUpstream(await fleet.startNode('two'))];
	});

	afterEach(async () => {
		await fleet.stop();
	});

	/** Answers the first request early with 500, and echoes the others. */
	function answerFirstEarly(onEarlyAnswer: (response: ServerResponse) => void): void {
		let count = 0;
		const handler = (message: IncomingMessage, response: ServerResponse, received: ReceivedRequest): void => {
			count++;
			if (count > 1) {
				echoRequest(message, response, received);
				return;
			}

			message.resume();
			response.writeHead(500, {'content-length': 6}).flushHeaders();
			onEarlyAnswer(response);
		};

		for (const upstream of upstreams) {
			upstream.handler = handler;
		}
	}

	// Guards against: an early answer to an upload ends the process of the node.
	it('is tried at another one with the whole body', async () => {
		let early: ServerResponse | undefined;
		answerFirstEarly(response => {
			early = response;
		});
		const upload = nodeRequest(`http://${entry.addresses.callers}/parts/1`, {
			method: 'PUT', headers: {authorization: `Bearer ${redSecret}`, 'content-length': uploadBytes},
		});
		const answered = once(upload, 'response');
		let sent = 0;
		const send = async (bytes: number): Promise<void> => {
			for (const end = sent + bytes; sent < end; sent += pieceBytes) {
				await new Promise<void>(resolve => {
					upload.write('x'.repeat(pieceBytes), () => {
						resolve();
					});
				});
			}
		};

		await send(2 * pieceBytes);
		await waitUntil(() => retries === 1);
		await send(bytesAfterRetryIsDecided);
		early!.end('failed');
		await send(uploadBytes - sent);
		upload.end();
		const [answer] = await answered as [IncomingMessage];
		let text = '';
		for await (const chunk of answer) {
			text += String(chunk);
		}

		expect(answer.statusCode).to.equal(200);
		expect((JSON.parse(text) as ReceivedRequest).body).to.have.length(uploadBytes);
	});
});
