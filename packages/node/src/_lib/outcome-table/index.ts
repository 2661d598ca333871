/**
What a gate remembers of requests, so that an entry node whose connection broke
can ask what became of one.

A request that was never seen is answered `not-run` only if the gate would
certainly remember it: it was sent after the gate started and after the latest
request that the bounded table had to forget.
*/

import type {RequestId} from '@fireflyglade/model';
import type {OutcomeAnswer, OutcomeRequest, RequestProgress} from '@fireflyglade/transport';

const rememberedRequests = 20_000;
/** Longest time that a question may be on its way. */
const questionMarginMilliseconds = 3000;

type Remembered = {
	readonly requestId: RequestId;
	readonly at: number;
};

/** Remembers how far requests came, the latest `rememberedRequests` of them. */
export class OutcomeTable {
	readonly #progress = new Map<RequestId, RequestProgress>();
	readonly #order: Remembered[] = [];
	#count = 0;
	#memoryStart: number;

	constructor(now: number) {
		this.#memoryStart = now;
	}

	/** True if the id was answered `not-run` and must never run. */
	isRefused(requestId: RequestId): boolean {
		return this.#progress.get(requestId) === 'not-run';
	}

	/** Records how far a request came. */
	record(requestId: RequestId, progress: RequestProgress, now: number): void {
		if (!this.#progress.has(requestId)) {
			this.#remember({requestId, at: now});
		}

		this.#progress.set(requestId, progress);
	}

	/** Answers what became of a request; one never seen is refused from then on. */
	answer(question: OutcomeRequest, now: number): OutcomeAnswer {
		const progress = this.#progress.get(question.requestId);
		if (progress !== undefined) {
			return {progress};
		}

		const sentAt = now - question.sentMillisecondsAgo - questionMarginMilliseconds;
		const isCertain = sentAt > this.#memoryStart;
		this.record(question.requestId, 'not-run', now);
		return {progress: isCertain ? 'not-run' : 'unknown'};
	}

	#remember(entry: Remembered): void {
		const index = this.#count % rememberedRequests;
		const forgotten = this.#order[index];
		if (forgotten !== undefined) {
			this.#progress.delete(forgotten.requestId);
			this.#memoryStart = forgotten.at;
		}

		this.#order[index] = entry;
		this.#count += 1;
	}
}
