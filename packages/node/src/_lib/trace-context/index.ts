/**
W3C trace context: parses and creates the header field `traceparent`.
*/

import {randomUUID} from 'node:crypto';

const traceparentPattern = /^[\da-f]{2}-([\da-f]{32})-([\da-f]{16})-([\da-f]{2})$/;
const invalidTraceId = '0'.repeat(32);
const traceIdStart = 3;
const traceIdEnd = 35;

function randomHex(): string {
	return randomUUID().replaceAll('-', '');
}

function createSpanId(): string {
	return randomHex().slice(16);
}

/** Returns the trace id of a `traceparent`; undefined if it is absent, malformed or all zeros. */
export function readTraceId(traceparent: string | undefined): string | undefined {
	if (traceparent === undefined || !traceparentPattern.test(traceparent)) {
		return undefined;
	}

	const traceId = traceparent.slice(traceIdStart, traceIdEnd);
	return traceId === invalidTraceId ? undefined : traceId;
}

/** Creates the `traceparent` of a new span, in the trace of `parent` if that is well-formed and in a new trace otherwise. */
export function createTraceparent(parent?: string): string {
	const traceId = readTraceId(parent);
	if (traceId === undefined) {
		return `00-${randomHex()}-${createSpanId()}-01`;
	}

	return `00-${traceId}-${createSpanId()}-${parent!.slice(-2)}`;
}
