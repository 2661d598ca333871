/**
The HTTP listener for liveness, readiness, metrics and explanations of requests.
*/

import type {RequestListener} from 'node:http';
import {
	formatProblem, getProblemStatus, problemMediaType, type Problem,
} from '@fireflyglade/model';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';
import type {ExplainQuery, RequestExplanation} from '../_lib/request-explainer/index.js';

/** The state that the status listener serves. */
export type StatusSource = {
	isReady(): boolean;
	renderMetrics(): Promise<string>;
	/** Explains where a request would go, without sending it. */
	explain(query: ExplainQuery): RequestExplanation;
};

const unavailableStatus = 503;
const metricsMediaType = 'text/plain; version=0.0.4; charset=utf-8';

/** Creates the request listener for `/healthz`, `/readyz`, `/metrics` and `/explain`. */
export function createStatusListener(source: StatusSource): RequestListener {
	const router = new H3({silent: true});
	router.get('/healthz', () => ({alive: true}));
	router.get('/readyz', event => {
		const ready = source.isReady();
		event.res.status = ready ? 200 : unavailableStatus;
		return {ready};
	});
	router.get('/metrics', async event => {
		event.res.headers.set('content-type', metricsMediaType);
		return source.renderMetrics();
	});
	router.get('/explain', event => {
		const explanation = explain(source, event.url.searchParams);
		if (explanation.kind !== 'invalid') {
			return explanation;
		}

		event.res.status = getProblemStatus(explanation.problem);
		event.res.headers.set('content-type', problemMediaType);
		return formatProblem(explanation.problem);
	});
	return toNodeHandler(router);
}

const explainParameters: ReadonlySet<string> = new Set(['method', 'host', 'path', 'team', 'timeout-ms']);
const methodPattern = /^[A-Z]{1,20}$/;
const hostPattern = /^[\w.:[\]-]{1,255}$/;
const timeoutPattern = /^[1-9]\d{0,9}$/;
/** Host of a query that states none. */
const defaultHost = 'localhost';

function explain(source: StatusSource, parameters: URLSearchParams): RequestExplanation {
	const detail = findFault(parameters);
	if (detail !== undefined) {
		const problem: Problem = {code: 'bad-request', outcome: 'not-run', detail};
		return {kind: 'invalid', problem};
	}

	const team = parameters.get('team');
	const timeout = parameters.get('timeout-ms');
	return source.explain({
		method: parameters.get('method')!,
		path: parameters.get('path')!,
		host: parameters.get('host') ?? defaultHost,
		...(team !== null && {team}),
		...(timeout !== null && {timeoutMilliseconds: Number(timeout)}),
	});
}

/** Returns what is wrong with the parameters; undefined if they can be used. */
function findFault(parameters: URLSearchParams): string | undefined {
	const names = [...parameters.keys()];
	if (new Set(names).size < names.length || names.some(name => !explainParameters.has(name))) {
		return `each parameter may stand once and must be one of ${[...explainParameters].join(', ')}`;
	}

	if (!methodPattern.test(parameters.get('method') ?? '')) {
		return 'method must be a method in capital letters';
	}

	if (!parameters.has('path')) {
		return 'path is missing';
	}

	if (!hostPattern.test(parameters.get('host') ?? defaultHost)) {
		return 'host must be a host name with an optional port';
	}

	return timeoutPattern.test(parameters.get('timeout-ms') ?? '1') ? undefined : 'timeout-ms must be a whole number from 1';
}
