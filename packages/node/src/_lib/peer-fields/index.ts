/**
The header fields between an entry node and a gate: the call and its context in
the request, the gate's load and the unused retries in the response.
*/

import {timingSafeEqual, createHash} from 'node:crypto';
import {
	InvalidInputError, maximumCallDepth, lowestPriority, maximumWorkClass,
	type GateLevel, type JobKey, type ProblemCode, type RequestId, type ServiceName, type TeamName, httpStatusByProblemCode,
} from '@fireflyglade/model';
import type {HeaderFields} from '@fireflyglade/transport';

/** Field with the fleet's secret. */
export const fleetTokenField = 'fireflyglade-fleet-token';
/** Field with the call's context. */
export const callField = 'fireflyglade-call';
/** Field with the gate's load. */
export const levelField = 'fireflyglade-level';
/** Field with the unused retries of the call. */
export const retriesLeftField = 'fireflyglade-retries-left';
/** Field with the milliseconds that the call and its downstream calls were queued at gates. */
export const queuedField = 'fireflyglade-queued-ms';
/** Field that states that a refused request had reached the upstream. */
export const arrivedField = 'fireflyglade-arrived';
/** Field that marks a response as a problem stated by the gate, and holds its code. */
export const problemField = 'fireflyglade-problem';
/** Field with the milliseconds after which a retry may help. */
export const retryAfterField = 'fireflyglade-retry-after-ms';
/** Trailer that marks a gate's streamed response as complete. */
export const wholeField = 'fireflyglade-whole';
/** Field with the token by which calls that the upstream makes are matched to its request. */
export const contextField = 'fireflyglade-context';
/** Field with the team, for the upstream. */
export const teamField = 'fireflyglade-team';
/** Field with the milliseconds until the deadline. */
export const timeoutField = 'fireflyglade-timeout-ms';

/** A job that runs at most once. */
export type JobClaimFields = {
	readonly job: JobKey;
	/** SHA-256 of method, path and body. */
	readonly fingerprint: string;
};

/** A call as it is sent to a gate. */
export type PeerCall = {
	readonly requestId: RequestId;
	readonly rootId: RequestId;
	readonly service: ServiceName;
	readonly team?: TeamName | undefined;
	readonly priority: number;
	readonly timeoutMilliseconds: number;
	/** Remaining milliseconds until the latency objective, 0 if it has passed; absent if there is none. */
	readonly objectiveMilliseconds?: number | undefined;
	readonly workClass: number;
	readonly remainingAttempts: number;
	readonly depth: number;
	readonly idempotent: boolean;
	readonly job?: JobClaimFields | undefined;
};

const peerCallPartCount = 13;
const absentPart = '-';

/** Formats a call as a value of the field `fireflyglade-call`. */
export function formatPeerCall(call: PeerCall): string {
	return [
		call.requestId,
		call.rootId,
		call.team ?? absentPart,
		call.priority,
		Math.max(1, Math.ceil(call.timeoutMilliseconds)),
		call.remainingAttempts,
		call.depth,
		call.idempotent ? 1 : 0,
		call.job === undefined ? absentPart : `=${encodeURIComponent(call.job.job)}`,
		call.job === undefined ? absentPart : call.job.fingerprint,
		call.service,
		call.workClass,
		call.objectiveMilliseconds ?? absentPart,
	].join(' ');
}

/**
Parses the field `fireflyglade-call`.

@throws {InvalidInputError} The value is not a formatted call.
*/
export function parsePeerCall(value: string): PeerCall {
	const parts = value.split(' ');
	if (parts.length !== peerCallPartCount || parts.includes('')) {
		throw new InvalidInputError('the call of a peer does not have the expected parts');
	}

	const [requestId, rootId, team, priority, timeout, attempts, depth, idempotent, job, fingerprint, service, workClass, objective] = parts as [string, string, string, string, string, string, string, string, string, string, string, string, string];
	return {
		requestId: requestId as RequestId,
		rootId: rootId as RequestId,
		service: service as ServiceName,
		team: team === absentPart ? undefined : team as TeamName,
		priority: parseNumber(priority, lowestPriority),
		timeoutMilliseconds: parseNumber(timeout, Number.MAX_SAFE_INTEGER),
		...(objective === absentPart ? {} : {objectiveMilliseconds: parseNumber(objective, Number.MAX_SAFE_INTEGER)}),
		workClass: parseNumber(workClass, maximumWorkClass),
		remainingAttempts: parseNumber(attempts, Number.MAX_SAFE_INTEGER),
		depth: parseNumber(depth, maximumCallDepth),
		idempotent: idempotent === '1',
		job: job === absentPart ? undefined : {job: parseJob(job), fingerprint},
	};
}

