/**
Writes the final response of a call to its caller, and reports how it ended.
*/

import type {ServerResponse} from 'node:http';
import {getProblemStatus, type Problem} from '@fireflyglade/model';
import {
	ResponseWriter, writeProblem,
	type ResponseFlow, type ResponseHead, type HeaderFields,
} from '@fireflyglade/transport';
import {createProblemFields, type CallInterface} from '../../call-interface/index.js';
import type {FinalReceiver} from '../call-attempts/index.js';

/** How a response ended. */
export type ResponseEnd =
	| {readonly kind: 'answered'; readonly status: number; readonly whole: boolean}
	| {readonly kind: 'problem'; readonly problem: Problem; readonly status: number}
	/** The caller disconnected before the response ended. */
	| {readonly kind: 'cancelled'};

/** Writes the final response of one call. */
export class FinalResponse implements FinalReceiver {
	readonly #response: ServerResponse;
	readonly #writer: ResponseWriter;
	readonly #interface: CallInterface;
	readonly #onEnded: (end: ResponseEnd) => void;
	#status = 0;
	#isEnded = false;

	/** @param onWriteError - Called if the response can't be written, for the log. */
	constructor(response: ServerResponse, callInterface: CallInterface, ended: (end: ResponseEnd) => void, onWriteError: (error: Error) => void) {
		this.#response = response;
		this.#interface = callInterface;
		this.#writer = new ResponseWriter(response, onWriteError);
		this.#onEnded = ended;
	}

	/** True once the response was completed, aborted or cancelled. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	onHead(head: ResponseHead, flow: ResponseFlow): void {
		this.#status = head.status;
		this.#writer.writeHead(head, flow);
	}

	onData(chunk: Uint8Array): void {
		this.#writer.writeChunk(chunk);
	}

	onEnd(trailers: HeaderFields): void {
		this.#writer.end(trailers);
		this.#end({kind: 'answered', status: this.#status, whole: true});
	}

	onProblem(problem: Problem): void {
		if (problem.code === 'body-too-large') {
			// The rest of the body is not read.
			this.#response.shouldKeepAlive = false;
		}

		writeProblem(this.#response, problem, createProblemFields(this.#interface, problem));
		this.#end({kind: 'problem', problem, status: getProblemStatus(problem)});
	}

	onBroken(): void {
		this.#writer.abort();
		this.#end({kind: 'answered', status: this.#status, whole: false});
	}

	/** Ends the response because the caller disconnected. */
	cancel(): void {
		this.#end({kind: 'cancelled'});
	}

	#end(end: ResponseEnd): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#onEnded(end);
		}
	}
}
