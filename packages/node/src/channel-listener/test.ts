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

/** A call that has come to the gate, with the flow of its answer. */
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
		const {host, port} = parseAddress(await listener.listen('127.0.0.1:0'));
		socket = connect(port, host);
		entry = new FrameConnection(socket, {
			onMessage() {
				// Only the flow counts.
			},
			onClosed() {
				// The test ends the connection.
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

	/** Makes a call; what was sent before it has come to the gate then. */
	const call = async (number: number): Promise<void> => {
		entry.send([kinds.request, number, encodeCall({
			requestId: `r.${number}` as RequestId, rootId: 'r' as RequestId, service: createServiceName('orders'), team: undefined, priority: 1, timeoutMilliseconds: 60_000, remainingAttempts: 1, depth: 0, idempotent: true, job: undefined,
		}), '', 'GET', `/${number}`, [], null]);
		await waitUntil(() => calls.length === number);
	};

	/** Sends from both calls until the connection holds them back, as the entry node does not read. */
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

	it('leaves an answer stopped whose caller is full when the connection has room again', async () => {
		await fill();
		entry.send([kinds.pause, 1]);
		await call(3);
		socket.resume();
		await waitUntil(() => !calls[1]!.flow.isPaused);
		expect(calls[0]!.flow.isPaused).to.equal(true);
		entry.send([kinds.resume, 1]);
		await waitUntil(() => !calls[0]!.flow.isPaused);
	});

	it('leaves an answer stopped while the connection is full when the caller has room again', async () => {
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
});