function parseJob(value: string): JobKey {
	try {
		return decodeURIComponent(value.slice(1)) as JobKey;
	} catch (error) {
		throw new InvalidInputError('the job in the call of a peer is not valid percent-encoding', {cause: error});
	}
}

function parseNumber(text: string, maximum: number): number {
	const value = Number(text);
	if (!Number.isSafeInteger(value) || value < 0 || value > maximum) {
		throw new InvalidInputError('a number in the call of a peer is out of range');
	}

	return value;
}

/** Formats a gate's load as a value of the field `fireflyglade-level`. */
export function formatGateLoad(level: GateLevel): string {
	return encodeGateLoad(level).join(' ');
}

/** Parses the field `fireflyglade-level`; undefined if it is absent or malformed. */
export function parseGateLoad(fields: HeaderFields): GateLevel | undefined {
	const value = fields[levelField];
	if (typeof value !== 'string') {
		return undefined;
	}

	return decodeGateLoad(value.split(' ').map(Number));
}

/** Encodes a gate's load as whole numbers. The service time in milliseconds and the pace in hundredths follow where one of them is known, 0 standing for an unknown one. */
export function encodeGateLoad({inFlight, limit, queueLength, shedPriority, serviceMilliseconds, pace}: GateLevel): readonly number[] {
	return serviceMilliseconds === undefined && pace === undefined
		? [inFlight, limit, queueLength, shedPriority]
		: [inFlight, limit, queueLength, shedPriority, Math.ceil(serviceMilliseconds ?? 0), Math.ceil((pace ?? 0) * hundredthsInUnit)];
}

/** Decodes a gate's load; undefined if the numbers are no encoded load. */
export function decodeGateLoad(numbers: readonly number[]): GateLevel | undefined {
	if ((numbers.length !== 4 && numbers.length !== 6) || !numbers.every(number => Number.isFinite(number) && number >= 0)) {
		return undefined;
	}

	const [inFlight, limit, queueLength, shedPriority, serviceMilliseconds = 0, paceHundredths = 0] = numbers as [number, number, number, number, number?, number?];
	return {
		inFlight,
		limit,
		queueLength,
		shedPriority,
		...(serviceMilliseconds === 0 ? {} : {serviceMilliseconds}),
		...(paceHundredths === 0 ? {} : {pace: paceHundredths / hundredthsInUnit}),
	};
}

const hundredthsInUnit = 100;

/** Parses the code of a problem stated by a gate; undefined if the response is the upstream's. */
export function parseProblemCode(fields: HeaderFields): ProblemCode | undefined {
	const value = fields[problemField];
	return typeof value === 'string' && Object.hasOwn(httpStatusByProblemCode, value) ? value as ProblemCode : undefined;
}

/** Parses a field with a non-negative integer of up to 15 digits; undefined if it is absent or malformed. */
export function parseNumberField(fields: HeaderFields, name: string): number | undefined {
	const value = fields[name];
	if (typeof value !== 'string' || !/^\d{1,15}$/.test(value)) {
		return undefined;
	}

	return Number(value);
}

/** Compares candidates with a secret in constant time. */
export class SecretVerifier {
	readonly #digest: Uint8Array;

	constructor(secret: string) {
		this.#digest = digest(secret);
	}

	/** True if the candidate is the secret. */
	matches(candidate: string | string[] | undefined): boolean {
		return typeof candidate === 'string' && timingSafeEqual(digest(candidate), this.#digest);
	}
}

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
