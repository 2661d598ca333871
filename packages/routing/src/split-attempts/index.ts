/**
An end-to-end limit on retries across a tree of calls.

A call starts with a number of attempts for its whole tree. Each attempt passes
part of the spare attempts to the upstream that runs it, where they are shared
by the calls that the upstream makes; the rest is kept for retries of the call
itself. Attempts that were passed on count as spent unless the attempt certainly
did not run or its answer reports how many are left. As a result, no call site
of the tree runs more often for one root request than the number of attempts
with which the root request started.
*/

/** The attempts of a call, divided before an attempt is sent. */
export type AttemptSplit = {
	/** Attempts passed on with this attempt, including itself; at least 1. */
	readonly passed: number;
	/** Attempts kept for retries of this call. */
	readonly kept: number;
};

/** Whether an attempt ran, which determines how many of its passed attempts are spent. */
export type AttemptExecution =
	/** The request certainly did not run: only the attempt itself is spent. */
	| {readonly kind: 'not-run'}
	/** The request ran or may have run; `unspent` is the number of attempts left according to the answer, if it reports one. */
	| {readonly kind: 'ran'; readonly unspent?: number};

/**
Divides the attempts of a call between the next attempt and later retries.

@param remaining - Attempts that the call may still make for its whole tree, including the next one; at least 1.

@example
```ts
splitAttempts(3); // {passed: 2, kept: 1}
```
*/
export function splitAttempts(remaining: number): AttemptSplit {
	const spare = Math.max(0, Math.trunc(remaining) - 1);
	const kept = Math.ceil(spare / 2);
	return {passed: 1 + spare - kept, kept};
}

/**
Returns the number of attempts that a call has left after an attempt; 0 allows no retry.

@example
```ts
getRemainingAttempts({passed: 2, kept: 1}, {kind: 'not-run'}); // 2
getRemainingAttempts({passed: 2, kept: 1}, {kind: 'ran'}); // 1
```
*/
export function getRemainingAttempts(split: AttemptSplit, execution: AttemptExecution): number {
	const passedSpare = split.passed - 1;
	if (execution.kind === 'not-run') {
		return split.kept + passedSpare;
	}

	const unspent = Math.trunc(execution.unspent ?? 0);
	return split.kept + Math.min(passedSpare, Math.max(0, unspent));
}

/** The spare attempts of a request that runs, shared by the calls that its upstream makes. */
export class SharedAttempts {
	#spare: number;

	/**
	@param remaining - Attempts that were passed on with the request, including its own run.
	*/
	constructor(remaining: number) {
		this.#spare = Math.max(0, Math.trunc(remaining) - 1);
	}

	/** Spare attempts that no call has taken; the answer to the request may report them as unspent. */
	get unspent(): number {
		return this.#spare;
	}

	/** Takes the attempts for one call, including its first one; at least 1. */
	take(): number {
		const share = Math.ceil(this.#spare / 2);
		this.#spare -= share;
		return 1 + share;
	}

	/**
	Adds attempts that a call did not use back to the spare ones.

	@param unspent - The attempts left according to `getRemainingAttempts`, or the spare ones of a call that needed no retry.
	*/
	refund(unspent: number): void {
		this.#spare += Math.max(0, Math.trunc(unspent));
	}
}
