/**
The messages between an entry node and a gate on a connection that they share.

Each message is a list that begins with its kind. Kinds 0 and 1 belong to the
connection itself. Names of header fields go over a connection once, and by a
number from then on, since a connection carries the same few all its life.
*/

import {
	InvalidInputError, type RequestId, type ServiceName, type TeamName,
} from '@fireflyglade/model';
import type {HeaderFields} from '@fireflyglade/transport';
import type {GateMetadata} from '../call-types.js';
import type {JobClaimFields, PeerCall} from '../peer-fields/index.js';

/** Kinds of messages, and what follows the kind. */
export const peerMessageKinds = {
	/** From the entry node, first of all: the fleet's secret. */
	hello: 2,
	/** From the entry node: number, call, traceparent, method, path, fields, body or null. */
	request: 3,
	/** From the entry node: number. */
	cancel: 4,
	/** From the entry node: number. */
	pause: 5,
	/** From the entry node: number. */
	resume: 6,
	/** From the gate: number, status, fields, note; then the first bytes, and 1 if the answer is whole with them. */
	head: 7,
	/** From the gate: number, bytes. */
	data: 8,
	/** From the gate: number, trailers. */
	end: 9,
	/** From the gate: number, code, outcome, detail, milliseconds to wait or null, note. */
	problem: 10,
	/** From the gate: number. The answer broke off midway. */
	broken: 11,
} as const;

/** Names that a connection remembers in one direction. */
const rememberedNames = 256;

/** Names and values in turn; a name is a number once both sides know it. */
export type EncodedFields = ReadonlyArray<string | number | readonly string[]>;

/** Writes header fields for one direction of a connection. */
export class FieldEncoder {
	readonly #numbers = new Map<string, number>();

	/** Writes names and values in turn. */
	encodeList(fields: readonly string[]): EncodedFields {
		const written: Array<string | number> = [];
		for (let index = 0; index + 1 < fields.length; index += 2) {
			written.push(this.#name(fields[index]!), fields[index + 1]!);
		}

		return written;
	}

	/** Writes the fields of an object. */
	encodeFields(fields: HeaderFields): EncodedFields {
		const written: Array<string | number | readonly string[]> = [];
		for (const name of Object.keys(fields)) {
			const value = fields[name];
			if (value !== undefined) {
				written.push(this.#name(name), value);
			}
		}

		return written;
	}

	#name(name: string): string | number {
		const known = this.#numbers.get(name);
		if (known !== undefined) {
			return known;
		}

		if (this.#numbers.size < rememberedNames) {
			this.#numbers.set(name, this.#numbers.size);
		}

		return name;
	}
}

/** Reads header fields of one direction of a connection, in the order in which they were written. */
export class FieldDecoder {
	readonly #names: string[] = [];

