/**
The problems with which a gate answers requests.
*/

import type {RefusalReason} from '@fireflyglade/admission';
import {UnreachableError, type Problem} from '@fireflyglade/model';
import {BodyTooLargeError} from '@fireflyglade/transport';
import {ForeignResponseError} from '../classify-response/index.js';

/** The problem of a request to an upstream that is draining. */
export const drainingProblem: Problem = {
	code: 'draining', outcome: 'not-run', detail: 'the upstream takes no new work', retryAfterMilliseconds: 0,
};

/** Creates the problem of a request that failed after sending it had started. */
export function failureProblem(cause: Error): Problem {
	if (cause instanceof BodyTooLargeError) {
		return {code: 'body-too-large', outcome: 'unknown', detail: cause.message};
	}

	if (cause instanceof ForeignResponseError) {
		return {code: 'upstream-failed', outcome: 'unknown', detail: cause.message};
	}

	return {code: 'upstream-failed', outcome: 'unknown', detail: 'the upstream broke off before it answered'};
}

/** Creates the problem of a request that admission refused. */
export function refusalProblem(reason: RefusalReason, retryAfterMilliseconds: number): Problem {
	switch (reason) {
		case 'queue-full': {
			return {
				code: 'overloaded', outcome: 'not-run', detail: 'the queue is full', retryAfterMilliseconds,
			};
		}

		case 'shed': {
			return {
				code: 'overloaded', outcome: 'not-run', detail: 'requests of this priority are shed', retryAfterMilliseconds,
			};
		}

		case 'deadline': {
			return {
				code: 'queue-timeout', outcome: 'not-run', detail: 'the deadline can no longer be met', retryAfterMilliseconds,
			};
		}

		case 'draining':
		case 'cancelled': {
			return drainingProblem;
		}

		default: {
			throw new UnreachableError(reason);
		}
	}
}
