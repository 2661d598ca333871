/**
Clients that send idempotent requests behind one another on kept connections, while the
node that takes them is stopped and started again as planned.
*/

import {setTimeout as wait} from 'node:timers/promises';
import {exitCodes, isTroubled, runCase} from '../lib/case.mjs';
import {ClientConnection} from '../lib/client.mjs';
import {
	bounds, createAttemptId, createConfiguration, now,
} from '../lib/deployment.mjs';
import {Target} from '../lib/target.mjs';

const clientCount = 6;
const calmMilliseconds = 5000;
const deadlineMilliseconds = 6000;
const timeoutSeconds = 1.2;

/** Two requests at a time, in one write; the second is sent before the first has been answered. */
async function runClient(machine, state, record) {
	let connection;
	while (!state.isOver) {
		if (!machine.isIn) {
			await wait(100);
			continue;
		}

		if (connection === undefined || connection.isClosed || connection.isClosing) {
			connection?.close();
			connection = new ClientConnection(machine);
		}

		const requests = ['first', 'second'].map(place => ({
			method: 'GET', target: `/eta/${place}`, attempt: createAttemptId(), deadline: deadlineMilliseconds,
		}));
		for (const {attempt, target} of requests) {
			record.write(`client: sends ${attempt}, GET ${target}`);
		}

		const answers = await Promise.all(connection.send(requests));
		for (const [index, answer] of answers.entries()) {
			const {attempt} = requests[index];
			record.write(answer.kind === 'answer'
				? `client: ${attempt} answered ${answer.status}${answer.fields.get('connection') === 'close' ? ', connection: close' : ''}`
				: `client: the connection of ${attempt} closed without its answer`);
			state.exchanges.push({attempt, ...answer});
		}

		await wait(50);
	}

	connection?.close();
}

/** The requests that the rule counts: passed on to a target that didn't break off, no answer, within all limits of time. */
function findLost(exchanges, targets, stoppedAt) {
	const runs = new Map(targets.flatMap(target => target.runs.map(run => [run.attempt, run])));
	const plannedUntil = stoppedAt + ((bounds.grace_s + 1) * 1000);
	return exchanges.filter(({kind, attempt, sentAt, at}) => kind === 'closed'
		&& runs.has(attempt)
		&& at >= stoppedAt && at <= plannedUntil
		&& at - sentAt < Math.min(deadlineMilliseconds, timeoutSeconds * 1000));
}

async function play(deployment, record) {
	const [front, ...others] = deployment.nodes;
	const targets = [front, ...others].map(machine => new Target(machine, record, {work: ({target}) => (target === '/eta/second' ? 180 : 120)}));
	await Promise.all(targets.map(async target => target.start()));
	await deployment.start(createConfiguration({
		services: ['citas'],
		routes: [{
			prefix: '/eta/', service: 'citas', kind: 'idempotent', timeout: timeoutSeconds,
		}],
	}));
	for (const target of targets) {
		target.startHeartbeats();
	}

	await wait(3000);
	const state = {isOver: false, exchanges: []};
	const clients = Array.from({length: clientCount}, async () => runClient(front, state, record));
	await wait(calmMilliseconds);
	const stoppedAt = now();
	if (isTroubled) {
		await front.stopGracefully();
	}

	await wait(4000);
	state.isOver = true;
	await Promise.all(clients);
	for (const target of targets) {
		target.close();
	}

	const served = state.exchanges.filter(({status}) => status === 200).length;
	const lost = findLost(state.exchanges, targets, stoppedAt);
	record.report(`${state.exchanges.length} requests, ${served} answered 200; passed on and closed without an answer around the SIGTERM: ${lost.length}`);
	for (const {attempt, sentAt, at} of lost) {
		record.write(`LOST: ${attempt}, sent ${sentAt - stoppedAt} ms after the SIGTERM, closed after ${at - sentAt} ms`);
	}

	if (served < 50) {
		return exitCodes.failed;
	}

	return lost.length > 0 ? exitCodes.broken : exitCodes.held;
}

await runCase(import.meta.url, {services: ['citas', 'citas', 'citas']}, play);
