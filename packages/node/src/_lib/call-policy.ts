/**
The policy in which the callers' listener and the egress listener differ: on
behalf of which team a call runs, and with which limits.
*/

import type {IncomingMessage} from 'node:http';
import type {
	Configuration, Problem, RequestId, Route, TeamName,
} from '@fireflyglade/model';
import type {CallSide} from '../dependencies.js';
import type {RunningRequest} from './call-table/index.js';

/** The terms that are granted to a call, or the problem with which it is refused. */
export type CallTerms =
	| {
		readonly kind: 'granted';
		readonly team?: TeamName;
		/** Secret of the caller, which is removed from all fields that are passed on. */
		readonly secret?: string;
		/** Id of the request at the root of the call tree; absent if this call is the root. */
		readonly rootId?: RequestId;
		readonly priority: number;
		/** Monotonic milliseconds. */
		readonly deadline: number;
		/** Attempts for the whole call tree, including the first. */
		readonly attempts: number;
		readonly depth: number;
		/** Probability that the run that made the call is itself a repeat, so that the call counts as one; 0 if absent. */
		readonly repeatProbability?: number;
		/** Calls that the run which made the call made before; 0 if absent. */
		readonly progress?: number;
		/** The running request that the call belongs to. */
		readonly parent?: RunningRequest;
		/** W3C trace context that the call continues. */
		readonly traceparent?: string;
		/** True if the call takes a token from the team's rate limit. */
		readonly isCharged: boolean;
	}
	| {readonly kind: 'refused'; readonly problem: Problem};

/** Decides about each call of a listener before it is sent. */
export type CallPolicy = {
	readonly side: CallSide;
	setConfiguration(configuration: Configuration): void;
	/** Decides about a call to a route. The timeout is the shorter of the caller's and the route's; `now` is in monotonic milliseconds. */
	decide(request: IncomingMessage, route: Route, timeoutMilliseconds: number, now: number): CallTerms;
};
