import {expect} from 'chai';
import {request} from 'undici';
import {
	createRoute, secretOfRed, TestFleet,
	type ReceivedRequest,
} from '../test-support/index.js';

const authorization = `Bearer ${secretOfRed}`;

describe('createNode', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet([
			createRoute('GET', '/orders/:id'),
			createRoute('POST', '/orders'),
			createRoute('GET', '/open', {open: true}),
		]);
	});

	afterEach(async () => {
		await fleet.stop();
	});

	it('passes a call through its own gate and strips the key', async () => {
		const node = await fleet.startNode('a');
		await fleet.startUpstream(node);
		const answer = await request(`http://${node.addresses.callers}/orders/1?x=2`, {headers: {authorization, 'fireflyglade-team': 'blue', 'x-copy': secretOfRed}});
		expect(answer.statusCode).to.equal(200);
		const received = await answer.body.json() as ReceivedRequest;
		expect(received.path).to.equal('/orders/1?x=2');
		expect(received.headers['fireflyglade-team']).to.equal('red');
		expect(JSON.stringify(received)).not.to.include(secretOfRed);
		expect(answer.headers).not.to.have.any.keys('fireflyglade-level', 'fireflyglade-retries-left');
	});

	it('passes a call with a body through the gate of another node', async () => {
		const entry = await fleet.startNode('a');
		const gate = await fleet.startNode('b');
		const upstream = await fleet.startUpstream(gate);
		const answer = await request(`http://${entry.addresses.callers}/orders`, {method: 'POST', headers: {authorization}, body: 'wood'});
		const received = await answer.body.json() as ReceivedRequest;
		expect(received.body).to.equal('wood');
		expect(received.headers['fireflyglade-team']).to.equal('red');
		expect(received.headers).not.to.have.any.keys('fireflyglade-fleet-token', 'fireflyglade-call');
		expect(upstream.received).to.have.length(1);
	});
});
