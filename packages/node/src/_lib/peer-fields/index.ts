/**
The header fields between an entry node and a gate: the call with its context on
the way there, the gate's level and the retries left on the way back.
*/

import {timingSafeEqual, createHash} from 'node:crypto';
import {
	InvalidInputError, maximumCallDepth, lowestPriority,
	type GateLevel, type JobKey, type ProblemCode, type RequestId, type ServiceName, type TeamName, httpStatusByProblemCode,
} from '@fireflyglade/model';
import type {HeaderFields} from '@fireflyglade/transport';

/** Field with the fleet's secret. */
export const fleetTokenField = 'fireflyglade-fleet-token';
/** Field with the call's context. */
export const callField = 'fireflyglade-call';
/** Field with the gate's level. */
export const levelField = 'fireflyglade-level';
/** Field with the retries of the call that were not used. */
export const retriesLeftField = 'fireflyglade-retries-left';
/** Field with the milliseconds that the call and those below it waited at gates. */
export const queuedField = 'fireflyglade-queued-ms';
/** Field that says that a refused request came to the upstream. */
export const arrivedField = 'fireflyglade-arrived';
/** Field that marks an answer as a problem which the gate states. */
export const problemField = 'fireflyglade-problem';
/** Field with the milliseconds after which a retry may help. */
export const retryAfterField = 'fireflyglade-retry-after-ms';
/** Trailer that ends each streamed answer of a gate which is whole. */
export const wholeField = 'fireflyglade-whole';
/** Field with the token by which the upstream's own calls are matched. */
export const contextField = 'fireflyglade-context';
/** Field with the team, for the upstream. */
export const teamField = 'fireflyglade-team';
/** Field with the remaining milliseconds of the caller. */
export const timeoutField = 'fireflyglade-timeout-ms';

/** A job that runs at most once. */
export type JobClaimFields = {
	readonly job: JobKey;
	/** SHA-256 of method, path and body. */
	readonly fingerprint: string;
};

/** A call as it is told to a gate. */
export type PeerCall = {
	readonly requestId: RequestId;
	readonly rootId: RequestId;
	readonly service: ServiceName;
	readonly team?: TeamName | undefined;
	readonly priority: number;
	readonly timeoutMilliseconds: number;
	readonly remainingAttempts: number;
	readonly depth: number;
	readonly idempotent: boolean;
	readonly job?: JobClaimFields | undefined;
};

const partCount = 11;
const absent = '-';

/** Writes a call for the field `fireflyglade-call`. */
export function formatPeerCall(call: PeerCall): string {
	return [
		call.requestId,
		call.rootId,
		call.team ?? absent,
		call.priority,
		Math.max(1, Math.ceil(call.timeoutMilliseconds)),
		call.remainingAttempts,
		call.depth,
		call.idempotent ? 1 : 0,
		call.job === undefined ? absent : `=${encodeURIComponent(call.job.job)}`,
		call.job === undefined ? absent : call.job.fingerprint,
		call.service,
	].join(' ');
}

/**
Reads the field `fireflyglade-call`.

@throws {InvalidInputError} The value is not a call.
*/
export function parsePeerCall(value: string): PeerCall {
	const parts = value.split(' ');
	if (parts.length !== partCount || parts.includes('')) {
		throw new InvalidInputError('the call of a peer is malformed');
	}

	const [requestId, rootId, team, priority, timeout, attempts, depth, idempotent, job, fingerprint, service] = parts as [string, string, string, string, string, string, string, string, string, string, string];
	return {
		requestId: requestId as RequestId,
		rootId: rootId as RequestId,
		service: service as ServiceName,
		team: team === absent ? undefined : team as TeamName,
		priority: parseCount(priority, lowestPriority),
		timeoutMilliseconds: parseCount(timeout, Number.MAX_SAFE_INTEGER),
		remainingAttempts: parseCount(attempts, Number.MAX_SAFE_INTEGER),
		depth: parseCount(depth, maximumCallDepth),
		idempotent: idempotent === '1',
		job: job === absent ? undefined : {job: parseJob(job), fingerprint},
	};
}

function parseJob(value: string): JobKey {
	try {
		return decodeURIComponent(value.slice(1)) as JobKey;
	} catch (error) {
		throw new InvalidInputError('the job of a peer is malformed', {cause: error});
	}
}

function parseCount(text: string, maximum: number): number {
	const value = Number(text);
	if (!Number.isSafeInteger(value) || value < 0 || value > maximum) {
		throw new InvalidInputError('a number in the call of a peer is out of range');
	}

	return value;
}

/** Writes a level for the field `fireflyglade-level`. */
export function formatGateLoad(level: GateLevel): string {
	return `${level.inFlight} ${level.limit} ${level.queueLength} ${level.shedPriority}`;
}

/** Reads the field `fireflyglade-level`; undefined if it is absent or malformed. */
export function parseGateLoad(fields: HeaderFields): GateLevel | undefined {
	const value = fields[levelField];
	if (typeof value !== 'string') {
		return undefined;
	}

	const parts = value.split(' ').map(Number);
	if (parts.length !== 4 || parts.some(part => !Number.isFinite(part))) {
		return undefined;
	}

	const [inFlight, limit, queueLength, shedPriority] = parts as [number, number, number, number];
	return {
		inFlight, limit, queueLength, shedPriority,
	};
}

/** Reads the code of a problem that a gate states; undefined if the answer is the upstream's. */
export function parseProblemCode(fields: HeaderFields): ProblemCode | undefined {
	const value = fields[problemField];
	return typeof value === 'string' && Object.hasOwn(httpStatusByProblemCode, value) ? value as ProblemCode : undefined;
}

/** Reads a whole number of a field; undefined if it is absent or malformed. */
export function parseNumberField(fields: HeaderFields, name: string): number | undefined {
	const value = fields[name];
	if (typeof value !== 'string' || !/^\d{1,15}$/.test(value)) {
		return undefined;
	}

	return Number(value);
}

/** Compares secrets in time that doesn't depend on where they differ. */
export class SecretVerifier {
	readonly #digest: Uint8Array;

	constructor(secret: string) {
		this.#digest = digest(secret);
	}

	matches(candidate: string | string[] | undefined): boolean {
		return typeof candidate === 'string' && timingSafeEqual(digest(candidate), this.#digest);
	}
}

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
