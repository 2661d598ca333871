/**
Sends requests at a fixed rate whatever the answers are, and records the time
from the moment at which each was due until its answer was whole.
*/

import {build, type Histogram} from 'hdr-histogram-js';
import type {Pool} from 'undici';

/** Where requests go. */
export type LoadTarget = {
	readonly pool: Pool;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
};

/** What came of the requests to one target. */
export class LoadFigures {
	/** In microseconds. */
	readonly latency: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3, bitBucketSize: 32,
	});

	sent = 0;
	/** Answers other than 200, and requests without an answer. */
	failed = 0;
}

const microsecondsInMillisecond = 1000;
const okStatus = 200;

/** Offers `ratePerSecond` to a target for a time, and waits for every answer. */
export async function offerOpenLoop(target: LoadTarget, ratePerSecond: number, milliseconds: number, figures: LoadFigures): Promise<void> {
	const start = performance.now();
	const total = Math.round(ratePerSecond * milliseconds / 1000);
	const gap = 1000 / ratePerSecond;
	const open: Array<Promise<void>> = [];
	for (let index = 0; index < total; index++) {
		const dueAt = start + (index * gap);
		await turnUntil(dueAt);
		open.push(sendOne(target, dueAt, figures));
	}

	await Promise.all(open);
}

/** Lets the event loop turn until a time; a timer would be late by up to a millisecond. */
async function turnUntil(time: number): Promise<void> {
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
