/**
Classifies an upstream's response by its head before any of it is passed on:
whether it belongs to the request, and whether the upstream ran the request.
*/

import {FireflygladeError} from '@fireflyglade/model';
import type {ResponseHead} from '@fireflyglade/transport';
import type {CallInterface} from '../../call-interface/index.js';

/** The cause of a failure where the upstream's response belongs to another request. */
export class ForeignResponseError extends FireflygladeError {
	get code(): 'foreign-answer' {
		return 'foreign-answer';
	}
}

/** Whether a response belongs to the request (`own`), belongs to another one (`foreign`), or states that the upstream did not run the request (`not-run`). */
export type ResponseClass = 'own' | 'foreign' | 'not-run';

const misdirectedStatus = 421;

/**
Classifies a response. Where the interface defines a `requestIdField`, the response must
repeat the request's value of it, refusals included: an upstream may write an earlier
refusal again while the next request on the connection already runs. The field
`notRunField` states that the request did not run, and so does status 421 where the
interface defines an `expectedUpstreamField`.

@param head - Status and fields of the response.
@param sentFields - Alternating names and values of the fields of the request that was sent.
@param callInterface - The interface that the upstream implements.
*/
export function classifyResponse(head: ResponseHead, sentFields: readonly string[], callInterface: CallInterface): ResponseClass {
	const {requestIdField, notRunField, expectedUpstreamField} = callInterface;
	if (requestIdField !== undefined && head.headers[requestIdField] !== findField(sentFields, requestIdField)) {
		return 'foreign';
	}

	const isMisdirected = expectedUpstreamField !== undefined && head.status === misdirectedStatus;
	const isMarkedAsNotRun = notRunField !== undefined && head.headers[notRunField] !== undefined;
	return isMisdirected || isMarkedAsNotRun ? 'not-run' : 'own';
}

function findField(fields: readonly string[], name: string): string | undefined {
	for (let index = 0; index < fields.length; index += 2) {
		if (fields[index] === name) {
			return fields[index + 1];
		}
	}

	return undefined;
}
