/**
The end-to-end bound on attempts.

A call starts with a number of attempts for its whole tree. Each attempt passes
part of the spare ones down to the upstream that runs it, and the calls that
this upstream makes share that part; the rest is kept for retries here. What is
passed down counts as spent unless the attempt certainly did not run or its
answer says how much is left. So no call site of the tree runs more often for
one root request than the number of attempts with which the root started.
*/

/** How the attempts of a call are divided before one attempt is sent. */
export type AttemptSplit = {
	/** Attempts that travel with this attempt, itself counted; at least 1. */
	readonly passed: number;
	/** Attempts kept for retries of this call. */
	readonly kept: number;
};

/** How an attempt ended, as far as the attempts that travelled with it are concerned. */
export type AttemptExecution =
	/** The work certainly did not run: only the attempt itself is spent. */
	| {readonly kind: 'not-run'}
	/** The work ran or may have run; `unspent` is what the answer says is left, if it says so. */
	| {readonly kind: 'ran'; readonly unspent?: number};

/**
Divides the attempts of a call between the next attempt and later retries.

@param remaining - Attempts that the call may still make for its whole tree, the next one counted; at least 1.

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
Returns the attempts that a call has left after an attempt ended; 0 allows no retry.

@example
```ts
lowerAttempts({passed: 2, kept: 1}, {kind: 'not-run'}); // 2
lowerAttempts({passed: 2, kept: 1}, {kind: 'ran'}); // 1
```
*/
export function getRemainingAttempts(split: AttemptSplit, end: AttemptExecution): number {
	const passedSpare = split.passed - 1;
	if (end.kind === 'not-run') {
		return split.kept + passedSpare;
	}

	const unspent = Math.trunc(end.unspent ?? 0);
	return split.kept + Math.min(passedSpare, Math.max(0, unspent));
}

/** The spare attempts of a request that runs, shared by the calls that its upstream makes. */
export class SharedAttempts {
	#spare: number;

	/**
	@param remaining - Attempts that came with the request, its own run counted.
	*/
	constructor(remaining: number) {
		this.#spare = Math.max(0, Math.trunc(remaining) - 1);
	}

	/** Spare attempts that nobody has taken; what the answer of the request may report as unspent. */
	get unspent(): number {
		return this.#spare;
	}

	/** Takes the attempts for one call, its first one counted; at least 1. */
	take(): number {
		const share = Math.ceil(this.#spare / 2);
		this.#spare -= share;
		return 1 + share;
	}

	/**
	Gives back the attempts that a call did not use.

	@param unspent - What `lowerAttempts` left of them, or the spare ones of a call that needed no retry.
	*/
	refund(unspent: number): void {
		this.#spare += Math.max(0, Math.trunc(unspent));
	}
}
