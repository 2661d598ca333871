/**
The life cycle of one request in the gate: it waits for admission, claims its job
if it has one, is sent to the upstream, and ends.
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
	type ResponseFlow, type ResponseHead, type ResponseReceiver, type HeaderFields, type InFlightRequest, type SendFailure,
} from '@fireflyglade/transport';
import type {Gate, GateUpstream} from '../../gate/index.js';
import type {RunningRequest} from '../call-table/index.js';
import type {
	CallReceiver, GateCall, GateMetadata, RunningCall,
} from '../call-types.js';
import {ForeignResponseError, classifyResponse} from '../classify-response/index.js';
import {DiscardedResponse} from '../discarded-response/index.js';
import {drainingProblem, failureProblem, refusalProblem} from '../gate-problems/index.js';
import {ResponseRecorder, replayResponse, discardingReceiver} from '../stored-response/index.js';
import {createTraceparent} from '../trace-context/index.js';

/** `claiming`: the claim of the request's job is pending. `answering`: the head of the response was passed on. */
type Stage = 'new' | 'waiting' | 'claiming' | 'running' | 'answering' | 'ended';

const firstFailureStatus = 500;
/** Smallest queueing delay that is recorded for a request that is refused because the queue is full or its priority is shed. */
const fullQueueWaitMilliseconds = 250;
const claimRetryMilliseconds = 1000;
const claimCommitWaitMilliseconds = 2000;
/** Retry delay that is suggested after an upstream refused a request. */
const upstreamRefusalRetryMilliseconds = 250;

/** One request in the gate. */
export class GateExchange implements RunningCall, ResponseReceiver {
	readonly #gate: Gate;
	#receiver: CallReceiver;
	#flow: ResponseFlow | undefined;
	#stage: Stage = 'new';
	#upstream: GateUpstream | undefined;
	#runningRequest: RunningRequest | undefined;
	#runningSend: InFlightRequest | undefined;
	#hasBegunSending = false;
	#status = 0;
	#recorder: ResponseRecorder | undefined;
	#deadlineTimer: Timer | undefined;
	/** Monotonic milliseconds at which admission was requested; 0 before. */
	#startedAt = 0;
	#admittedAt: number | undefined;
	/** The response with which the upstream refused the request without running it. */
	#discardedRefusal: DiscardedResponse | undefined;

	constructor(readonly call: GateCall, receiver: CallReceiver, gate: Gate) {
		this.#receiver = receiver;
		this.#gate = gate;
	}

	/** Ends the request with a problem before admission was requested. */
	refuse(problem: Problem): void {
		this.#stage = 'ended';
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#receiver.onProblem(problem, this.#createMetadata(this.#unusedRetries()));
	}

