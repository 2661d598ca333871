/**
An open-loop load generator: it sends requests at a fixed rate independently of
the answers, and records the latency of each from the time at which it was due to
the end of its answer.
*/

import {build, type Histogram} from 'hdr-histogram-js';
import type {Pool} from 'undici';

/** The connection pool, path and headers of the requests. */
export type LoadTarget = {
	readonly pool: Pool;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
};

/** Latencies and counts of the requests to one target. */
export class LoadFigures {
	/** Latencies of answers with status 200, in microseconds. */
	readonly latency: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3, bitBucketSize: 32,
	});

	sent = 0;
	/** Answers other than 200, and requests without an answer. */
	failed = 0;
}

const microsecondsInMillisecond = 1000;
const okStatus = 200;

/** Sends `ratePerSecond` requests per second to a target for some milliseconds, and waits for all answers. */
export async function offerOpenLoop(target: LoadTarget, ratePerSecond: number, milliseconds: number, figures: LoadFigures): Promise<void> {
	const start = performance.now();
	const total = Math.round(ratePerSecond * milliseconds / 1000);
	const intervalMilliseconds = 1000 / ratePerSecond;
	const pendingRequests: Array<Promise<void>> = [];
	for (let index = 0; index < total; index++) {
		const dueAt = start + (index * intervalMilliseconds);
		await waitUntil(dueAt);
		pendingRequests.push(sendOne(target, dueAt, figures));
	}

	await Promise.all(pendingRequests);
}

/** Yields to the event loop until a time is reached; a timer would be late by up to a millisecond. */
async function waitUntil(time: number): Promise<void> {
	while (performance.now() < time) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

async function sendOne(target: LoadTarget, dueAt: number, figures: LoadFigures): Promise<void> {
	figures.sent++;
	try {
		const answer = await target.pool.request({path: target.path, method: 'GET', headers: target.headers});
		await answer.body.arrayBuffer();
		if (answer.statusCode !== okStatus) {
			figures.failed++;
			return;
		}

		figures.latency.recordValue(Math.round((performance.now() - dueAt) * microsecondsInMillisecond));
	} catch {
		figures.failed++;
	}
}
