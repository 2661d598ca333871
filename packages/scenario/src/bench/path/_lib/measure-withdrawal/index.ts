/**
Measures how long a withdrawn key still works: from the acknowledgement of the
operator's statement to the last request that ran, on connections that were open
all the time, through every node.
*/

import {setTimeout as wait} from 'node:timers/promises';
import type {Pool} from 'undici';
import type {DaemonFleet} from '../../../../daemon-fleet/index.js';

/** What was measured of one withdrawal. */
export type WithdrawalFigures = {
	/** Milliseconds from the acknowledgement to the start of the last request that ran; below 0 if none ran after it. */
	readonly lastRunMilliseconds: number;
	readonly ranAfterAcknowledgement: number;
	/** Requests that were refused as the key was withdrawn. */
	readonly refused: number;
};

const intervalMilliseconds = 2;
const beforeMilliseconds = 500;
const afterMilliseconds = 4000;
const okStatus = 200;
const refusedStatus = 401;

/** Withdraws a fresh key of `team` under load through all `pools`. */
export async function measureWithdrawal(fleet: DaemonFleet, pools: readonly Pool[], team: string, path: string): Promise<WithdrawalFigures> {
	const issued = await fleet.change(`issue key for team ${team}`);
	const headers = {authorization: `Bearer ${issued.secret!}`};
	await waitUntilServed(pools, headers, path);
	const ran: number[] = [];
	let refused = 0;
	const send = async (pool: Pool): Promise<void> => {
		const startedAt = performance.now();
		const answer = await pool.request({method: 'GET', path, headers});
		await answer.body.arrayBuffer();
		if (answer.statusCode === okStatus) {
			ran.push(startedAt);
		} else if (answer.statusCode === refusedStatus) {
			refused++;
		}
	};

	const open: Array<Promise<void>> = [];
	const timer = setInterval(() => {
		open.push(...pools.map(async pool => send(pool)));
	}, intervalMilliseconds);
	await wait(beforeMilliseconds);
	await fleet.change(`withdraw key ${issued.id!}`);
	const acknowledgedAt = performance.now();
	await wait(afterMilliseconds);
	clearInterval(timer);
	await Promise.all(open);
	const lastRunAt = Math.max(0, ...ran);
	return {
		lastRunMilliseconds: lastRunAt - acknowledgedAt,
		ranAfterAcknowledgement: ran.filter(at => at > acknowledgedAt).length,
		refused,
	};
}

async function waitUntilServed(pools: readonly Pool[], headers: Readonly<Record<string, string>>, path: string): Promise<void> {
	for (const pool of pools) {
		for (;;) {
			const answer = await pool.request({method: 'GET', path, headers});
			await answer.body.arrayBuffer();
			if (answer.statusCode === okStatus) {
				break;
			}

			await wait(intervalMilliseconds);
		}
	}
}
