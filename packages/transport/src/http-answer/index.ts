/**
Writes answers to a caller: those of an upstream, chunk by chunk under
back-pressure, and the problems that the system states itself.
*/

import type {ServerResponse} from 'node:http';
import {
	formatProblem, millisecondsInSecond, problemMediaType, statusOfProblem, type Problem,
} from '@fireflyglade/model';
import {selectAnswerFields} from '../http-fields/index.js';
import type {AnswerFlow, AnswerHead, HeaderFields} from '../http-types/index.js';

/** Header field that repeats a problem's outcome. */
export const outcomeField = 'fireflyglade-outcome';

/** Writes one answer to a caller. */
export class AnswerWriter {
	readonly #response: ServerResponse;
	#flow: AnswerFlow | undefined;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	/** Writes status and header fields, with `extraFields` of the system's own. */
	writeHead(head: AnswerHead, flow: AnswerFlow, extraFields?: Readonly<Record<string, string>>): void {
		const fields = selectAnswerFields(head.headers);
		this.#response.writeHead(head.status, extraFields === undefined ? fields : Object.assign(fields, extraFields));
		this.#response.on('drain', () => {
			flow.resume();
		});
		this.#flow = flow;
	}

	/** Writes a chunk and stops the source while the caller's connection is full. */
	writeChunk(chunk: Uint8Array): void {
		if (!this.#response.write(chunk)) {
			this.#flow?.pause();
		}
	}

	/** Ends the answer as whole, with the trailers of the upstream and `extraTrailers` of the system's own. */
	end(trailers: HeaderFields, extraTrailers?: Readonly<Record<string, string>>): void {
		const selected = Object.assign(selectAnswerFields(trailers), extraTrailers);
		if (Object.keys(selected).length > 0) {
			this.#response.addTrailers(selected);
		}

		this.#response.end();
	}

	/** Resets the caller's connection, so that the answer can't pass for whole. */
	breakOff(): void {
		breakOffAnswer(this.#response);
	}
}

/** Resets the connection of an answer that can't be completed. */
export function breakOffAnswer(response: ServerResponse): void {
	const {socket} = response;
	if (socket === null) {
		response.destroy();
		return;
	}

	socket.resetAndDestroy();
}

/**
Writes a problem as the whole answer, or breaks the answer off if one has begun.

@returns True if the problem was written.
*/
export function writeProblem(response: ServerResponse, problem: Problem, extraFields: Readonly<Record<string, string>> = {}): boolean {
	if (response.headersSent) {
		breakOffAnswer(response);
		return false;
	}

	const body = formatProblem(problem);
	response.writeHead(statusOfProblem(problem), {...problemFields(problem), ...extraFields, 'content-length': Buffer.byteLength(body)});
	response.end(body);
	return true;
}

/** Header fields of a problem. */
export function problemFields(problem: Problem): Record<string, string> {
	const fields: Record<string, string> = {
		'content-type': problemMediaType,
		[outcomeField]: problem.outcome,
	};
	if (problem.retryAfterMilliseconds !== undefined) {
		fields['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMilliseconds / millisecondsInSecond)));
	}

	return fields;
}
