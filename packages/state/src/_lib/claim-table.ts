/**
Claims: which job of which team runs, ran, or may have run.

A job is granted once. The record of a job is kept until it is older than the
retention; while the table is full a new job is refused rather than an unexpired
record forgotten, since a forgotten job could run twice. Stored answers have
their own, smaller bound in bytes: past it the oldest answers are dropped and
their jobs say so.
*/

import {UnreachableError, type JobKey, type TeamName} from '@fireflyglade/model';
import type {
	ClaimRequest, ClaimResult, Command, StoredResponse,
} from '../types.js';

/** Bounds of the table; they must be the same on every member of the log. */
export type ClaimLimits = {
	/** Records kept at once. */
	readonly maximumClaims: number;
	/** Milliseconds for which a record is kept after its last change. */
	readonly claimRetentionMilliseconds: number;
	/** Milliseconds after which a job without an outcome counts as unknown. */
	readonly outcomeTimeoutMilliseconds: number;
	/** Bytes of all stored answers together. */
	readonly maximumTotalResponseBytes: number;
	/** Bytes of one stored answer. */
	readonly maximumResponseBytes: number;
};

/** The word of a gate on how a job ended. */
export type ClaimFinish = Pick<Extract<Command, {kind: 'finish-claim'}>, 'team' | 'job' | 'requestId' | 'outcome'>;

type ClaimState =
	| {readonly kind: 'running'}
	| {readonly kind: 'answered'; readonly answer: StoredResponse}
	| {readonly kind: 'answer-dropped'; readonly status: number}
	| {readonly kind: 'outcome-unknown'};

/** One job as the table holds it; `changedAt` is in milliseconds of the state machine's own time. */
export type ClaimRecord = {
	readonly claim: ClaimRequest;
	readonly state: ClaimState;
	readonly changedAt: number;
};

/** The claims of all teams. */
export class ClaimTable {
	readonly #bounds: ClaimLimits;
	/** In the order of `changedAt`, the oldest first. */
	readonly #records = new Map<string, ClaimRecord>();
	/** Names of the records with a stored answer, the oldest first. */
	readonly #answered = new Set<string>();
	#answerBytes = 0;

	constructor(bounds: ClaimLimits, records: readonly ClaimRecord[] = []) {
		this.#bounds = bounds;
		for (const record of records) {
			this.#put(record);
		}
	}

	get size(): number {
		return this.#records.size;
	}

	get answerBytes(): number {
		return this.#answerBytes;
	}

	records(): readonly ClaimRecord[] {
		return [...this.#records.values()];
	}

	begin(claim: ClaimRequest, now: number): ClaimResult {
		this.#expire(now);
		const record = this.#records.get(recordName(claim.team, claim.job));
		if (record !== undefined) {
			return this.#resultFor(record, claim, now);
		}

		if (this.#records.size >= this.#bounds.maximumClaims) {
			return {kind: 'table-full'};
		}

		this.#put({claim, state: {kind: 'running'}, changedAt: now});
		return {kind: 'granted'};
	}

	/** Notes the outcome of a job, if it comes from the request that holds the claim and none is known yet. */
	finish(finish: ClaimFinish, now: number): void {
		this.#expire(now);
		const record = this.#records.get(recordName(finish.team, finish.job));
		if (record?.claim.requestId !== finish.requestId || !isOpen(record.state)) {
			return;
		}

		const {outcome} = finish;
		switch (outcome.kind) {
			case 'answered': {
				this.#finishAnswered(record, outcome.answer, now);
				return;
			}

			case 'answered-too-large': {
				this.#put({claim: record.claim, state: {kind: 'answer-dropped', status: outcome.status}, changedAt: now});
				return;
			}

			case 'not-run': {
				// Once the outcome was said to be unknown, nothing may run again.
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

		return now - record.changedAt > this.#bounds.outcomeTimeoutMilliseconds ? {kind: 'outcome-unknown'} : {kind: 'running'};
	}

	#finishAnswered(record: ClaimRecord, answer: StoredResponse, now: number): void {
		const state: ClaimState = answerSize(answer) > this.#bounds.maximumResponseBytes
			? {kind: 'answer-dropped', status: answer.status}
			: {kind: 'answered', answer};
		this.#put({claim: record.claim, state, changedAt: now});
		this.#dropOldestAnswers();
	}

	#dropOldestAnswers(): void {
		for (const name of this.#answered) {
			if (this.#answerBytes <= this.#bounds.maximumTotalResponseBytes) {
				return;
			}

			const record = this.#records.get(name);
			if (record?.state.kind === 'answered') {
				this.#answerBytes -= answerSize(record.state.answer);
				this.#records.set(name, {...record, state: {kind: 'answer-dropped', status: record.state.answer.status}});
			}

			this.#answered.delete(name);
		}
	}

	#expire(now: number): void {
		for (const record of this.#records.values()) {
			if (now - record.changedAt <= this.#bounds.claimRetentionMilliseconds) {
				return;
			}

			this.#drop(record);
		}
	}

	#put(record: ClaimRecord): void {
		this.#drop(record);
		const name = recordName(record.claim.team, record.claim.job);
		this.#records.set(name, record);
		if (record.state.kind === 'answered') {
			this.#answered.add(name);
			this.#answerBytes += answerSize(record.state.answer);
		}
	}

	#drop(record: ClaimRecord): void {
		const name = recordName(record.claim.team, record.claim.job);
		const present = this.#records.get(name);
		if (present?.state.kind === 'answered') {
			this.#answerBytes -= answerSize(present.state.answer);
		}

		this.#answered.delete(name);
		this.#records.delete(name);
	}
}

/** A team's name holds no space, so two names never give the same record. */
function recordName(team: TeamName, job: JobKey): string {
	return `${team} ${job}`;
}

/** An outcome may still be noted: the job runs, or was given up as unknown and its answer came late. */
function isOpen(state: ClaimState): boolean {
	return state.kind === 'running' || state.kind === 'outcome-unknown';
}

function isResend(held: ClaimRequest, claim: ClaimRequest): boolean {
	return held.requestId === claim.requestId && held.gate === claim.gate && held.gateIncarnation === claim.gateIncarnation;
}

/** Bytes that an answer takes in the table. */
function answerSize(answer: StoredResponse): number {
	let size = answer.body.byteLength;
	for (const [name, value] of answer.headers) {
		size += name.length + value.length;
	}

	return size;
}
