/**
Error responses that the system generates itself, according to RFC 9457 (problem details).

`outcome` states whether the request may have run: `not-run` is sent only if it is
certain that the gate never started to write the request to the upstream.
*/

/** Whether a request without a response from the upstream may have run. */
export type ProblemOutcome = 'not-run' | 'unknown';

/** Stable codes of the error responses that the system generates. */
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

/** HTTP status of each problem code. */
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

/** An error response that the system generates itself. */
export type Problem = {
	readonly code: ProblemCode;
	readonly outcome: ProblemOutcome;
	/** Human-readable explanation; it never contains a key. */
	readonly detail: string;
	/** Milliseconds after which a retry may succeed; absent if waiting doesn't help. */
	readonly retryAfterMilliseconds?: number;
};

/** Statuses that tell the caller that the request did not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);
const badGatewayStatus = 502;
const serviceUnavailableStatus = 503;
/** Statuses that promise nothing, so that a caller can't try a request again that may run once. */
const unknownOutcomeStatuses: ReadonlySet<number> = new Set([502, 504]);

/**
Returns the HTTP status of a problem. Statuses that mean that the request did not run
are replaced by 502 if the outcome is unknown, and statuses that leave it open by 503
if it certainly did not run.
*/
export function getProblemStatus({code, outcome}: Pick<Problem, 'code' | 'outcome'>): number {
	const status = httpStatusByProblemCode[code];
	switch (outcome) {
		case 'unknown': {
			return notRunStatuses.has(status) ? badGatewayStatus : status;
		}

		case 'not-run': {
			return unknownOutcomeStatuses.has(status) ? serviceUnavailableStatus : status;
		}
	}
}

/** Media type of a problem. */
export const problemMediaType = 'application/problem+json';

/**
Formats the JSON body of a problem.

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
