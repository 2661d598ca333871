/**
Bounds the bytes of a connection that are no part of any answer's body.

A parser of HTTP passes over some of what it reads: reason phrases, interim heads,
extensions of chunks, empty lines. Each connection may bring so many bytes of that
kind within one answer, and in proportion to the bytes of its body; beyond that it
is closed.
*/

import type {Socket} from 'node:net';
import {bytesInKibibyte, FireflygladeError} from '@fireflyglade/model';

/** A connection brought bytes without end that belong to no answer. */
export class EndlessAnswerError extends FireflygladeError {
	get code(): 'endless-answer' {
		return 'endless-answer';
	}
}

/** Bytes beside the body that one answer may bring: a head and trailers of 64 KiB each, and what two reads may hold back. */
export const maximumBytesBesideBody = 256 * bytesInKibibyte;
/** Bytes of framing that each byte of a body may bring along. */
const framingPerBodyByte = 16;

/** Counts what one connection brings. */
export class ConnectionByteLimit {
	readonly #socket: Socket;
	/** Value of `bytesRead` from which on the connection is closed. */
	#bound = maximumBytesBesideBody;

	constructor(socket: Socket) {
		this.#socket = socket;
	}

	/** Bytes of a body were handed over. */
	recordBody(bytes: number): void {
		this.#bound += bytes * (1 + framingPerBodyByte);
	}

	/** An answer has ended; what comes from now on belongs to the next one. */
	recordEnd(): void {
		this.#bound = this.#socket.bytesRead + maximumBytesBesideBody;
	}

	/** Closes the connection if it has brought too much. */
	check(): void {
		if (this.#socket.bytesRead > this.#bound && !this.#socket.destroyed) {
			this.#socket.destroy(new EndlessAnswerError(`the connection brought over ${maximumBytesBesideBody} bytes that belong to no answer`));
		}
	}
}
