/**
Reads the header fields by which a caller says how its call is to be treated.
*/

import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import type {JobKey, Problem} from '@fireflyglade/model';

/** What a caller says of its call. */
export type CallFields =
	| {readonly kind: 'fields'; readonly timeoutMilliseconds?: number; readonly job?: JobKey}
	| {readonly kind: 'refused'; readonly problem: Problem};

const jobPattern = /^[\u0020-\u007E]{1,255}$/;
const timeoutPattern = /^[1-9]\d{0,9}$/;

function refuse(detail: string): CallFields {
	return {kind: 'refused', problem: {code: 'bad-request', outcome: 'not-run', detail}};
}

/** Reads the remaining time and the job of a call. */
export function readCallFields(headers: IncomingHttpHeaders, timeoutField: string): CallFields {
	const timeout = headers[timeoutField];
	if (timeout !== undefined && !(typeof timeout === 'string' && timeoutPattern.test(timeout))) {
		return refuse(`${timeoutField} must be a whole number from 1`);
	}

	const job = headers['idempotency-key'];
	if (job !== undefined && !(typeof job === 'string' && jobPattern.test(job))) {
		return refuse('idempotency-key must hold 1 to 255 printable characters of ASCII');
	}

	return {
		kind: 'fields',
		...(timeout === undefined ? {} : {timeoutMilliseconds: Number(timeout)}),
		...(job === undefined ? {} : {job: job as JobKey}),
	};
}

/** SHA-256 of method, path and body: another request can't pass under the same job. */
export function fingerprintJob(method: string, path: string, body: Uint8Array | undefined): string {
	const hash = createHash('sha256').update(`${method} ${path}\n`);
	if (body !== undefined) {
		hash.update(body);
	}

	return hash.digest('hex');
}
