/**
Counts requests by team and records latencies.
*/

import {millisecondsInSecond, type ProblemCode, type TeamName} from '@fireflyglade/model';
import {LatencyHistogram} from '../_lib/latency-histogram/index.js';
import type {MetricFamily, MetricSample} from '../metric-families/index.js';

/** How a request ended at its entry node. */
export type RequestRecord = {
	/** Absent on a route open to all. */
	readonly team?: TeamName;
	readonly status: number;
	readonly durationMilliseconds: number;
	/** Attempts that were sent. */
	readonly attempts: number;
	/** True if the answer arrived whole. */
	readonly whole: boolean;
	/** Set if the system made the answer. */
	readonly problem?: ProblemCode;
	readonly outcome?: 'not-run' | 'unknown';
};

/** What a request counts as. */
export type RequestResult = 'succeeded' | 'refused' | 'failed';

type TeamCounts = {
	offered: number;
	succeeded: number;
	failed: number;
	retries: number;
	readonly refusals: Map<ProblemCode, number>;
	/** Requests offered and succeeded in the present window and in the one before. */
	recent: WindowCounts;
	before: WindowCounts;
};

type WindowCounts = {readonly offered: number; readonly succeeded: number};

const fairnessWindowMilliseconds = 30_000;
const firstServerError = 500;
const openRoutesLabel = '(open)';
const emptyWindow: WindowCounts = {offered: 0, succeeded: 0};
const results = ['succeeded', 'refused', 'failed'] as const;

/** Tells what a request counts as. */
export function classifyRequest(record: RequestRecord): RequestResult {
	if (record.problem !== undefined) {
		return record.outcome === 'not-run' ? 'refused' : 'failed';
	}

	return record.whole && record.status < firstServerError ? 'succeeded' : 'failed';
}

function createCounts(): TeamCounts {
	return {
		offered: 0, succeeded: 0, failed: 0, retries: 0, refusals: new Map(), recent: emptyWindow, before: emptyWindow,
	};
}

/** Jain's index of the teams' shares of success: 1 if all are served alike, 1/n if one of n is served alone. */
function fairnessIndex(shares: readonly number[]): number {
	let sum = 0;
	let sumOfSquares = 0;
	for (const share of shares) {
		sum += share;
		sumOfSquares += share * share;
	}

	return sumOfSquares === 0 ? 1 : (sum * sum) / (shares.length * sumOfSquares);
}

/** Counts requests by team and records latencies; times are monotonic milliseconds. */
export class RequestMetrics {
	readonly #teams = new Map<string, TeamCounts>();
	readonly #latencies = new Map<string, LatencyHistogram>(results.map(result => [result, new LatencyHistogram()]));
	readonly #hops = new Map<string, LatencyHistogram>();
	#windowStart: number;

	constructor(now: number) {
		this.#windowStart = now;
	}

	/** Counts a request that has ended. */
	recordRequest(record: RequestRecord, now: number): void {
		this.#turnWindow(now);
		const counts = this.#countsOf(record.team ?? openRoutesLabel);
		const result = classifyRequest(record);
		counts.offered += 1;
		counts.retries += Math.max(0, record.attempts - 1);
		counts.recent = {
			offered: counts.recent.offered + 1,
			succeeded: counts.recent.succeeded + Number(result === 'succeeded'),
		};
		if (result === 'refused') {
			counts.refusals.set(record.problem!, (counts.refusals.get(record.problem!) ?? 0) + 1);
		} else {
			counts[result] += 1;
		}

		this.#latencies.get(result)!.record(record.durationMilliseconds);
	}

	/** Records how long a hop took, or a request waited. */
	recordHop(hop: string, milliseconds: number): void {
		let histogram = this.#hops.get(hop);
		if (histogram === undefined) {
			histogram = new LatencyHistogram();
			this.#hops.set(hop, histogram);
		}

		histogram.record(milliseconds);
	}

	/** Fairness between teams over the last half to whole minute, from 0 to 1. */
	fairness(now: number): number {
		this.#turnWindow(now);
		const shares: number[] = [];
		for (const {recent, before} of this.#teams.values()) {
			const offered = recent.offered + before.offered;
			if (offered > 0) {
				shares.push((recent.succeeded + before.succeeded) / offered);
			}
		}

		return fairnessIndex(shares);
	}

	/** Gives all counts and latencies as metrics. */
	toMetricFamilies(now: number): readonly MetricFamily[] {
		return [
			this.#countFamily('offered', 'Requests that came in.', counts => counts.offered),
			this.#countFamily('succeeded', 'Requests answered whole without a server error (goodput).', counts => counts.succeeded),
			this.#countFamily('failed', 'Requests that ran, or may have run, and failed.', counts => counts.failed),
			this.#countFamily('retries', 'Attempts after the first.', counts => counts.retries),
			this.#refusals(),
			{
				name: 'fireflyglade_fairness_index',
				help: 'Fairness between teams over the last half to whole minute; 1 is best.',
				kind: 'gauge',
				labelNames: [],
				samples: [{labels: {}, value: this.fairness(now)}],
			},
			describeLatencies('fireflyglade_request_duration_seconds', 'Time from request to answer at the entry node.', 'result', this.#latencies),
			describeLatencies('fireflyglade_hop_duration_seconds', 'Time that each hop took.', 'hop', this.#hops),
		];
	}

	#countsOf(team: string): TeamCounts {
		let counts = this.#teams.get(team);
		if (counts === undefined) {
			counts = createCounts();
			this.#teams.set(team, counts);
		}

		return counts;
	}

	#turnWindow(now: number): void {
		const elapsed = now - this.#windowStart;
		if (elapsed < fairnessWindowMilliseconds) {
			return;
		}

		this.#windowStart = now;
		const isLongAgo = elapsed >= 2 * fairnessWindowMilliseconds;
		for (const counts of this.#teams.values()) {
			counts.before = isLongAgo ? emptyWindow : counts.recent;
			counts.recent = emptyWindow;
		}
	}

	#countFamily(name: string, help: string, read: (counts: TeamCounts) => number): MetricFamily {
		const samples: MetricSample[] = [];
		for (const [team, counts] of this.#teams) {
			samples.push({labels: {team}, value: read(counts)});
		}

		return {
			name: `fireflyglade_requests_${name}_total`, help, kind: 'counter', labelNames: ['team'], samples,
		};
	}

	#refusals(): MetricFamily {
		const samples: MetricSample[] = [];
		for (const [team, {refusals}] of this.#teams) {
			for (const [reason, value] of refusals) {
				samples.push({labels: {team, reason}, value});
			}
		}

		return {
			name: 'fireflyglade_requests_refused_total',
			help: 'Requests refused before they ran, by reason.',
			kind: 'counter',
			labelNames: ['team', 'reason'],
			samples,
		};
	}
}

function describeLatencies(name: string, help: string, label: string, histograms: ReadonlyMap<string, LatencyHistogram>): MetricFamily {
	const samples: MetricSample[] = [];
	for (const [value, histogram] of histograms) {
		const summary = histogram.summary();
		const quantiles: ReadonlyArray<readonly [string, number]> = [['0.5', summary.median], ['0.99', summary.percentile99], ['0.999', summary.percentile999], ['1', summary.highest]];
		for (const [quantile, milliseconds] of quantiles) {
			samples.push({labels: {[label]: value, quantile}, value: milliseconds / millisecondsInSecond});
		}
	}

	return {
		name, help, kind: 'gauge', labelNames: [label, 'quantile'], samples,
	};
}
