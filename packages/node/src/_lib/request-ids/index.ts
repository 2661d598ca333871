/**
Creates request ids that are unique across processes, and unguessable tokens.
*/

import {randomBytes, randomUUID} from 'node:crypto';
import type {RequestId} from '@fireflyglade/model';

const processPrefixBytes = 9;

/** Creates request ids with a random prefix that differs at each start of the process. */
export class RequestIds {
	readonly #prefix = randomBytes(processPrefixBytes).toString('base64url');
	#count = 0;

	/** Creates the next id. */
	next(): RequestId {
		this.#count += 1;
		return `${this.#prefix}.${this.#count.toString(36)}` as RequestId;
	}
}

/** Creates the id of one attempt of a request. Attempts are numbered from 1, and from 2 if the run that made the request was itself a repeat. */
export function createAttemptId(request: RequestId, attempt: number): RequestId {
	return `${request}.${attempt}` as RequestId;
}

/** True if the attempt with an id that `createAttemptId` created is not the first one. */
export function isRepeatedAttempt(attempt: RequestId): boolean {
	return Number(attempt.slice(attempt.lastIndexOf('.') + 1)) > 1;
}

/** Creates an unguessable token for matching the upstream's calls to a request. */
export function createContextToken(): string {
	return randomUUID();
}
