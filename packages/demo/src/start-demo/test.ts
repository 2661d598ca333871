import {randomUUID} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'chai';
import {Agent, request} from 'undici';
import {sendStatement} from '../operator-statements/index.js';
import {startDemo, type RunningDemo} from './index.js';

type Answer = {
	readonly status: number;
	readonly outcome: string | undefined;
	readonly body: Record<string, unknown>;
};

const pollMilliseconds = 20;
const team = 'upland-council';

describe('startDemo', function () {
	this.timeout(30_000);
	let folder: string;
	let demo: RunningDemo;
	let agent: Agent;

	before(async () => {
		folder = await mkdtemp(path.join(os.tmpdir(), 'fireflyglade-test-'));
		agent = new Agent({connections: 1, pipelining: 1});
		demo = await startDemo({
			dataFolder: folder,
			callersPort: 0,
			operatorPort: 0,
			onStorageFailure(error) {
				throw error;
			},
		});
	});

	after(async () => {
		await agent.close();
		await demo.stop();
		await rm(folder, {recursive: true, force: true});
	});

	async function call(method: 'GET' | 'POST', url: string, key?: string, body?: string): Promise<Answer> {
		const answer = await request(url, {
			method, dispatcher: agent, headers: key === undefined ? {} : {authorization: `Bearer ${key}`}, ...(body === undefined ? {} : {body}),
		});
		return {
			status: answer.statusCode,
			outcome: answer.headers['fireflyglade-outcome']?.toString(),
			body: await answer.body.json() as Record<string, unknown>,
		};
	}

	async function callUntil(holds: (answer: Answer) => boolean, url: string, key?: string): Promise<Answer> {
		for (;;) {
			const answer = await call('GET', url, key);
			if (holds(answer)) {
				return answer;
			}

			await wait(pollMilliseconds);
		}
	}

	it('serves a route that requires a key at every node, and passes the team but not the key to the upstream', async () => {
		for (const base of demo.callers) {
			const answer = await callUntil(({status}) => status === 200, `${base}/orders/7`, demo.keys[team]);
			expect(answer.body.service).to.equal('orders-app');
			const headers = answer.body.headers as Record<string, string>;
			expect(headers['fireflyglade-team']).to.equal(team);
			expect(JSON.stringify(answer.body)).not.to.contain(demo.keys[team]);
		}
	});

	it('serves an open route without a key', async () => {
		const answer = await call('GET', `${demo.callers[0]}/status`);
		expect(answer.status).to.equal(200);
	});

	it('refuses requests without a key or with an unknown key as not run', async () => {
		for (const key of [undefined, 'ffg_unknown']) {
			const answer = await call('GET', `${demo.callers[0]}/orders/7`, key);
			expect(answer.status).to.equal(401);
			expect(answer.outcome).to.equal('not-run');
		}
	});

	it('passes the body of a non-idempotent request to the upstream', async () => {
		const answer = await call('POST', `${demo.callers[1]}/orders`, demo.keys[team], '{"stile": 4}');
		expect(answer.body.body).to.equal('{"stile": 4}');
	});

	it('forwards a call of an upstream to the second service under the same team', async () => {
		const answer = await call('GET', `${demo.callers[2]}/statement`, demo.keys[team]);
		const called = answer.body.called as Record<string, unknown>;
		expect(called.service).to.equal('billing-app');
		expect((called.headers as Record<string, string>)['fireflyglade-team']).to.equal(team);
	});

	it('answers a statement once it is in force in every failure domain', async () => {
		const answer = await sendStatement(demo.access, 'create team late-council rate 5/s burst 5', 'test-create-late-council');
		expect(answer).to.include({kind: 'changed'});
		expect(answer).to.deep.include({inForce: ['north', 'south'], pending: [], cutOff: []});
	});

	it('refuses a withdrawn key on an open connection', async () => {
		const issued = await sendStatement(demo.access, `issue key for team ${team}`, 'test-issue-key');
		if (issued.kind !== 'changed') {
			throw new TypeError('no key was issued');
		}

		const url = `${demo.callers[2]}/orders/9`;
		await callUntil(({status}) => status === 200, url, issued.secret);
		const withdrawn = await sendStatement(demo.access, `withdraw key ${issued.id}`, 'test-withdraw-key');
		expect(withdrawn).to.deep.include({pending: [], cutOff: []});
		const answer = await call('GET', url, issued.secret);
		expect(answer.status).to.equal(401);
	});

	it('sends no new requests to a drained upstream', async () => {
		await sendStatement(demo.access, 'drain upstream billing-app.node-2', 'test-drain-upstream');
		const answer = await call('GET', `${demo.callers[0]}/invoices/3`, demo.keys[team]);
		expect(answer.status).to.equal(503);
		expect(answer.outcome).to.equal('not-run');
		await sendStatement(demo.access, 'undrain upstream billing-app.node-2', 'test-undrain-upstream');
		await callUntil(({status}) => status === 200, `${demo.callers[0]}/invoices/3`, demo.keys[team]);
	});

	it('counts the requests of a team', async () => {
		for (;;) {
			const answer = await sendStatement(demo.access, `show teams where team = "${team}" and goodput > 0`, randomUUID());
			if (answer.kind === 'rows' && answer.rows.length === 1) {
				return;
			}

			await wait(pollMilliseconds);
		}
	});
});
