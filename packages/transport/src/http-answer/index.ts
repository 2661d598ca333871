/**
Writes answers to a caller: those of an upstream, chunk by chunk under
back-pressure, and the problems that the system states itself.
*/

import type {ServerResponse} from 'node:http';
import {
	formatProblem, millisecondsInSecond, problemMediaType, getProblemStatus, type Problem,
} from '@fireflyglade/model';
import {selectAnswerFields} from '../http-fields/index.js';
import type {AnswerFlow, AnswerHead, HeaderFields} from '../http-types/index.js';

/** Header field that repeats a problem's outcome. */
export const outcomeField = 'fireflyglade-outcome';

/**
Writes one answer to a caller. What comes while one event is handled leaves in one
write, as most answers are whole by then.
*/
export class AnswerWriter {
	readonly #response: ServerResponse;
	#flow: AnswerFlow | undefined;
	/** Status and fields that have not been written yet. */
	#head: {readonly status: number; readonly fields: Record<string, string | string[]>} | undefined;
	/** The first chunk, while the head has not been written. */
	#chunk: Uint8Array | undefined;
	/** True once the flow is resumed by itself. */
	#isWatched = false;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	/** Writes status and header fields, with `extraFields` of the system's own. */
	writeHead(head: AnswerHead, flow: AnswerFlow, extraFields?: Readonly<Record<string, string>>): void {
		const fields = selectAnswerFields(head.headers);
		this.#head = {status: head.status, fields: extraFields === undefined ? fields : Object.assign(fields, extraFields)};
		this.#flow = flow;
		process.nextTick(flushWriter, this);
	}

	/** Writes what is held back. */
	flush(): void {
		const chunk = this.#chunk;
		this.#chunk = undefined;
		if (!this.#writeHeld()) {
			return;
		}

		if (chunk === undefined) {
			this.#response.flushHeaders();
			return;
		}

		this.#write(chunk);
	}

	/** Writes a chunk and stops the source while the caller's connection is full. */
	writeChunk(chunk: Uint8Array): void {
		if (this.#head !== undefined && this.#chunk === undefined) {
			this.#chunk = chunk;
			return;
		}

		this.flush();
		this.#write(chunk);
	}

	/** Ends the answer as whole, with the trailers of the upstream and `extraTrailers` of the system's own. */
	end(trailers: HeaderFields, extraTrailers?: Readonly<Record<string, string>>): void {
		const chunk = this.#chunk;
		this.#chunk = undefined;
		this.#writeHeld();
		const selected = Object.assign(selectAnswerFields(trailers), extraTrailers);
		if (Object.keys(selected).length > 0) {
			this.#response.addTrailers(selected);
		}

		this.#response.end(chunk);
	}

	/** Resets the caller's connection, so that the answer can't pass for whole. */
	abort(): void {
		this.#head = undefined;
		this.#chunk = undefined;
		abortAnswer(this.#response);
	}

	/** Writes the head if it is held back; returns false if there was none. */
	#writeHeld(): boolean {
		if (this.#head === undefined) {
			return false;
		}

		const {status, fields} = this.#head;
		this.#head = undefined;
		this.#response.writeHead(status, fields);
		return true;
	}

	#write(chunk: Uint8Array): void {
		if (this.#response.write(chunk)) {
			return;
		}

		this.#flow?.pause();
		if (this.#isWatched) {
			return;
		}

		this.#isWatched = true;
		this.#response.on('drain', () => {
			this.#flow?.resume();
		});
	}
}

function flushWriter(writer: AnswerWriter): void {
	writer.flush();
}

/** Resets the connection of an answer that can't be completed. */
export function abortAnswer(response: ServerResponse): void {
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
		abortAnswer(response);
		return false;
	}

	const body = formatProblem(problem);
	response.writeHead(getProblemStatus(problem), {...problemFields(problem), ...extraFields, 'content-length': Buffer.byteLength(body)});
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
