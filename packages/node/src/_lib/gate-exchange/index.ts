/**
One request in the gate: it waits for admission, claims its job where it has one,
runs at the upstream and ends. Each ending goes one way through `#finish`.
*/

import type {AdmissionDecision, RefusalReason, RunOutcome} from '@fireflyglade/admission';
import {
	UnreachableError,
	type Problem, type ProblemCode, type Timer,
} from '@fireflyglade/model';
import type {
	ClaimOutcome, ClaimRequest, ClaimResult, StoredResponse,
} from '@fireflyglade/state';
import {
	type AnswerFlow, type AnswerHead, type AnswerReceiver, type HeaderFields, type InFlightRequest, type SendFailure,
} from '@fireflyglade/transport';
import type {Gate, GateUpstream} from '../../gate/index.js';
import type {RunningRequest} from '../call-table/index.js';
import type {
	CallReceiver, GateCall, GateMetadata, RunningCall,
} from '../call-types.js';
import {ForeignAnswerError, classifyAnswer} from '../classify-answer/index.js';
import {DiscardedAnswer} from '../discarded-answer/index.js';
import {drainingProblem, failureProblem, refusalProblem} from '../gate-problems/index.js';
import {AnswerRecorder, replayAnswer, discardingReceiver} from '../stored-answer/index.js';
import {createTraceparent} from '../trace-context/index.js';

type Stage = 'new' | 'waiting' | 'claiming' | 'running' | 'answering' | 'ended';

const firstFailureStatus = 500;
/** Milliseconds that count as the wait of a request which finds the queue full. */
const fullQueueMilliseconds = 250;
const claimRetryMilliseconds = 1000;
const claimCommitWaitMilliseconds = 2000;
/** Milliseconds after which an upstream that refused a request may have room again. */
const upstreamRefusalRetryMilliseconds = 250;

/** One request in the gate. */
export class GateExchange implements RunningCall, AnswerReceiver {
	readonly #gate: Gate;
	#receiver: CallReceiver;
	#flow: AnswerFlow | undefined;
	#stage: Stage = 'new';
	#upstream: GateUpstream | undefined;
	#running: RunningRequest | undefined;
	#send: InFlightRequest | undefined;
	#begun = false;
	#status = 0;
	#recorder: AnswerRecorder | undefined;
	#deadlineTimer: Timer | undefined;
	#startedAt = 0;
	#admittedAt: number | undefined;
	/** The answer by which the upstream refused the request unrun. */
	#refusal: DiscardedAnswer | undefined;

	constructor(readonly call: GateCall, receiver: CallReceiver, gate: Gate) {
		this.#receiver = receiver;
		this.#gate = gate;
	}

	/** Answers a problem before the request was offered. */
	refuse(problem: Problem): void {
		this.#stage = 'ended';
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#receiver.onProblem(problem, this.#note(this.#unusedRetries()));
	}

