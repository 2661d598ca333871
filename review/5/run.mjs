/**
A target says that it is gone and serves on for some seconds, as some targets do. The node
beside it is killed and started again meanwhile. A heartbeat that the target sent before,
and that was held up on its way, then arrives.
*/

import {setTimeout as wait} from 'node:timers/promises';
import {exitCodes, isTroubled, runCase} from '../lib/case.mjs';
import {ClientConnection} from '../lib/client.mjs';
import {
	bounds, createAttemptId, createConfiguration, now,
} from '../lib/deployment.mjs';
import {Target} from '../lib/target.mjs';

const clientCount = 8;
const deadlineMilliseconds = 6000;
/** How late the heartbeat arrives. */
const heldUpMilliseconds = 2500;
/** How long the target serves on after its word was acknowledged. */
const servesOnMilliseconds = 7000;

async function runClient(machine, state, record) {
	const connection = new ClientConnection(machine);
	while (!state.isOver) {
		const attempt = createAttemptId();
		record.write(`client: sends ${attempt}, POST /retiro/x`);
		const [answer] = await Promise.all(connection.send([{
			method: 'POST', target: '/retiro/x', attempt, deadline: deadlineMilliseconds, body: 'part',
		}]));
		record.write(answer.kind === 'answer' ? `client: ${attempt} answered ${answer.status}` : `client: the connection of ${attempt} closed without its answer`);
		state.exchanges.push({attempt, ...answer});
		await wait(60);
	}

	connection.close();
}

async function play(deployment, record) {
	const [front, stays, leaves] = deployment.nodes;
	const targets = deployment.nodes.map(machine => new Target(machine, record, {work: () => 150}));
	const leaving = targets[2];
	for (const target of targets) {
		await target.start();
	}

	await deployment.start(createConfiguration({
		services: ['citas', 'almacen'],
		routes: [{
			prefix: '/retiro/', service: 'almacen', kind: 'non_idempotent', timeout: 1.5,
		}],
	}));
	for (const target of targets) {
		target.startHeartbeats();
	}

	await wait(4000);
	const state = {isOver: false, exchanges: []};
	const clients = Array.from({length: clientCount}, async () => runClient(front, state, record));
	await wait(4000);

	const heldUp = leaving.nextHeartbeat();
	record.write(`target ${leaving.id}: sends a heartbeat that is held up for ${heldUpMilliseconds} ms: ${heldUp}`);
	const sentAt = now();
	await wait(200);
	leaving.stopHeartbeats();
	const answer = await leaving.deregister();
	const acknowledgedAt = now();
	if (answer?.status !== 200) {
		return exitCodes.failed;
	}

	if (isTroubled) {
		leaves.signal('SIGKILL');
	}

	await wait(heldUpMilliseconds - (now() - sentAt));
	await leaving.sendHeartbeat(heldUp);
	await wait(servesOnMilliseconds - (now() - acknowledgedAt));
	record.write(`target ${leaving.id}: exits`);
	leaving.close();
	await wait(1000);
	state.isOver = true;
	await Promise.all(clients);
	for (const target of targets.filter(target => target !== leaving)) {
		target.close();
	}

	const startedAt = leaves.starts.at(-1);
	const inTouchFrom = startedAt + (bounds.contact_s * 1000);
	const late = leaving.runs.filter(({at}) => at > acknowledgedAt + (bounds.drain_s * 1000));
	const counted = late.filter(({at}) => at > inTouchFrom);
	const cutAtExit = leaving.runs.filter(({isAnswered}) => !isAnswered).length;
	const served = state.exchanges.filter(({status}) => status === 200).length;
	record.report(`${state.exchanges.length} requests, ${served} answered 200; run by the other target, beside ${stays.name}: ${targets[1].runs.length}`);
	record.report(`at work at the target when it exited: ${cutAtExit}`);
	record.report(`at the target later than ${bounds.drain_s} s after its word was acknowledged: ${late.length}, ${counted.length} of them while all machines were in touch`);
	if (served < 100) {
		return exitCodes.failed;
	}

	return counted.length > 0 ? exitCodes.broken : exitCodes.held;
}

await runCase(import.meta.url, {services: ['citas', 'almacen', 'almacen']}, play);
