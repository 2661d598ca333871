/**
A gate with its upstream on virtual time: the real admission before a fake
upstream that slows down when more requests run than it has slots.
*/

import type {Admission, AdmissionDecision, RunOutcome} from '@fireflyglade/admission';
import {
	UnreachableError, type Clock, type GateLevel, type Target, type Timer,
} from '@fireflyglade/model';
import type {ScenarioRequest} from '../../run-scenario/types.js';

/** What a gate answers to an entry node. */
export type GateAnswer =
	| {readonly kind: 'answered'}
	/** The work did not run. */
	| {readonly kind: 'not-run'}
	/** The work ran or may have run. */
	| {readonly kind: 'failed'};

/** What a gate is asked. */
export type GateCall = {
	readonly request: ScenarioRequest;
	readonly priority: number;
	/** Virtual milliseconds. */
	readonly deadline: number;
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
	readonly serviceMilliseconds: number;
	readonly createAdmission: (slots: number, now: number, isCold: boolean) => Admission;
};

/** A gate with its upstream. */
export class ScenarioGate {
	/** Virtual times at which requests began to run. */
	readonly starts: number[] = [];
	readonly target: Target;
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

	/** Milliseconds since the upstream announced itself last. */
	getAnnouncementAge(now: number): number {
		return Math.max(0, now - this.#downSince);
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	level(): GateLevel {
		return this.#admission.level(this.#options.clock.now());
	}

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

	tick(): void {
		this.#apply(this.#admission.tick(this.#options.clock.now()));
	}

	/** Ends the upstream: what runs fails, what waits did not run. */
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

	/** Starts the upstream again, cold. */
	restart(): void {
		this.#isUp = true;
		this.#isLeaving = false;
		this.#downSince = Number.POSITIVE_INFINITY;
		this.#admission = this.#options.createAdmission(this.target.slots, this.#options.clock.now(), true);
	}

	/** Takes no new work; what runs or waits goes on. */
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
