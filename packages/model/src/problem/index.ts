/**
Answers that the system makes itself, after RFC 9457 (problem details).

`outcome` tells whether the work may have run: `not-run` is sent only where the
gate certainly never began to write the request to the upstream.
*/

/** What is known about the work behind a request that was not answered by the upstream. */
export type ProblemOutcome = 'not-run' | 'unknown';

/** Stable names of the answers that the system makes itself. */
export type ProblemCode =
	| 'key-missing'
	| 'key-unknown'
	| 'route-forbidden'
	| 'route-not-found'
	| 'method-not-allowed'
	| 'rate-exceeded'
	| 'overloaded'
	| 'queue-timeout'
	| 'draining'
	| 'no-upstream'
	| 'cut-off'
	| 'no-configuration'
	| 'no-quorum'
	| 'deadline-exceeded'
	| 'upstream-failed'
	| 'outcome-unknown'
	| 'job-running'
	| 'job-outcome-unknown'
	| 'job-mismatch'
	| 'job-answer-expired'
	| 'bad-request'
	| 'request-timeout'
	| 'header-too-large'
	| 'body-too-large'
	| 'path-too-long'
	| 'expectation-failed'
	| 'peer-refused'
	| 'internal';

/** HTTP status of each problem. */
export const httpStatusByProblemCode: Readonly<Record<ProblemCode, number>> = {
	'key-missing': 401,
	'key-unknown': 401,
	'route-forbidden': 403,
	'route-not-found': 404,
	'method-not-allowed': 405,
	'rate-exceeded': 429,
	overloaded: 503,
	'queue-timeout': 503,
	draining: 503,
	'no-upstream': 503,
	'cut-off': 503,
	'no-configuration': 503,
	'no-quorum': 503,
	'deadline-exceeded': 504,
	'upstream-failed': 502,
	'outcome-unknown': 502,
	'job-running': 409,
	'job-outcome-unknown': 409,
	'job-mismatch': 409,
	'job-answer-expired': 409,
	'bad-request': 400,
	'request-timeout': 408,
	'header-too-large': 431,
	'body-too-large': 413,
	'path-too-long': 414,
	'expectation-failed': 417,
	'peer-refused': 403,
	internal: 500,
};

/** An answer that the system makes itself. */
export type Problem = {
	readonly code: ProblemCode;
	readonly outcome: ProblemOutcome;
	/** A sentence for people; it never holds a key. */
	readonly detail: string;
	/** Milliseconds after which a retry may help, where waiting helps. */
	readonly retryAfterMilliseconds?: number;
};

/** Statuses that say that the work did not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);
const badGatewayStatus = 502;

/** HTTP status of a problem; one that says that the work did not run is given only where that is certain. */
export function getProblemStatus({code, outcome}: Pick<Problem, 'code' | 'outcome'>): number {
	const status = httpStatusByProblemCode[code];
	return outcome === 'unknown' && notRunStatuses.has(status) ? badGatewayStatus : status;
}

/** Media type of a problem. */
export const problemMediaType = 'application/problem+json';

/**
Writes the JSON body of a problem.

@example
```ts
formatProblem({code: 'overloaded', outcome: 'not-run', detail: 'the queue is full'});
```
*/
export function formatProblem(problem: Problem): string {
	return JSON.stringify({
		type: `urn:fireflyglade:problem:${problem.code}`,
		title: problem.code,
		status: getProblemStatus(problem),
		code: problem.code,
		outcome: problem.outcome,
		detail: problem.detail,
	});
}
