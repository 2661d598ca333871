/**
A gate's admission with a simple reference model that checks every decision.
*/

import {createTeamName, type RequestId} from '@fireflyglade/model';
import {expect} from 'chai';
import {GateAdmission} from '../../gate-admission/index.js';
import type {
	AdmissionDecision, AdmissionRequest, QueueOrder, RunOutcome,
} from '../../types.js';
import {createRequest} from '../requests/index.js';

/** One step of a property test. `index` selects one of the requests that run or wait, `timeout` and `objective` are the times to the deadline and to the objective in milliseconds, and `pass` lets time pass. */
export type GateCommand =
	| {readonly kind: 'offer'; readonly team: number; readonly priority: number; readonly depth: number; readonly timeout: number; readonly objective: number | undefined; readonly workClass: number}
	| {readonly kind: 'finish'; readonly index: number; readonly outcome: RunOutcome}
	| {readonly kind: 'cancel'; readonly index: number}
	| {readonly kind: 'slots'; readonly slots: number}
	| {readonly kind: 'pass'; readonly milliseconds: number};

type State = 'offered' | 'waiting' | 'running' | 'ended';

const tickMilliseconds = 10;
/** Time within which every queued request has started or reached its deadline. */
const settlingMilliseconds = 10_000;

/** Returns the position of a request in the order of importance; 0 is the most important. */
function importanceRank(request: AdmissionRequest): number {
	return (request.priority * 2) + (request.depth > 0 ? 0 : 1);
}

/** A gate whose decisions are checked against a model after each command. */
export class ModelGate {
	readonly #gate: GateAdmission;
	readonly #requests = new Map<RequestId, AdmissionRequest>();
	readonly #states = new Map<RequestId, State>();
	#now = 0;

	constructor(order: QueueOrder) {
		this.#gate = new GateAdmission({slots: 3, now: 0, order});
	}

	apply(command: GateCommand): void {
		switch (command.kind) {
			case 'offer': {
				this.#offer(command);
				break;
			}

			case 'finish': {
				const id = this.#pick('running', command.index);
				if (id !== undefined) {
					this.#states.set(id, 'ended');
					this.#check(this.#gate.finish(id, command.outcome, this.#now));
				}

				break;
			}

			case 'cancel': {
				const id = this.#pick('waiting', command.index);
				if (id !== undefined) {
					this.#check(this.#gate.cancel(id, this.#now));
				}

				break;
			}

			case 'slots': {
				this.#gate.setSlots(command.slots, this.#now);
				break;
			}

			case 'pass': {
				this.#advance(command.milliseconds);
				break;
			}
		}

		const level = this.#gate.level(this.#now);
		expect(level.inFlight).to.equal(this.#idsInState('running').length);
		expect(level.queueLength).to.equal(this.#idsInState('waiting').length);
	}

	/** Advances time until the queue is empty, finishes all running requests and checks that every request has ended. */
	end(): void {
		this.#advance(settlingMilliseconds);
		for (let id = this.#pick('running', 0); id !== undefined; id = this.#pick('running', 0)) {
			this.#states.set(id, 'ended');
			this.#check(this.#gate.finish(id, 'success', this.#now));
		}

		for (const state of this.#states.values()) {
			expect(state).to.equal('ended');
		}
	}

	#offer(command: Extract<GateCommand, {kind: 'offer'}>): void {
		const request = createRequest(`request-${this.#requests.size}`, {
			team: command.team === 0 ? undefined : createTeamName(`team-${command.team}`),
			priority: command.priority,
			depth: command.depth,
			deadline: this.#now + command.timeout,
			objective: command.objective === undefined ? undefined : this.#now + command.objective,
			workClass: command.workClass,
		});
		this.#requests.set(request.requestId, request);
		this.#states.set(request.requestId, 'offered');
		this.#check(this.#gate.offer(request, this.#now));
		expect(this.#states.get(request.requestId)).not.to.equal('offered');
	}

	#advance(milliseconds: number): void {
		const end = this.#now + milliseconds;
		while (this.#now < end) {
			this.#now = Math.min(end, this.#now + tickMilliseconds);
			this.#check(this.#gate.tick(this.#now));
		}

		for (const id of this.#idsInState('waiting')) {
			expect(this.#requests.get(id)!.deadline).to.be.above(this.#now);
		}
	}

	#check(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			this.#checkDecision(decision);
		}

		if (decisions.some(decision => decision.kind === 'run')) {
			const level = this.#gate.level(this.#now);
			expect(level.inFlight).to.be.at.most(level.limit);
		}
	}

	#checkDecision(decision: AdmissionDecision): void {
		const state = this.#states.get(decision.requestId);
		switch (decision.kind) {
			case 'wait': {
				expect(state).to.equal('offered');
				this.#states.set(decision.requestId, 'waiting');
				break;
			}

			case 'run': {
				expect(state).to.be.oneOf(['offered', 'waiting']);
				this.#states.set(decision.requestId, 'running');
				this.#checkNoneMoreImportantWaits(decision.requestId);
				break;
			}

			case 'refuse': {
				expect(state).to.be.oneOf(['offered', 'waiting']);
				expect(decision.retryAfterMilliseconds).to.be.above(0);
				this.#states.set(decision.requestId, 'ended');
				if (decision.reason === 'shed' || decision.reason === 'queue-full') {
					this.#checkNoneLessImportantWaits(decision.requestId);
				}

				break;
			}
		}
	}

	#checkNoneMoreImportantWaits(id: RequestId): void {
		for (const other of this.#idsInState('waiting')) {
			expect(importanceRank(this.#requests.get(other)!)).to.be.at.least(importanceRank(this.#requests.get(id)!));
		}
	}

	#checkNoneLessImportantWaits(id: RequestId): void {
		for (const other of this.#idsInState('waiting')) {
			expect(importanceRank(this.#requests.get(other)!)).to.be.at.most(importanceRank(this.#requests.get(id)!));
		}
	}

	#idsInState(state: State): RequestId[] {
		return [...this.#states].filter(([, requestState]) => requestState === state).map(([id]) => id);
	}

	#pick(state: State, index: number): RequestId | undefined {
		const ids = this.#idsInState(state);
		return ids[index % Math.max(1, ids.length)];
	}
}
