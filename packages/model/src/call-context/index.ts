/**
What a call carries down its chain. Each hop can only lower the deadline, the
remaining attempts and the importance.
*/

import type {RequestId, TeamName} from '../identifiers/index.js';

/** What a call carries down its chain. */
export type CallContext = {
	readonly requestId: RequestId;
	/** The request of a caller from which the chain began. */
	readonly rootId: RequestId;
	/** Absent on a route open to all. */
	readonly team?: TeamName | undefined;
	/** From 0, the most important, to 99. */
	readonly priority: number;
	/** Monotonic milliseconds of this process's clock. */
	readonly deadline: number;
	/** Attempts that may still be made for the whole call tree, this one counted. */
	readonly remainingAttempts: number;
	/** 0 for the call of a caller, one more at each hop. */
	readonly depth: number;
	/** W3C trace context. */
	readonly traceparent: string;
};
