/**
Makes identifiers of requests that no other process makes, and tokens that
nobody can guess.
*/

import {randomBytes, randomUUID} from 'node:crypto';
import type {RequestId} from '@fireflyglade/model';

const processPrefixBytes = 9;

/** Makes request ids with a prefix that differs at each start of the process. */
export class RequestIds {
	readonly #prefix = randomBytes(processPrefixBytes).toString('base64url');
	#count = 0;

	next(): RequestId {
		this.#count += 1;
		return `${this.#prefix}.${this.#count.toString(36)}` as RequestId;
	}
}

/** Names one attempt of a request. */
export function createAttemptId(request: RequestId, attempt: number): RequestId {
	return `${request}.${attempt}` as RequestId;
}

/** A token that nobody can guess. */
export function createContextToken(): string {
	return randomUUID();
}
