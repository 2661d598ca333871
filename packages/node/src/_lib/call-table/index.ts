/**
The requests that run in the gate, indexed by the context token that the gate sent
with each and by trace id. Calls that the upstream makes inherit team, priority,
deadline and retries from their entry here, never from what the upstream states.
*/

import type {CallContext} from '@fireflyglade/model';
import {SharedAttempts} from '@fireflyglade/routing';
import {createContextToken, isRepeatedAttempt} from '../request-ids/index.js';
import {readTraceId} from '../trace-context/index.js';

/** A request that runs in the gate. */
export class RunningRequest {
	/** True if the request or one above it in its call tree runs again, so that its calls count as repeats. */
	readonly isRepeat: boolean;
	readonly #children = new Set<() => void>();
	readonly #attempts: SharedAttempts;
	#queuedMilliseconds = 0;
	#callCount = 0;

	/** @param token - Context token; empty if the upstream's calls are not matched by token. */
	constructor(readonly context: CallContext, readonly token: string) {
		this.#attempts = new SharedAttempts(context.remainingAttempts);
		this.isRepeat = isRepeatedAttempt(context.requestId);
	}

	/** Retries of the call tree that no downstream call has taken. */
	get retriesLeft(): number {
		return this.#attempts.unspent;
	}

	/** Counts a downstream call. Returns the number of those before it. */
	countCall(): number {
		return this.#callCount++;
	}

	/** Takes up to `wanted` attempts, including the first, for a downstream call; at least 1. Unused retries are returned later with `returnRetries`. */
	takeAttempts(wanted: number): number {
		const taken = this.#attempts.take();
		const granted = Math.max(1, Math.min(wanted, taken));
		this.#attempts.refund(taken - granted);
		return granted;
	}

	/** Returns retries that a downstream call did not use. */
	returnRetries(count: number): void {
		this.#attempts.refund(count);
	}

	/** Milliseconds that the downstream calls were queued at gates. */
	get queuedMilliseconds(): number {
		return this.#queuedMilliseconds;
	}

	/** Adds the time that a downstream call was queued at gates. */
	addQueuedTime(milliseconds: number): void {
		this.#queuedMilliseconds += milliseconds;
	}

	/** Registers a downstream call that is cancelled with this request. Returns a function that unregisters it. */
	addChild(cancel: () => void): () => void {
		this.#children.add(cancel);
		return () => {
			this.#children.delete(cancel);
		};
	}

	/** Cancels all registered downstream calls. */
	cancelChildren(): void {
		for (const cancel of this.#children) {
			cancel();
		}

		this.#children.clear();
	}
}

/** Milliseconds by which the deadline of a call may lie before that of its request, as timeouts are stated in whole milliseconds. */
const maximumEarlyMilliseconds = 4;
/** Milliseconds by which the deadline of a call may appear to lie after that of its request, as the call may wait before it is read. */
const maximumLateMilliseconds = 16;

/** The requests that run in one gate. */
export class CallTable {
	readonly #byToken = new Map<string, RunningRequest>();
	readonly #byTrace = new Map<string, Set<RunningRequest>>();
	readonly #running = new Set<RunningRequest>();

	/**
	Adds a request.

	@param hasToken - False where upstreams receive no context token; the request can then only be found by its deadline.
	*/
	add(context: CallContext, hasToken = true): RunningRequest {
		const running = new RunningRequest(context, hasToken ? createContextToken() : '');
		this.#running.add(running);
		if (!hasToken) {
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

	/** Removes a request that has ended. */
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
	Finds the request that a call most probably belongs to, where upstreams pass on
	nothing but the remaining time: the one with the nearest deadline. The match may be
	wrong, so it must decide about nothing but importance, the order of retries and the count of repeats.

	@param deadline - Deadline that the call states, in monotonic milliseconds.
	*/
	findByDeadline(deadline: number): RunningRequest | undefined {
		let nearest: RunningRequest | undefined;
		let smallest = Number.POSITIVE_INFINITY;
		for (const running of this.#running) {
			const distance = Math.abs(deadline - running.context.deadline);
			if (distance < smallest && isNear(deadline, running.context.deadline)) {
				nearest = running;
				smallest = distance;
			}
		}

		return nearest;
	}

	/**
	The probability that a call belongs to a run that is itself a repeat. A call whose
	deadline matches several requests counts as a repeat if one of them is, so that
	repeats are never counted too low. A call that matches none counts by the fraction of
	repeats among the running requests.

	@param deadline - Deadline that the call states, in monotonic milliseconds; undefined if it states none.
	*/
	estimateRepeatProbability(deadline: number | undefined): number {
		let repeats = 0;
		let hasMatch = false;
		for (const running of this.#running) {
			const isMatch = deadline !== undefined && isNear(deadline, running.context.deadline);
			if (isMatch && running.isRepeat) {
				return 1;
			}

			hasMatch ||= isMatch;
			repeats += Number(running.isRepeat);
		}

		return hasMatch || repeats === 0 ? 0 : repeats / this.#running.size;
	}

	/** The priority of the least important running request, which is the largest number; undefined if none runs. */
	lowestRunningPriority(): number | undefined {
		let least: number | undefined;
		for (const {context: {priority}} of this.#running) {
			least = Math.max(least ?? priority, priority);
		}

		return least;
	}

	/**
	Finds the request that a call belongs to. If the call states a token, only the token
	counts. Otherwise the request that was added last with the call's trace id is found,
	but only if all running requests of that trace have the same root.
	*/
	findParent(token: string | undefined, traceparent: string | undefined): RunningRequest | undefined {
		if (token !== undefined) {
			return this.#byToken.get(token);
		}

		const traceId = readTraceId(traceparent);
		const sameTrace = traceId === undefined ? undefined : this.#byTrace.get(traceId);
		return sameTrace === undefined ? undefined : findLatestOfSingleRoot(sameTrace);
	}
}

/** True if a call with the first deadline may belong to a request with the second one. */
function isNear(callDeadline: number, requestDeadline: number): boolean {
	const lateness = callDeadline - requestDeadline;
	return lateness >= -maximumEarlyMilliseconds && lateness <= maximumLateMilliseconds;
}

function findLatestOfSingleRoot(requests: ReadonlySet<RunningRequest>): RunningRequest | undefined {
	let latest: RunningRequest | undefined;
	for (const request of requests) {
		if (latest !== undefined && latest.context.rootId !== request.context.rootId) {
			return undefined;
		}

		latest = request;
	}

	return latest;
}
