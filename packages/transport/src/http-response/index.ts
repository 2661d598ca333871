/**
Writes responses to a caller: those of an upstream, chunk by chunk with
backpressure, and the problem responses of the system itself.
*/

import type {ServerResponse} from 'node:http';
import {
	formatProblem, millisecondsInSecond, problemMediaType, getProblemStatus, type Problem,
} from '@fireflyglade/model';
import {findRequestMemory} from '../_lib/connection-backlog/index.js';
import {selectResponseFields} from '../http-fields/index.js';
import type {ResponseFlow, ResponseHead, HeaderFields} from '../http-types/index.js';

/** Header field with a problem's outcome. */
export const outcomeField = 'fireflyglade-outcome';

/**
Writes one response to a caller. The head and the first chunk are held back until the
current event has been handled or more data arrives, since most responses are
complete by then and can be sent in one write.

A response that can't be written, for example for a field that is not allowed, ends with
its connection, and no error reaches the source of the response.
*/
export class ResponseWriter {
	readonly #response: ServerResponse;
	#flow: ResponseFlow | undefined;
	/** Status and header fields that have not been written yet. */
	#pendingHead: {readonly status: number; readonly fields: Record<string, string | string[]>} | undefined;
	/** The first chunk, as long as the head has not been written. */
	#pendingChunk: Uint8Array | undefined;
	/** True once a `drain` listener that resumes the source is attached. */
	#hasDrainListener = false;
	#hasFailed = false;
	readonly #onError: (error: Error) => void;

	/** @param onError - Called once if the response can't be written, for the log. */
	constructor(response: ServerResponse, onError: (error: Error) => void) {
		this.#response = response;
		this.#onError = onError;
	}

	/** Writes status and header fields, with the system's own fields in `extraFields`. */
	writeHead(head: ResponseHead, flow: ResponseFlow, extraFields?: Readonly<Record<string, string>>): void {
		const fields = selectResponseFields(head.headers);
		this.#pendingHead = {status: head.status, fields: extraFields === undefined ? fields : Object.assign(fields, extraFields)};
		this.#flow = flow;
		process.nextTick(flushWriter, this);
	}

	/** Writes the head and first chunk if they are still pending. */
	flush(): void {
		this.#attempt(() => {
			this.#flush();
		});
	}

	/** Writes a chunk; pauses the source while the caller's connection is congested. */
	writeChunk(chunk: Uint8Array): void {
		if (this.#pendingHead !== undefined && this.#pendingChunk === undefined) {
			this.#pendingChunk = chunk;
			return;
		}

		this.#attempt(() => {
			this.#flush();
			this.#write(chunk);
		});
	}

	/** Completes the response, with the trailers of the upstream and the system's own `extraTrailers`. */
	end(trailers: HeaderFields, extraTrailers?: Readonly<Record<string, string>>): void {
		this.#attempt(() => {
			this.#end(Object.assign(selectResponseFields(trailers), extraTrailers));
		});
	}

	/** Resets the caller's connection, so that the caller can't mistake the response for a complete one. */
	abort(): void {
		this.#pendingHead = undefined;
		this.#pendingChunk = undefined;
		abortResponse(this.#response);
	}

	#flush(): void {
		const chunk = this.#pendingChunk;
		this.#pendingChunk = undefined;
		if (!this.#writePendingHead()) {
			return;
		}

		if (chunk === undefined) {
			this.#response.flushHeaders();
			return;
		}

		this.#write(chunk);
	}

	#end(trailers: Record<string, string | string[]>): void {
		const chunk = this.#pendingChunk;
		this.#pendingChunk = undefined;
		this.#writePendingHead();
		if (Object.keys(trailers).length > 0) {
			this.#response.addTrailers(trailers);
		}

		this.#response.end(chunk);
	}

	/** Writes a part of the response, unless an earlier part could not be written. */
	#attempt(write: () => void): void {
		if (this.#hasFailed) {
			return;
		}

		try {
			write();
		} catch (error: unknown) {
			this.#hasFailed = true;
			this.abort();
			this.#onError(error as Error);
		}
	}

	/** Writes the head if it is pending; returns false if there was none. */
	#writePendingHead(): boolean {
		if (this.#pendingHead === undefined) {
			return false;
		}

		const {status, fields} = this.#pendingHead;
		this.#pendingHead = undefined;
		this.#response.writeHead(status, fields);
		return true;
	}

	#write(chunk: Uint8Array): void {
		const response = this.#response;
		const isCongested = !response.write(chunk);
		// Behind another response, it waits for its turn.
		if (!isCongested && response.socket !== null) {
			return;
		}

		this.#flow?.pause();
		findRequestMemory(response)?.setAnswerBytes(response.writableLength);
		if (this.#hasDrainListener) {
			return;
		}

		this.#hasDrainListener = true;
		const resume = (): void => {
			findRequestMemory(response)?.setAnswerBytes(0);
			this.#flow?.resume();
		};

		response.on('drain', resume);
		if (!isCongested) {
			response.once('socket', resume);
		}
	}
}

function flushWriter(writer: ResponseWriter): void {
	writer.flush();
}

/**
Tells the caller to send the body of its request. Behind another response, this waits for
its turn: bytes that are written earlier would become a part of the final response's body.
*/
export function writeContinue(response: ServerResponse): void {
	if (response.socket !== null) {
		response.writeContinue();
		return;
	}

	response.once('socket', () => {
		if (!response.headersSent) {
			response.writeContinue();
		}
	});
}

/** Resets the connection of a response that can't be completed. */
export function abortResponse(response: ServerResponse): void {
	const {socket} = response;
	if (socket === null) {
		response.destroy();
		return;
	}

	socket.resetAndDestroy();
}

/**
Writes a problem as the complete response, or aborts the response if its head has been sent.

@returns True if the problem was written.
*/
export function writeProblem(response: ServerResponse, problem: Problem, extraFields: Readonly<Record<string, string>> = {}): boolean {
	if (response.headersSent) {
		abortResponse(response);
		return false;
	}

	const body = formatProblem(problem);
	response.writeHead(getProblemStatus(problem), {...problemFields(problem), ...extraFields, 'content-length': Buffer.byteLength(body)});
	response.end(body);
	return true;
}

/** Returns the header fields of a problem response. */
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
