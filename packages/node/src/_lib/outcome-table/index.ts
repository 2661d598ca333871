/**
Records the progress of a gate's requests, so that an entry node whose connection
broke can ask for the outcome of one.

An unknown request is answered `not-run` only if it would certainly be in the
table: it was sent after the gate started and after the newest of the entries that
the bounded table has evicted was added.
*/

import type {RequestId} from '@fireflyglade/model';
import type {OutcomeResponse, OutcomeRequest, RequestProgress} from '@fireflyglade/transport';

const maximumRequests = 20_000;
/** Longest time that an outcome request may take from the entry node to the gate. */
const maximumOutcomeRequestDelayMilliseconds = 3000;

type Entry = {
	readonly requestId: RequestId;
	readonly at: number;
};

/** The progress of the latest `maximumRequests` requests. */
export class OutcomeTable {
	readonly #progress = new Map<RequestId, RequestProgress>();
	readonly #entries: Entry[] = [];
	#addedCount = 0;
	/** Monotonic milliseconds; every request that was added later is still in the table. */
	#completeSince: number;

	constructor(now: number) {
		this.#completeSince = now;
	}

	/** True if the outcome `not-run` was recorded for the id or answered to an outcome request, so that the request must never run. */
	isRefused(requestId: RequestId): boolean {
		return this.#progress.get(requestId) === 'not-run';
	}

	/** Records the progress of a request. */
	record(requestId: RequestId, progress: RequestProgress, now: number): void {
		if (!this.#progress.has(requestId)) {
			this.#add({requestId, at: now});
		}

		this.#progress.set(requestId, progress);
	}

	/** Answers with the outcome of a request. A request that is not in the table is refused if it arrives later. */
	answer(outcomeRequest: OutcomeRequest, now: number): OutcomeResponse {
		const progress = this.#progress.get(outcomeRequest.requestId);
		if (progress !== undefined) {
			return {progress};
		}

		const sentAt = now - outcomeRequest.sentMillisecondsAgo - maximumOutcomeRequestDelayMilliseconds;
		const isCertain = sentAt > this.#completeSince;
		this.record(outcomeRequest.requestId, 'not-run', now);
		return {progress: isCertain ? 'not-run' : 'unknown'};
	}

	#add(entry: Entry): void {
		const index = this.#addedCount % maximumRequests;
		const evicted = this.#entries[index];
		if (evicted !== undefined) {
			this.#progress.delete(evicted.requestId);
			this.#completeSince = evicted.at;
		}

		this.#entries[index] = entry;
		this.#addedCount += 1;
	}
}
