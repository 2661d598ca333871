/**
Carries one call to its answer: chooses a target, sends an attempt, and retries
where that is allowed.

A retry is made only if the work certainly did not run, or if the route is
idempotent; only while the call tree has retries left; only within the node's
budget; and only if the body can be sent again. The attempts of a tree are shared
out, never copied. A retry goes to another target, so that the delay which a
target asked for does not hold it up; the final answer carries that delay on.
*/

import {
	UnreachableError,
	type Clock, type GateLevel, type NodeId, type Problem, type ProblemCode, type RandomSource, type RequestId, type Route, type ServiceName, type Target, type TeamName, type Timer, type UpstreamId,
} from '@fireflyglade/model';
import {
	backoffDelay, getRemainingAttempts, splitAttempts,
	type AttemptOutcome, type AttemptSplit, type QueueingDelay, type EntryThrottle, type RetryBudgets, type RootRoute, type RootLoadShedder, type Routing, type ThrottleKey,
} from '@fireflyglade/routing';
import type {
	AnswerFlow, AnswerHead, HeaderFields, RequestBody,
} from '@fireflyglade/transport';
import type {
	CallReceiver, CallRunner, GateCall, GateMetadata, RunningCall,
} from '../call-types.js';
import type {CallInterface} from '../../call-interface/index.js';
import {DiscardedAnswer} from '../discarded-answer/index.js';
import type {JobClaimFields} from '../peer-fields/index.js';
import {createAttemptId} from '../request-ids/index.js';
import {createTraceparent} from '../trace-context/index.js';

/** A call that is to be carried to its answer. */
export type EntryCall = {
	readonly requestId: RequestId;
	readonly rootId: RequestId;
	readonly team?: TeamName | undefined;
	readonly route: Route;
	/** The service of the route that this call goes to. */
	readonly service: ServiceName;
	readonly priority: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Attempts for the whole call tree, the first counted. */
	readonly maximumAttempts: number;
	readonly depth: number;
	readonly traceparent: string;
	readonly job?: JobClaimFields | undefined;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: RequestBody;
};

