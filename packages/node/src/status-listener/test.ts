import {expect} from 'chai';
import {request} from 'undici';
import {createRoute, TestFleet, type RecordingUpstream} from '../test-support/index.js';
import type {RunningNode} from '../create-node/index.js';

type Service = {readonly service: string; readonly share: number; readonly targets: ReadonlyArray<Record<string, unknown>>};

type Answer = {readonly services: readonly Service[]; readonly problem: unknown; readonly code: string};

describe('createStatusListener, /explain', () => {
	let fleet: TestFleet;
	let node: RunningNode;
	let upstream: RecordingUpstream;

	async function explain(parameters: Readonly<Record<string, string>>): Promise<{status: number; type: unknown; body: Answer}> {
		const answer = await request(`http://${node.addresses.status}/explain?${new URLSearchParams(parameters).toString()}`);
		return {status: answer.statusCode, type: answer.headers['content-type'], body: await answer.body.json() as Answer};
	}

	before(async () => {
		fleet = new TestFleet([
			createRoute('GET', '/orders/:id', {timeoutMilliseconds: 900, latencyObjectiveMilliseconds: 250}),
			createRoute('GET', '/split', {shares: [{service: 'orders', weight: 3}, {service: 'other', weight: 1}] as never}),
			createRoute('GET', '/closed', {teams: []}),
		]);
		node = await fleet.startNode('a');
		upstream = await fleet.startUpstream(node);
	});

	after(async () => {
		await fleet.stop();
	});

	it('describes the route and its candidates, and sends nothing', async () => {
		const {status, body} = await explain({
			method: 'GET', path: '/orders/7?x=1', team: 'red', 'timeout-ms': '400',
		});
		expect(status).to.equal(200);
		expect(body).to.include({
			kind: 'route', node: 'a', team: 'red', deadlineMilliseconds: 400, objectiveMilliseconds: 250, admittedShare: 1,
		});
		const [service] = body.services;
		expect(service).to.include({service: 'orders', share: 1, isThrottled: false});
		const [target] = service!.targets;
		expect(target).to.include({node: 'a', isPreferred: true, successShare: 1}).and.not.to.have.any.keys('exclusion', 'target');
		expect(upstream.received).to.have.length(0);
	});

	it('states the shares of a split, also of a service without targets', async () => {
		const {body} = await explain({method: 'GET', path: '/split'});
		expect(body.services.map(({service, share, targets}) => [service, share, targets.length])).to.deep.equal([['orders', 0.75, 1], ['other', 0.25, 0]]);
	});

	it('states why a request would be refused before a target is chosen', async () => {
		for (const [parameters, code] of [
			[{method: 'GET', path: '/nothing'}, 'route-not-found'],
			[{method: 'POST', path: '/orders/7'}, 'method-not-allowed'],
			[{method: 'GET', path: '/closed', team: 'red'}, 'route-forbidden'],
		] as const) {
			const {status, body} = await explain(parameters);
			expect(status).to.equal(200);
			expect(body).to.deep.include({kind: 'refused'});
			expect(body.problem).to.include({code});
		}
	});

	it('refuses parameters that can not be used with a typed problem', async () => {
		const valid = {method: 'GET', path: '/orders/7'};
		const faults: ReadonlyArray<Readonly<Record<string, string>>> = [
			{method: ''}, {method: 'get it'}, {path: ''}, {path: 'orders'}, {path: '/a/../b'}, {path: `/${'a'.repeat(3000)}`}, {host: 'a b'}, {team: 'nobody'}, {'timeout-ms': '0'}, {timeout: '5'},
		];
		for (const fault of faults) {
			const {status, type, body} = await explain({...valid, ...fault});
			expect(status).to.equal(400);
			expect(type).to.equal('application/problem+json');
			expect(body.code).to.equal('bad-request');
		}
	});
});
