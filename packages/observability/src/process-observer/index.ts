/**
Observes a node: request counts, latencies, spans and its current state.
*/

import {
	millisecondsInSecond, type Clock, type GateLevel, type UpstreamLoad,
} from '@fireflyglade/model';
import type {MetricFamily} from '../metric-families/index.js';
import {renderExposition} from '../render-exposition/index.js';
import {RequestMetrics, type RequestRecord} from '../request-metrics/index.js';
import type {HopRecord, SpanRecorder} from '../span-recorder/index.js';

/** The current state of a node. */
export type NodeState = {
	/** Absent if no upstream has announced itself. */
	readonly level?: GateLevel;
	/** Latest load that the upstream stated; absent without a valid one. */
	readonly reportedLoad?: UpstreamLoad;
	/** Requests that the slow start lets run at once; absent outside a slow start. */
	readonly slowStartLimit?: number;
	readonly revision: number;
	/** Milliseconds since the node applied the revision. */
	readonly revisionAgeMilliseconds: number;
	/** Retries that the node's retry budget currently allows. */
	readonly retryBudget?: number;
};

/** Options of a node's observer. */
export type ProcessObserverOptions = {
	readonly clock: Clock;
	/** Returns the current state; called at each scrape. */
	readonly readState?: () => NodeState;
	/** Absent if the settings ask for no spans. */
	readonly spans?: SpanRecorder;
};

function createGauge(name: string, help: string, value: number): MetricFamily {
	return {
		name: `fireflyglade_${name}`, help, kind: 'gauge', labelNames: [], samples: [{labels: {}, value}],
	};
}

function describeLevel(level: GateLevel): readonly MetricFamily[] {
	return [
		createGauge('gate_in_flight', 'Requests that the upstream runs now.', level.inFlight),
		createGauge('gate_limit', 'Requests that the gate lets run at once.', level.limit),
		createGauge('gate_queue_length', 'Requests that wait at the gate.', level.queueLength),
		createGauge('gate_shed_priority', 'Requests of this priority and less important ones are shed; 100 if none.', level.shedPriority),
	];
}

function describeReportedLoad({
	running, waiting, slots, pace,
}: UpstreamLoad): readonly MetricFamily[] {
	return [
		createGauge('upstream_running', 'Requests that the upstream says it runs.', running),
		createGauge('upstream_waiting', 'Requests that the upstream says wait inside it.', waiting),
		createGauge('upstream_slots', 'Requests that the upstream says it can run at once.', slots),
		...(pace === undefined ? [] : [createGauge('upstream_pace', 'Factor by which the upstream says work takes longer than usual.', pace)]),
	];
}

function describeState({level, reportedLoad, slowStartLimit, revision, revisionAgeMilliseconds, retryBudget}: NodeState): readonly MetricFamily[] {
	return [
		...(level === undefined ? [] : describeLevel(level)),
		...(reportedLoad === undefined ? [] : describeReportedLoad(reportedLoad)),
		...(slowStartLimit === undefined ? [] : [createGauge('gate_slow_start_limit', 'Requests that the slow start lets run at once; absent outside a slow start.', slowStartLimit)]),
		createGauge('revision', 'Revision of the configuration in force.', revision),
		createGauge('revision_age_seconds', 'Time since the revision came into force here.', revisionAgeMilliseconds / millisecondsInSecond),
		...(retryBudget === undefined ? [] : [createGauge('retry_budget', 'Retries that the node may make at once.', retryBudget)]),
	];
}

/** Records requests and hops of a node and formats its metrics. */
export class ProcessObserver {
	readonly #options: ProcessObserverOptions;
	readonly #metrics: RequestMetrics;

	constructor(options: ProcessObserverOptions) {
		this.#options = options;
		this.#metrics = new RequestMetrics(options.clock.now());
	}

	/** Counts a request that has ended at this entry node. */
	requestFinished(request: RequestRecord): void {
		this.#metrics.recordRequest(request, this.#options.clock.now());
	}

	/** Counts a response of the upstream that did not arrive completely; `cause` is a short code. */
	responseIncomplete(cause: string): void {
		this.#metrics.recordIncompleteResponse(cause);
	}

	/** Records a hop, and its span if it is sampled. */
	hopFinished(hop: HopRecord): void {
		this.#metrics.recordHop(hop.hop, hop.end - hop.start);
		this.#options.spans?.record(hop);
	}

	/** Formats the metrics as text for scraping. */
	async renderMetrics(): Promise<string> {
		const state = this.#options.readState?.();
		return renderExposition([
			...this.#metrics.toMetricFamilies(this.#options.clock.now()),
			...(state === undefined ? [] : describeState(state)),
		]);
	}

	/** Writes all spans that are still buffered. */
	async close(): Promise<void> {
		await this.#options.spans?.close();
	}
}