	/**
	Reads names and values in turn.

	@throws {InvalidInputError} A name is neither a text nor a number that is known.
	*/
	decodeList(fields: EncodedFields): string[] {
		const read: string[] = [];
		for (let index = 0; index + 1 < fields.length; index += 2) {
			read.push(this.#name(fields[index]), fields[index + 1] as string);
		}

		return read;
	}

	/**
	Reads fields as an object.

	@throws {InvalidInputError} A name is neither a text nor a number that is known.
	*/
	decodeFields(fields: EncodedFields): HeaderFields {
		const read: Record<string, string | readonly string[]> = {};
		for (let index = 0; index + 1 < fields.length; index += 2) {
			read[this.#name(fields[index])] = fields[index + 1] as string | readonly string[];
		}

		return read;
	}

	#name(value: EncodedFields[number] | undefined): string {
		if (typeof value === 'string') {
			if (this.#names.length < rememberedNames) {
				this.#names.push(value);
			}

			return value;
		}

		const name = typeof value === 'number' ? this.#names[value] : undefined;
		if (name === undefined) {
			throw new InvalidInputError('a name of a field is not known on this connection');
		}

		return name;
	}
}

type WireCall = readonly [RequestId, RequestId | 0, ServiceName, TeamName | 0, number, number, number, number, 0 | 1, JobClaimFields | 0];

/** Writes a call as a list of its parts. */
export function encodeCall({requestId, rootId, service, team, priority, timeoutMilliseconds, remainingAttempts, depth, idempotent, job}: PeerCall): WireCall {
	return [requestId, requestId.startsWith(rootId) ? 0 : rootId, service, team ?? 0, priority, timeoutMilliseconds, remainingAttempts, depth, idempotent ? 1 : 0, job ?? 0];
}

/**
Reads a call.

@throws {InvalidInputError} The value is not a call.
*/
export function decodeCall(value: unknown): PeerCall {
	if (!Array.isArray(value)) {
		throw new InvalidInputError('the call of a peer is malformed');
	}

	const [requestId, rootId, service, team, priority, timeoutMilliseconds, remainingAttempts, depth, isIdempotent, job] = value as unknown as WireCall;
	if (typeof requestId !== 'string' || requestId === '' || typeof service !== 'string' || !areCounts([priority, timeoutMilliseconds, remainingAttempts, depth])) {
		throw new InvalidInputError('the call of a peer is malformed');
	}

	return {
		requestId,
		rootId: rootId === 0 ? rootOf(requestId) : rootId,
		service,
		team: team === 0 ? undefined : team,
		priority,
		timeoutMilliseconds,
		remainingAttempts,
		depth,
		idempotent: isIdempotent === 1,
		job: job === 0 ? undefined : job,
	};
}

/** The request of an attempt whose id begins with that of the request. */
function rootOf(requestId: RequestId): RequestId {
	return requestId.slice(0, requestId.lastIndexOf('.')) as RequestId;
}

function areCounts(values: readonly unknown[]): boolean {
	return values.every(value => Number.isSafeInteger(value) && (value as number) >= 0);
}

/** Bits of the third number of a note. */
const arrivedBit = 1;

/** Retries left, milliseconds queued, bits, the most crowded service or 0, milliseconds waited there, and the gate's level where it is known. */
type WireNote = readonly [number, number, number, ServiceName | 0, number, ...number[]];

/** Writes what rides back beside an answer. */
export function encodeGateMetadata({level, retriesLeft, queuedMilliseconds, hasArrived, crowding}: GateMetadata): WireNote {
	const queued = Math.round(queuedMilliseconds ?? 0);
	const bits = hasArrived === true ? arrivedBit : 0;
	const wait = Math.round(crowding?.waitMilliseconds ?? 0);
	return level === undefined
		? [retriesLeft, queued, bits, crowding?.service ?? 0, wait]
		: [retriesLeft, queued, bits, crowding?.service ?? 0, wait, level.inFlight, level.limit, level.queueLength, level.shedPriority];
}

/**
Reads what rides back beside an answer.

@throws {InvalidInputError} The value is not a note.
*/
export function decodeGateMetadata(value: unknown): GateMetadata {
	if (!Array.isArray(value)) {
		throw new InvalidInputError('the note of a gate is malformed');
	}

	const [retriesLeft, queuedMilliseconds, bits, crowded, waitMilliseconds, ...level] = value as unknown as WireNote;
	if (!areCounts([retriesLeft, queuedMilliseconds, bits, waitMilliseconds, ...level]) || !(crowded === 0 || (typeof crowded === 'string' && crowded !== ''))) {
		throw new InvalidInputError('the note of a gate is malformed');
	}

	const [inFlight, limit, queueLength, shedPriority] = level;
	return {
		retriesLeft,
		queuedMilliseconds,
		hasArrived: bits === arrivedBit,
		crowding: crowded === 0 ? undefined : {service: crowded, waitMilliseconds},
		level: inFlight === undefined || limit === undefined || queueLength === undefined || shedPriority === undefined
			? undefined
			: {
				inFlight, limit, queueLength, shedPriority,
			},
	};
}
