/**
The context that a call passes on to the calls that it makes. Each hop can only lower
the deadline, the remaining attempts and the importance.
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
	/** Attempts that may still be made for the whole call tree, including this one. */
	readonly remainingAttempts: number;
	/** Number of hops: 0 for the call of a caller. */
	readonly depth: number;
	/** W3C trace context. */
	readonly traceparent: string;
};
