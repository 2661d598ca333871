/**
The context that a call passes on to the calls that it makes. A call through the egress
listener takes its retries from those that remain, and has no later deadline and no
greater importance than the call that made it.
*/

import type {RequestId, TeamName} from '../identifiers/index.js';

/** The context of one call in a call chain. */
export type CallContext = {
	readonly requestId: RequestId;
	/** Identifier of the caller's request that started the chain. */
	readonly rootId: RequestId;
	/** Absent on an open route, which needs no key. */
	readonly team?: TeamName | undefined;
	/** From 0, the most important, to 99. */
	readonly priority: number;
	/** Monotonic milliseconds of this process's clock. */
	readonly deadline: number;
	/** Time by which the response has its full value to the caller, in monotonic milliseconds of this process's clock; absent if the route states no latency objective. */
	readonly objective?: number | undefined;
	/** Class of the work, by which service times are estimated. */
	readonly workClass: number;
	/** Attempts that may still be made for the whole call tree, including this one. */
	readonly remainingAttempts: number;
	/** Number of hops: 0 for the call of a caller. */
	readonly depth: number;
	/** W3C trace context. */
	readonly traceparent: string;
};
