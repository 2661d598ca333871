/**
Bounds what a caller may have read and unanswered on one connection.

The HTTP server parses everything that a read returns, up to 64 KiB or hundreds of
requests, and stops reading only for answers that its caller does not take in. Requests
that wait behind a slow one have no answer yet, so that a caller that sends them without
end would exhaust the memory.

A connection is left to the server until its caller sends a request behind an unanswered
one. From then on the parser gets a small piece at a time, and the connection is not
read any further while too many of its requests are unanswered. Requests of the first
read beyond that number wait here. So a connection without pipelining costs nothing,
and no request of a patient caller is lost.

A connection that closes while its caller still sends lingers, so that the caller can
read the last response.
*/

import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {bytesInKibibyte, bytesInMebibyte} from '@fireflyglade/model';
import type {MemoryShare} from '../../memory-budget/index.js';
import {gatherSmallChunks, type GatheredChunks} from '../gather-small-chunks/index.js';
import {measureRequestHead} from '../measure-request-head/index.js';
import type {RequestBacklog} from '../request-backlog/index.js';
import {RequestMemory} from '../request-memory/index.js';

/** What becomes of a request: it runs, waits for the answers to earlier ones, is refused, or ends with its connection, which has been closed. */
export type BacklogDecision = 'run' | 'wait' | 'refuse' | 'closed';

/** Longest piece that the parser is given at once between bodies: a few requests. */
const pieceBytes = bytesInKibibyte;
/** The same within a body whose end is not known. Within a body of known length, pieces are as long as the rest of it. */
const bodyPieceBytes = 16 * bytesInKibibyte;
/** The same while all connections together have too many unanswered requests; about one request. */
const smallPieceBytes = 128;

/** Bytes that are read and discarded from a connection that closes. */
const maximumDiscardedBytes = bytesInMebibyte;
/** Time that the caller has to read the last response of a connection that closes. */
const lingerMilliseconds = 1000;

/** An unanswered request of a connection. */
type UnansweredRequest = {
	/** Bytes that the parser had been given before the piece in which the request began. */
	readonly start: number;
	/** Bytes that its body may occupy. */
	readonly bodyBytes: number;
	readonly memory: RequestMemory;
};

/** What a connection does with its requests beside counting them. */
export type ConnectionHandlers = {
	/** Called for each request that has waited and may run now. */
	readonly run: RequestListener;
	/** Called if the connection is evicted while it has no request whose head is complete. */
	readonly refuse: () => void;
};

const backlogs = new WeakMap<Socket, ConnectionBacklog>();

/** Returns the memory of the request that a response answers; undefined if the request isn't one of an `HttpListener`, or is answered. */
export function findRequestMemory(response: ServerResponse): RequestMemory | undefined {
	return backlogs.get(response.req.socket)?.getMemory(response);
}

/** Bounds the unanswered requests of one connection. */
export class ConnectionBacklog {
	readonly #socket: Socket;
	readonly #total: RequestBacklog;
	/** The HTTP server's own listener, which gives bytes to the parser; set once the caller uses pipelining. */
	#parse: ((piece: Uint8Array) => void) | undefined;
	readonly #handlers: ConnectionHandlers;
	readonly #memory: MemoryShare;
	readonly #unanswered = new Map<ServerResponse, UnansweredRequest>();
	/** Requests that were parsed and have not been started. */
	readonly #waiting: Array<{readonly request: IncomingMessage; readonly response: ServerResponse}> = [];
	#last: IncomingMessage | undefined;
	/** The body of the last request, if its length is not known. */
	#lastChunks: GatheredChunks | undefined;
	/** Bytes of an unfinished head, or of unfinished trailers, that the parser holds. */
	#parserBytes = 0;
	/** Bytes that the parser has been given. */
	#parsedBytes = 0;
	/** Bytes of the last request's body that are certainly still to come. */
	#remainingBodyBytes = 0;
	/** Bytes that wait while the connection is not read. */
	#waitingBytes = 0;
	/** True while the connection is not read because of its unanswered requests. */
	#isWaitingForAnswers = false;
	#isDiscarding = false;
	#discardedBytes = 0;

