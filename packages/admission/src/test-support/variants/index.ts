/**
Admission policies that were weighed against the one in use, for trials.
*/

import {type GateLevel, lowestPriority, type RequestId} from '@fireflyglade/model';
import {GateAdmission} from '../../gate-admission/index.js';
import type {
	Admission, AdmissionDecision, AdmissionRequest, ConcurrencyLimit, RunOutcome, RunSample,
} from '../../types.js';

/** A limit that believes the announced slots. */
export class FixedLimit implements ConcurrencyLimit {
	#slots: number;

	constructor(slots: number) {
		this.#slots = slots;
	}

	current(): number {
		return this.#slots;
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	begin(): void {
		// The announced slots alone decide.
	}

	finish(): void {
		// The announced slots alone decide.
	}
}

const gradientTolerance = 1.5;
const gradientSmoothing = 0.1;
const longAverageWeight = 0.002;
const shortAverageWeight = 0.05;

/** A limit that moves by the ratio of a long to a short average of latency. */
export class GradientLimit implements ConcurrencyLimit {
	#slots: number;
	#limit: number;
	#longAverage: number | undefined;
	#shortAverage = 0;

	constructor(slots: number) {
		this.#slots = slots;
		this.#limit = slots;
	}

	current(): number {
		return Math.max(1, Math.floor(Math.min(this.#limit, this.#slots)));
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	begin(): void {
		// Only runs that end move the limit.
	}

	finish(sample: RunSample, _inFlight: number, now: number): void {
		const latency = now - sample.startedAt;
		this.#longAverage = this.#longAverage === undefined ? latency : this.#longAverage + ((latency - this.#longAverage) * longAverageWeight);
		this.#shortAverage = this.#shortAverage === 0 ? latency : this.#shortAverage + ((latency - this.#shortAverage) * shortAverageWeight);
		const gradient = Math.max(0.5, Math.min(1, gradientTolerance * this.#longAverage / this.#shortAverage));
		const next = (this.#limit * gradient) + Math.sqrt(this.#limit);
		this.#limit = Math.min(this.#slots, Math.max(1, this.#limit + ((next - this.#limit) * gradientSmoothing)));
	}
}

const targetMilliseconds = 20;
const intervalMilliseconds = 100;

/** One queue for all, first come first served; a standing queue keeps requests for a short time only. */
export class ControlledDelayAdmission implements Admission {
	#slots: number;
	readonly #running = new Set<RequestId>();
	readonly #queue = new Map<RequestId, number>();
	#emptyAt = 0;

	constructor(slots: number) {
		this.#slots = slots;
	}

	get hasWaitingRequests(): boolean {
		return this.#queue.size > 0;
	}

	offer(request: AdmissionRequest, now: number): readonly AdmissionDecision[] {
		this.#queue.set(request.requestId, now);
		const decisions = this.#start(now);
		return decisions.length > 0 ? decisions : [{kind: 'wait', requestId: request.requestId}];
	}

	finish(requestId: RequestId, _outcome: RunOutcome, now: number): readonly AdmissionDecision[] {
		this.#running.delete(requestId);
		return this.#start(now);
	}

	cancel(requestId: RequestId): readonly AdmissionDecision[] {
		return this.#queue.delete(requestId) ? [refusal(requestId)] : [];
	}

	tick(now: number): readonly AdmissionDecision[] {
		return this.#start(now);
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	setTeamWeights(): void {
		// One queue for all teams.
	}

	drain(): void {
		this.#slots = 0;
	}

	level(): GateLevel {
		return {
			inFlight: this.#running.size, limit: this.#slots, queueLength: this.#queue.size, shedPriority: lowestPriority + 1,
		};
	}

	#start(now: number): AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		const allowed = now - this.#emptyAt > intervalMilliseconds ? targetMilliseconds : intervalMilliseconds;
		for (const [requestId, arrivedAt] of this.#queue) {
			if (now - arrivedAt > allowed) {
				this.#queue.delete(requestId);
				decisions.push(refusal(requestId));
				continue;
			}

			if (this.#running.size >= this.#slots) {
				break;
			}

			this.#queue.delete(requestId);
			this.#running.add(requestId);
			decisions.push({kind: 'run', requestId});
		}

		if (this.#queue.size === 0) {
			this.#emptyAt = now;
		}

		return decisions;
	}
}

function refusal(requestId: RequestId): AdmissionDecision {
	return {
		kind: 'refuse', requestId, reason: 'shed', retryAfterMilliseconds: intervalMilliseconds,
	};
}

/** A policy with its name. */
export type Variant = {
	readonly name: string;
	/** Absent for no control at all. */
	readonly admission?: (slots: number) => Admission;
};

/** The policy in use first, then those that were weighed. */
export const variants: readonly Variant[] = [
	{name: 'adaptive', admission: slots => new GateAdmission({slots, now: 0})},
	{name: 'newest first', admission: slots => new GateAdmission({slots, now: 0, order: 'newest-when-standing'})},
	{name: 'fixed limit', admission: slots => new GateAdmission({slots, now: 0, limit: new FixedLimit(slots)})},
	{name: 'gradient limit', admission: slots => new GateAdmission({slots, now: 0, limit: new GradientLimit(slots)})},
	{name: 'controlled delay', admission: slots => new ControlledDelayAdmission(slots)},
	{name: 'no control'},
];
