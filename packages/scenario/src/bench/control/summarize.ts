/**
Summarizes measured durations by their percentiles.
*/

import {build} from 'hdr-histogram-js';

/** Percentiles of durations, in milliseconds. */
export type DurationSummary = {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly maximum: number;
};

const microsecondsInMillisecond = 1000;

/** Summarizes durations in milliseconds, with a resolution of one microsecond. */
export function summarize(durations: readonly number[]): DurationSummary {
	const histogram = build({highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	for (const duration of durations) {
		histogram.recordValue(Math.max(1, Math.round(duration * microsecondsInMillisecond)));
	}

	return {
		count: durations.length,
		p50: histogram.getValueAtPercentile(50) / microsecondsInMillisecond,
		p99: histogram.getValueAtPercentile(99) / microsecondsInMillisecond,
		maximum: histogram.maxValue / microsecondsInMillisecond,
	};
}
