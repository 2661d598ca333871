/**
Sends planned requests at their times and collects the decisions.
*/

import {build, type Histogram} from 'hdr-histogram-js';
import type {Arrival} from './arrivals.js';
import type {ChargeFunction} from './baselines.js';
import type {Decision} from './evaluate-decisions.js';

const microsecondsInMillisecond = 1000;

/** Sends the requests at their planned times; `onProgress` is called about every millisecond while waiting, with the milliseconds since the start. */
export async function offerArrivals(arrivals: readonly Arrival[], charge: ChargeFunction, onProgress?: (elapsed: number) => void): Promise<Decision[]> {
	const decisions: Decision[] = [];
	const running: Array<Promise<void>> = [];
	const start = performance.now();
	const decide = async ({team, node}: Arrival): Promise<void> => {
		const from = performance.now();
		const isAdmitted = await charge(team, node);
		const at = performance.now();
		decisions.push({
			team, node, at, isAdmitted, latency: at - from,
		});
	};

	for (const arrival of arrivals) {
		while (performance.now() - start < arrival.at) {
			onProgress?.(performance.now() - start);
			await new Promise(resolve => {
				setTimeout(resolve, 1);
			});
		}

		running.push(decide(arrival));
	}

	await Promise.all(running);
	return decisions;
}

/** Returns quantiles of the decision latency in milliseconds. */
export function summarizeLatency(decisions: readonly Decision[]): {readonly p50: number; readonly p99: number; readonly largest: number} {
	const histogram: Histogram = build({highestTrackableValue: 10_000_000});
	for (const {latency} of decisions) {
		histogram.recordValue(Math.max(1, Math.round(latency * microsecondsInMillisecond)));
	}

	const quantile = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsInMillisecond;
	return {p50: quantile(50), p99: quantile(99), largest: quantile(100)};
}