	constructor(socket: Socket, total: RequestBacklog, handlers: ConnectionHandlers) {
		this.#socket = socket;
		this.#total = total;
		this.#handlers = handlers;
		this.#memory = total.memory.open(() => {
			this.#freeMemory();
		});
		backlogs.set(socket, this);
		total.open(this);
		socket.once('close', () => {
			total.close(this);
			this.#memory.close();
			this.#waiting.length = 0;
			this.#setWaitingBytes(0);
		});
	}

	/** True while no request of the connection is unanswered; the head of one may have begun. */
	get isIdle(): boolean {
		return this.#unanswered.size === 0;
	}

	/** Monotonic milliseconds at which the connection was opened or a request of it was last read. */
	get lastUsedAt(): number {
		return this.#memory.lastActiveAt;
	}

	/** The responses to unanswered requests, in the order of the requests. */
	get responses(): Iterable<ServerResponse> {
		return this.#unanswered.keys();
	}

	/** Returns the memory of an unanswered request. */
	getMemory(response: ServerResponse): RequestMemory | undefined {
		return this.#unanswered.get(response)?.memory;
	}

	/** Records a request and decides what becomes of it. */
	add(request: IncomingMessage, response: ServerResponse): BacklogDecision {
		const total = this.#total;
		const {maximumPipelinedRequests} = total.limits;
		const {size} = this.#unanswered;
		if (size > 0) {
			this.readInPieces();
		}

		if (size >= maximumPipelinedRequests && total.hasTooManyRequests) {
			this.#close();
			return 'closed';
		}

		const length = getBodyLength(request);
		const bodyBytes = total.getBodyBytes(length);
		const hasRoom = bodyBytes === 0 || total.makeRoomForBody(length);
		const memory = new RequestMemory(this.#memory, total.memory);
		this.#unanswered.set(response, {start: this.#parsedBytes, bodyBytes, memory});
		this.#last = request;
		this.#lastChunks = undefined;
		this.#remainingBodyBytes = 0;
		if (Number.isFinite(length)) {
			this.#remainingBodyBytes = length;
		} else {
			this.#lastChunks = gatherSmallChunks(request);
			this.readInPieces();
		}

		memory.hold(measureRequestHead(request));
		if (this.#socket.destroyed) {
			// The connection was evicted for this request.
			this.#unanswered.delete(response);
			return 'closed';
		}

		total.requests += 1;
		total.bodyBytes += bodyBytes;
		total.relievePressure();
		if (!hasRoom) {
			return 'refuse';
		}

		if (size === 0 || (size < maximumPipelinedRequests && !total.isFull)) {
			return 'run';
		}

		this.#waiting.push({request, response});
		return 'wait';
	}

	/** Records that a response has ended, and continues with the next request if there is room. */
	remove(response: ServerResponse): void {
		const answered = this.#unanswered.get(response);
		if (answered === undefined) {
			return;
		}

		this.#unanswered.delete(response);
		this.#total.requests -= 1;
		this.#total.bodyBytes -= answered.bodyBytes;
		answered.memory.end();
		const next = this.#waiting.shift();
		if (next !== undefined) {
			this.#handlers.run(next.request, next.response);
			return;
		}

		if (this.#isWaitingForAnswers && !this.#isFull()) {
			this.#isWaitingForAnswers = false;
			this.#socket.resume();
		}
	}

	/** True if a part of the last request has not been read. */
	get hasUnreadBody(): boolean {
		return this.#last?.complete === false;
	}

	/** Reads no further request from the connection, which closes after a response that has been announced as its last one. */
	discard(): void {
		this.#isDiscarding = true;
		this.readInPieces();
	}

	/** Closes the connection after a while, in which little of what the caller still sends is read and discarded. An immediate close would reset the connection, and the caller might lose the last response. */
	linger(): void {
		const socket = this.#socket;
		this.discard();
		socket.end();
		socket.resume();
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMilliseconds);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Takes the place of the HTTP server's listener for the data of the socket, from the next read on. */
	readInPieces(): void {
		this.#total.takeFromServer(this);
		if (this.#parse !== undefined) {
			return;
		}

		const [parse] = this.#socket.listeners('data') as Array<(piece: Uint8Array) => void>;
		if (parse === undefined) {
			return;
		}

		this.#parse = parse.bind(this.#socket);
		this.#socket.removeListener('data', parse);
		this.#socket.once('data', () => {
			// The server has read an unknown part of the body.
			this.#remainingBodyBytes = 0;
		});
		this.#socket.on('data', (chunk: Uint8Array) => {
			this.#receive(chunk);
		});
	}

	/** Frees the memory of an evicted connection: refuses its requests if none of them was sent to a target, or closes it. */
	#freeMemory(): void {
		const unanswered = [...this.#unanswered.values()];
		if (unanswered.length === 0) {
			this.#handlers.refuse();
			return;
		}

		if (!unanswered.every(({memory}) => memory.refuse())) {
			this.#close();
		}
	}

	/** Closes the connection, and stops the parser within what it has been given, since what it parses stays in memory until the event of the close. */
	#close(): void {
		this.#socket.destroy();
		(this.#socket as Socket & {readonly parser?: {pause?(): void}}).parser?.pause?.();
	}

	#receive(chunk: Uint8Array): void {
		this.#setWaitingBytes(0);
		if (this.#isDiscarding) {
			this.#countDiscarded(chunk.byteLength);
			return;
		}

		let offset = 0;
		while (offset < chunk.byteLength && !this.#isDiscarding && !this.#socket.destroyed) {
			// The HTTP server pauses the socket while the caller does not take in its answers.
			const isPausedByServer = this.#socket.isPaused();
			if (isPausedByServer || this.#isFull()) {
				this.#isWaitingForAnswers = !isPausedByServer;
				this.#wait(chunk.subarray(offset));
				return;
			}

			const length = Math.min(chunk.byteLength - offset, this.#getPieceLength());
			this.#parsePiece(offset === 0 && length === chunk.byteLength ? chunk : chunk.subarray(offset, offset + length));
			this.#remainingBodyBytes = Math.max(0, this.#remainingBodyBytes - length);
			offset += length;
		}
	}

	/** Stops reading once much was discarded. */
	#countDiscarded(bytes: number): void {
		this.#discardedBytes += bytes;
		if (this.#discardedBytes > maximumDiscardedBytes) {
			this.#socket.pause();
		}
	}

	/** Gives a piece to the parser, and counts what it holds of an unfinished head or unfinished trailers. */
	#parsePiece(piece: Uint8Array): void {
		const last = this.#last;
		const wasComplete = last?.complete;
		const chunks = this.#lastChunks?.count;
		this.#parse!(piece);
		this.#parsedBytes += piece.byteLength;
		const isBodyOfKnownLength = this.#last?.complete === false && this.#lastChunks === undefined;
		const hasProgressed = this.#last !== last || last?.complete !== wasComplete || this.#lastChunks?.count !== chunks;
		this.#setParserBytes(isBodyOfKnownLength || hasProgressed ? 0 : this.#parserBytes + piece.byteLength);
	}

	#setParserBytes(bytes: number): void {
		this.#memory.add(bytes - this.#parserBytes);
		this.#parserBytes = bytes;
	}

	/** Leaves the rest unread until a response has ended or the HTTP server resumes the socket. */
	#wait(rest: Uint8Array): void {
		this.#socket.pause();
		this.#socket.unshift(rest);
		this.#setWaitingBytes(this.#socket.readableLength);
		if (this.#total.waitingBytes > this.#total.limits.maximumWaitingBytes) {
			this.#closeAfterAnswers();
		}
	}

	/** Discards what has not been read, and closes the connection after the answers to what has been read. */
	#closeAfterAnswers(): void {
		const response = [...this.responses].at(-1);
		if (response === undefined || response.headersSent) {
			this.#socket.destroy();
			return;
		}

		response.shouldKeepAlive = false;
		this.discard();
		this.#socket.resume();
	}

	#setWaitingBytes(bytes: number): void {
		this.#total.waitingBytes += bytes - this.#waitingBytes;
		this.#waitingBytes = bytes;
	}

	/** True if no further request may be read. The rest of a request that has begun is read in any case. */
	#isFull(): boolean {
		const {size} = this.#unanswered;
		if (size === 0 || !this.#last!.complete) {
			return false;
		}

		const {maximumPipelinedRequests, maximumPipelinedBytes} = this.#total.limits;
		if (size >= maximumPipelinedRequests || this.#total.isFull) {
			return true;
		}

		const [first] = this.#unanswered.values();
		return this.#parsedBytes - first!.start >= maximumPipelinedBytes;
	}

	#getPieceLength(): number {
		if (this.#total.hasTooManyRequests) {
			return Math.max(smallPieceBytes, this.#remainingBodyBytes);
		}

		return this.#last?.complete === false ? Math.max(bodyPieceBytes, this.#remainingBodyBytes) : pieceBytes;
	}
}

/** Returns the length of a request's body; infinity if it is not known. */
function getBodyLength({headers}: IncomingMessage): number {
	if (headers['transfer-encoding'] !== undefined) {
		return Number.POSITIVE_INFINITY;
	}

	const length = headers['content-length'];
	return length === undefined ? 0 : Number(length) || 0;
}
