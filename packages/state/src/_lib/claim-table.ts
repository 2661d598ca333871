/**
Job claims: for each team, which jobs are running, have run, or may have run.

A job is granted once. Its record is retained until the retention time has passed
since its last change. While the table is full, new jobs are refused; an unexpired
record is never evicted, because its job could then run twice. The stored responses
have a separate limit in bytes: above it the oldest responses are dropped, and their
jobs are marked as `answer-dropped`.
*/

import {UnreachableError, type JobKey, type TeamName} from '@fireflyglade/model';
import type {
	ClaimRequest, ClaimResult, Command, StoredResponse,
} from '../types.js';

/** Limits of the table. They must be the same on every member of the log. */
export type ClaimLimits = {
	/** The most records in the table. */
	readonly maximumClaims: number;
	/** Time for which a record is retained after its last change. */
	readonly claimRetentionMilliseconds: number;
	/** Time after which the outcome of a job that is still running counts as unknown. */
	readonly outcomeTimeoutMilliseconds: number;
	/** The most bytes of all stored responses together. */
	readonly maximumTotalResponseBytes: number;
	/** The most bytes of one stored response. */
	readonly maximumResponseBytes: number;
};

/** A report of a gate on the outcome of a job. */
export type ClaimCompletion = Pick<Extract<Command, {kind: 'finish-claim'}>, 'team' | 'job' | 'requestId' | 'outcome'>;

type ClaimState =
	| {readonly kind: 'running'}
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	| {readonly kind: 'answer-dropped'; readonly status: number}
	| {readonly kind: 'outcome-unknown'};

/** The record of one job. `changedAt` is in milliseconds of the state machine's elapsed time. */
export type ClaimRecord = {
	readonly claim: ClaimRequest;
	readonly state: ClaimState;
	readonly changedAt: number;
};

/** The job claims of all teams. */
export class ClaimTable {
	readonly #limits: ClaimLimits;
	/** Records by name, in the order of `changedAt`, oldest first. */
	readonly #records = new Map<string, ClaimRecord>();
	/** Names of the records with a stored response, oldest first. */
	readonly #namesWithResponse = new Set<string>();
	#storedResponseBytes = 0;

	constructor(limits: ClaimLimits, records: readonly ClaimRecord[] = []) {
		this.#limits = limits;
		for (const record of records) {
			this.#put(record);
		}
	}

	get size(): number {
		return this.#records.size;
	}

	get storedResponseBytes(): number {
		return this.#storedResponseBytes;
	}

	records(): readonly ClaimRecord[] {
		return [...this.#records.values()];
	}

	/** Claims a job, or returns the state of an earlier claim. */
	begin(claim: ClaimRequest, now: number): ClaimResult {
		this.#expire(now);
		const record = this.#records.get(claimName(claim.team, claim.job));
		if (record !== undefined) {
			return this.#resultFor(record, claim, now);
		}

		if (this.#records.size >= this.#limits.maximumClaims) {
			return {kind: 'table-full'};
		}

		this.#put({claim, state: {kind: 'running'}, changedAt: now});
		return {kind: 'granted'};
	}

	/** Records the outcome of a job. Ignored unless it comes from the request that holds the claim and no final outcome is recorded. */
	finish(completion: ClaimCompletion, now: number): void {
		this.#expire(now);
		const record = this.#records.get(claimName(completion.team, completion.job));
		if (record?.claim.requestId !== completion.requestId || !canTakeOutcome(record.state)) {
			return;
		}

		const {outcome} = completion;
		switch (outcome.kind) {
			case 'answered': {
				this.#storeResponse(record, outcome.answer, now);
				return;
			}

			case 'answered-too-large': {
				this.#put({claim: record.claim, state: {kind: 'answer-dropped', status: outcome.status}, changedAt: now});
				return;
			}

			case 'not-run': {
				// Once the outcome was reported as unknown, the job must not run again.
				if (record.state.kind === 'running') {
					this.#drop(record);
				}

				return;
			}

			case 'unknown': {
				this.#put({claim: record.claim, state: {kind: 'outcome-unknown'}, changedAt: now});
				return;
			}

			default: {
				throw new UnreachableError(outcome);
			}
		}
	}

	#resultFor(record: ClaimRecord, claim: ClaimRequest, now: number): ClaimResult {
		if (record.claim.fingerprint !== claim.fingerprint) {
			return {kind: 'mismatch'};
		}

		if (record.state.kind !== 'running') {
			return record.state;
		}

		if (isResend(record.claim, claim)) {
			return {kind: 'granted'};
		}

		return now - record.changedAt > this.#limits.outcomeTimeoutMilliseconds ? {kind: 'outcome-unknown'} : {kind: 'running'};
	}

	#storeResponse(record: ClaimRecord, answer: StoredResponse, now: number): void {
		const state: ClaimState = responseBytes(answer) > this.#limits.maximumResponseBytes
			? {kind: 'answer-dropped', status: answer.status}
			: {kind: 'answered', answer};
		this.#put({claim: record.claim, state, changedAt: now});
		this.#dropOldestResponses();
	}

	#dropOldestResponses(): void {
		for (const name of this.#namesWithResponse) {
			if (this.#storedResponseBytes <= this.#limits.maximumTotalResponseBytes) {
				return;
			}

			const record = this.#records.get(name);
			if (record?.state.kind === 'answered') {
				this.#storedResponseBytes -= responseBytes(record.state.answer);
				this.#records.set(name, {...record, state: {kind: 'answer-dropped', status: record.state.answer.status}});
			}

			this.#namesWithResponse.delete(name);
		}
	}

	#expire(now: number): void {
		for (const record of this.#records.values()) {
			if (now - record.changedAt <= this.#limits.claimRetentionMilliseconds) {
				return;
			}

			this.#drop(record);
		}
	}

	#put(record: ClaimRecord): void {
		this.#drop(record);
		const name = claimName(record.claim.team, record.claim.job);
		this.#records.set(name, record);
		if (record.state.kind === 'answered') {
			this.#namesWithResponse.add(name);
			this.#storedResponseBytes += responseBytes(record.state.answer);
		}
	}

	#drop(record: ClaimRecord): void {
		const name = claimName(record.claim.team, record.claim.job);
		const present = this.#records.get(name);
		if (present?.state.kind === 'answered') {
			this.#storedResponseBytes -= responseBytes(present.state.answer);
		}

		this.#namesWithResponse.delete(name);
		this.#records.delete(name);
	}
}

/** The name of a record. It is unique, because a team name contains no space. */
function claimName(team: TeamName, job: JobKey): string {
	return `${team} ${job}`;
}

/** True if an outcome may still be recorded: the job is running, or it was reported as unknown and its response arrives late. */
function canTakeOutcome(state: ClaimState): boolean {
	return state.kind === 'running' || state.kind === 'outcome-unknown';
}

/** True if a claim is a resend of the held one by the same process of the same gate. */
function isResend(held: ClaimRequest, claim: ClaimRequest): boolean {
	return held.requestId === claim.requestId && held.gate === claim.gate && held.gateIncarnation === claim.gateIncarnation;
}

/** Approximate size of a stored response, in bytes. */
function responseBytes(answer: StoredResponse): number {
	let size = answer.body.byteLength;
	for (const [name, value] of answer.headers) {
		size += name.length + value.length;
	}

	return size;
}
