/**
Keeps the answer to a claimed job up to a bound, and gives it again to a resend.
*/

import {bytesInKibibyte} from '@fireflyglade/model';
import type {ClaimOutcome, StoredResponse} from '@fireflyglade/state';
import {selectAnswerFields, type AnswerFlow, type AnswerHead} from '@fireflyglade/transport';
import type {CallReceiver, GateMetadata} from '../call-types.js';

/** Largest answer that is kept for resends. */
export const maximumStoredBytes = 16 * bytesInKibibyte;

const noFlow: AnswerFlow = {
	pause() {
		// The answer is in memory.
	},
	resume() {
		// The answer is in memory.
	},
};

/** Takes the rest of an answer for which nobody waits. */
export const discardingReceiver: CallReceiver = {
	onHead() {
		// Nobody waits.
	},
	onData() {
		// Nobody waits.
	},
	onEnd() {
		// Nobody waits.
	},
	onProblem() {
		// Nobody waits.
	},
	onBroken() {
		// Nobody waits.
	},
};

/** Records an answer as it passes. */
export class AnswerRecorder {
	#head: AnswerHead | undefined;
	#chunks: Uint8Array[] = [];
	#bytes = 0;

	recordHead(head: AnswerHead): void {
		this.#head = head;
	}

	recordChunk(chunk: Uint8Array): void {
		this.#bytes += chunk.byteLength;
		if (this.#bytes > maximumStoredBytes) {
			this.#chunks = [];
			return;
		}

		this.#chunks.push(Uint8Array.from(chunk));
	}

	/** How the job ended, once the answer is whole. */
	outcome(): ClaimOutcome {
		const head = this.#head;
		if (head === undefined) {
			return {kind: 'unknown'};
		}

		if (this.#bytes > maximumStoredBytes) {
			return {kind: 'answered-too-large', status: head.status};
		}

		return {kind: 'answered', answer: {status: head.status, headers: listFields(head), body: Buffer.concat(this.#chunks)}};
	}
}

function listFields(head: AnswerHead): Array<readonly [string, string]> {
	const fields: Array<readonly [string, string]> = [];
	for (const [name, value] of Object.entries(selectAnswerFields(head.headers))) {
		for (const single of Array.isArray(value) ? value : [value]) {
			fields.push([name, single]);
		}
	}

	return fields;
}

/** Gives a kept answer to a resend of the job. */
export function replayAnswer(answer: StoredResponse, receiver: CallReceiver, note: GateMetadata): void {
	const headers: Record<string, string[]> = {};
	for (const [name, value] of answer.headers) {
		headers[name] = [...headers[name] ?? [], value];
	}

	receiver.onHead({status: answer.status, headers}, noFlow, note);
	if (answer.body.byteLength > 0) {
		receiver.onData(answer.body);
	}

	receiver.onEnd({});
}
