/**
The messages between an entry node and a gate on a shared connection.

Each message is a list that begins with its kind. Kinds 0 and 1 are reserved for
the connection itself. Each name of a header field is sent once per connection and
replaced by its index afterwards, as a connection carries the same few names for
its whole lifetime.
*/

import {
	InvalidInputError, type RequestId, type ServiceName, type TeamName,
} from '@fireflyglade/model';
import type {HeaderFields} from '@fireflyglade/transport';
import type {GateMetadata} from '../call-types.js';
import type {JobClaimFields, PeerCall} from '../peer-fields/index.js';

/** The kinds of messages. The comments list the parts after the kind; `number` identifies the call on its connection. */
export const peerMessageKinds = {
	/** From the entry node, as the first message: the fleet's secret. */
	hello: 2,
	/** From the entry node: number, call, traceparent, method, path, fields, body or null. */
	request: 3,
	/** From the entry node: number. */
	cancel: 4,
	/** From the entry node: number. */
	pause: 5,
	/** From the entry node: number. */
	resume: 6,
	/** From the gate: number, status, fields, metadata; optionally the first bytes, and 1 if the response is complete with them. */
	head: 7,
	/** From the gate: number, bytes. */
	data: 8,
	/** From the gate: number, trailers. */
	end: 9,
	/** From the gate: number, code, outcome, detail, retry delay in milliseconds or null, metadata. */
	problem: 10,
	/** From the gate: number. The response was interrupted after its head. */
	broken: 11,
} as const;

/** Number of field names that a connection indexes in each direction. */
const maximumIndexedNames = 256;

/** Alternating names and values. A name that was sent before is replaced by its index. */
export type EncodedFields = ReadonlyArray<string | number | readonly string[]>;

/** Encodes header fields for one direction of a connection. */
export class FieldEncoder {
	readonly #indexes = new Map<string, number>();

	/** Encodes a list of alternating names and values. */
	encodeList(fields: readonly string[]): EncodedFields {
		const encoded: Array<string | number> = [];
		for (let index = 0; index + 1 < fields.length; index += 2) {
			encoded.push(this.#encodeName(fields[index]!), fields[index + 1]!);
		}

		return encoded;
	}

	/** Encodes the fields of an object. */
	encodeFields(fields: HeaderFields): EncodedFields {
		const encoded: Array<string | number | readonly string[]> = [];
		for (const name of Object.keys(fields)) {
			const value = fields[name];
			if (value !== undefined) {
				encoded.push(this.#encodeName(name), value);
			}
		}

		return encoded;
	}

	#encodeName(name: string): string | number {
		const known = this.#indexes.get(name);
		if (known !== undefined) {
			return known;
		}

		if (this.#indexes.size < maximumIndexedNames) {
			this.#indexes.set(name, this.#indexes.size);
		}

		return name;
	}
}

/** Decodes header fields of one direction of a connection. All of them must be decoded, in the order in which they were encoded. */
export class FieldDecoder {
	readonly #names: string[] = [];

