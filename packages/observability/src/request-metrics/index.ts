/**
Counts requests for each team and records latencies.
*/

import {millisecondsInSecond, type ProblemCode, type TeamName} from '@fireflyglade/model';
import {LatencyHistogram} from '../_lib/latency-histogram/index.js';
import type {MetricFamily, MetricSample} from '../metric-families/index.js';

/** The result of a request at its entry node. */
export type RequestRecord = {
	/** Absent on an open route, which needs no key. */
	readonly team?: TeamName;
	readonly status: number;
	readonly durationMilliseconds: number;
	/** Attempts that were sent. */
	readonly attempts: number;
	/** True if the response arrived completely. */
	readonly whole: boolean;
	/** Set if the system generated the response. */
	readonly problem?: ProblemCode;
	/** Whether the request may have run; used only if `problem` is set. */
	readonly outcome?: 'not-run' | 'unknown';
};

/** Classification of a finished request: `refused` if the system rejected it before it ran, `succeeded` if it was answered completely and without a server error, otherwise `failed`. */
export type RequestResult = 'succeeded' | 'refused' | 'failed';

type TeamCounts = {
	offered: number;
	succeeded: number;
	failed: number;
	retries: number;
	readonly refusals: Map<ProblemCode, number>;
	/** Requests offered and succeeded in the current fairness window and in the previous one. */
	currentWindow: WindowCounts;
	previousWindow: WindowCounts;
};

type WindowCounts = {readonly offered: number; readonly succeeded: number};

const fairnessWindowMilliseconds = 30_000;
const lowestServerErrorStatus = 500;
const openRoutesLabel = '(open)';
const emptyWindow: WindowCounts = {offered: 0, succeeded: 0};
const results = ['succeeded', 'refused', 'failed'] as const;

/** Classifies a finished request. */
export function classifyRequest(record: RequestRecord): RequestResult {
	if (record.problem !== undefined) {
		return record.outcome === 'not-run' ? 'refused' : 'failed';
	}

	return record.whole && record.status < lowestServerErrorStatus ? 'succeeded' : 'failed';
}

function createCounts(): TeamCounts {
	return {
		offered: 0, succeeded: 0, failed: 0, retries: 0, refusals: new Map(), currentWindow: emptyWindow, previousWindow: emptyWindow,
	};
}

/** Jain's fairness index of the teams' success ratios: 1 if all teams are served equally, 1/n if only one of n teams is served. */
function computeFairnessIndex(successRatios: readonly number[]): number {
	let sum = 0;
	let sumOfSquares = 0;
	for (const ratio of successRatios) {
		sum += ratio;
		sumOfSquares += ratio * ratio;
	}

	return sumOfSquares === 0 ? 1 : (sum * sum) / (successRatios.length * sumOfSquares);
}

/** Counts requests for each team and records latencies. Times are in monotonic milliseconds. */
export class RequestMetrics {
	readonly #teams = new Map<string, TeamCounts>();
	readonly #latencies = new Map<string, LatencyHistogram>(results.map(result => [result, new LatencyHistogram()]));
	readonly #hops = new Map<string, LatencyHistogram>();
	/** Responses that did not arrive completely, by the code of the cause. */
	readonly #incompleteResponses = new Map<string, number>();
	#windowStart: number;

	constructor(now: number) {
		this.#windowStart = now;
	}

	/** Records a request that has ended. */
	recordRequest(record: RequestRecord, now: number): void {
		this.#rotateWindow(now);
		const counts = this.#countsOf(record.team ?? openRoutesLabel);
		const result = classifyRequest(record);
		counts.offered += 1;
		counts.retries += Math.max(0, record.attempts - 1);
		counts.currentWindow = {
			offered: counts.currentWindow.offered + 1,
			succeeded: counts.currentWindow.succeeded + Number(result === 'succeeded'),
		};
		if (result === 'refused') {
			counts.refusals.set(record.problem!, (counts.refusals.get(record.problem!) ?? 0) + 1);
		} else {
			counts[result] += 1;
		}

		this.#latencies.get(result)!.record(record.durationMilliseconds);
	}

	/** Records the duration of a hop in milliseconds. */
	recordHop(hop: string, milliseconds: number): void {
		let histogram = this.#hops.get(hop);
		if (histogram === undefined) {
			histogram = new LatencyHistogram();
			this.#hops.set(hop, histogram);
		}

		histogram.record(milliseconds);
	}

	/** Counts a response of the upstream that did not arrive completely. */
	recordIncompleteResponse(cause: string): void {
		this.#incompleteResponses.set(cause, (this.#incompleteResponses.get(cause) ?? 0) + 1);
	}

	/** Fairness index of the teams over the last 30 to 60 seconds, from 0 to 1. */
	fairness(now: number): number {
		this.#rotateWindow(now);
		const successRatios: number[] = [];
		for (const {currentWindow, previousWindow} of this.#teams.values()) {
			const offered = currentWindow.offered + previousWindow.offered;
			if (offered > 0) {
				successRatios.push((currentWindow.succeeded + previousWindow.succeeded) / offered);
			}
		}

		return computeFairnessIndex(successRatios);
	}

	/** Returns all counts and latencies as metrics. */
	toMetricFamilies(now: number): readonly MetricFamily[] {
		return [
			this.#createCounterFamily('offered', 'Requests that came in.', counts => counts.offered),
			this.#createCounterFamily('succeeded', 'Requests answered whole without a server error (goodput).', counts => counts.succeeded),
			this.#createCounterFamily('failed', 'Requests that ran, or may have run, and failed.', counts => counts.failed),
			this.#createCounterFamily('retries', 'Attempts after the first.', counts => counts.retries),
			this.#createRefusalFamily(),
			this.#createIncompleteResponseFamily(),
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

	#rotateWindow(now: number): void {
		const elapsed = now - this.#windowStart;
		if (elapsed < fairnessWindowMilliseconds) {
			return;
		}

		this.#windowStart = now;
		const isPreviousWindowExpired = elapsed >= 2 * fairnessWindowMilliseconds;
		for (const counts of this.#teams.values()) {
			counts.previousWindow = isPreviousWindowExpired ? emptyWindow : counts.currentWindow;
			counts.currentWindow = emptyWindow;
		}
	}

	#createCounterFamily(name: string, help: string, read: (counts: TeamCounts) => number): MetricFamily {
		const samples: MetricSample[] = [];
		for (const [team, counts] of this.#teams) {
			samples.push({labels: {team}, value: read(counts)});
		}

		return {
			name: `fireflyglade_requests_${name}_total`, help, kind: 'counter', labelNames: ['team'], samples,
		};
	}

	#createIncompleteResponseFamily(): MetricFamily {
		const samples: MetricSample[] = [];
		for (const [cause, value] of this.#incompleteResponses) {
			samples.push({labels: {cause}, value});
		}

		return {
			name: 'fireflyglade_incomplete_responses_total',
			help: 'Responses of the upstream that did not arrive completely, by cause.',
			kind: 'counter',
			labelNames: ['cause'],
			samples,
		};
	}

	#createRefusalFamily(): MetricFamily {
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
		const summary = histogram.summarize();
		const quantiles: ReadonlyArray<readonly [string, number]> = [['0.5', summary.median], ['0.99', summary.percentile99], ['0.999', summary.percentile999], ['1', summary.highest]];
		for (const [quantile, milliseconds] of quantiles) {
			samples.push({labels: {[label]: value, quantile}, value: milliseconds / millisecondsInSecond});
		}
	}

	return {
		name, help, kind: 'gauge', labelNames: [label, 'quantile'], samples,
	};
}
