/**
Tests that a planned stop under load cuts off no request: callers go on sending, on
kept and on new connections, until nobody listens any more.
*/

import {expect} from 'chai';
import {Agent, request} from 'undici';
import type {RunningNode} from '../create-node/index.js';
import {
	createRoute, redSecret, TestFleet, waitUntil,
	type RecordingUpstream,
} from '../test-support/index.js';

const callersPerKind = 12;
const upstreamMilliseconds = 15;
const settings = {shutdownTimeoutMilliseconds: 3000, leaveNoticeMilliseconds: 300};
const nodeOptions = {channelAddress: '127.0.0.1:0'};
const refusedStatus = 503;

/** How one request ended for its caller. */
type CallEnd = {readonly path: string; readonly status: number | 'broken'; readonly text: string};

/** Calls without pause until a connection is refused, and returns how each call ended. */
async function callUntilRefused(address: string, name: string, isKept: boolean): Promise<CallEnd[]> {
	const agent = new Agent({connections: 1, pipelining: 1});
	const ends: CallEnd[] = [];
	for (let number = 0; ; number++) {
		const path = `/orders/${name}-${number}`;
		try {
			const answer = await request(`http://${address}${path}`, {
				method: 'POST', headers: {authorization: `Bearer ${redSecret}`}, body: 'wood', dispatcher: agent, reset: !isKept,
			});
			ends.push({path, status: answer.statusCode, text: await answer.body.text()});
		} catch (error: unknown) {
			if ((error as NodeJS.ErrnoException).code === 'ECONNREFUSED') {
				await agent.close();
				return ends;
			}

			ends.push({path, status: 'broken', text: String(error)});
		}
	}
}

async function startCallers(address: string): Promise<CallEnd[]> {
	const names = Array.from({length: callersPerKind}, (_, index) => index);
	const ends = await Promise.all(names.flatMap(index => [callUntilRefused(address, `kept${index}`, true), callUntilRefused(address, `new${index}`, false)]));
	return ends.flat();
}

describe('a planned stop under load', () => {
	let fleet: TestFleet;
	let upstreams: RecordingUpstream[];

	beforeEach(() => {
		fleet = new TestFleet([createRoute('POST', '/orders/:id', {retryLimit: 2})]);
		upstreams = [];
	});

	afterEach(async () => {
		await fleet.stop();
	});

	async function startGate(name: string): Promise<RunningNode> {
		const gate = await fleet.startNode(name, nodeOptions, settings);
		const upstream = await fleet.startUpstream(gate);
		upstream.handler = (message, response) => {
			message.resume();
			setTimeout(() => {
				response.end(message.url);
			}, upstreamMilliseconds);
		};

		upstreams.push(upstream);
		return gate;
	}

	/** Expects that each request that an upstream received was answered with its response, once. */
	function expectNothingCut(ends: readonly CallEnd[]): void {
		const received = upstreams.flatMap(upstream => upstream.received.map(({path}) => path));
		expect(new Set(received).size).to.equal(received.length);
		for (const {path, status, text} of ends) {
			const wasReceived = received.includes(path);
			expect(status, `${path}: ${text}`).to.be.oneOf(wasReceived ? [200] : [refusedStatus, 'broken']);
			expect(text === path, path).to.equal(wasReceived);
		}

		// A connection that the listener had not accepted when it closed is reset: at most one a caller, as the next one is refused.
		expect(ends.filter(({status}) => status === 'broken').length).to.be.at.most(2 * callersPerKind);
		expect(fleet.observer.finished.filter(({whole}) => !whole)).to.deep.equal([]);
	}

	it('of the entry node cuts off no request', async () => {
		await startGate('gate');
		const entry = await fleet.startNode('entry', nodeOptions, settings);
		const calling = startCallers(entry.addresses.callers);
		await waitUntil(() => upstreams[0]!.received.length > 100);
		await entry.stop();
		const ends = await calling;
		expectNothingCut(ends);
	});

	it('of a gate cuts off no request, and the others go to another one', async () => {
		const gate = await startGate('gate');
		await startGate('other');
		const entry = await fleet.startNode('entry', nodeOptions, settings);
		const calling = startCallers(entry.addresses.callers);
		await waitUntil(() => upstreams[0]!.received.length > 100);
		await gate.stop();
		await entry.stop();
		const ends = await calling;
		expectNothingCut(ends);
	});
});
