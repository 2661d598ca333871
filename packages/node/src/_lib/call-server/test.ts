import {expect} from 'chai';
import * as fc from 'fast-check';
import {request} from 'undici';
import type {KeyId} from '@fireflyglade/model';
import {
	blueTeam, createRoute, sendRawRequest, redSecret, TestFleet,
	type ReceivedRequest, type RecordingUpstream,
} from '../../test-support/index.js';
import type {RunningNode} from '../../create-node/index.js';

type ProblemBody = {readonly code: string; readonly outcome: string};
type CallOptions = {readonly method?: string; readonly headers?: Record<string, string>; readonly body?: string};
type CallResponse = {readonly status: number; readonly problem: ProblemBody; readonly headers: Record<string, unknown>};

const authorization = `Bearer ${redSecret}`;
const goodHead = `Host: a\r\nAuthorization: ${authorization}\r\nConnection: close\r\n`;

describe('CallServer', () => {
	let fleet: TestFleet;
	let node: RunningNode;
	let upstream: RecordingUpstream;

	before(async () => {
		fleet = new TestFleet([
			createRoute('GET', '/orders/:id'),
			createRoute('POST', '/orders'),
			createRoute('POST', '/hurried', {timeoutMilliseconds: 200}),
			createRoute('GET', '/blue', {teams: [blueTeam]}),
			createRoute('GET', '/fresh', {whenCutOff: 'refuse'}),
			createRoute('GET', '/open', {open: true}),
		]);
		node = await fleet.startNode('a');
		upstream = await fleet.startUpstream(node);
	});

	after(async () => {
		await fleet.stop();
	});

	async function statusOf(path: string): Promise<number> {
		const answer = await call(path);
		return answer.status;
	}

	async function codeOf(path: string): Promise<string> {
		const answer = await call(path);
		return answer.problem.code;
	}

	beforeEach(() => {
		upstream.received.length = 0;
	});

	async function call(path: string, options: CallOptions = {}): Promise<CallResponse> {
		const answer = await request(`http://${node.addresses.callers}${path}`, {method: 'GET', headers: {authorization}, ...options});
		const text = await answer.body.text();
		return {status: answer.statusCode, problem: JSON.parse(text === '' ? '{}' : text) as ProblemBody, headers: answer.headers};
	}

	for (const [name, path, options, status, code] of [
		['no key', '/orders/1', {headers: {}}, 401, 'key-missing'],
		['an unknown key', '/orders/1', {headers: {authorization: 'Bearer wrong-key-0123'}}, 401, 'key-unknown'],
		['another scheme than Bearer', '/orders/1', {headers: {authorization: `Basic ${redSecret}`}}, 401, 'key-unknown'],
		['the route of another team', '/blue', {}, 403, 'route-forbidden'],
		['a path without a route', '/nothing', {}, 404, 'route-not-found'],
		['a method without a route', '/orders/1', {method: 'DELETE'}, 405, 'method-not-allowed'],
		['a key in the query', `/orders/1?key=${redSecret}`, {}, 400, 'bad-request'],
		['an escaped key in the query', `/orders/1?key=%${redSecret.codePointAt(0)!.toString(16)}${redSecret.slice(1)}`, {}, 400, 'bad-request'],
		['an escaped letter in the path', '/%6frders/1', {}, 400, 'bad-request'],
		['a path that is too long', `/orders/${'x'.repeat(3000)}`, {}, 414, 'path-too-long'],
		['a timeout that is no number', '/orders/1', {headers: {authorization, 'fireflyglade-timeout-ms': '1.5'}}, 400, 'bad-request'],
		['a body that is too large', '/orders', {method: 'POST', body: 'x'.repeat(1_000_001)}, 413, 'body-too-large'],
	] as const) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- the node is started before any test runs
		it(`refuses ${name} with ${status} ${code}`, async () => {
			const answer = await call(path, options);
			expect(answer.status).to.equal(status);
			expect(answer.problem).to.include({code, outcome: 'not-run'});
			expect(answer.headers).to.include({'fireflyglade-outcome': 'not-run', 'content-type': 'application/problem+json'});
			expect(upstream.received).to.have.length(0);
		});
	}

	for (const [name, text, status] of [
		['a content length together with a transfer coding', `POST /orders HTTP/1.1\r\n${goodHead}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, 400],
		['two content lengths that differ', `POST /orders HTTP/1.1\r\n${goodHead}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`, 400],
		['a transfer coding besides chunked', `POST /orders HTTP/1.1\r\n${goodHead}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`, 400],
		['a chunked transfer coding that is not the last one', `POST /orders HTTP/1.1\r\n${goodHead}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n`, 400],
		['a content length with a sign', `POST /orders HTTP/1.1\r\n${goodHead}Content-Length: +4\r\n\r\nabcd`, 400],
		['a space between field name and colon', `POST /orders HTTP/1.1\r\n${goodHead}Content-Length : 4\r\n\r\nabcd`, 400],
		['an escaped dot segment', `GET /orders/%2e%2e/open HTTP/1.1\r\n${goodHead}\r\n`, 400],
		['a dot segment', `GET /orders/../open HTTP/1.1\r\n${goodHead}\r\n`, 400],
		['an incomplete escape', `GET /orders/%4 HTTP/1.1\r\n${goodHead}\r\n`, 400],
		['no host', 'GET /open HTTP/1.1\r\nConnection: close\r\n\r\n', 400],
		['two hosts', 'GET /open HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n', 400],
		['two keys', `GET /orders/1 HTTP/1.1\r\n${goodHead}Authorization: Bearer other\r\n\r\n`, 400],
		['a target with a host', 'GET http://a/open HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', 400],
		['header fields that are too large', `GET /open HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(20_000)}\r\nConnection: close\r\n\r\n`, 431],
		['an expectation other than 100-continue', `POST /orders HTTP/1.1\r\n${goodHead}Expect: 200-ok\r\nContent-Length: 0\r\n\r\n`, 417],
	] as const) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- the node is started before any test runs
		it(`refuses ${name} with ${status}`, async () => {
			const answer = await sendRawRequest(node.addresses.callers, text);
			expect(answer).to.match(new RegExp(String.raw`^HTTP/1\.1 ${status} `));
			expect(answer).to.include('fireflyglade-outcome: not-run');
			expect(upstream.received).to.have.length(0);
		});
	}

	it('keeps the connection after refusing a request without a body, and closes it if the body has not arrived', async () => {
		const refused = await call('/orders/1', {headers: {}});
		expect(refused.headers.connection).to.equal('keep-alive');
		const unread = await sendRawRequest(node.addresses.callers, 'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n');
		expect(unread.toLowerCase()).to.contain('connection: close');
	});

	it('never runs a request without a key, and keeps serving after arbitrary bytes', async () => {
		await fc.assert(fc.asyncProperty(fc.string({maxLength: 60}), fc.string({maxLength: 60}), async (line, field) => {
			await sendRawRequest(node.addresses.callers, `GET /orders/1${line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${field}\r\n\r\n`);
			expect(upstream.received).to.have.length(0);
		}), {seed: 1, numRuns: 60});
		const answer = await call('/orders/1');
		expect(answer.status).to.equal(200);
	});

	it('drops every forged field of the system, regardless of case', async () => {
		const name = fc.constantFrom('fireflyglade-team', 'FireflyGlade-Team', 'fireflyglade-context', 'FIREFLYGLADE-CALL', 'fireflyglade-fleet-token', 'fireflyglade-anything', 'Connection');
		await fc.assert(fc.asyncProperty(name, fc.constantFrom('blue', 'forged', 'fireflyglade-team', 'x-listed'), async (field, value) => {
			const answer = await call('/orders/1', {headers: {authorization, 'x-listed': 'yes', ...(field === 'Connection' ? {} : {[field]: value})}});
			const received = answer.problem as unknown as ReceivedRequest;
			expect(received.headers['fireflyglade-team']).to.equal('red');
			expect(JSON.stringify(received.headers)).not.to.include('forged');
			expect(JSON.stringify(received)).not.to.include(redSecret);
		}), {seed: 2, numRuns: 30});
	});

	it('drops the fields that the Connection field lists', async () => {
		const answer = await sendRawRequest(node.addresses.callers, `GET /orders/1 HTTP/1.1\r\n${goodHead.replace('Connection: close', 'Connection: close, x-listed, fireflyglade-team')}X-Listed: yes\r\nTE: trailers\r\nUpgrade: h2c\r\n\r\n`);
		expect(answer).to.match(/^HTTP\/1\.1 200 /);
		expect(upstream.received[0]!.headers).not.to.have.any.keys('x-listed', 'te', 'upgrade');
		expect(upstream.received[0]!.headers['fireflyglade-team']).to.equal('red');
	});

	it('refuses a withdrawn key on a connection that was opened before', async () => {
		expect(await statusOf('/orders/1')).to.equal(200);
		fleet.shared.withdrawn.add('key-red' as KeyId);
		expect(await codeOf('/orders/1')).to.equal('key-unknown');
		expect(await statusOf('/open')).to.equal(200);
		fleet.shared.withdrawn.clear();
	});

	it('refuses a team over its rate, with a retry delay', async () => {
		fleet.shared.chargeOutcome = {kind: 'refused', retryAfterMilliseconds: 1500};
		const answer = await call('/orders/1');
		fleet.shared.chargeOutcome = {kind: 'admitted'};
		expect(answer.status).to.equal(429);
		expect(answer.headers['retry-after']).to.equal('2');
	});

	it('serves or refuses routes with a key in a failure domain that is cut off, as the route specifies', async () => {
		fleet.shared.connectivity = {kind: 'cut-off', since: performance.now() - 6000};
		expect(await statusOf('/orders/1')).to.equal(200);
		expect(await codeOf('/fresh')).to.equal('cut-off');
		fleet.shared.connectivity = {kind: 'cut-off', since: performance.now()};
		expect(await statusOf('/fresh')).to.equal(200);
		fleet.shared.connectivity = {kind: 'connected'};
	});

	it('refunds the rate token once if capacity was lacking, and settles it otherwise', async () => {
		fleet.shared.refunded.length = 0;
		fleet.shared.settled.length = 0;
		upstream.received.length = 0;
		const target = fleet.shared.targets.get('a')!;
		fleet.shared.targets.clear();
		fleet.shared.notify();
		expect(await codeOf('/orders/1')).to.equal('no-upstream');
		expect(fleet.shared.refunded).to.have.length(1);
		fleet.shared.targets.set('a', target);
		fleet.shared.notify();
		expect(await statusOf('/orders/1')).to.equal(200);
		expect(fleet.shared.settled).to.have.length(1);
	});

	it('answers Expect: 100-continue only after the checks of the head', async () => {
		const refused = await sendRawRequest(node.addresses.callers, 'POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n');
		expect(refused).to.match(/^HTTP\/1\.1 401 /);
		const served = await sendRawRequest(node.addresses.callers, `POST /orders HTTP/1.1\r\n${goodHead}Expect: 100-continue\r\nContent-Length: 4\r\n\r\nwood`);
		expect(served).to.match(/^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 /);
		expect(upstream.received[0]!.body).to.equal('wood');
	});

	it('answers connections beyond the limit with 503', async () => {
		const small = await fleet.startNode('small', {}, {
			limits: {
				maximumHeaderBytes: 16_384, maximumBodyBytes: 1000, maximumPathBytes: 2048, maximumConnections: 0,
			},
		});
		const answer = await sendRawRequest(small.addresses.callers, 'GET /open HTTP/1.1\r\nHost: a\r\n\r\n');
		expect(answer).to.match(/^HTTP\/1\.1 503 /);
	});

	it('answers a request whose body does not arrive before the deadline with the status of its outcome, and runs nothing', async () => {
		// A body with a small length is read before the request is passed on; a chunked one is streamed, so that the upstream has seen its head.
		for (const [framing, status, outcome] of [['Content-Length: 100', 503, 'not-run'], ['Transfer-Encoding: chunked', 504, 'unknown']] as const) {
			const answer = await sendRawRequest(node.addresses.callers, `POST /hurried HTTP/1.1\r\nHost: a\r\nAuthorization: ${authorization}\r\nConnection: close\r\n${framing}\r\n\r\n`);
			expect(answer.startsWith(`HTTP/1.1 ${status} `), answer).to.equal(true);
			expect(answer).to.include(`fireflyglade-outcome: ${outcome}`);
		}

		expect(upstream.received.filter(({body}) => body !== '')).to.have.length(0);
		expect(node.inFlight()).to.equal(0);
	});
});
