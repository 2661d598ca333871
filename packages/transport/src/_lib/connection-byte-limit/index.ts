/**
Limits the bytes received on a connection that are not part of a response's body.

An HTTP parser discards some of its input: reason phrases, interim responses, chunk
extensions, empty lines. Without a limit, an upstream can send such bytes forever.
Each response may contain a fixed number of them and a number in proportion to its
body; a connection that exceeds the limit is closed.
*/

import type {Socket} from 'node:net';
import {bytesInKibibyte, FireflygladeError} from '@fireflyglade/model';

/** A connection exceeded the limit of bytes that belong to no response's body. */
export class EndlessAnswerError extends FireflygladeError {
	get code(): 'endless-answer' {
		return 'endless-answer';
	}
}

/** Bytes outside the body that one response may have: a head and trailers of 64 KiB each, plus the data of two reads that has not been parsed yet. */
export const maximumNonBodyBytes = 256 * bytesInKibibyte;
/** Bytes of framing that are allowed for each byte of a body. */
const framingBytesPerBodyByte = 16;

/** Enforces the limit on one connection. */
export class ConnectionByteLimit {
	readonly #socket: Socket;
	/** The connection is closed if the socket's `bytesRead` exceeds this value. */
	#maximumBytesRead = maximumNonBodyBytes;

	constructor(socket: Socket) {
		this.#socket = socket;
	}

	/** Raises the limit for bytes of a body that were delivered. */
	recordBodyBytes(bytes: number): void {
		this.#maximumBytesRead += bytes * (1 + framingBytesPerBodyByte);
	}

	/** Resets the limit at the end of a response; later bytes belong to the next one. */
	recordResponseEnd(): void {
		this.#maximumBytesRead = this.#socket.bytesRead + maximumNonBodyBytes;
	}

	/** Closes the connection if it has exceeded the limit. */
	enforce(): void {
		if (this.#socket.bytesRead > this.#maximumBytesRead && !this.#socket.destroyed) {
			this.#socket.destroy(new EndlessAnswerError(`the connection exceeded the limit of ${maximumNonBodyBytes} bytes that belong to no response body`));
		}
	}
}
