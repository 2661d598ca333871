/**
Types of a parsed scenario. Times are in milliseconds since the start of the
scenario.
*/

/** An upstream and the node in its VM. */
export type ScenarioUpstream = {
	readonly kind: 'upstream';
	readonly node: string;
	readonly service: string;
	readonly domain: string;
	readonly slots: number;
	/** Duration of a request while the upstream has a free slot. */
	readonly serviceMilliseconds: number;
};

/** A caller that sends requests at a constant rate. */
export type ScenarioCaller = {
	readonly kind: 'caller';
	readonly name: string;
	/** Id of the API key that it sends; absent if it sends none. */
	readonly key?: string;
	readonly method: string;
	readonly path: string;
	readonly domain: string;
	readonly ratePerSecond: number;
	readonly from: number;
	readonly until: number;
	/** True if each request carries a job key; the caller then sends it again with the same key, as after an unknown outcome. */
	readonly jobs: boolean;
};

/** A fault, a recovery or an operator statement that a scenario injects. */
export type ScenarioFault =
	| {readonly kind: 'slow'; readonly node: string; readonly serviceMilliseconds: number}
	| {readonly kind: 'crash'; readonly node: string}
	| {readonly kind: 'restart'; readonly node: string}
	| {readonly kind: 'leave'; readonly node: string}
	| {readonly kind: 'cut'; readonly domain: string}
	| {readonly kind: 'heal'}
	| {readonly kind: 'statement'; readonly text: string};

/** A fault and the time at which it is injected. */
export type ScenarioEvent = {
	readonly kind: 'event';
	readonly at: number;
	readonly fault: ScenarioFault;
	/** Line in the scenario text, from 1. */
	readonly line: number;
};

/** The quantity that an expectation measures. */
export type ScenarioMeasure =
	/** Fraction of the requests of a caller that received a complete answer, from 0 to 1. */
	| {readonly kind: 'goodput'; readonly caller: string}
	/** Number of requests of a caller that were admitted. */
	| {readonly kind: 'admitted'; readonly caller: string}
	/** Number of requests of a caller that the rate limit of its team refused. */
	| {readonly kind: 'refusals by rate'; readonly caller: string}
	/** Highest number of runs of a single job of a caller; a request without a job key counts as a job. */
	| {readonly kind: 'runs'; readonly caller: string}
	/** Number of runs that started for a caller. */
	| {readonly kind: 'starts'; readonly caller: string}
	/** Number of runs that started at an upstream. */
	| {readonly kind: 'work'; readonly node: string}
	/** Number of requests of a caller that were answered `not-run` although they had run. */
	| {readonly kind: 'false refusals'; readonly caller: string};

/** A bound on a measure over a window of time. */
export type ScenarioExpectation = {
	readonly kind: 'expectation';
	readonly measure: ScenarioMeasure;
	readonly bound: 'at least' | 'at most';
	readonly value: number;
	readonly from: number;
	readonly until: number;
	/** Line in the scenario text, from 1. */
	readonly line: number;
	/** Source line of the expectation, trimmed. */
	readonly text: string;
};

/** A parsed scenario. */
export type Scenario = {
	readonly upstreams: readonly ScenarioUpstream[];
	readonly callers: readonly ScenarioCaller[];
	readonly events: readonly ScenarioEvent[];
	readonly expectations: readonly ScenarioExpectation[];
	/** Time at which the scenario ends. */
	readonly end: number;
};
