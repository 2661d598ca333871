/**
Problems on connections that have no request to answer: bytes that are not a valid
request, and connections that are refused.
*/

import {
	formatProblem, httpStatusByProblemCode, type Problem, type ProblemCode,
} from '@fireflyglade/model';
import {problemFields} from '../../http-response/index.js';

/** Returns the problem of bytes that are not a valid request. */
export function createClientProblem(code: string | undefined, mayHaveRun: boolean): Problem {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return {code: 'header-too-large', outcome: 'not-run', detail: 'the header fields are too large'};
	}

	if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		return {code: 'request-timeout', outcome: 'not-run', detail: 'the request did not come whole in time'};
	}

	return {code: 'bad-request', outcome: mayHaveRun ? 'unknown' : 'not-run', detail: 'the request is not well-formed HTTP'};
}

const reasonPhrases: Partial<Record<ProblemCode, string>> = {
	'header-too-large': 'Request Header Fields Too Large',
	'bad-request': 'Bad Request',
	'request-timeout': 'Request Timeout',
	overloaded: 'Service Unavailable',
};

/** Formats a problem as a complete response that closes its connection. */
export function formatRawProblem(problem: Problem): string {
	const body = formatProblem(problem);
	const fields = {...problemFields(problem), 'content-length': String(Buffer.byteLength(body)), connection: 'close'};
	const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${httpStatusByProblemCode[problem.code]} ${reasonPhrases[problem.code] ?? 'Error'}\r\n${lines.join('')}\r\n${body}`;
}
