/**
The messages between an entry node and a gate on a shared connection.

Each message is a list that begins with its kind. Kinds 0 and 1 are reserved for
the connection itself. Each name of a header field is sent once per connection and
replaced by its index afterwards, as a connection carries the same few names for
its whole lifetime.
*/

import {
	bytesInKibibyte, InvalidInputError, maximumWorkClass, type Problem, type ProblemCode, type RequestId, type ServiceName, type TeamName,
} from '@fireflyglade/model';
import type {HeaderFields, ResponseHead} from '@fireflyglade/transport';
import type {GateMetadata} from '../call-types.js';
import {
	decodeGateLoad, encodeGateLoad, type JobClaimFields, type PeerCall,
} from '../peer-fields/index.js';

/** The kinds of messages. The comments list the parts after the kind; `number` identifies the call on its connection. */
export const peerMessageKinds = {
	/** From the entry node, as the first message: the fleet's secret, and the window of each response in bytes. A gate sends no more of a response until the entry node resumes it; without a window, until it pauses it. */
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

/** Bytes of a response that a gate sends before the entry node says that it has passed on half of them (flow control). */
export const responseWindowBytes = 128 * bytesInKibibyte;

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
			const name = this.#decodeName(fields[index]);
			const value = fields[index + 1];
			if (!isFieldValue(value)) {
				throw new InvalidInputError('the value of a field is malformed');
			}

			decoded[name] = value;
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

/** Id, root id, service, team, priority, timeout, attempts, depth, idempotence, job, work class, and the milliseconds until the latency objective if there is one. 0 stands for a root id that follows from the request id, and for an absent team or job. */
type EncodedCall = readonly [RequestId, RequestId | 0, ServiceName, TeamName | 0, number, number, number, number, 0 | 1, JobClaimFields | 0, number, number?];

/** Encodes a call. */
export function encodeCall({requestId, rootId, service, team, priority, timeoutMilliseconds, objectiveMilliseconds, workClass, remainingAttempts, depth, idempotent, job}: PeerCall): EncodedCall {
	const encoded = [requestId, requestId.startsWith(rootId) ? 0 : rootId, service, team ?? 0, priority, timeoutMilliseconds, remainingAttempts, depth, idempotent ? 1 : 0, job ?? 0, workClass] as const;
	return objectiveMilliseconds === undefined ? encoded : [...encoded, objectiveMilliseconds];
}

/**
Decodes a call.

@throws {InvalidInputError} The value is not an encoded call.
*/
export function decodeCall(value: unknown): PeerCall {
	if (!Array.isArray(value)) {
		throw new InvalidInputError('the encoded call of a peer is malformed');
	}

	const [
		requestId, rootId, service, team, priority, timeoutMilliseconds, remainingAttempts, depth, isIdempotent, job, workClass, objectiveMilliseconds,
	] = value as unknown as EncodedCall;
	if (typeof requestId !== 'string' || requestId === '' || typeof service !== 'string' || !areCounts([priority, timeoutMilliseconds, remainingAttempts, depth, workClass, objectiveMilliseconds ?? 0]) || workClass > maximumWorkClass) {
		throw new InvalidInputError('the encoded call of a peer is malformed');
	}

	return {
		requestId,
		rootId: rootId === 0 ? getRootId(requestId) : rootId,
		service,
		team: team === 0 ? undefined : team,
		priority,
		timeoutMilliseconds,
		...(objectiveMilliseconds === undefined ? {} : {objectiveMilliseconds}),
		workClass,
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

function isFieldValue(value: unknown): value is string | readonly string[] {
	return typeof value === 'string' || (Array.isArray(value) && value.every(part => typeof part === 'string'));
}

/** A message of a gate about one call, decoded. */
export type GateAnswer =
	| {readonly kind: 'head'; readonly head: ResponseHead; readonly metadata: GateMetadata; readonly bytes: Uint8Array | undefined; readonly isWhole: boolean}
	| {readonly kind: 'data'; readonly bytes: Uint8Array}
	| {readonly kind: 'end'; readonly trailers: HeaderFields}
	| {readonly kind: 'problem'; readonly problem: Problem; readonly metadata: GateMetadata}
	| {readonly kind: 'broken'};

/**
Decodes a message of a gate about one call. A message that is not exactly as a gate
sends it is refused, as a caller must not take a part of it for an answer.

@param message - The message.
@param decoder - Decodes the header fields of this direction of the connection.
@param isAnswered - True if the head of the response came before.
@throws {InvalidInputError} The message is malformed or out of order.
*/
export function decodeGateAnswer(message: readonly unknown[], decoder: FieldDecoder, isAnswered: boolean): GateAnswer {
	const [kind] = message;
	const isInOrder = isAnswered === (kind === peerMessageKinds.data || kind === peerMessageKinds.end || kind === peerMessageKinds.broken);
	const answer = isInOrder ? decodeAnswerOfKind(message, decoder) : undefined;
	if (answer === undefined) {
		throw new InvalidInputError('a message of a gate is malformed or out of order');
	}

	return answer;
}

function decodeAnswerOfKind(message: readonly unknown[], decoder: FieldDecoder): GateAnswer | undefined {
	const [kind, , value] = message;
	switch (kind) {
		case peerMessageKinds.head: {
			return decodeHead(message, decoder);
		}

		case peerMessageKinds.data: {
			return value instanceof Uint8Array ? {kind: 'data', bytes: value} : undefined;
		}

		case peerMessageKinds.end: {
			const isTrailers = typeof value === 'object' && value !== null && Object.values(value).every(part => isFieldValue(part));
			return isTrailers ? {kind: 'end', trailers: value as HeaderFields} : undefined;
		}

		case peerMessageKinds.problem: {
			return decodeProblem(message);
		}

		case peerMessageKinds.broken: {
			return {kind: 'broken'};
		}

		default: {
			return undefined;
		}
	}
}

function decodeHead(message: readonly unknown[], decoder: FieldDecoder): GateAnswer | undefined {
	const [status, fields, metadata, bytes, wholeMark] = message.slice(2);
	const isBytes = bytes === undefined || bytes === null || bytes instanceof Uint8Array;
	if (!isFinalStatus(status) || !Array.isArray(fields) || !isBytes || (wholeMark !== undefined && wholeMark !== 1)) {
		return undefined;
	}

	return {
		kind: 'head', head: {status, headers: decoder.decodeFields(fields as EncodedFields)}, metadata: decodeGateMetadata(metadata), bytes: bytes ?? undefined, isWhole: wholeMark === 1,
	};
}

function decodeProblem(message: readonly unknown[]): GateAnswer | undefined {
	const [code, outcome, detail, wait, metadata] = message.slice(2);
	const isOutcome = outcome === 'not-run' || outcome === 'unknown';
	if (typeof code !== 'string' || !isOutcome || typeof detail !== 'string' || !(wait === null || Number.isFinite(wait))) {
		return undefined;
	}

	return {
		kind: 'problem',
		problem: {
			code: code as ProblemCode, outcome, detail, ...(wait === null ? {} : {retryAfterMilliseconds: wait as number}),
		},
		metadata: decodeGateMetadata(metadata),
	};
}

function isFinalStatus(value: unknown): value is number {
	return Number.isInteger(value) && (value as number) >= 200 && (value as number) <= 599;
}

function areCounts(values: readonly unknown[]): boolean {
	return values.every(value => Number.isSafeInteger(value) && (value as number) >= 0);
}

function hasBit(bits: number, bit: number): boolean {
	return Math.floor(bits / bit) % 2 === 1;
}

function isService(value: unknown): boolean {
	return typeof value === 'string' && value !== '';
}

/** Bit in the third part of encoded metadata: the request reached the upstream. */
const arrivedBit = 1;
/** Bit in the third part of encoded metadata: a refused share follows the queueing delay. */
const refusedShareBit = 2;
/** Bit in the third part of encoded metadata: the upstream makes calls itself. */
const makesCallsBit = 4;
const hundredthsInUnit = 100;

/**
Retries left, milliseconds queued, bits, the service with the longest queueing delay or 0, that delay in milliseconds,
the service with the highest refused share and that share in hundredths if the bits state one, and the numbers of the gate's load if it is known.
*/
type EncodedGateMetadata = readonly [number, number, number, ServiceName | 0, number, ...Array<number | ServiceName>];

/** Encodes the metadata that a gate reports with a response. */
export function encodeGateMetadata({level, retriesLeft, queuedMilliseconds, hasArrived, crowding, refusedShare, makesCalls}: GateMetadata): EncodedGateMetadata {
	const queued = Math.round(queuedMilliseconds ?? 0);
	const bits = (hasArrived === true ? arrivedBit : 0) + (refusedShare === undefined ? 0 : refusedShareBit) + (makesCalls === true ? makesCallsBit : 0);
	const wait = Math.round(crowding?.waitMilliseconds ?? 0);
	const encoded: [number, number, number, ServiceName | 0, number, ...Array<number | ServiceName>] = [retriesLeft, queued, bits, crowding?.service ?? 0, wait];
	if (refusedShare !== undefined) {
		encoded.push(refusedShare.service, Math.round(refusedShare.share * hundredthsInUnit));
	}

	if (level !== undefined) {
		encoded.push(...encodeGateLoad(level));
	}

	return encoded;
}

/**
Decodes the metadata that a gate reports with a response.

@throws {InvalidInputError} The value is not encoded metadata.
*/
export function decodeGateMetadata(value: unknown): GateMetadata {
	if (!Array.isArray(value)) {
		throw new InvalidInputError('the metadata of a gate is malformed');
	}

	const [retriesLeft, queuedMilliseconds, bits, crowdedService, waitMilliseconds, ...rest] = value as unknown as EncodedGateMetadata;
	const hasRefusedShare = hasBit(bits, refusedShareBit);
	const [refusingService, refusedHundredths] = hasRefusedShare ? rest : ['-', 0];
	const level = (hasRefusedShare ? rest.slice(2) : rest) as number[];
	if (!areCounts([retriesLeft, queuedMilliseconds, bits, waitMilliseconds, refusedHundredths, ...level]) || !(crowdedService === 0 || isService(crowdedService)) || !isService(refusingService)) {
		throw new InvalidInputError('the metadata of a gate is malformed');
	}

	return {
		retriesLeft,
		queuedMilliseconds,
		hasArrived: hasBit(bits, arrivedBit),
		...(hasBit(bits, makesCallsBit) && {makesCalls: true}),
		crowding: crowdedService === 0 ? undefined : {service: crowdedService, waitMilliseconds},
		...(hasRefusedShare && {refusedShare: {service: refusingService as ServiceName, share: Math.min(1, (refusedHundredths as number) / hundredthsInUnit)}}),
		level: decodeGateLoad(level),
	};
}
