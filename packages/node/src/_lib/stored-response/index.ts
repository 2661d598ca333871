/**
Records the response to a claimed job up to a size limit, and replays it to a resend.
*/

import {bytesInKibibyte} from '@fireflyglade/model';
import type {ClaimOutcome, StoredResponse} from '@fireflyglade/state';
import {selectAnswerFields, type AnswerFlow, type AnswerHead} from '@fireflyglade/transport';
import type {CallReceiver, GateMetadata} from '../call-types.js';

/** Largest body of a response that is stored for resends. */
export const maximumStoredBytes = 16 * bytesInKibibyte;

const replayFlow: AnswerFlow = {
	pause() {
		// The whole response is in memory already.
	},
	resume() {
		// The whole response is in memory already.
	},
};

/** Discards a response whose caller has disconnected. */
export const discardingReceiver: CallReceiver = {
	onHead() {
		// The caller has disconnected.
	},
	onData() {
		// The caller has disconnected.
	},
	onEnd() {
		// The caller has disconnected.
	},
	onProblem() {
		// The caller has disconnected.
	},
	onBroken() {
		// The caller has disconnected.
	},
};

/** Records a response while it is passed on. */
export class ResponseRecorder {
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

	/** The outcome of the job, to be read once the response is complete. */
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

/** Replays a stored response to a resend of its job. */
export function replayResponse(answer: StoredResponse, receiver: CallReceiver, metadata: GateMetadata): void {
	const headers: Record<string, string[]> = {};
	for (const [name, value] of answer.headers) {
		headers[name] = [...headers[name] ?? [], value];
	}

	receiver.onHead({status: answer.status, headers}, replayFlow, metadata);
	if (answer.body.byteLength > 0) {
		receiver.onData(answer.body);
	}

	receiver.onEnd({});
}
