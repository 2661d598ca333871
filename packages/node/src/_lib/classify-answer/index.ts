/**
Judges the head of an upstream's answer before anything of it is passed on:
whether it belongs to the request, and whether the upstream ran the request.
*/

import {FireflygladeError} from '@fireflyglade/model';
import type {AnswerHead} from '@fireflyglade/transport';
import type {CallInterface} from '../../call-interface/index.js';

/** An answer that belongs to another request. */
export class ForeignAnswerError extends FireflygladeError {
	get code(): 'foreign-answer' {
		return 'foreign-answer';
	}
}

/** What an answer is to the request that was sent. */
export type AnswerClass = 'own' | 'foreign' | 'not-run';

const misdirectedStatus = 421;

/**
Judges the head of an answer.

@param head - Status and fields of the answer.
@param sentFields - Names and values, in turn, of the request that was sent.
@param callInterface - The interface that the upstream speaks.
*/
export function classifyAnswer(head: AnswerHead, sentFields: readonly string[], callInterface: CallInterface): AnswerClass {
	const {requestIdField, notRunField, expectedUpstreamField} = callInterface;
	const repeated = requestIdField === undefined ? undefined : head.headers[requestIdField];
	const isRepeated = requestIdField === undefined || repeated === fieldOf(sentFields, requestIdField);
	if (expectedUpstreamField !== undefined && head.status === misdirectedStatus && (isRepeated || repeated === undefined)) {
		return 'not-run';
	}

	if (!isRepeated) {
		return 'foreign';
	}

	return notRunField !== undefined && head.headers[notRunField] !== undefined ? 'not-run' : 'own';
}

function fieldOf(fields: readonly string[], name: string): string | undefined {
	for (let index = 0; index < fields.length; index += 2) {
		if (fields[index] === name) {
			return fields[index + 1];
		}
	}

	return undefined;
}