/** What carrying calls needs. */
export type CallAttemptsOptions = {
	readonly node: NodeId;
	readonly ownGate: CallRunner;
	readonly remoteGate: (target: Target) => CallRunner;
	/** The interface to callers and upstream; the product's own if absent. */
	readonly callInterface?: CallInterface;
	readonly routing: Routing;
	readonly retryBudgets: RetryBudgets;
	/** Refuses at once what the gates would refuse; nothing is refused so if it is absent. */
	readonly throttle?: EntryThrottle;
	/** Lets in as much as the graph has room for, the important first; all comes in if it is absent. */
	readonly rootShare?: RootLoadShedder;
	/** Called with the wait that a call of the upstream beside the node was told below. */
	readonly onDownstreamCrowding?: (crowding: QueueingDelay) => void;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** Takes the final answer of a call. */
export type FinalReceiver = {
	onHead(head: AnswerHead, flow: AnswerFlow): void;
	onData(chunk: Uint8Array): void;
	onEnd(trailers: HeaderFields): void;
	onProblem(problem: Problem): void;
	onBroken(): void;
};

const retryableUnsent: ReadonlySet<ProblemCode> = new Set(['overloaded', 'queue-timeout', 'draining', 'no-upstream']);
const retryableFailures: ReadonlySet<ProblemCode> = new Set(['upstream-failed', 'outcome-unknown']);
/** Answers of an upstream after which an idempotent call may go to another one. */
const retryableStatuses: ReadonlySet<number> = new Set([500, 503]);

/** Carries one call to its answer. */
export class CallAttempts implements RunningCall, CallReceiver {
	readonly #call: EntryCall;
	readonly #receiver: FinalReceiver;
	readonly #options: CallAttemptsOptions;
	readonly #tried = new Set<UpstreamId>();
	/** Attempts that may still be made; during an attempt, those that may follow it. */
	#remaining: number;
	#split: AttemptSplit = {passed: 1, kept: 0};
	#attempts = 0;
	#queuedMilliseconds = 0;
	#target: Target | undefined;
	#lastUpstream: UpstreamId | undefined;
	#attemptAt = 0;
	#level: GateLevel | undefined;
	#running: RunningCall | undefined;
	#retryTimer: Timer | undefined;
	#lastProblem: Problem | undefined;
	#mayHaveRun = false;
	/** True if the last attempt came to its upstream, which spends the retry budget. */
	#hasArrived = false;
	#isAnswering = false;
	#deadlineTimer: Timer | undefined;
	/** The failure of an upstream that is not passed on, as another one is tried. */
	#failure: DiscardedAnswer | undefined;
	#isDone = false;
	/** Monotonic milliseconds at which the call came in. */
	#startedAt = 0;

	constructor(call: EntryCall, receiver: FinalReceiver, options: CallAttemptsOptions) {
		this.#call = call;
		this.#receiver = receiver;
		this.#options = options;
		this.#remaining = call.maximumAttempts;
	}

	/** Attempts that were sent. */
	get attempts(): number {
		return this.#attempts;
	}

	/** The last upstream that an attempt was sent to. */
	get upstream(): UpstreamId | undefined {
		return this.#lastUpstream;
	}

	/** Retries that neither this call nor any below it has used. */
	get retriesLeft(): number {
		return this.#remaining;
	}

	/** Milliseconds that the attempts and the calls below them waited at gates. */
	get queuedMilliseconds(): number {
		return this.#queuedMilliseconds;
	}

	/** Sends the first attempt. */
	start(): void {
		const {clock, retryBudgets, throttle} = this.#options;
		this.#startedAt = clock.now();
		if (!this.#isLetIn()) {
			this.#isDone = true;
			this.#receiver.onProblem({
				code: 'overloaded', outcome: 'not-run', detail: 'the call graph has room for more important requests alone', retryAfterMilliseconds: this.#spreadRetry(),
			});
			return;
		}

		const isThrottled = this.#call.depth === 0 && throttle?.shouldRefuse(this.#throttleKey(), clock.now());
		if (isThrottled) {
			this.#finish({
				code: 'overloaded', outcome: 'not-run', detail: 'the upstreams take less than half of what the team sends', retryAfterMilliseconds: throttledRetryMilliseconds,
			});
			return;
		}

		retryBudgets.of(this.#call.service).recordAttempt(clock.now());
		this.#deadlineTimer = clock.startTimer(this.#call.deadline - clock.now() + silentGateMilliseconds, () => {
			this.#passDeadline();
		});
		this.#attempt();
	}

	cancel(): void {
		if (this.#isDone) {
			return;
		}

		this.#end();
		this.#retryTimer?.cancel();
		const running = this.#running;
		this.#endAttempt({kind: 'cancelled'});
		running?.cancel();
	}

	onHead(head: AnswerHead, flow: AnswerFlow, note: GateMetadata): void {
		this.#hasArrived = true;
		if (this.#call.depth === 0) {
			this.#options.throttle?.recordAccepted(this.#throttleKey(), this.#options.clock.now());
		}

		this.#level = note.level;
		this.#queuedMilliseconds += note.queuedMilliseconds ?? 0;
		this.#hearCrowding(note);
		this.#remaining = getRemainingAttempts(this.#split, {kind: 'ran', unspent: note.retriesLeft});
		if (retryableStatuses.has(head.status) && this.#call.route.idempotent && this.#hasRoomBelow() && this.#takeRetry()) {
			this.#mayHaveRun = true;
			this.#failure = new DiscardedAnswer(this.#options.clock, () => {
				this.#leaveFailure();
			});
			return;
		}

		this.#recordAnswer(head.status);
		this.#isAnswering = true;
		this.#receiver.onHead(head, flow);
	}

	onData(chunk: Uint8Array): void {
		if (this.#failure === undefined) {
			this.#receiver.onData(chunk);
			return;
		}

		this.#failure.addBytes(chunk.byteLength);
	}

	onEnd(trailers: HeaderFields): void {
		if (this.#failure !== undefined) {
			this.#endAttempt({kind: 'failed'});
			this.#retryAfterFailure(this.#failure);
			return;
		}

		this.#end();
		this.#endAttempt({kind: 'answered', latencyMilliseconds: this.#options.clock.now() - this.#attemptAt});
		this.#receiver.onEnd(trailers);
	}

	onProblem(problem: Problem, note: GateMetadata): void {
		this.#hasArrived = problem.outcome === 'unknown' || note.hasArrived === true;
		this.#level = note.level;
		this.#queuedMilliseconds += note.queuedMilliseconds ?? 0;
		this.#hearCrowding(note);
		this.#remaining = getRemainingAttempts(this.#split, problem.outcome === 'not-run' ? {kind: 'not-run'} : {kind: 'ran', unspent: note.retriesLeft});
		this.#mayHaveRun ||= problem.outcome === 'unknown';
		this.#lastProblem = problem;
		this.#endAttempt(problem.outcome === 'not-run' ? {kind: 'refused'} : {kind: 'failed'});
		if (this.#isRetryable(problem) && this.#takeRetry()) {
			this.#retryLater();
			return;
		}

		if (problem.code === 'overloaded' && this.#call.depth === 0) {
			this.#options.throttle?.recordRefused(this.#throttleKey(), this.#options.clock.now());
		}

		this.#finish(problem);
	}

	onBroken(): void {
		this.#endAttempt({kind: 'failed'});
		if (this.#failure !== undefined) {
			this.#retryAfterFailure(this.#failure);
			return;
		}

		this.#end();
		this.#receiver.onBroken();
	}

	/** A failure goes on without end: its upstream is left, and another one is tried. */
	#leaveFailure(): void {
		const running = this.#running;
		this.#failure = undefined;
		this.#endAttempt({kind: 'failed'});
		running?.cancel();
		this.#retryLater();
	}

	#retryAfterFailure(failure: DiscardedAnswer): void {
		failure.end();
		this.#failure = undefined;
		this.#retryLater();
	}

	/** Requests of callers come in by their share; the parts of a chain that has begun always do. */
	#isLetIn(): boolean {
		const {rootShare, clock, random} = this.#options;
		return rootShare === undefined || this.#call.depth > 0 || rootShare.admits(this.#rootRoute(), clock.now(), random);
	}

	#rootRoute(): RootRoute {
		return {id: this.#call.route.id, priority: this.#call.priority};
	}

	/** A chain that failed would ask for all its work again, which is spared while the graph lacks room. */
	#hasRoomBelow(): boolean {
		const {rootShare, clock} = this.#options;
		return rootShare === undefined || rootShare.admitsAll(clock.now());
	}

	/** How long a request takes tells how much of the graph it occupies. */
	#recordAnswer(status: number): void {
		const {rootShare, clock} = this.#options;
		if (status < firstFailureStatus && this.#call.depth === 0) {
			rootShare?.recordLatency(this.#rootRoute(), clock.now() - this.#startedAt, clock.now());
		}
	}

	/** The waits that are told beside answers of any depth show how full the graph is. */
	#hearCrowding({crowding}: GateMetadata): void {
		const {rootShare, clock, onDownstreamCrowding} = this.#options;
		if (crowding === undefined) {
			return;
		}

		rootShare?.hear(crowding, clock.now());
		if (this.#call.depth > 0) {
			onDownstreamCrowding?.(crowding);
			return;
		}

		rootShare?.recordRouteDelay(this.#rootRoute(), crowding, clock.now());
	}

	/** Callers that were refused together don't come back together. */
	#spreadRetry(): number {
		return throttledRetryMilliseconds * (0.5 + this.#options.random.nextFraction());
	}

	#throttleKey(): ThrottleKey {
		const {team, priority, service} = this.#call;
		return {service, team, priority};
	}

	#attempt(): void {
		const {routing, clock, random} = this.#options;
		const now = clock.now();
		const {service, priority, deadline} = this.#call;
		if (now >= deadline) {
			this.#finish({code: 'deadline-exceeded', outcome: 'not-run', detail: 'the deadline has passed'});
			return;
		}

		const choice = routing.choose({service, priority, tried: this.#tried}, now, random);
		switch (choice.kind) {
			case 'target': {
				this.#send(choice.target, now);
				return;
			}

			case 'all-shedding': {
				this.#finish(this.#lastProblem ?? {
					code: 'overloaded', outcome: 'not-run', detail: 'every upstream sheds requests of this priority', retryAfterMilliseconds: choice.retryAfterMilliseconds,
				});
				return;
			}

			case 'no-target': {
				this.#finish(this.#lastProblem ?? {
					code: 'no-upstream', outcome: 'not-run', detail: 'no upstream of the service is known', retryAfterMilliseconds: noTargetRetryMilliseconds,
				});
				return;
			}

			default: {
				throw new UnreachableError(choice);
			}
		}
	}

	#send(target: Target, now: number): void {
		const {routing, node, ownGate, remoteGate} = this.#options;
		this.#target = target;
		this.#attemptAt = now;
		this.#level = undefined;
		this.#attempts += 1;
		this.#tried.add(target.upstream);
		this.#lastUpstream = target.upstream;
		routing.begin(target.upstream, now);
		const runner = target.node === node ? ownGate : remoteGate(target);
		const call = this.#gateCall();
		const running = runner.run(call, this);
		if (this.#target !== undefined) {
			this.#running = running;
		}
	}

	#gateCall(): GateCall {
		const call = this.#call;
		this.#split = splitAttempts(this.#remaining);
		this.#remaining = this.#split.kept;
		return {
			context: {
				requestId: createAttemptId(call.requestId, this.#attempts),
				rootId: call.rootId,
				team: call.team,
				priority: call.priority,
				deadline: call.deadline,
				remainingAttempts: this.#split.passed,
				depth: call.depth,
				traceparent: this.#options.callInterface?.shouldContinueTrace === false ? call.traceparent : createTraceparent(call.traceparent),
			},
			service: call.service,
			idempotent: call.route.idempotent,
			job: call.job,
			method: call.method,
			path: call.path,
			headers: call.headers,
			body: call.body.open(),
			bodyLength: call.body.length,
		};
	}

	#endAttempt(outcome: AttemptOutcome): void {
		const target = this.#target;
		if (target === undefined) {
			return;
		}

		this.#target = undefined;
		this.#running = undefined;
		this.#options.routing.end(target.upstream, outcome, this.#level, this.#options.clock.now());
	}

	#isRetryable(problem: Problem): boolean {
		if (problem.outcome === 'not-run') {
			return retryableUnsent.has(problem.code);
		}

		return this.#call.route.idempotent && retryableFailures.has(problem.code);
	}

	#takeRetry(): boolean {
		if (this.#isDone || this.#remaining < 1 || !this.#call.body.canReplay()) {
			return false;
		}

		return this.#isSpared() || this.#options.retryBudgets.of(this.#call.service).takeRetry(this.#options.clock.now());
	}

	/** An attempt at a gate that had no upstream to give costs nobody work, so that its retry needs no budget. */
	#isSpared(): boolean {
		const code = this.#lastProblem?.code;
		return !this.#hasArrived && (code === 'draining' || code === 'no-upstream');
	}

	#retryLater(): void {
		const {clock, random} = this.#options;
		const delay = backoffDelay(this.#attempts, random);
		this.#retryTimer = clock.startTimer(delay, () => {
			this.#retryTimer = undefined;
			if (!this.#isDone) {
				this.#attempt();
			}
		});
	}

	#end(): void {
		this.#isDone = true;
		this.#failure?.end();
		this.#deadlineTimer?.cancel();
	}

	/** The gate has not answered by the deadline: whether the work ran isn't known, and the caller waits no longer. */
	#passDeadline(): void {
		if (this.#isDone) {
			return;
		}

		const running = this.#running;
		const isAnswering = this.#isAnswering;
		this.#mayHaveRun ||= this.#target !== undefined;
		this.#endAttempt({kind: 'failed'});
		running?.cancel();
		if (isAnswering) {
			this.#end();
			this.#receiver.onBroken();
			return;
		}

		this.#finish({code: 'deadline-exceeded', outcome: this.#mayHaveRun ? 'unknown' : 'not-run', detail: 'no answer came before the deadline'});
	}

	/** Answers a problem; `not-run` only if no attempt may have run. */
	#finish(problem: Problem): void {
		if (this.#isDone) {
			return;
		}

		this.#end();
		this.#receiver.onProblem(this.#mayHaveRun ? {...problem, outcome: 'unknown'} : problem);
	}
}

const firstFailureStatus = 500;
const noTargetRetryMilliseconds = 1000;
const throttledRetryMilliseconds = 500;
/** Time after the deadline for the gate itself to say what became of the call. */
const silentGateMilliseconds = 150;
