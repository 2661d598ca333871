/**
Tests the guarantees under failure on a fleet of daemon processes: killed and frozen
daemons, lost answers, withdrawn keys and graceful shutdown.
*/

import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {Agent, request} from 'undici';
import {DaemonFleet, type NodeDaemon} from '../daemon-fleet/index.js';

type CallAnswer =
	| {readonly kind: 'answer'; readonly status: number; readonly outcome: string | undefined; readonly body: string}
	| {readonly kind: 'broken'};

const team = 'crews';
const createOrderRoute = 'create route POST /orders service orders-app priority 1 idempotent no retries 0 timeout 20s';
const readOrderRoute = 'create route GET /orders/:id service orders-app priority 5 idempotent yes retries 2 timeout 10s';
const readInvoiceRoute = 'create route GET /invoices/:id service billing-app priority 5 idempotent yes retries 2 timeout 10s';
const pollMilliseconds = 20;
/** More than the concurrent requests of any test, so that no request is refused because of load. */
const slotsPerUpstream = 200;

describe('a fleet of daemons', function () {
	this.timeout(90_000);
	let folder: string;
	let fleet: DaemonFleet;
	let agent: Agent;
	let key: string;

	beforeEach(async () => {
		folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-test-'));
		agent = new Agent({connections: 256, pipelining: 1});
		fleet = await DaemonFleet.start({
			folder,
			control: 3,
			nodes: [
				{
					node: 'node-1', domain: 'north', service: 'orders-app', upstream: {slots: slotsPerUpstream},
				},
				{
					node: 'node-2', domain: 'north', service: 'billing-app', upstream: {slots: slotsPerUpstream},
				},
				{
					node: 'node-3', domain: 'south', service: 'orders-app', upstream: {slots: slotsPerUpstream},
				},
			],
		});
		await fleet.configureDomains();
		key = await fleet.createTeam(team, 2000, 2000);
		for (const route of [createOrderRoute, readOrderRoute, readInvoiceRoute]) {
			await fleet.change(route);
		}

		for (const node of fleet.nodes) {
			await callUntil(node, '/orders/1', answer => answer.kind === 'answer' && answer.status === 200);
			await callUntil(node, '/invoices/1', answer => answer.kind === 'answer' && answer.status === 200);
		}
	});

	afterEach(async () => {
		await agent.close();
		await fleet.stop();
		await rm(folder, {recursive: true, force: true});
	});

	async function call(node: NodeDaemon, method: 'GET' | 'POST', target: string, headers: Readonly<Record<string, string>> = {}): Promise<CallAnswer> {
		try {
			const answer = await request(`${node.callersUrl}${target}`, {method, dispatcher: agent, headers: {authorization: `Bearer ${key}`, ...headers}});
			const body = await answer.body.text();
			return {
				kind: 'answer', status: answer.statusCode, outcome: answer.headers['fireflyglade-outcome']?.toString(), body,
			};
		} catch {
			return {kind: 'broken'};
		}
	}

	async function callUntil(node: NodeDaemon, target: string, holds: (answer: CallAnswer) => boolean): Promise<CallAnswer> {
		for (;;) {
			const answer = await call(node, 'GET', target);
			if (holds(answer)) {
				return answer;
			}

			await wait(pollMilliseconds);
		}
	}

	function countRuns(job: string): number {
		return fleet.nodes.reduce((sum, {upstream}) => sum + upstream.countRuns(job), 0);
	}

	it('acknowledges the next statement within 2 s after the leader is killed, and loses no acknowledged statement', async () => {
		const accepted: string[] = [];
		for (let round = 0; round < 3; round++) {
			const name = `team-${round}`;
			await fleet.change(`create team ${name} rate 5/s burst 5`);
			accepted.push(name);
			const leader = await fleet.findLeader();
			await leader.daemon.end('SIGKILL');
			const killedAt = performance.now();
			await fleet.change(`create team ${name}-after rate 5/s burst 5`);
			const elapsed = performance.now() - killedAt;
			accepted.push(`${name}-after`);
			leader.daemon.start();
			await leader.daemon.waitUntilReady();
			expect(elapsed).to.be.below(2000);
		}

		const shown = await fleet.send('show teams');
		for (const name of accepted) {
			expect(JSON.stringify(shown)).to.contain(`"${name}"`);
		}
	});

	it('answers no stale read and does not disrupt the other members when a frozen leader resumes', async () => {
		const leader = await fleet.findLeader();
		leader.daemon.signal('SIGSTOP');
		const created = await fleet.change('create team while-frozen rate 5/s burst 5');
		leader.daemon.signal('SIGCONT');
		const read = await fleet.sendOnce(leader, 'show teams where team = "while-frozen"', 'read-after-freeze');
		if (read.kind === 'answered') {
			expect(JSON.stringify(read.answer)).to.contain('while-frozen');
		} else {
			expect(read.status).to.equal(503);
		}

		const next = await fleet.change('create team after-freeze rate 5/s burst 5');
		expect(next.revision).to.equal(created.revision + 1);
	});

	it('answers a resend of a statement at another control process with the original answer', async () => {
		const commandId = 'command-of-a-lost-answer';
		const leader = await fleet.findLeader();
		const first = await fleet.sendOnce(leader, `issue key for team ${team}`, commandId);
		await leader.daemon.end('SIGKILL');
		const resend = await fleet.send(`issue key for team ${team}`, commandId);
		if (first.kind !== 'answered' || first.answer.kind !== 'changed' || resend.kind !== 'answered' || resend.answer.kind !== 'changed') {
			throw new TypeError('the key was not issued');
		}

		expect(resend.answer.secret).to.equal(first.answer.secret);
		expect(resend.answer.revision).to.equal(first.answer.revision);
	});

	it('continues to serve callers while no control process runs', async () => {
		await Promise.all(fleet.control.map(async ({daemon}) => daemon.end('SIGKILL')));
		await wait(6000);
		for (const node of fleet.nodes) {
			const answer = await call(node, 'GET', '/orders/1');
			expect(answer).to.include({kind: 'answer', status: 200});
		}
	});

	it('answers no request with a withdrawn key on open connections later than 2 s after the acknowledgement', async () => {
		const issued = await fleet.change(`issue key for team ${team}`);
		const withdrawnKey = {authorization: `Bearer ${issued.secret!}`};
		const abort = new AbortController();
		let lastServedAt = 0;
		const callers = fleet.nodes.map(async node => {
			while (!abort.signal.aborted) {
				const answer = await call(node, 'GET', '/orders/2', withdrawnKey);
				if (answer.kind === 'answer' && answer.status === 200) {
					lastServedAt = performance.now();
				}
			}
		});
		await wait(300);
		expect(lastServedAt).to.be.above(0);
		await fleet.change(`withdraw key ${issued.id!}`);
		const acknowledgedAt = performance.now();
		await wait(2500);
		abort.abort();
		await Promise.all(callers);
		expect(lastServedAt - acknowledgedAt).to.be.below(2000);
	});

	it('runs a job at most once while 20 callers resend it through every node and the gate is killed', async () => {
		const job = 'order-for-the-fell';
		const headers = {'idempotency-key': job, 'x-job': job};
		const gateNode = fleet.nodes[2]!;
		const deadline = performance.now() + 8000;
		const callers = Array.from({length: 20}, async (_, index) => {
			const node = fleet.nodes[index % fleet.nodes.length]!;
			while (performance.now() < deadline) {
				await call(node, 'POST', '/orders?delayMs=300', headers);
				await wait(50);
			}
		});
		await wait(400);
		await gateNode.daemon.end('SIGKILL');
		await wait(500);
		gateNode.daemon.start();
		await Promise.all(callers);
		expect(countRuns(job)).to.equal(1);
	});

	it('runs a job at most once while 20 callers resend it and the leader is killed', async () => {
		const job = 'order-under-a-lost-leader';
		const headers = {'idempotency-key': job, 'x-job': job};
		const leader = await fleet.findLeader();
		const deadline = performance.now() + 8000;
		const answers: CallAnswer[] = [];
		const callers = Array.from({length: 20}, async (_, index) => {
			const node = fleet.nodes[index % fleet.nodes.length]!;
			while (performance.now() < deadline) {
				answers.push(await call(node, 'POST', '/orders?delayMs=100', headers));
				await wait(50);
			}
		});
		await leader.daemon.end('SIGKILL');
		await Promise.all(callers);
		expect(countRuns(job)).to.equal(1);
		expect(answers.some(answer => answer.kind === 'answer' && answer.status === 200)).to.equal(true);
	});

	it('answers "not-run" only for requests that did not run while a gate is killed repeatedly', async () => {
		const target = fleet.nodes[2]!;
		const notRun: string[] = [];
		let sent = 0;
		const deadline = performance.now() + 6000;
		const callers = Array.from({length: 16}, async (_, index) => {
			const node = fleet.nodes[index % 2]!;
			while (performance.now() < deadline) {
				sent++;
				const job = `one-off-${sent}`;
				const answer = await call(node, 'POST', '/orders?delayMs=20', {'x-job': job});
				if (answer.kind === 'answer' && answer.outcome === 'not-run') {
					notRun.push(job);
				}
			}
		});
		while (performance.now() < deadline - 1500) {
			await wait(400);
			await target.daemon.end('SIGKILL');
			target.daemon.start();
			await target.daemon.waitUntilReady();
		}

		await Promise.all(callers);
		expect(notRun.filter(job => countRuns(job) > 0)).to.deep.equal([]);
		const ranTwice = Array.from({length: sent}, (_, index) => `one-off-${index + 1}`).filter(job => countRuns(job) > 1);
		expect(ranTwice).to.deep.equal([]);
	});

	/** Waits until the admission limit of every gate equals the number of slots of its upstream. */
	async function waitUntilWarm(): Promise<void> {
		for (;;) {
			const shown = await fleet.send(`show upstreams where limit = ${slotsPerUpstream}`);
			if (shown.kind === 'answered' && shown.answer.kind === 'rows' && shown.answer.rows.length === fleet.nodes.length) {
				return;
			}

			await wait(pollMilliseconds);
		}
	}

	it('aborts no request when a node shuts down gracefully with 200 requests in flight', async () => {
		await waitUntilWarm();
		const stopping = fleet.nodes[0]!;
		const calls = Array.from({length: 200}, async (_, index) => call(index % 2 === 0 ? stopping : fleet.nodes[1]!, 'GET', '/orders/3?delayMs=400'));
		await wait(200);
		const exit = stopping.daemon.end('SIGTERM');
		const answers = await Promise.all(calls);
		expect(answers.filter(answer => answer.kind === 'broken' || answer.status !== 200)).to.deep.equal([]);
		expect(await exit).to.equal(0);
	});
});
