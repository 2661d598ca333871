/**
The requests that run in the gate, found by the token that the gate gave with
each or by the trace id. Calls that the upstream makes take team, priority,
deadline and retries from here, never from what the upstream says.
*/

import type {CallContext} from '@fireflyglade/model';
import {SharedAttempts} from '@fireflyglade/routing';
import {createContextToken} from '../request-ids/index.js';
import {readTraceId} from '../trace-context/index.js';

/** A request that runs in the gate. */
export class RunningRequest {
	readonly #children = new Set<() => void>();
	readonly #attempts: SharedAttempts;
	#queuedMilliseconds = 0;

	/** @param token - Empty where the upstream's calls are not matched by it. */
	constructor(readonly context: CallContext, readonly token: string) {
		this.#attempts = new SharedAttempts(context.remainingAttempts);
	}

	/** Retries of the call tree that no call below has taken. */
	get retriesLeft(): number {
		return this.#attempts.unspent;
	}

	/** Takes up to `wanted` attempts for a call below, its first counted; retries that it leaves unused come back. */
	takeAttempts(wanted: number): number {
		const taken = this.#attempts.take();
		const granted = Math.max(1, Math.min(wanted, taken));
		this.#attempts.refund(taken - granted);
		return granted;
	}

	/** Takes unused retries back. */
	returnRetries(count: number): void {
		this.#attempts.refund(count);
	}

	/** Milliseconds that the calls below waited at gates. */
	get queuedMilliseconds(): number {
		return this.#queuedMilliseconds;
	}

	/** Counts the time that a call below waited at gates. */
	addQueuedTime(milliseconds: number): void {
		this.#queuedMilliseconds += milliseconds;
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

/** Milliseconds by which a call may end before its request, as times are told in whole milliseconds. */
const earliestMilliseconds = 4;
/** Milliseconds by which a call may seem to end after its request, as it may wait to be read. */
const latestMilliseconds = 16;

/** The requests that run in one gate. */
export class CallTable {
	readonly #byToken = new Map<string, RunningRequest>();
	readonly #byTrace = new Map<string, Set<RunningRequest>>();
	readonly #running = new Set<RunningRequest>();

	/** Adds a request; its token is not made where upstreams are never told it. */
	add(context: CallContext, isMatched = true): RunningRequest {
		const running = new RunningRequest(context, isMatched ? createContextToken() : '');
		this.#running.add(running);
		if (!isMatched) {
			return running;
		}

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
		this.#running.delete(running);
		if (running.token === '') {
			return;
		}

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
	Finds the request that a call most probably belongs to, where upstreams pass nothing
	on but the time that is left: the one that ends when the call does. It may be the
	wrong one, so it must decide about nothing but importance.

	@param deadline - Monotonic milliseconds at which the call ends, as it says itself.
	*/
	findByDeadline(deadline: number): RunningRequest | undefined {
		let nearest: RunningRequest | undefined;
		let smallest = Number.POSITIVE_INFINITY;
		for (const running of this.#running) {
			const lateness = deadline - running.context.deadline;
			const distance = Math.abs(lateness);
			if (lateness >= -earliestMilliseconds && lateness <= latestMilliseconds && distance < smallest) {
				nearest = running;
				smallest = distance;
			}
		}

		return nearest;
	}

	/** The priority of the least important request that runs. */
	lowestRunningPriority(): number | undefined {
		let least: number | undefined;
		for (const {context: {priority}} of this.#running) {
			least = Math.max(least ?? priority, priority);
		}

		return least;
	}

	/**
	Finds the request that a call belongs to. The token decides; a trace id does
	only while all requests of that trace have the same root.
	*/
	findParent(token: string | undefined, traceparent: string | undefined): RunningRequest | undefined {
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
