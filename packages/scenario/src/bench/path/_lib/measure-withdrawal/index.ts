/**
Measures how long a withdrawn key remains usable: the time from the
acknowledgement of the operator's statement to the last request that ran. Requests
go through every node on connections that stay open.
*/

import {setTimeout as wait} from 'node:timers/promises';
import type {Pool} from 'undici';
import type {DaemonFleet} from '../../../../daemon-fleet/index.js';

/** The measurements of one withdrawal. */
export type WithdrawalFigures = {
	/** Milliseconds from the acknowledgement to the start of the last request that ran; below 0 if none started after it. */
	readonly lastRunMilliseconds: number;
	readonly ranAfterAcknowledgement: number;
	/** Number of requests refused because the key was withdrawn. */
	readonly refused: number;
};

const intervalMilliseconds = 2;
const loadBeforeWithdrawalMilliseconds = 500;
const loadAfterWithdrawalMilliseconds = 4000;
const okStatus = 200;
const refusedStatus = 401;

/** Issues a key for `team`, sends requests with it through all `pools`, and withdraws it under this load. */
export async function measureWithdrawal(fleet: DaemonFleet, pools: readonly Pool[], team: string, path: string): Promise<WithdrawalFigures> {
	const issued = await fleet.change(`issue key for team ${team}`);
	const headers = {authorization: `Bearer ${issued.secret!}`};
	await waitUntilServed(pools, headers, path);
	const servedStartTimes: number[] = [];
	let refused = 0;
	const send = async (pool: Pool): Promise<void> => {
		const startedAt = performance.now();
		const answer = await pool.request({method: 'GET', path, headers});
		await answer.body.arrayBuffer();
		if (answer.statusCode === okStatus) {
			servedStartTimes.push(startedAt);
		} else if (answer.statusCode === refusedStatus) {
			refused++;
		}
	};

	const pendingRequests: Array<Promise<void>> = [];
	const timer = setInterval(() => {
		pendingRequests.push(...pools.map(async pool => send(pool)));
	}, intervalMilliseconds);
	await wait(loadBeforeWithdrawalMilliseconds);
	await fleet.change(`withdraw key ${issued.id!}`);
	const acknowledgedAt = performance.now();
	await wait(loadAfterWithdrawalMilliseconds);
	clearInterval(timer);
	await Promise.all(pendingRequests);
	const lastRunAt = Math.max(0, ...servedStartTimes);
	return {
		lastRunMilliseconds: lastRunAt - acknowledgedAt,
		ranAfterAcknowledgement: servedStartTimes.filter(at => at > acknowledgedAt).length,
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
