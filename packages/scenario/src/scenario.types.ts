/**
A scenario as typed values. Times are milliseconds from its start.
*/

/** An upstream with the node beside it. */
export type ScenarioUpstream = {
	readonly kind: 'upstream';
	readonly node: string;
	readonly service: string;
	readonly domain: string;
	readonly slots: number;
	/** Milliseconds that a request takes while there are enough slots. */
	readonly serviceMilliseconds: number;
};

/** A caller that sends requests at an even rate. */
export type ScenarioCaller = {
	readonly kind: 'caller';
	readonly name: string;
	/** Id of the key that it shows. */
	readonly key?: string;
	readonly method: string;
	readonly path: string;
	readonly domain: string;
	readonly ratePerSecond: number;
	readonly from: number;
	readonly until: number;
	/** True if each request names a job, and is sent again under the same name when its outcome is unknown. */
	readonly jobs: boolean;
};

/** A fault or a planned change. */
export type ScenarioFault =
	| {readonly kind: 'slow'; readonly node: string; readonly serviceMilliseconds: number}
	| {readonly kind: 'crash'; readonly node: string}
	| {readonly kind: 'restart'; readonly node: string}
	| {readonly kind: 'leave'; readonly node: string}
	| {readonly kind: 'cut'; readonly domain: string}
	| {readonly kind: 'heal'}
	| {readonly kind: 'statement'; readonly text: string};

/** Something that happens at a time. */
export type ScenarioEvent = {
	readonly kind: 'event';
	readonly at: number;
	readonly fault: ScenarioFault;
	readonly line: number;
};

/** What is counted. */
export type ScenarioMeasure =
	/** Share of the requests of a caller that were answered whole, from 0 to 1. */
	| {readonly kind: 'goodput'; readonly caller: string}
	/** Requests of a caller that were admitted. */
	| {readonly kind: 'admitted'; readonly caller: string}
	/** Requests of a caller that were refused by their team's rate. */
	| {readonly kind: 'refusals by rate'; readonly caller: string}
	/** Highest number of runs of one request or job of a caller. */
	| {readonly kind: 'runs'; readonly caller: string}
	/** Requests of a caller that began to run. */
	| {readonly kind: 'starts'; readonly caller: string}
	/** Requests that began to run at an upstream. */
	| {readonly kind: 'work'; readonly node: string}
	/** Requests of a caller that were told `not-run` and yet ran. */
	| {readonly kind: 'false refusals'; readonly caller: string};

/** A stated outcome. */
export type ScenarioExpectation = {
	readonly kind: 'expectation';
	readonly measure: ScenarioMeasure;
	readonly bound: 'at least' | 'at most';
	readonly value: number;
	readonly from: number;
	readonly until: number;
	readonly line: number;
	/** The line as written. */
	readonly text: string;
};

/** A parsed scenario. */
export type Scenario = {
	readonly upstreams: readonly ScenarioUpstream[];
	readonly callers: readonly ScenarioCaller[];
	readonly events: readonly ScenarioEvent[];
	readonly expectations: readonly ScenarioExpectation[];
	/** Milliseconds at which the scenario ends. */
	readonly end: number;
};
