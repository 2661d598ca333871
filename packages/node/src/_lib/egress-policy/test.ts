import {expect} from 'chai';
import {request} from 'undici';
import {createServiceName} from '@fireflyglade/model';
import {
	blueTeam, createRoute, redSecret, TestFleet, waitUntil,
	type ReceivedRequest, type RecordingUpstream,
} from '../../test-support/index.js';
import type {RunningNode} from '../../create-node/index.js';

const authorization = `Bearer ${redSecret}`;

describe('EgressPolicy', () => {
	let fleet: TestFleet;
	let front: RunningNode;
	let frontUpstream: RecordingUpstream;
	let backUpstream: RecordingUpstream;

	beforeEach(async () => {
		const billing = createServiceName('billing');
		fleet = new TestFleet([
			createRoute('GET', '/front', {priority: 1, retryLimit: 2, timeoutMilliseconds: 1000}),
			createRoute('GET', '/back', {service: billing, priority: 7}),
			createRoute('GET', '/blue', {service: billing, teams: [blueTeam]}),
			createRoute('GET', '/open', {service: billing, open: true}),
		]);
		front = await fleet.startNode('front');
		const back = await fleet.startNode('back');
		frontUpstream = await fleet.startUpstream(front);
		backUpstream = await fleet.startUpstream(back, 'billing');
	});

	afterEach(async () => {
		await fleet.stop();
	});

	/** Makes the first upstream call `path` with the named fields that it received, and pass the response on. */
	function callFrom(path: string, names: readonly string[], extra: Record<string, string> = {}): void {
		frontUpstream.handler = async (message, response) => {
			const headers = {...Object.fromEntries(names.map(name => [name, String(message.headers[name])])), ...extra};
			const answer = await request(`http://${front.addresses.egress}${path}`, {headers});
			response.writeHead(answer.statusCode);
			response.end(await answer.body.text());
		};
	}

	async function callFront(): Promise<{readonly status: number; readonly body: Record<string, unknown>}> {
		const answer = await request(`http://${front.addresses.callers}/front`, {headers: {authorization}});
		return {status: answer.statusCode, body: await answer.body.json() as Record<string, unknown>};
	}

	for (const name of ['fireflyglade-context', 'traceparent']) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- the nodes are started before any test runs
		it(`matches a call to its request by ${name}`, async () => {
			callFrom('/back', [name]);
			const {status, body} = await callFront();
			expect(status).to.equal(200);
			expect((body as unknown as ReceivedRequest).headers['fireflyglade-team']).to.equal('red');
			const trace = (value: unknown): string => String(value).split('-')[1]!;
			expect(trace(backUpstream.received[0]!.headers.traceparent)).to.equal(trace(frontUpstream.received[0]!.headers.traceparent));
			expect(fleet.shared.settled).to.have.length(1);
		});
	}

	it('gives a call without a valid context no team, whatever its fields state', async () => {
		for (const extra of [{}, {'fireflyglade-team': 'red'}, {'fireflyglade-context': 'guessed'}, {authorization}, {traceparent: `00-${'a'.repeat(32)}-${'b'.repeat(16)}-01`}]) {
			callFrom('/back', [], extra as Record<string, string>);
			const {status, body} = await callFront();
			expect(status).to.equal(401);
			expect(body).to.include({code: 'key-missing', outcome: 'not-run'});
		}

		callFrom('/open', []);
		const {body} = await callFront();
		expect((body as unknown as ReceivedRequest).headers).not.to.have.any.keys('fireflyglade-team');
	});

	it('refuses routes of other teams to calls of a team', async () => {
		callFrom('/blue', ['fireflyglade-context']);
		const {body} = await callFront();
		expect(body).to.include({code: 'route-forbidden'});
	});

	it('does not match a call to a request that has ended', async () => {
		callFrom('/back', ['fireflyglade-context']);
		await callFront();
		const token = String(frontUpstream.received[0]!.headers['fireflyglade-context']);
		const late = await request(`http://${front.addresses.egress}/back`, {headers: {'fireflyglade-context': token}});
		expect(late.statusCode).to.equal(401);
	});

	it('limits the deadline of a call to that of its request', async () => {
		callFrom('/back', ['fireflyglade-context'], {'fireflyglade-timeout-ms': '60000'});
		await callFront();
		expect(Number(backUpstream.received[0]!.headers['fireflyglade-timeout-ms'])).to.be.at.most(1000);
	});

	it('cancels the calls of a request that is cancelled', async () => {
		callFrom('/back', ['fireflyglade-context']);
		frontUpstream.handler = async message => {
			try {
				await request(`http://${front.addresses.egress}/back`, {headers: {'fireflyglade-context': String(message.headers['fireflyglade-context'])}});
			} catch {
				// The node aborts the call.
			}
		};

		backUpstream.handler = message => {
			message.resume();
		};

		const controller = new AbortController();
		const sent = request(`http://${front.addresses.callers}/front`, {headers: {authorization}, signal: controller.signal});
		await waitUntil(() => backUpstream.received.length === 1);
		controller.abort();
		await Promise.allSettled([sent]);
		await waitUntil(() => backUpstream.received[0]!.isCancelled);
	});
});
