/**
The time in which an answer to a request is worth most.
*/

/** The times that limit a request, as monotonic milliseconds. */
type TimeLimits = {
	/** Absent if there is no latency objective. */
	readonly objective?: number | undefined;
	/** Absent if the request has no deadline. */
	readonly deadline?: number | undefined;
};

/**
Returns the milliseconds until the objective or the deadline, whichever is first, and until the deadline
once the objective has passed. The result is negative if both have passed, or the objective without a deadline.
*/
export function getRemainingTime({objective, deadline = Number.POSITIVE_INFINITY}: TimeLimits, now: number): number {
	if (objective === undefined || (objective <= now && Number.isFinite(deadline))) {
		return deadline - now;
	}

	return Math.min(objective, deadline) - now;
}
