/**
Watches what a node does: counts, latencies, spans and the state of the moment.
*/

import {millisecondsInSecond, type Clock, type GateLevel} from '@fireflyglade/model';
import type {MetricFamily} from '../metric-families/index.js';
import {renderExposition} from '../render-exposition/index.js';
import {RequestMetrics, type RequestRecord} from '../request-metrics/index.js';
import type {HopRecord, SpanRecorder} from '../span-recorder/index.js';

/** The state of a node at one moment. */
export type NodeState = {
	/** Absent if no upstream announced itself. */
	readonly level?: GateLevel;
	readonly revision: number;
	/** Milliseconds since the revision came into force at the node. */
	readonly revisionAgeMilliseconds: number;
	/** Retries that the node may make at once. */
	readonly retryBudget?: number;
};

/** Options of a node's observer. */
export type ProcessObserverOptions = {
	readonly clock: Clock;
	/** Reads the state of the moment; called at each scrape. */
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

function describeState({level, revision, revisionAgeMilliseconds, retryBudget}: NodeState): readonly MetricFamily[] {
	return [
		...(level === undefined ? [] : describeLevel(level)),
		createGauge('revision', 'Revision of the configuration in force.', revision),
		createGauge('revision_age_seconds', 'Time since the revision came into force here.', revisionAgeMilliseconds / millisecondsInSecond),
		...(retryBudget === undefined ? [] : [createGauge('retry_budget', 'Retries that the node may make at once.', retryBudget)]),
	];
}

/** Watches what a node does. */
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

	/** Records a hop, and its span if it is sampled. */
	hopFinished(hop: HopRecord): void {
		this.#metrics.recordHop(hop.hop, hop.end - hop.start);
		this.#options.spans?.record(hop);
	}

	/** Writes the metrics as text for scraping. */
	async renderMetrics(): Promise<string> {
		const state = this.#options.readState?.();
		return renderExposition([
			...this.#metrics.toMetricFamilies(this.#options.clock.now()),
			...(state === undefined ? [] : describeState(state)),
		]);
	}

	/** Writes what is still held back. */
	async close(): Promise<void> {
		await this.#options.spans?.close();
	}
}
