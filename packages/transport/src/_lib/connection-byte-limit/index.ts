/**
Limits what is received on a connection that is not part of a response's body.

An HTTP parser discards some of its input: reason phrases, interim responses, chunk
extensions, empty lines. Without a limit, an upstream can send such bytes forever.
Each response may contain a fixed number of them and a number in proportion to its
body; a connection that exceeds the limit is closed.

Bytes alone are not enough: the parser keeps two objects for each header or trailer
field, so that short fields take many times their length in memory. Lines outside
bodies are limited too, and the parser is given a small piece at a time, so that the
limit is checked before much is parsed.
*/

import type {Socket} from 'node:net';
import {bytesInKibibyte, FireflygladeError} from '@fireflyglade/model';

/** A connection exceeded the limit of bytes or lines that belong to no response's body. */
export class EndlessAnswerError extends FireflygladeError {
	get code(): 'endless-answer' {
		return 'endless-answer';
	}
}

/** Bytes outside the body that one response may have: a head and trailers of 64 KiB each, plus the data of two reads that has not been parsed yet. */
export const maximumNonBodyBytes = 256 * bytesInKibibyte;
/** Bytes of framing that are allowed for each byte of a body. */
const framingBytesPerBodyByte = 16;

/** Lines outside the body that one response may have between two pieces of its body. */
export const maximumNonBodyLines = 1000;
/** Longest piece that the parser is given at once. */
const maximumPieceBytes = 16 * bytesInKibibyte;
const lineFeed = 10;
/** Length of a line without text: its line end. */
const shortestLineBytes = 2;
const endOfHead = '\r\n\r\n';

/** Enforces the limits on one connection. */
export class ConnectionByteLimit {
	readonly #socket: Socket;
	/** The connection is closed if the socket's `bytesRead` exceeds this value. */
	#maximumBytesRead = maximumNonBodyBytes;
	/** The last piece, as long as no byte of a body and no end of a response was found in it. */
	#unclassifiedPiece: Uint8Array | undefined;
	#nonBodyLines = 0;
	/** True between the head of a final response and its end. */
	#isInBody = false;

	constructor(socket: Socket) {
		this.#socket = socket;
	}

	/**
	Reads the next piece for the parser, with the socket's own `read`.

	@returns The piece; `null`, as `read` does, if there is none at present, or if the connection has exceeded the limit of lines and was closed.
	*/
	read(read: Socket['read']): unknown {
		this.#countLastPiece();
		const {readableLength} = this.#socket;
		const piece: unknown = readableLength > maximumPieceBytes ? read(maximumPieceBytes) : read();
		if (!(piece instanceof Uint8Array)) {
			return piece;
		}

		this.#checkHead(piece);
		this.#unclassifiedPiece = piece;
		return this.#socket.destroyed ? null : piece;
	}

	/** Records the head of a final response. */
	recordResponseStart(): void {
		this.#isInBody = true;
	}

	/** Raises the limit for bytes of a body that were delivered. */
	recordBodyBytes(bytes: number): void {
		this.#resetLines();
		this.#maximumBytesRead += bytes * (1 + framingBytesPerBodyByte);
	}

	/** Resets the limit at the end of a response; later bytes belong to the next one. */
	recordResponseEnd(): void {
		this.#isInBody = false;
		this.#resetLines();
		this.#maximumBytesRead = this.#socket.bytesRead + maximumNonBodyBytes;
	}

	/** Closes the connection if it has exceeded the limit. */
	enforce(): void {
		if (this.#socket.bytesRead > this.#maximumBytesRead && !this.#socket.destroyed) {
			this.#socket.destroy(new EndlessAnswerError(`the connection exceeded the limit of ${maximumNonBodyBytes} bytes that belong to no response body`));
		}
	}

	#resetLines(): void {
		this.#unclassifiedPiece = undefined;
		this.#nonBodyLines = 0;
	}

	/** Closes the connection if the head in a piece has too many lines. Such a head isn't parsed at all, as parsing it costs most of what it can do harm by. */
	#checkHead(piece: Uint8Array): void {
		const mayHaveTooMany = this.#nonBodyLines + (piece.length / shortestLineBytes) > maximumNonBodyLines;
		if (!this.#isInBody && mayHaveTooMany) {
			this.#checkLines(countLines(piece, findEndOfHead(piece)));
		}
	}

	/** Counts the lines of the last piece if it was parsed without a byte of a body. */
	#countLastPiece(): void {
		const piece = this.#unclassifiedPiece;
		this.#unclassifiedPiece = undefined;
		if (piece !== undefined) {
			this.#nonBodyLines += countLines(piece, piece.length);
			this.#checkLines(0);
		}
	}

	/** Closes the connection if there are too many lines, together with `furtherLines`. */
	#checkLines(furtherLines: number): void {
		if (this.#nonBodyLines + furtherLines > maximumNonBodyLines && !this.#socket.destroyed) {
			this.#socket.destroy(new EndlessAnswerError(`the connection exceeded the limit of ${maximumNonBodyLines} lines that belong to no response body`));
		}
	}
}

function findEndOfHead(piece: Uint8Array): number {
	const end = Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength).indexOf(endOfHead);
	return end === -1 ? piece.length : end;
}

/** Counts the lines that end before an offset, up to one more than the limit. */
function countLines(piece: Uint8Array, end: number): number {
	let lines = 0;
	for (let index = piece.indexOf(lineFeed); index !== -1 && index < end && lines <= maximumNonBodyLines; index = piece.indexOf(lineFeed, index + 1)) {
		lines += 1;
	}

	return lines;
}
