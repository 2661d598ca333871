/**
The policy of the egress listener, which takes the calls that the upstream makes. A
call inherits team, priority, deadline, retries and root from the running request
that it belongs to. A call that belongs to none may use open routes only, without
retries and at the lowest priority.
*/

import type {IncomingMessage} from 'node:http';
import {
	lowestPriority, maximumCallDepth,
	type Route,
} from '@fireflyglade/model';
import type {CallPolicy, CallTerms} from '../call-policy.js';
import type {CallTable, RunningRequest} from '../call-table/index.js';
import {mayUseRoute, readSecret} from '../caller-identity/index.js';
import {contextField} from '../peer-fields/index.js';
import {readTraceId} from '../trace-context/index.js';

/** Decides about calls that the upstream makes. */
export class EgressPolicy implements CallPolicy {
	readonly #calls: CallTable;

	constructor(calls: CallTable) {
		this.#calls = calls;
	}

	get side(): 'egress' {
		return 'egress';
	}

	setConfiguration(): void {
		// Egress calls are not authenticated by keys, so nothing of the configuration is kept.
	}

	decide(request: IncomingMessage, route: Route, timeoutMilliseconds: number, now: number): CallTerms {
		const {traceparent, authorization} = request.headers;
		const token = request.headers[contextField];
		const parent = this.#calls.findParent(
			typeof token === 'string' ? token : undefined,
			typeof traceparent === 'string' ? traceparent : undefined,
		);
		const secret = readSecret(authorization);
		const common = {
			...(secret === undefined ? {} : {secret}),
			...(typeof traceparent === 'string' ? {traceparent} : {}),
			isCharged: false,
		};
		return parent === undefined
			? createUnmatchedTerms(route, now + timeoutMilliseconds, common)
			: createMatchedTerms(parent, route, now + timeoutMilliseconds, common);
	}
}

type CommonTerms = {
	readonly secret?: string;
	readonly traceparent?: string;
	readonly isCharged: boolean;
};

function createUnmatchedTerms(route: Route, deadline: number, common: CommonTerms): CallTerms {
	if (!route.open) {
		return {kind: 'refused', problem: {code: 'key-missing', outcome: 'not-run', detail: 'the call belongs to no running request, and the route is not open to all'}};
	}

	return {
		kind: 'granted', priority: lowestPriority, deadline, attempts: 1, depth: 1, ...common,
	};
}

/** Keeps a call in the trace of its request, even if it states another trace. */
function continueTrace(statedTraceparent: string | undefined, parentTraceparent: string): string {
	return statedTraceparent !== undefined && readTraceId(statedTraceparent) === readTraceId(parentTraceparent) ? statedTraceparent : parentTraceparent;
}

function createMatchedTerms(parent: RunningRequest, route: Route, deadline: number, common: CommonTerms): CallTerms {
	const {team, rootId, priority, depth, deadline: parentDeadline} = parent.context;
	if (depth + 1 > maximumCallDepth) {
		return {kind: 'refused', problem: {code: 'bad-request', outcome: 'not-run', detail: `the call chain is deeper than ${maximumCallDepth}`}};
	}

	if (!route.open && team === undefined) {
		return {kind: 'refused', problem: {code: 'key-missing', outcome: 'not-run', detail: 'the call belongs to a request without a team, and the route is not open to all'}};
	}

	if (team !== undefined && !mayUseRoute(team, route)) {
		return {kind: 'refused', problem: {code: 'route-forbidden', outcome: 'not-run', detail: 'the route belongs to other teams'}};
	}

	return {
		kind: 'granted',
		...(team === undefined ? {} : {team}),
		rootId,
		priority,
		deadline: Math.min(deadline, parentDeadline),
		attempts: parent.takeAttempts(route.retryLimit + 1),
		depth: depth + 1,
		repeatProbability: Number(parent.isRepeat),
		progress: parent.countCall(),
		parent,
		...common,
		traceparent: continueTrace(common.traceparent, parent.context.traceparent),
	};
}