	/** Offers the request to the upstream's admission. */
	requestAdmission(upstream: GateUpstream): void {
		const {requestId, rootId, team, priority, deadline, depth} = this.call.context;
		this.#upstream = upstream;
		this.#stage = 'waiting';
		this.#startedAt = this.#now();
		this.#gate.apply(upstream.admission.offer({
			requestId, rootId, team, priority, deadline, depth,
		}, this.#startedAt));
	}

	/** Carries out a decision of admission. */
	applyDecision(decision: AdmissionDecision): void {
		if (this.#stage !== 'waiting') {
			return;
		}

		switch (decision.kind) {
			case 'wait': {
				return;
			}

			case 'run': {
				this.#admit();
				return;
			}

			case 'refuse': {
				this.#noteRefusal(decision.reason);
				this.#endNotRun(refusalProblem(decision.reason, decision.retryAfterMilliseconds));
				return;
			}

			default: {
				throw new UnreachableError(decision);
			}
		}
	}

	/** The upstream leaves: refuses the request unless it runs. */
	refuseIfWaiting(upstream: GateUpstream): void {
		if (this.#upstream === upstream && this.cancelIfWaiting()) {
			this.#receiver.onProblem(drainingProblem, this.#note(this.#unusedRetries()));
		}
	}

	/** Ends the request if it only waits; returns true if it then certainly does not run. */
	cancelIfWaiting(): boolean {
		if (this.#stage !== 'waiting') {
			return false;
		}

		this.#stage = 'ended';
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#gate.forget(this);
		this.#gate.apply(this.#upstream!.admission.cancel(this.call.context.requestId, this.#now()));
		return true;
	}

	cancel(): void {
		if (this.#stage === 'ended' || this.cancelIfWaiting()) {
			return;
		}

		if (this.#recorder !== undefined) {
			// A claimed job goes on, so that a resend gets its answer.
			this.#receiver = discardingReceiver;
			this.#flow?.resume();
			return;
		}

		this.#send?.cancel();
		this.#finish('cancelled', this.#begun ? {kind: 'unknown'} : {kind: 'not-run'});
	}

	onBegin(): void {
		this.#begun = true;
	}

	onHead(head: AnswerHead, flow: AnswerFlow): void {
		if (this.#stage !== 'running') {
			return;
		}

		const verdict = classifyAnswer(head, this.call.headers, this.#gate.callInterface);
		if (verdict === 'foreign') {
			this.#send?.cancel();
			this.onFailure({mayHaveBeenSent: true, answered: false, cause: new ForeignAnswerError('the upstream answered another request')});
			return;
		}

		if (verdict === 'not-run') {
			this.#refusal = new DiscardedAnswer(this.#gate.options.clock, () => {
				this.#send?.cancel();
			});
			flow.resume();
			this.#endUnsent('refused', {
				code: 'overloaded', outcome: 'not-run', detail: 'the upstream refused the request', retryAfterMilliseconds: upstreamRefusalRetryMilliseconds,
			});
			return;
		}

		this.#stage = 'answering';
		this.#status = head.status;
		this.#flow = flow;
		this.#recorder?.recordHead(head);
		this.#receiver.onHead(head, flow, this.#note(this.#unusedRetries()));
	}

	onData(chunk: Uint8Array): void {
		if (this.#stage !== 'answering') {
			this.#refusal?.addBytes(chunk.byteLength);
			return;
		}

		this.#recorder?.recordChunk(chunk);
		this.#receiver.onData(chunk);
	}

	onEnd(trailers: HeaderFields): void {
		this.#refusal?.end();
		if (this.#stage !== 'answering') {
			return;
		}

		const outcome = this.#status >= firstFailureStatus ? 'failure' : 'success';
		if (this.#recorder === undefined) {
			this.#finish(outcome);
			this.#receiver.onEnd(trailers);
			return;
		}

		const claimOutcome = this.#recorder.outcome();
		this.#finish(outcome);
		void this.#endOnceCommitted(claimOutcome, trailers);
	}

	onFailure(failure: SendFailure): void {
		this.#refusal?.end();
		if (this.#stage === 'ended') {
			return;
		}

		if (!failure.mayHaveBeenSent) {
			this.#gate.noteUnsent(this.#upstream!, failure.cause);
			this.#endUnsent('failure', {code: 'no-upstream', outcome: 'not-run', detail: 'no connection to the upstream could be opened'});
			return;
		}

		const wasAnswering = this.#stage === 'answering';
		this.#gate.options.onAnswerLost?.({
			requestId: this.call.context.requestId, upstream: this.#upstream!.id, answered: wasAnswering, cause: failure.cause,
		});
		this.#finish('failure', {kind: 'unknown'});
		if (wasAnswering) {
			this.#receiver.onBroken();
			return;
		}

		this.#receiver.onProblem(failureProblem(failure.cause), this.#note(0));
	}

	/** A request that found the queue full would have waited at least as long as all that a gate lets wait. */
	#noteRefusal(reason: RefusalReason): void {
		const waited = this.#now() - this.#startedAt;
		this.#noteWait(reason === 'queue-full' || reason === 'shed' ? Math.max(waited, fullQueueMilliseconds) : waited);
	}

	#noteWait(waitMilliseconds: number): void {
		this.#gate.hearCrowding({service: this.#upstream!.announced.service, waitMilliseconds});
	}

	#admit(): void {
		const {job, context} = this.call;
		this.#admittedAt = this.#now();
		this.#noteWait(this.#admittedAt - this.#startedAt);
		this.#gate.outcomes.record(context.requestId, 'running', this.#admittedAt);
		this.#startDeadline();
		if (job === undefined) {
			this.#start();
			return;
		}

		this.#stage = 'claiming';
		void this.#claim();
	}

	async #claim(): Promise<void> {
		let result: ClaimResult;
		try {
			result = await this.#gate.options.claims.begin(this.#claimRequest());
		} catch {
			// The claim may still be committed after the answer was lost, so it is given back.
			this.#endUnsent('cancelled', {
				code: 'no-quorum', outcome: 'not-run', detail: 'the job could not be claimed, as no quorum of the control processes answered', retryAfterMilliseconds: claimRetryMilliseconds,
			});
			return;
		}

		if (this.#stage !== 'claiming') {
			await this.#giveClaimBack(result);
			return;
		}

		this.#takeClaim(result);
	}

	#takeClaim(result: ClaimResult): void {
		switch (result.kind) {
			case 'granted': {
				this.#recorder = new AnswerRecorder();
				this.#start();
				return;
			}

			case 'answered': {
				this.#replay(result.answer);
				return;
			}

			case 'running': {
				this.#endRefusedClaim('job-running', 'the job still runs');
				return;
			}

			case 'answer-dropped': {
				this.#endRefusedClaim('job-answer-expired', `the job was answered with status ${result.status}; the answer was not kept`);
				return;
			}

			case 'outcome-unknown': {
				this.#endRefusedClaim('job-outcome-unknown', 'the outcome of the job is unknown');
				return;
			}

			case 'table-full': {
				this.#endClaimless();
				return;
			}

			case 'mismatch': {
				this.#endRefusedClaim('job-mismatch', 'the idempotency key was used for another request');
				return;
			}

			default: {
				throw new UnreachableError(result);
			}
		}
	}

	#endRefusedClaim(code: ProblemCode, detail: string): void {
		// Nothing runs for this request, but the job that it names may have run before.
		this.#release('cancelled');
		this.#receiver.onProblem({code, outcome: code === 'job-mismatch' ? 'not-run' : 'unknown', detail}, this.#note(this.#unusedRetries()));
	}

	#endClaimless(): void {
		const retriesLeft = this.#unusedRetries();
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#release('cancelled');
		this.#receiver.onProblem({
			code: 'overloaded', outcome: 'not-run', detail: 'the control processes keep no more jobs at present', retryAfterMilliseconds: claimRetryMilliseconds,
		}, this.#note(retriesLeft));
	}

	#replay(answer: StoredResponse): void {
		this.#release('cancelled');
		replayAnswer(answer, this.#receiver, this.#note(this.#unusedRetries()));
	}

	#start(): void {
		this.#stage = 'running';
		this.#running = this.#gate.calls.add(this.call.context, this.#gate.callInterface.contextField !== undefined);
		this.#send = this.#upstream!.sender.send({
			method: this.call.method,
			path: this.call.path,
			headers: this.#upstreamFields(),
			body: this.call.body,
			bodyLength: this.call.bodyLength,
		}, this);
	}

	#upstreamFields(): string[] {
		const {team, deadline, traceparent} = this.call.context;
		const {contextField, expectedUpstreamField, isTraced, timeoutField, teamField} = this.#gate.callInterface;
		const fields = [
			...this.call.headers,
			timeoutField,
			String(Math.max(1, Math.floor(deadline - this.#now()))),
		];
		if (isTraced || traceparent !== '') {
			fields.push('traceparent', isTraced ? createTraceparent(traceparent) : traceparent);
		}

		if (contextField !== undefined) {
			fields.push(contextField, this.#running!.token);
		}

		const {instance} = this.#upstream!.announced;
		if (expectedUpstreamField !== undefined && instance !== undefined) {
			fields.push(expectedUpstreamField, instance);
		}

		if (team !== undefined) {
			fields.push(teamField, team);
		}

		return fields;
	}

	#startDeadline(): void {
		const {clock} = this.#gate.options;
		this.#deadlineTimer = clock.startTimer(this.call.context.deadline - clock.now(), () => {
			this.#passDeadline();
		});
	}

	#passDeadline(): void {
		if (this.#stage === 'ended') {
			return;
		}

		const wasAnswering = this.#stage === 'answering';
		this.#send?.cancel();
		if (!this.#begun) {
			this.#endUnsent('timeout', {code: 'deadline-exceeded', outcome: 'not-run', detail: 'the deadline passed before the request was sent to the upstream'});
			return;
		}

		this.#finish('timeout', {kind: 'unknown'});
		if (wasAnswering) {
			this.#receiver.onBroken();
			return;
		}

		this.#receiver.onProblem({code: 'deadline-exceeded', outcome: 'unknown', detail: 'the upstream did not answer before the deadline'}, this.#note(0));
	}

	/** Ends a request that waited and never ran. */
	#endNotRun(problem: Problem): void {
		this.#stage = 'ended';
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#gate.forget(this);
		this.#receiver.onProblem(problem, this.#note(this.#unusedRetries()));
	}

	/** Ends a request that was admitted and of which nothing was written. */
	#endUnsent(outcome: RunOutcome, problem: Problem): void {
		if (this.#stage === 'ended') {
			return;
		}

		const retriesLeft = this.#unusedRetries();
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		if (this.call.job !== undefined) {
			void this.#finishClaim({kind: 'not-run'});
		}

		this.#release(outcome);
		this.#receiver.onProblem(problem, this.#note(retriesLeft));
	}

	/** Ends a request that ran, and commits how its job ended. */
	#finish(outcome: RunOutcome, claimOutcome?: ClaimOutcome): void {
		this.#gate.outcomes.record(this.call.context.requestId, this.#begun ? 'finished' : 'not-run', this.#now());
		if (this.#recorder !== undefined && claimOutcome !== undefined) {
			void this.#finishClaim(claimOutcome);
		}

		this.#release(outcome);
	}

	/** Gives slot, table entry and timer back. */
	#release(outcome: RunOutcome): void {
		this.#stage = 'ended';
		this.#deadlineTimer?.cancel();
		if (this.#running !== undefined) {
			this.#gate.calls.remove(this.#running);
			if (outcome !== 'success') {
				this.#running.cancelChildren();
			}
		}

		this.#gate.forget(this);
		const now = this.#now();
		this.#gate.options.observer.hopFinished({
			hop: 'gate', requestId: this.call.context.requestId, traceparent: this.call.context.traceparent, upstream: this.#upstream!.id, start: this.#startedAt, end: now, status: this.#status,
		});
		this.#gate.apply(this.#upstream!.admission.finish(this.call.context.requestId, outcome, now, this.#running?.queuedMilliseconds));
	}

	/**
	Ends the answer once its claim is committed, so that a resend right after it gets
	the stored answer. Without a quorum the whole answer goes out all the same: a
	resend is then told that the job still runs, and nothing runs twice.
	*/
	async #endOnceCommitted(outcome: ClaimOutcome, trailers: HeaderFields): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = this.#gate.options.clock.startTimer(claimCommitWaitMilliseconds, resolve);
			void this.#finishClaim(outcome, () => {
				timer.cancel();
				resolve();
			});
		});
		this.#receiver.onEnd(trailers);
	}

	async #finishClaim(outcome: ClaimOutcome, done?: () => void): Promise<void> {
		try {
			await this.#gate.options.claims.finish(this.#claimRequest(), outcome);
		} catch {
			// Without this word the job stays claimed: a resend is told that its outcome is unknown.
		}

		done?.();
	}

	async #giveClaimBack(result: ClaimResult): Promise<void> {
		if (result.kind === 'granted') {
			await this.#finishClaim({kind: 'not-run'});
		}
	}

	#claimRequest(): ClaimRequest {
		const {context, job} = this.call;
		return {
			team: context.team!, job: job!.job, requestId: context.requestId, gate: this.#gate.options.node, gateIncarnation: this.#gate.incarnation, fingerprint: job!.fingerprint,
		};
	}

	#unusedRetries(): number {
		return this.#running?.retriesLeft ?? Math.max(0, this.call.context.remainingAttempts - 1);
	}

	#note(retriesLeft: number): GateMetadata {
		const now = this.#now();
		const level = this.#upstream?.admission.level(now);
		const waited = this.#startedAt === 0 ? 0 : (this.#admittedAt ?? now) - this.#startedAt;
		const queuedMilliseconds = waited + (this.#running?.queuedMilliseconds ?? 0);
		return {
			level, hasArrived: this.#refusal !== undefined, crowding: this.#gate.crowding(now), retriesLeft, queuedMilliseconds,
		};
	}

	#now(): number {
		return this.#gate.options.clock.now();
	}
}