	/** Requests admission for the request and applies the decisions that result. */
	requestAdmission(upstream: GateUpstream): void {
		const {requestId, rootId, team, priority, deadline, depth, objective, workClass} = this.call.context;
		this.#upstream = upstream;
		this.#stage = 'waiting';
		this.#startedAt = this.#now();
		this.#gate.apply(upstream.admission.offer({
			requestId, rootId, team, priority, deadline, depth, objective, workClass,
		}, this.#startedAt));
	}

	/** Applies an admission decision about this request. */
	applyDecision(decision: AdmissionDecision): void {
		if (this.#stage !== 'waiting') {
			return;
		}

		switch (decision.kind) {
			case 'wait': {
				return;
			}

			case 'run': {
				this.#startAdmitted();
				return;
			}

			case 'refuse': {
				this.#recordRefusalWait(decision.reason);
				this.#endNotRun(refusalProblem(decision.reason, decision.retryAfterMilliseconds));
				return;
			}

			default: {
				throw new UnreachableError(decision);
			}
		}
	}

	/** Refuses the request if it waits for the given upstream, which takes no new work. */
	refuseIfWaiting(upstream: GateUpstream): void {
		// An announcement replaces the upstream's record, but keeps its admission.
		if (this.#upstream?.admission === upstream.admission && this.cancelIfWaiting()) {
			this.#receiver.onProblem(drainingProblem, this.#createMetadata(this.#unusedRetries()));
		}
	}

	/** Ends the request if it still waits for admission. Returns true if it did, so that it certainly does not run. */
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
			// A claimed job continues without its caller, so that a resend gets the stored response.
			this.#receiver = discardingReceiver;
			this.#flow?.resume();
			return;
		}

		this.#runningSend?.cancel();
		this.#finish('cancelled', this.#hasBegunSending ? {kind: 'unknown'} : {kind: 'not-run'});
	}

	onBegin(): void {
		this.#hasBegunSending = true;
	}

	onHead(head: ResponseHead, flow: ResponseFlow): void {
		if (this.#stage !== 'running') {
			return;
		}

		const verdict = classifyResponse(head, this.call.headers, this.#gate.callInterface);
		if (verdict === 'foreign') {
			this.#runningSend?.cancel();
			this.onFailure({mayHaveBeenSent: true, answered: false, cause: new ForeignResponseError('the upstream answered another request')});
			return;
		}

		this.#observeLoad(head);
		if (verdict === 'not-run') {
			this.#discardedRefusal = new DiscardedResponse(this.#gate.options.clock, () => {
				this.#runningSend?.cancel();
			});
			flow.resume();
			this.#endUnsent('refused', {
				code: 'overloaded', outcome: 'not-run', detail: 'the upstream refused the request', retryAfterMilliseconds: upstreamRefusalRetryMilliseconds,
			});
			return;
		}

		this.#stage = 'answering';
		this.#gate.refusedShares.recordRun(this.#now());
		this.#status = head.status;
		this.#flow = flow;
		this.#recorder?.recordHead(head);
		this.#receiver.onHead(head, flow, this.#createMetadata(this.#unusedRetries()));
	}

	onData(chunk: Uint8Array): void {
		if (this.#stage !== 'answering') {
			this.#discardedRefusal?.addBytes(chunk.byteLength);
			return;
		}

		this.#recorder?.recordChunk(chunk);
		this.#receiver.onData(chunk);
	}

	onEnd(trailers: HeaderFields): void {
		this.#discardedRefusal?.end();
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
		this.#discardedRefusal?.end();
		if (this.#stage === 'ended') {
			return;
		}

		if (!failure.mayHaveBeenSent) {
			this.#gate.handleSendFailure(this.#upstream!, failure.cause);
			this.#endUnsent('failure', {code: 'no-upstream', outcome: 'not-run', detail: 'no connection to the upstream could be opened'});
			return;
		}

		const wasAnswering = this.#stage === 'answering';
		this.#gate.options.onIncompleteResponse?.({
			requestId: this.call.context.requestId, upstream: this.#upstream!.id, answered: wasAnswering, cause: failure.cause,
		});
		this.#finish('failure', {kind: 'unknown'});
		if (wasAnswering) {
			this.#receiver.onBroken();
			return;
		}

		this.#receiver.onProblem(failureProblem(failure.cause), this.#createMetadata(0));
	}

	/** Passes the load that the upstream states with its response on to admission control. */
	#observeLoad({headers}: ResponseHead): void {
		const {loadField} = this.#gate.callInterface;
		const value = loadField === undefined ? undefined : headers[loadField.name];
		const load = typeof value === 'string' ? loadField!.parse(value) : undefined;
		if (load !== undefined) {
			this.#upstream!.admission.observeLoad(load, this.#now());
		}
	}

	/** Records how long a refused request waited. If the queue was full or the request was shed, the wait is at least `fullQueueWaitMilliseconds`, the time within which a gate should start all queued requests. */
	#recordRefusalWait(reason: RefusalReason): void {
		const waited = this.#now() - this.#startedAt;
		this.#recordWait(reason === 'queue-full' || reason === 'shed' ? Math.max(waited, fullQueueWaitMilliseconds) : waited);
	}

	#recordWait(waitMilliseconds: number): void {
		this.#gate.recordQueueingDelay({service: this.#upstream!.announced.service, waitMilliseconds});
	}

	#startAdmitted(): void {
		const {job, context} = this.call;
		this.#admittedAt = this.#now();
		this.#recordWait(this.#admittedAt - this.#startedAt);
		this.#gate.outcomes.record(context.requestId, 'running', this.#admittedAt);
		this.#startDeadlineTimer();
		if (job === undefined) {
			this.#sendToUpstream();
			return;
		}

		this.#stage = 'claiming';
		void this.#claimJob();
	}

	async #claimJob(): Promise<void> {
		let result: ClaimResult;
		try {
			result = await this.#gate.options.claims.begin(this.#createClaimRequest());
		} catch {
			// The claim may still be committed although its response was lost, so it is released.
			this.#endUnsent('cancelled', {
				code: 'no-quorum', outcome: 'not-run', detail: 'the job could not be claimed, as no quorum of the control processes answered', retryAfterMilliseconds: claimRetryMilliseconds,
			});
			return;
		}

		if (this.#stage !== 'claiming') {
			await this.#releaseClaim(result);
			return;
		}

		this.#handleClaimResult(result);
	}

	#handleClaimResult(result: ClaimResult): void {
		switch (result.kind) {
			case 'granted': {
				this.#recorder = new ResponseRecorder();
				this.#sendToUpstream();
				return;
			}

			case 'answered': {
				this.#replayStoredResponse(result.answer);
				return;
			}

			case 'running': {
				this.#endWithClaimProblem('job-running', 'the job still runs');
				return;
			}

			case 'answer-dropped': {
				this.#endWithClaimProblem('job-answer-expired', `the job was answered with status ${result.status}; the answer was not kept`);
				return;
			}

			case 'outcome-unknown': {
				this.#endWithClaimProblem('job-outcome-unknown', 'the outcome of the job is unknown');
				return;
			}

			case 'table-full': {
				this.#endWithFullClaimTable();
				return;
			}

			case 'mismatch': {
				this.#endWithClaimProblem('job-mismatch', 'the idempotency key was used for another request');
				return;
			}

			default: {
				throw new UnreachableError(result);
			}
		}
	}

	#endWithClaimProblem(code: ProblemCode, detail: string): void {
		// Nothing ran for this request, but the job may have run for an earlier one.
		this.#release('cancelled');
		this.#receiver.onProblem({code, outcome: code === 'job-mismatch' ? 'not-run' : 'unknown', detail}, this.#createMetadata(this.#unusedRetries()));
	}

	#endWithFullClaimTable(): void {
		const retriesLeft = this.#unusedRetries();
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#release('cancelled');
		this.#receiver.onProblem({
			code: 'overloaded', outcome: 'not-run', detail: 'the control processes keep no more jobs at present', retryAfterMilliseconds: claimRetryMilliseconds,
		}, this.#createMetadata(retriesLeft));
	}

	#replayStoredResponse(answer: StoredResponse): void {
		this.#release('cancelled');
		replayResponse(answer, this.#receiver, this.#createMetadata(this.#unusedRetries()));
	}

	#sendToUpstream(): void {
		this.#stage = 'running';
		this.#runningRequest = this.#gate.calls.add(this.call.context, this.#gate.callInterface.contextField !== undefined);
		this.#runningSend = this.#upstream!.sender.send({
			method: this.call.method,
			path: this.call.path,
			headers: this.#createUpstreamFields(),
			body: this.call.body,
			bodyLength: this.call.bodyLength,
		}, this);
	}

	#createUpstreamFields(): string[] {
		const {team, deadline, traceparent} = this.call.context;
		const {contextField, expectedUpstreamField, shouldContinueTrace, timeoutField, teamField} = this.#gate.callInterface;
		const fields = [
			...this.call.headers,
			timeoutField,
			String(Math.max(1, Math.floor(deadline - this.#now()))),
		];
		if (shouldContinueTrace || traceparent !== '') {
			fields.push('traceparent', shouldContinueTrace ? createTraceparent(traceparent) : traceparent);
		}

		if (contextField !== undefined) {
			fields.push(contextField, this.#runningRequest!.token);
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

	#startDeadlineTimer(): void {
		const {clock} = this.#gate.options;
		this.#deadlineTimer = clock.startTimer(this.call.context.deadline - clock.now(), () => {
			this.#handleDeadline();
		});
	}

	#handleDeadline(): void {
		if (this.#stage === 'ended') {
			return;
		}

		const wasAnswering = this.#stage === 'answering';
		this.#runningSend?.cancel();
		if (!this.#hasBegunSending) {
			this.#endUnsent('timeout', {code: 'deadline-exceeded', outcome: 'not-run', detail: 'the deadline passed before the request was sent to the upstream'});
			return;
		}

		this.#finish('timeout', {kind: 'unknown'});
		if (wasAnswering) {
			this.#receiver.onBroken();
			return;
		}

		this.#receiver.onProblem({code: 'deadline-exceeded', outcome: 'unknown', detail: 'the upstream did not answer before the deadline'}, this.#createMetadata(0));
	}

	/** Ends a request that was never admitted. */
	#endNotRun(problem: Problem): void {
		this.#stage = 'ended';
		this.#gate.outcomes.record(this.call.context.requestId, 'not-run', this.#now());
		this.#gate.forget(this);
		this.#receiver.onProblem(problem, this.#createMetadata(this.#unusedRetries()));
	}

	/** Ends a request that was admitted but did not run at the upstream, and releases its claim. */
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
		this.#receiver.onProblem(problem, this.#createMetadata(retriesLeft));
	}

	/** Ends an admitted request. Commits the outcome of its job if `claimOutcome` is given and the job was claimed. */
	#finish(outcome: RunOutcome, claimOutcome?: ClaimOutcome): void {
		this.#gate.outcomes.record(this.call.context.requestId, this.#hasBegunSending ? 'finished' : 'not-run', this.#now());
		if (this.#recorder !== undefined && claimOutcome !== undefined) {
			void this.#finishClaim(claimOutcome);
		}

		this.#release(outcome);
	}

	/** Releases the slot, the table entries and the timer of an admitted request. */
	#release(outcome: RunOutcome): void {
		this.#stage = 'ended';
		this.#deadlineTimer?.cancel();
		if (this.#runningRequest !== undefined) {
			this.#gate.calls.remove(this.#runningRequest);
			if (outcome !== 'success') {
				this.#runningRequest.cancelChildren();
			}
		}

		this.#gate.forget(this);
		const now = this.#now();
		this.#gate.options.observer.hopFinished({
			hop: 'gate', requestId: this.call.context.requestId, traceparent: this.call.context.traceparent, upstream: this.#upstream!.id, start: this.#startedAt, end: now, status: this.#status,
		});
		this.#gate.apply(this.#upstream!.admission.finish(this.call.context.requestId, outcome, now, this.#runningRequest?.queuedMilliseconds));
	}

	/**
	Ends the response once the outcome of its claim is committed, so that a resend right
	after it gets the stored response. Without a quorum, the response is completed after
	`claimCommitWaitMilliseconds` regardless. A resend is then refused because the job
	still runs, so it does not run twice.
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
			await this.#gate.options.claims.finish(this.#createClaimRequest(), outcome);
		} catch {
			// The job stays claimed. A resend is refused, and the outcome of the job is reported as unknown.
		}

		done?.();
	}

	async #releaseClaim(result: ClaimResult): Promise<void> {
		if (result.kind === 'granted') {
			await this.#finishClaim({kind: 'not-run'});
		}
	}

	#createClaimRequest(): ClaimRequest {
		const {context, job} = this.call;
		return {
			team: context.team!, job: job!.job, requestId: context.requestId, gate: this.#gate.options.node, gateIncarnation: this.#gate.incarnation, fingerprint: job!.fingerprint,
		};
	}

	#unusedRetries(): number {
		return this.#runningRequest?.retriesLeft ?? Math.max(0, this.call.context.remainingAttempts - 1);
	}

	#createMetadata(retriesLeft: number): GateMetadata {
		const now = this.#now();
		const level = this.#upstream?.admission.level(now, this.call.context.workClass);
		const waited = this.#startedAt === 0 ? 0 : (this.#admittedAt ?? now) - this.#startedAt;
		const queuedMilliseconds = waited + (this.#runningRequest?.queuedMilliseconds ?? 0);
		return {
			level,
			hasArrived: this.#discardedRefusal !== undefined,
			crowding: this.#gate.crowding(now),
			refusedShare: this.#gate.refusedShares.highest(now),
			makesCalls: this.#gate.refusedShares.hasCalls,
			retriesLeft,
			queuedMilliseconds,
		};
	}

	#now(): number {
		return this.#gate.options.clock.now();
	}
}