	/**
	Decodes fields as a list of alternating names and values.

	@throws {InvalidInputError} A name is neither a string nor a known index.
	*/
	decodeList(fields: EncodedFields): string[] {
		const decoded: string[] = [];
		for (let index = 0; index + 1 < fields.length; index += 2) {
			decoded.push(this.#decodeName(fields[index]), fields[index + 1] as string);
		}

		return decoded;
	}

	/**
	Decodes fields as an object.

	@throws {InvalidInputError} A name is neither a string nor a known index.
	*/
	decodeFields(fields: EncodedFields): HeaderFields {
		const decoded: Record<string, string | readonly string[]> = {};
		for (let index = 0; index + 1 < fields.length; index += 2) {
			decoded[this.#decodeName(fields[index])] = fields[index + 1] as string | readonly string[];
		}

		return decoded;
	}

	#decodeName(value: EncodedFields[number] | undefined): string {
		if (typeof value === 'string') {
			if (this.#names.length < maximumIndexedNames) {
				this.#names.push(value);
			}

			return value;
		}

		const name = typeof value === 'number' ? this.#names[value] : undefined;
		if (name === undefined) {
			throw new InvalidInputError('the index of a field name is unknown on this connection');
		}

		return name;
	}
}

/** The parts of a call in the order of `PeerCall`. 0 stands for a root id that follows from the request id, and for an absent team or job. */
type EncodedCall = readonly [RequestId, RequestId | 0, ServiceName, TeamName | 0, number, number, number, number, 0 | 1, JobClaimFields | 0];

/** Encodes a call. */
export function encodeCall({requestId, rootId, service, team, priority, timeoutMilliseconds, remainingAttempts, depth, idempotent, job}: PeerCall): EncodedCall {
	return [requestId, requestId.startsWith(rootId) ? 0 : rootId, service, team ?? 0, priority, timeoutMilliseconds, remainingAttempts, depth, idempotent ? 1 : 0, job ?? 0];
}

/**
Decodes a call.

@throws {InvalidInputError} The value is not an encoded call.
*/
export function decodeCall(value: unknown): PeerCall {
	if (!Array.isArray(value)) {
		throw new InvalidInputError('the encoded call of a peer is malformed');
	}

	const [requestId, rootId, service, team, priority, timeoutMilliseconds, remainingAttempts, depth, isIdempotent, job] = value as unknown as EncodedCall;
	if (typeof requestId !== 'string' || requestId === '' || typeof service !== 'string' || !areCounts([priority, timeoutMilliseconds, remainingAttempts, depth])) {
		throw new InvalidInputError('the encoded call of a peer is malformed');
	}

	return {
		requestId,
		rootId: rootId === 0 ? getRootId(requestId) : rootId,
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

/** The id of the root request, which an attempt's id extends by a period and the attempt's number. */
function getRootId(requestId: RequestId): RequestId {
	return requestId.slice(0, requestId.lastIndexOf('.')) as RequestId;
}

function areCounts(values: readonly unknown[]): boolean {
	return values.every(value => Number.isSafeInteger(value) && (value as number) >= 0);
}

/** Bit in the third part of encoded metadata: the request reached the upstream. */
const arrivedBit = 1;

/** Retries left, milliseconds queued, bits, the service with the longest queueing delay or 0, that delay in milliseconds, and the four numbers of the gate's load if it is known. */
type EncodedGateMetadata = readonly [number, number, number, ServiceName | 0, number, ...number[]];

/** Encodes the metadata that a gate reports with a response. */
export function encodeGateMetadata({level, retriesLeft, queuedMilliseconds, hasArrived, crowding}: GateMetadata): EncodedGateMetadata {
	const queued = Math.round(queuedMilliseconds ?? 0);
	const bits = hasArrived === true ? arrivedBit : 0;
	const wait = Math.round(crowding?.waitMilliseconds ?? 0);
	return level === undefined
		? [retriesLeft, queued, bits, crowding?.service ?? 0, wait]
		: [retriesLeft, queued, bits, crowding?.service ?? 0, wait, level.inFlight, level.limit, level.queueLength, level.shedPriority];
}

/**
Decodes the metadata that a gate reports with a response.

@throws {InvalidInputError} The value is not encoded metadata.
*/
export function decodeGateMetadata(value: unknown): GateMetadata {
	if (!Array.isArray(value)) {
		throw new InvalidInputError('the metadata of a gate is malformed');
	}

	const [retriesLeft, queuedMilliseconds, bits, crowdedService, waitMilliseconds, ...level] = value as unknown as EncodedGateMetadata;
	if (!areCounts([retriesLeft, queuedMilliseconds, bits, waitMilliseconds, ...level]) || !(crowdedService === 0 || (typeof crowdedService === 'string' && crowdedService !== ''))) {
		throw new InvalidInputError('the metadata of a gate is malformed');
	}

	const [inFlight, limit, queueLength, shedPriority] = level;
	return {
		retriesLeft,
		queuedMilliseconds,
		hasArrived: bits === arrivedBit,
		crowding: crowdedService === 0 ? undefined : {service: crowdedService, waitMilliseconds},
		level: inFlight === undefined || limit === undefined || queueLength === undefined || shedPriority === undefined
			? undefined
			: {
				inFlight, limit, queueLength, shedPriority,
			},
	};
}
