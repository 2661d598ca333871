/**
The requests that run in the gate, found by the token that the gate gave with
each or by the trace id. Calls that the upstream makes take team, priority,
deadline and retries from here, never from what the upstream says.
*/

import type {CallContext} from '@fireflyglade/model';
import {createContextToken} from '../request-ids/index.js';
import {readTraceId} from '../trace-context/index.js';

/** A request that runs in the gate. */
export class RunningRequest {
	readonly context: CallContext;
	readonly token = createContextToken();
	readonly #children = new Set<() => void>();
	#retriesLeft: number;

	constructor(context: CallContext) {
		this.context = context;
		this.#retriesLeft = Math.max(0, context.remainingAttempts - 1);
	}

	/** Retries of the call tree that no call below has taken. */
	get retriesLeft(): number {
		return this.#retriesLeft;
	}

	/** Takes up to `wanted` retries for a call below; what it leaves unused comes back. */
	takeRetries(wanted: number): number {
		const taken = Math.min(wanted, this.#retriesLeft);
		this.#retriesLeft -= taken;
		return taken;
	}

	/** Takes unused retries back. */
	returnRetries(count: number): void {
		this.#retriesLeft += count;
	}

	/** Registers a call below, to be cancelled with this request; returns a function that ends this. */
	addChild(cancel: () => void): () => void {
		this.#children.add(cancel);
		return () => {
			this.#children.delete(cancel);
		};
	}

	/** Cancels the calls below. */
	cancelChildren(): void {
		for (const cancel of this.#children) {
			cancel();
		}

		this.#children.clear();
	}
}

/** The requests that run in one gate. */
export class CallTable {
	readonly #byToken = new Map<string, RunningRequest>();
	readonly #byTrace = new Map<string, Set<RunningRequest>>();

	add(context: CallContext): RunningRequest {
		const running = new RunningRequest(context);
		this.#byToken.set(running.token, running);
		const traceId = readTraceId(context.traceparent);
		if (traceId !== undefined) {
			const sameTrace = this.#byTrace.get(traceId);
			if (sameTrace === undefined) {
				this.#byTrace.set(traceId, new Set([running]));
			} else {
				sameTrace.add(running);
			}
		}

		return running;
	}

	remove(running: RunningRequest): void {
		this.#byToken.delete(running.token);
		const traceId = readTraceId(running.context.traceparent);
		const sameTrace = traceId === undefined ? undefined : this.#byTrace.get(traceId);
		if (sameTrace === undefined) {
			return;
		}

		sameTrace.delete(running);
		if (sameTrace.size === 0) {
			this.#byTrace.delete(traceId!);
		}
	}

	/**
	Finds the request that a call belongs to. The token decides; a trace id does
	only while all requests of that trace have the same root.
	*/
	find(token: string | undefined, traceparent: string | undefined): RunningRequest | undefined {
		if (token !== undefined) {
			return this.#byToken.get(token);
		}

		const traceId = readTraceId(traceparent);
		const sameTrace = traceId === undefined ? undefined : this.#byTrace.get(traceId);
		return sameTrace === undefined ? undefined : latestOfOneRoot(sameTrace);
	}
}

function latestOfOneRoot(requests: ReadonlySet<RunningRequest>): RunningRequest | undefined {
	let latest: RunningRequest | undefined;
	for (const request of requests) {
		if (latest !== undefined && latest.context.rootId !== request.context.rootId) {
			return undefined;
		}

		latest = request;
	}

	return latest;
}
