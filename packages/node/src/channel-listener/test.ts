import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {createServiceName, SystemClock, type RequestId} from '@fireflyglade/model';
import {
	FrameConnection, parseAddress, type ResponseFlow, type FrameListener,
} from '@fireflyglade/transport';
import type {Gate} from '../gate/index.js';
import type {CallReceiver, GateCall} from '../_lib/call-types.js';
import {peerMessageKinds as kinds, encodeCall} from '../_lib/peer-messages/index.js';
import {fleetToken, waitUntil} from '../test-support/index.js';
import {createChannelListener} from './index.js';

class RecordingFlow implements ResponseFlow {
	isPaused = false;

	pause(): void {
		this.isPaused = true;
	}

	resume(): void {
		this.isPaused = false;
	}
}

/** A call that reached the gate, with the flow control of its answer. */
type RunCall = {
	readonly path: string;
	readonly receiver: CallReceiver;
	readonly flow: RecordingFlow;
};

const chunk = new Uint8Array(65_536);

describe('createChannelListener', () => {
	const clock = new SystemClock();
	let calls: RunCall[];
	let listener: FrameListener;
	let address: string;
	let socket: Socket;
	let entry: FrameConnection;

	beforeEach(async () => {
		calls = [];
		const gate: Pick<Gate, 'run'> = {
			run({path}: GateCall, receiver: CallReceiver) {
				const flow = new RecordingFlow();
				calls.push({path, receiver, flow});
				receiver.onHead({status: 200, headers: {}}, flow, {retriesLeft: 0});
				return {
					cancel() {
						// Nothing runs.
					},
				};
			},
		};
		listener = createChannelListener({gate: gate as Gate, token: fleetToken, clock});
		address = await listener.listen('127.0.0.1:0');
		const {host, port} = parseAddress(address);
		socket = connect(port, host);
		entry = new FrameConnection(socket, {
			onMessage() {
				// The test checks only the flow control.
			},
			onClosed() {
				// The connection is closed by afterEach.
			},
		}, {clock});
		entry.send([kinds.hello, fleetToken]);
		await call(1);
		await call(2);
	});

	afterEach(() => {
		entry.destroy();
		listener.close();
	});

	/** Sends a call and waits until it reaches the gate. Messages sent before it have been processed by then. */
	const call = async (number: number): Promise<void> => {
		entry.send([kinds.request, number, encodeCall({
			requestId: `r.${number}` as RequestId, rootId: 'r' as RequestId, service: createServiceName('orders'), team: undefined, priority: 1, timeoutMilliseconds: 60_000, workClass: 0, remainingAttempts: 1, depth: 0, idempotent: true, job: undefined,
		}), '', 'GET', `/${number}`, [], null]);
		await waitUntil(() => calls.length === number);
	};

	/** Stops reading at the entry node, and sends data for each call until the full connection pauses all answers. */
	const fill = async (): Promise<void> => {
		socket.pause();
		while (calls.some(({flow}) => !flow.isPaused)) {
			for (const {flow, receiver} of calls) {
				if (!flow.isPaused) {
					receiver.onData(chunk);
				}
			}

			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	};

	it('keeps an answer paused at the request of the entry node when the connection has drained', async () => {
		await fill();
		entry.send([kinds.pause, 1]);
		await call(3);
		socket.resume();
		await waitUntil(() => !calls[1]!.flow.isPaused);
		expect(calls[0]!.flow.isPaused).to.equal(true);
		entry.send([kinds.resume, 1]);
		await waitUntil(() => !calls[0]!.flow.isPaused);
	});

	it('keeps an answer paused by a full connection when the entry node resumes it', async () => {
		entry.send([kinds.pause, 1]);
		await waitUntil(() => calls[0]!.flow.isPaused);
		calls[0]!.flow.resume();
		await fill();
		entry.send([kinds.resume, 1]);
		await call(3);
		expect(calls[0]!.flow.isPaused).to.equal(true);
		socket.resume();
		await waitUntil(() => !calls[0]!.flow.isPaused);
	});

	// Guards against: an entry node receives far more of an answer than its caller takes before its pause reaches the gate.
	it('sends no more than the window of the entry node before that resumes the answer', async () => {
		entry.destroy();
		calls = [];
		const {host, port} = parseAddress(address);
		entry = new FrameConnection(connect(port, host), {
			onMessage() {
				// The test checks only the flow control.
			},
			onClosed() {
				// The connection is closed by afterEach.
			},
		}, {clock});
		entry.send([kinds.hello, fleetToken, 2 * chunk.byteLength]);
		await call(1);
		const [{flow, receiver}] = calls as [RunCall];
		receiver.onData(chunk);
		expect(flow.isPaused).to.equal(false);
		receiver.onData(chunk);
		expect(flow.isPaused).to.equal(true);
		entry.send([kinds.resume, 1]);
		await waitUntil(() => !flow.isPaused);
		receiver.onData(chunk);
		expect(flow.isPaused).to.equal(false);
	});
});
