/**
What differs between the callers' listener and the egress listener: for whom a
call runs, and with which limits.
*/

import type {IncomingMessage} from 'node:http';
import type {
	Configuration, Problem, RequestId, Route, TeamName,
} from '@fireflyglade/model';
import type {CallSide} from '../dependencies.js';
import type {RunningRequest} from './call-table/index.js';

/** Under which terms a call may go on. */
export type CallTerms =
	| {
		readonly kind: 'granted';
		readonly team?: TeamName;
		/** Must not be passed on by any name. */
		readonly secret?: string;
		/** Absent if the call begins a chain of its own. */
		readonly rootId?: RequestId;
		readonly priority: number;
		/** Monotonic milliseconds. */
		readonly deadline: number;
		/** Attempts for the whole call tree, the first counted. */
		readonly attempts: number;
		readonly depth: number;
		/** The running request that the call belongs to. */
		readonly parent?: RunningRequest;
		/** Trace context that the call continues. */
		readonly traceparent?: string;
		/** True if a token of the team's rate is due. */
		readonly isCharged: boolean;
	}
	| {readonly kind: 'refused'; readonly problem: Problem};

/** Decides under which terms calls may go on. */
export type CallPolicy = {
	readonly side: CallSide;
	setConfiguration(configuration: Configuration): void;
	decide(request: IncomingMessage, route: Route, timeoutMilliseconds: number, now: number): CallTerms;
};
