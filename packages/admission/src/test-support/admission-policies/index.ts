/**
Admission policies for trials: the production policy and the alternatives that it is compared with.
*/

import {type GateLevel, lowestPriority, type RequestId} from '@fireflyglade/model';
import {GateAdmission} from '../../gate-admission/index.js';
import type {
	Admission, AdmissionDecision, AdmissionRequest, ConcurrencyLimit, RunOutcome, RunSample,
} from '../../types.js';

/** A limit that always equals the announced slots. */
export class FixedLimit implements ConcurrencyLimit {
	#slots: number;

	constructor(slots: number) {
		this.#slots = slots;
	}

	current(_now?: number): number {
		return this.#slots;
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	begin(): void {
		// The limit depends on the announced slots only.
	}

	finish(): void {
		// The limit depends on the announced slots only.
	}
}

const doublingMilliseconds = 500;
const initialDoublingRatio = 0.1;

/** A limit that begins at a tenth of the slots and doubles every 500 ms. */
export class DoublingLimit extends FixedLimit {
	override current(now: number): number {
		return Math.max(1, Math.floor(super.current() * Math.min(1, initialDoublingRatio * (2 ** Math.floor(now / doublingMilliseconds)))));
	}
}

const gradientTolerance = 1.5;
const gradientSmoothing = 0.1;
const longAverageWeight = 0.002;
const shortAverageWeight = 0.05;

/** A limit that follows the ratio of a long-term to a short-term average of latency. */
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
		// The limit only changes when a run ends.
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

/** A single first-in, first-out queue with controlled delay (CoDel): the maximum queueing time is shorter while there is a standing queue. */
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
		return this.#queue.delete(requestId) ? [createRefusal(requestId)] : [];
	}

	tick(now: number): readonly AdmissionDecision[] {
		return this.#start(now);
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	observeLoad(): void {
		// The limit is the number of slots.
	}

	setTeamWeights(): void {
		// All teams share one queue.
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
		const maximumQueueingMilliseconds = now - this.#emptyAt > intervalMilliseconds ? targetMilliseconds : intervalMilliseconds;
		for (const [requestId, arrivedAt] of this.#queue) {
			if (now - arrivedAt > maximumQueueingMilliseconds) {
				this.#queue.delete(requestId);
				decisions.push(createRefusal(requestId));
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

function createRefusal(requestId: RequestId): AdmissionDecision {
	return {
		kind: 'refuse', requestId, reason: 'shed', retryAfterMilliseconds: intervalMilliseconds,
	};
}

/** A named admission policy. */
export type AdmissionPolicy = {
	readonly name: string;
	/** Creates the admission; absent for no admission control. */
	readonly admission?: (slots: number) => Admission;
};

/** The production policy, followed by the alternatives. */
export const admissionPolicies: readonly AdmissionPolicy[] = [
	{name: 'adaptive', admission: slots => new GateAdmission({slots, now: 0})},
	{name: 'newest first', admission: slots => new GateAdmission({slots, now: 0, order: 'newest-when-standing'})},
	{name: 'fixed limit', admission: slots => new GateAdmission({slots, now: 0, limit: new FixedLimit(slots)})},
	{name: 'gradient limit', admission: slots => new GateAdmission({slots, now: 0, limit: new GradientLimit(slots)})},
	{name: 'controlled delay', admission: slots => new ControlledDelayAdmission(slots)},
	{name: 'no control'},
];
