/**
Tests that malformed messages on the connections between nodes, also those of a peer
that holds the fleet token, end their connection alone and are reported.
*/

import {
	connect, createServer, type AddressInfo,
} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {pack} from 'msgpackr';
import {request} from 'undici';
import {parseAddress} from '@fireflyglade/transport';
import {peerMessageKinds as kinds} from '../_lib/peer-messages/index.js';
import {
	createRoute, fleetToken, redSecret, TestFleet, waitUntil,
} from '../test-support/index.js';

const seed = 2304;
const runs = 60;

function frame(payload: Uint8Array): Uint8Array {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(payload.length);
	return Buffer.concat([length, payload]);
}

const hello = frame(pack([kinds.hello, fleetToken]));
const anyKind = fc.constantFrom(...Object.values(kinds));
const anyMessage = fc.tuple(anyKind, fc.array(fc.anything({withBigInt: false, withDate: false}), {maxLength: 8})).map(([kind, rest]) => pack([kind, ...rest]));
const anyBytes = fc.oneof(anyMessage, fc.uint8Array({maxLength: 64}));

/** Sends bytes to a listener and waits until they are written. */
async function sendBytes(address: string, bytes: Uint8Array): Promise<void> {
	const {host, port} = parseAddress(address);
	const socket = connect(port, host);
	socket.on('error', () => undefined);
	await new Promise<void>(resolve => {
		socket.end(bytes, resolve);
	});
}

describe('malformed messages between nodes', () => {
	let fleet: TestFleet;
	let errors: Error[];

	beforeEach(() => {
		errors = [];
		fleet = new TestFleet([createRoute('GET', '/orders', {timeoutMilliseconds: 200, retryLimit: 0})]);
	});

	afterEach(async () => {
		await fleet.stop();
	});

	const nodeOptions = {
		channelAddress: '127.0.0.1:0',
		onMessageError(error: Error): void {
			errors.push(error);
		},
	};

	async function callOrders(entryAddress: string): Promise<number> {
		const answer = await request(`http://${entryAddress}/orders`, {headers: {authorization: `Bearer ${redSecret}`}});
		await answer.body.dump();
		return answer.statusCode;
	}

	/** As `callOrders`, but 0 if the connection breaks. */
	async function callOrBreak(entryAddress: string): Promise<number> {
		try {
			return await callOrders(entryAddress);
		} catch {
			return 0;
		}
	}

	it('from an entry node leave the gate serving', async () => {
		const entry = await fleet.startNode('entry', nodeOptions);
		await fleet.startUpstream(await fleet.startNode('gate', nodeOptions));
		const channelAddress = fleet.shared.targets.get('gate')!.channelAddress!;
		await fc.assert(fc.asyncProperty(anyBytes, async bytes => {
			await sendBytes(channelAddress, Buffer.concat([hello, frame(bytes)]));
		}), {seed, numRuns: runs});
		await waitUntil(() => errors.length > 0);
		expect(await callOrders(entry.addresses.callers)).to.equal(200);
	});

	it('from a gate break the call that waits for it alone', async () => {
		let answer: Uint8Array = new Uint8Array();
		const falseGate = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.end(frame(answer));
			});
		});
		await new Promise<void>(resolve => {
			falseGate.listen(0, '127.0.0.1', resolve);
		});
		fleet.shared.channelAddresses.set('gate', `127.0.0.1:${(falseGate.address() as AddressInfo).port}`);
		const entry = await fleet.startNode('entry', nodeOptions);
		await fleet.startUpstream(await fleet.startNode('gate', nodeOptions));
		await fc.assert(fc.asyncProperty(anyKind, fc.array(fc.anything({withBigInt: false, withDate: false}), {maxLength: 6}), async (kind, rest) => {
			answer = pack([kind, 1, ...rest]);
			expect(await callOrBreak(entry.addresses.callers)).not.to.equal(200);
		}), {seed, numRuns: runs});
		falseGate.close();
		expect(errors.length).to.be.above(0);
	});
});
