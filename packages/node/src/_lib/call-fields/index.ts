/**
Reads the header fields with which a caller states the timeout and the idempotency
key of its call.
*/

import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import type {JobKey, Problem} from '@fireflyglade/model';

/** The timeout and the job that a caller states, or the problem of a malformed field. */
export type CallFields =
	| {readonly kind: 'fields'; readonly timeoutMilliseconds?: number; readonly job?: JobKey}
	| {readonly kind: 'refused'; readonly problem: Problem};

const jobPattern = /^[\u0020-\u007E]{1,255}$/;
const timeoutPattern = /^[1-9]\d{0,9}$/;

function refuse(detail: string): CallFields {
	return {kind: 'refused', problem: {code: 'bad-request', outcome: 'not-run', detail}};
}

/** Reads the timeout and the idempotency key of a call. */
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

/** Computes the SHA-256 of method, path and body, which detects a different request with the same idempotency key. */
export function fingerprintJob(method: string, path: string, body: Uint8Array | undefined): string {
	const hash = createHash('sha256').update(`${method} ${path}\n`);
	if (body !== undefined) {
		hash.update(body);
	}

	return hash.digest('hex');
}
