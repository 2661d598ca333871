/**
Simulates a gate and its upstream on virtual time. Admission is the production
implementation; the upstream is a fake whose service time grows in proportion once
more requests run than it has slots.
*/

import type {Admission, AdmissionDecision, RunOutcome} from '@fireflyglade/admission';
import {
	UnreachableError, type Clock, type GateLevel, type Target, type Timer,
} from '@fireflyglade/model';
import type {ScenarioRequest} from '../../run-scenario/types.js';

/** The answer of a gate to an entry node. */
export type GateAnswer =
	| {readonly kind: 'answered'}
	/** The request did not run. */
	| {readonly kind: 'not-run'}
	/** The request ran or may have run. */
	| {readonly kind: 'failed'};

/** A call of an entry node to a gate. */
export type GateCall = {
	readonly request: ScenarioRequest;
	readonly priority: number;
	/** Virtual milliseconds. */
	readonly deadline: number;
	/** Called once with the answer. */
	readonly answer: (answer: GateAnswer) => void;
};

type RunningCall = {
	readonly call: GateCall;
	readonly timer: Timer;
};

/** Options of a gate. */
export type ScenarioGateOptions = {
	readonly clock: Clock;
	readonly target: Target;
	/** Duration of a request while the upstream has a free slot. */
	readonly serviceMilliseconds: number;
	readonly createAdmission: (slots: number, now: number, isCold: boolean) => Admission;
};

/** A simulated gate and its upstream. */
export class ScenarioGate {
	/** Virtual times, in milliseconds, at which requests started to run. */
	readonly starts: number[] = [];
	readonly target: Target;
	/** Duration of a request while the upstream has a free slot. */
	serviceMilliseconds: number;
	readonly #options: ScenarioGateOptions;
	#admission: Admission;
	readonly #waiting = new Map<string, GateCall>();
	readonly #running = new Map<string, RunningCall>();
	#isUp = true;
	#isLeaving = false;
	#downSince = Number.POSITIVE_INFINITY;

	constructor(options: ScenarioGateOptions) {
		this.#options = options;
		this.target = options.target;
		this.serviceMilliseconds = options.serviceMilliseconds;
		this.#admission = options.createAdmission(options.target.slots, options.clock.now(), false);
	}

	/** Returns the milliseconds since the last announcement of the upstream; 0 while it is up. */
	getAnnouncementAge(now: number): number {
		return Math.max(0, now - this.#downSince);
	}

	/** True after `leave`, until a restart. */
	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/** Returns the load level that the gate reports to entry nodes. */
	level(): GateLevel {
		return this.#admission.level(this.#options.clock.now());
	}

	/** Offers a call to admission; answers it `not-run` at once while the upstream is down. */
	call(call: GateCall): void {
		if (!this.#isUp) {
			call.answer({kind: 'not-run'});
			return;
		}

		this.#waiting.set(call.request.id, call);
		const {request, priority, deadline} = call;
		this.#apply(this.#admission.offer({
			requestId: request.id, rootId: request.id, priority, deadline, depth: 0, ...(request.team === undefined ? {} : {team: request.team}),
		}, this.#options.clock.now()));
	}

	/** Applies the admission decisions that are due at the current virtual time. */
	tick(): void {
		this.#apply(this.#admission.tick(this.#options.clock.now()));
	}

	/** Crashes the upstream: running requests fail, waiting ones are answered `not-run`. */
	crash(): void {
		this.#isUp = false;
		this.#downSince = this.#options.clock.now();
		for (const {call, timer} of this.#running.values()) {
			timer.cancel();
			call.answer({kind: 'failed'});
		}

		for (const call of this.#waiting.values()) {
			call.answer({kind: 'not-run'});
		}

		this.#running.clear();
		this.#waiting.clear();
	}

	/** Restarts the upstream with a cold admission limit. */
	restart(): void {
		this.#isUp = true;
		this.#isLeaving = false;
		this.#downSince = Number.POSITIVE_INFINITY;
		this.#admission = this.#options.createAdmission(this.target.slots, this.#options.clock.now(), true);
	}

	/** Drains the gate: it admits no new requests; running and waiting ones continue. */
	leave(): void {
		this.#isLeaving = true;
		this.#admission.drain();
	}

	#apply(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			switch (decision.kind) {
				case 'run': {
					this.#start(decision.requestId);
					break;
				}

				case 'refuse': {
					const call = this.#waiting.get(decision.requestId);
					this.#waiting.delete(decision.requestId);
					call?.answer({kind: 'not-run'});
					break;
				}

				case 'wait': {
					break;
				}

				default: {
					throw new UnreachableError(decision);
				}
			}
		}
	}

	#start(requestId: string): void {
		const call = this.#waiting.get(requestId);
		if (call === undefined) {
			return;
		}

		const {clock, target} = this.#options;
		this.#waiting.delete(requestId);
		this.starts.push(clock.now());
		call.request.starts.push(clock.now());
		const slowdownFactor = Math.max(1, (this.#running.size + 1) / target.slots);
		const timer = clock.startTimer(this.serviceMilliseconds * slowdownFactor, () => {
			this.#finish(requestId);
		});
		this.#running.set(requestId, {call, timer});
	}

	#finish(requestId: string): void {
		const {call} = this.#running.get(requestId)!;
		this.#running.delete(requestId);
		const now = this.#options.clock.now();
		const isLate = now > call.deadline;
		const outcome: RunOutcome = isLate ? 'timeout' : 'success';
		call.answer({kind: isLate ? 'failed' : 'answered'});
		this.#apply(this.#admission.finish(call.request.id, outcome, now));
	}
}
