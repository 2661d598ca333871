/**
Counts what all connections of a listener have read and unanswered.

While all connections together have a quarter of what they may have, each is read in
pieces from its first byte. Otherwise every new connection could have a whole read
parsed, as the parser can't be stopped within it. The same holds while their heads could
take too much memory, as an unfinished head is counted only where it is read in pieces.
*/

import {bytesInKibibyte} from '@fireflyglade/model';
import {defaultRequestBacklogLimits, type RequestBacklogLimits} from '@fireflyglade/settings';
import type {MemoryBudget} from '../../memory-budget/index.js';

/** Memory that the body of one request takes at most: the start that is kept for another attempt, and one read beyond it. Longer bodies pass through. */
const maximumBytesPerBody = 128 * bytesInKibibyte;

/** Share of the memory that the heads of all connections of a listener may occupy; if they could occupy more, connections are read in pieces, so that unfinished heads are counted. */
const headShare = 0.5;
/** Longer bodies are refused under memory pressure. */
const ordinaryBodyBytes = 64 * bytesInKibibyte;

/** Share of the limits of all connections together from which no connection is left to the server. */
const pressureShare = 0.25;

/** A connection that can be taken from the HTTP server and read in pieces. */
export type PiecewiseReader = {
	readInPieces(): void;
};

/** Limits of a listener. */
export type RequestBacklogOptions = Partial<RequestBacklogLimits> & {readonly maximumHeaderBytes: number};

/** Counts what all connections of a listener have unanswered. */
export class RequestBacklog {
	readonly limits: RequestBacklogLimits;
	/** Number of unanswered requests. */
	requests = 0;
	/** Bytes that the bodies of unanswered requests may occupy. */
	bodyBytes = 0;
	/** Bytes that wait on connections that are not read. */
	waitingBytes = 0;
	/** The memory of the process, which other listeners share. */
	readonly memory: MemoryBudget;
	/** Number of open connections. */
	#connections = 0;
	readonly #maximumHeaderBytes: number;
	/** Connections that are left to the server. */
	readonly #leftToServer = new Set<PiecewiseReader>();

	constructor({maximumHeaderBytes, ...limits}: RequestBacklogOptions, memory: MemoryBudget) {
		this.#maximumHeaderBytes = maximumHeaderBytes;
		this.limits = {...defaultRequestBacklogLimits, ...limits};
		this.memory = memory;
	}

	/** True while no request may be read behind an unanswered one of the same connection. */
	get isFull(): boolean {
		return this.hasTooManyRequests || this.memory.isUnderPressure;
	}

	/** True while as many requests or bodies are unanswered as may be. */
	get hasTooManyRequests(): boolean {
		return this.requests >= this.limits.maximumUnansweredRequests || this.bodyBytes >= this.limits.maximumUnansweredBodyBytes;
	}

	/** Returns the bytes that a body of a length may occupy. */
	getBodyBytes(length: number): number {
		return Math.min(length, maximumBytesPerBody);
	}

	/** Returns true if there is room for a body, for which a connection that has stalled is closed if need be. */
	makeRoomForBody(length: number): boolean {
		const hasTooManyBodies = this.bodyBytes + this.getBodyBytes(length) > this.limits.maximumUnansweredBodyBytes;
		const hasTooLittleMemory = length > ordinaryBodyBytes && this.memory.isUnderPressure;
		return !(hasTooManyBodies || hasTooLittleMemory) || this.memory.evictStalled();
	}

	/** Records a new connection and leaves it to the server, unless there is pressure. */
	open(connection: PiecewiseReader): void {
		this.#connections += 1;
		this.#leftToServer.add(connection);
		this.relievePressure();
	}

	/** Records that a connection is read in pieces. */
	takeFromServer(connection: PiecewiseReader): void {
		this.#leftToServer.delete(connection);
	}

	/** Records that a connection is closed. */
	close(connection: PiecewiseReader): void {
		this.#connections -= 1;
		this.#leftToServer.delete(connection);
	}

	/** Has all connections read in pieces if there is pressure. */
	relievePressure(): void {
		if (!this.#hasPressure()) {
			return;
		}

		for (const connection of this.#leftToServer) {
			connection.readInPieces();
		}
	}

	#hasPressure(): boolean {
		const {maximumUnansweredRequests, maximumUnansweredBodyBytes} = this.limits;
		const {heldBytes, maximumBytes} = this.memory;
		return this.requests >= maximumUnansweredRequests * pressureShare
			|| this.bodyBytes >= maximumUnansweredBodyBytes * pressureShare
			|| heldBytes >= maximumBytes * pressureShare
			|| this.#connections * this.#maximumHeaderBytes > maximumBytes * headShare;
	}
}
