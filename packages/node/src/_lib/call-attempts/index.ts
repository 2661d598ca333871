/**
Runs one call: chooses a target, sends an attempt, and retries where that is
allowed.

A retry requires that the work certainly did not run or that the route is
idempotent, that the call tree has retries left, that the node's retry budget
allows it (unless the attempt cost no work), and that the body can be sent again. The attempts of a call tree are
divided among its calls, never duplicated. A retry goes to another target, so it
waits for a backoff delay only, not for the delay that the previous target asked for;
the final response passes that delay on to the caller.
*/

import {
	UnreachableError,
	type Clock, type GateLevel, type NodeId, type Problem, type ProblemCode, type RandomSource, type RequestId, type Route, type ServiceName, type Target, type TeamName, type Timer, type UpstreamId,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import {
	backoffDelay, getRemainingAttempts, getRemainingTime, limitRetryDelay, splitAttempts, spreadRetryDelay,
	type AttemptOutcome, type AttemptSplit, type EntryThrottle, type QueueingDelay, type RefusedShareTracker,
	type RetryBudgets, type RetryDemand, type RootLoadShedder, type RootRoute, type Routing, type ThrottleKey,
} from '@fireflyglade/routing';
import type {
	ResponseFlow, ResponseHead, HeaderFields, RequestBody,
} from '@fireflyglade/transport';
import type {
	CallReceiver, CallRunner, GateCall, GateMetadata, RunningCall,
} from '../call-types.js';
import type {CallInterface} from '../../call-interface/index.js';
import {DiscardedResponse} from '../discarded-response/index.js';
import type {JobClaimFields} from '../peer-fields/index.js';
import {createAttemptId} from '../request-ids/index.js';
import {createTraceparent} from '../trace-context/index.js';

/** A call at its entry node. */
export type EntryCall = {
	readonly requestId: RequestId;
	readonly rootId: RequestId;
	readonly team?: TeamName | undefined;
	readonly route: Route;
	/** The service that was selected for this call, where the route splits its requests among several. */
	readonly service: ServiceName;
	readonly priority: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Monotonic milliseconds by which the response has its full value to the caller; absent if the route states no latency objective. */
	readonly objective?: number | undefined;
	readonly workClass: number;
	/** Attempts for the whole call tree, including the first. */
	readonly maximumAttempts: number;
	readonly depth: number;
	/** Probability that the run that made the call is itself a repeat; 0 if absent. */
	readonly repeatProbability?: number | undefined;
	/** Calls that the run which made the call made before; 0 if absent. */
	readonly progress?: number | undefined;
	readonly traceparent: string;
	readonly job?: JobClaimFields | undefined;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: RequestBody;
};

/** Dependencies of `CallAttempts`. */
export type CallAttemptsOptions = {
	readonly node: NodeId;
	readonly ownGate: CallRunner;
	readonly remoteGate: (target: Target) => CallRunner;
	/** The interface to callers and upstream. Defaults to the product's own. */
	readonly callInterface?: CallInterface;
	readonly routing: Routing;
	readonly retryBudgets: RetryBudgets;
	/** Refuses requests at the entry node that the gates would probably refuse. Without it, none are refused for this reason. */
	readonly throttle?: EntryThrottle;
	/** Admits callers' requests as far as the call graph has capacity, the important ones first. Without it, all are admitted. */
	readonly rootLoadShedder?: RootLoadShedder;
	/** Receives the refused shares that are met by calls which the node's own upstream made. */
	readonly downstreamRefusedShares?: RefusedShareTracker;
	/** Called with the queueing delay that was reported to a call which the node's own upstream made. */
	readonly onDownstreamQueueingDelay?: (queueingDelay: QueueingDelay) => void;
	/** Called with events for the log. */
	readonly onLogEvent?: (event: string, details: Fields) => void;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** Receives the final response of a call. */
export type FinalReceiver = {
	onHead(head: ResponseHead, flow: ResponseFlow): void;
	onData(chunk: Uint8Array): void;
	onEnd(trailers: HeaderFields): void;
	onProblem(problem: Problem): void;
	onBroken(): void;
};

/** Problems after which a request that did not run may be sent to another upstream. */
const retryableRefusals: ReadonlySet<ProblemCode> = new Set(['overloaded', 'queue-timeout', 'draining', 'no-upstream']);
/** Problems after which an idempotent request that may have run may be sent to another upstream. */
const retryableFailures: ReadonlySet<ProblemCode> = new Set(['upstream-failed', 'outcome-unknown']);
/** Statuses of an upstream after which an idempotent call may be sent to another upstream. */
const retryableStatuses: ReadonlySet<number> = new Set([500, 503]);

/** Runs one call, with retries, until its final response. */
export class CallAttempts implements RunningCall, CallReceiver {
	readonly #call: EntryCall;
	readonly #receiver: FinalReceiver;
	readonly #options: CallAttemptsOptions;
	readonly #triedUpstreams = new Set<UpstreamId>();
	/** Attempts that may still be made; during an attempt, those that remain after it. */
	#remainingAttempts: number;
	#attemptSplit: AttemptSplit = {passed: 1, kept: 0};
	#attemptCount = 0;
	#queuedMilliseconds = 0;
	#target: Target | undefined;
	#lastUpstream: UpstreamId | undefined;
	#attemptStartedAt = 0;
	#gateLoad: GateLevel | undefined;
	#runningAttempt: RunningCall | undefined;
	#retryTimer: Timer | undefined;
	#lastProblem: Problem | undefined;
	/** True if any attempt may have run at its upstream. */
	#mayHaveRun = false;
	/** True if the last attempt reached, or may have reached, its upstream. A retry after it always counts against the retry budget. */
	#hasArrived = false;
	/** True if an attempt reached its upstream, or may have reached it. */
	#mayHaveArrived = false;
	/** True if the upstream refused the last attempt without running it. */
	#isRefusedByUpstream = false;
	/** True if the upstream of the last attempt makes calls itself. */
	#upstreamMakesCalls = false;
	#isAnswering = false;
	#deadlineTimer: Timer | undefined;
	/** An upstream's error response that is discarded because the call is retried at another upstream. */
	#discardedFailure: DiscardedResponse | undefined;
	#isDone = false;
	/** Monotonic milliseconds at which the call started. */
	#startedAt = 0;

	constructor(call: EntryCall, receiver: FinalReceiver, options: CallAttemptsOptions) {
		this.#call = call;
		this.#receiver = receiver;
		this.#options = options;
		this.#remainingAttempts = call.maximumAttempts;
	}

	/** Number of attempts that were sent. */
	get attempts(): number {
		return this.#attemptCount;
	}

	/** The last upstream that an attempt was sent to. */
	get upstream(): UpstreamId | undefined {
		return this.#lastUpstream;
	}

	/** Retries that neither this call nor its downstream calls have used. */
	get retriesLeft(): number {
		return this.#remainingAttempts;
	}

	/** Milliseconds that the attempts and their downstream calls were queued at gates. */
	get queuedMilliseconds(): number {
		return this.#queuedMilliseconds;
	}

	/** Sends the first attempt, unless the call is refused by the root load shedder or the entry throttle. */
	start(): void {
		const {clock, retryBudgets, throttle} = this.#options;
		this.#startedAt = clock.now();
		if (!this.#isAdmitted()) {
			this.#refuseAtEntry('the call graph has room for more important requests alone', this.#options.rootLoadShedder!.recoveryMilliseconds(this.#startedAt));
			return;
		}

		const isThrottled = this.#call.depth === 0 && throttle?.shouldRefuse(this.#throttleKey(), clock.now());
		if (isThrottled) {
			this.#refuseAtEntry('the upstreams take less than half of what the team sends', throttle!.recoveryMilliseconds(this.#throttleKey(), clock.now()));
			return;
		}

		retryBudgets.of(this.#call.service).recordAttempt(this.#startedAt, this.#call.repeatProbability);
		this.#deadlineTimer = clock.startTimer(this.#call.deadline - clock.now() + deadlineGraceMilliseconds, () => {
			this.#handleDeadline();
		});
		this.#startAttemptOrFail();
	}

	cancel(): void {
		if (this.#isDone) {
			return;
		}

		this.#mayHaveArrived ||= this.#target !== undefined;
		this.#end();
		this.#retryTimer?.cancel();
		const running = this.#runningAttempt;
		this.#endAttempt({kind: 'cancelled'});
		running?.cancel();
	}

	onHead(head: ResponseHead, flow: ResponseFlow, metadata: GateMetadata): void {
		this.#hasArrived = true;
		this.#mayHaveArrived = true;
		this.#isRefusedByUpstream = false;
		if (this.#call.depth === 0) {
			this.#options.throttle?.recordAccepted(this.#throttleKey(), this.#options.clock.now());
		}

		this.#gateLoad = metadata.level;
		this.#queuedMilliseconds += metadata.queuedMilliseconds ?? 0;
		this.#recordQueueingDelay(metadata);
		this.#recordRefusedShare(metadata);
		this.#remainingAttempts = getRemainingAttempts(this.#attemptSplit, {kind: 'ran', unspent: metadata.retriesLeft});
		if (retryableStatuses.has(head.status) && this.#call.route.idempotent && this.#hasDownstreamCapacity(metadata) && this.#acquireRetry()) {
			this.#mayHaveRun = true;
			if (!this.#call.body.isComplete) {
				// Reading on for this attempt would consume the start of the body, which the next one needs.
				this.#abandonFailure();
				return;
			}

			this.#discardedFailure = new DiscardedResponse(this.#options.clock, () => {
				this.#abandonFailure();
			});
			return;
		}

		this.#recordServiceTime(head.status);
		this.#isAnswering = true;
		this.#receiver.onHead(head, flow);
	}

	onData(chunk: Uint8Array): void {
		if (this.#discardedFailure === undefined) {
			this.#receiver.onData(chunk);
			return;
		}

		this.#discardedFailure.addBytes(chunk.byteLength);
	}

	onEnd(trailers: HeaderFields): void {
		if (this.#discardedFailure !== undefined) {
			this.#endAttempt({kind: 'failed'});
			this.#retryAfterFailure(this.#discardedFailure);
			return;
		}

		this.#end();
		this.#endAttempt({kind: 'answered', latencyMilliseconds: this.#options.clock.now() - this.#attemptStartedAt});
		this.#receiver.onEnd(trailers);
	}

	onProblem(problem: Problem, metadata: GateMetadata): void {
		this.#hasArrived = problem.outcome === 'unknown' || metadata.hasArrived === true;
		this.#mayHaveArrived ||= this.#hasArrived;
		this.#isRefusedByUpstream = problem.outcome === 'not-run' && metadata.hasArrived === true;
		this.#upstreamMakesCalls = metadata.makesCalls === true;
		this.#gateLoad = metadata.level;
		this.#queuedMilliseconds += metadata.queuedMilliseconds ?? 0;
		this.#recordQueueingDelay(metadata);
		this.#recordRefusedShare(metadata);
		this.#remainingAttempts = getRemainingAttempts(this.#attemptSplit, problem.outcome === 'not-run' ? {kind: 'not-run'} : {kind: 'ran', unspent: metadata.retriesLeft});
		this.#mayHaveRun ||= problem.outcome === 'unknown';
		this.#lastProblem = problem;
		this.#endAttempt(getProblemOutcome(problem, metadata));
		if (this.#isRetryable(problem) && this.#acquireRetry()) {
			// A gate that could not be reached got no work, and the request has already waited for it.
			this.#scheduleRetry(metadata.isUnreachable === true ? 0 : undefined);
			return;
		}

		if (problem.code === 'overloaded' && this.#call.depth === 0) {
			this.#options.throttle?.recordRefused(this.#throttleKey(), this.#options.clock.now());
		}

		this.#finish(problem);
	}

	onBroken(): void {
		this.#endAttempt({kind: 'failed'});
		if (this.#discardedFailure !== undefined) {
			this.#retryAfterFailure(this.#discardedFailure);
			return;
		}

		this.#end();
		this.#receiver.onBroken();
	}

	/** Aborts an error response that exceeded its size or time limit, and retries at another upstream. */
	#abandonFailure(): void {
		const running = this.#runningAttempt;
		this.#discardedFailure = undefined;
		this.#endAttempt({kind: 'failed'});
		running?.cancel();
		this.#scheduleRetry();
	}

	#retryAfterFailure(failure: DiscardedResponse): void {
		failure.end();
		this.#discardedFailure = undefined;
		this.#scheduleRetry();
	}

	/** Applies the root load shedder to callers' requests. Downstream calls of admitted requests are always admitted. */
	#isAdmitted(): boolean {
		const {rootLoadShedder, clock, random} = this.#options;
		return rootLoadShedder === undefined || this.#call.depth > 0 || rootLoadShedder.admits(this.#rootRoute(), clock.now(), random);
	}

	/** Refuses the call before it is sent. */
	#refuseAtEntry(detail: string, expectedMilliseconds: number): void {
		const {clock, random} = this.#options;
		this.#isDone = true;
		this.#receiver.onProblem({
			code: 'overloaded', outcome: 'not-run', detail, retryAfterMilliseconds: spreadRetryDelay(expectedMilliseconds, this.#usefulMilliseconds(clock.now()), random),
		});
	}

	/** Milliseconds in which a retry is worth most. */
	#usefulMilliseconds(now: number): number {
		return getRemainingTime(this.#call, now);
	}

	#rootRoute(): RootRoute {
		return {id: this.#call.route.id, priority: this.#call.priority};
	}

	/** False while the call graph lacks capacity, or while calls of the upstream that answered are refused. A retry after an upstream's error would repeat all downstream work, so it is then not made. */
	#hasDownstreamCapacity({refusedShare}: GateMetadata): boolean {
		const {rootLoadShedder, clock} = this.#options;
		return (refusedShare === undefined || refusedShare.share < maximumRefusedShareForRepeatedRuns) && (rootLoadShedder === undefined || rootLoadShedder.admitsAll(clock.now()));
	}

	/** Records for a call of the node's own upstream whether its attempt was refused by the upstream that it reached, and the refused share that the gate reported for calls further down. */
	#recordRefusedShare({refusedShare}: GateMetadata): void {
		const {downstreamRefusedShares, clock} = this.#options;
		if (downstreamRefusedShares === undefined || this.#call.depth === 0) {
			return;
		}

		if (this.#hasArrived) {
			downstreamRefusedShares.recordCall(this.#call.service, this.#isRefusedByUpstream, clock.now());
		}

		if (refusedShare !== undefined) {
			downstreamRefusedShares.recordReport(refusedShare, clock.now());
		}
	}

	/** Records the time until the head of the response to a caller's request, unless it is a server error, as a measure of how much of the call graph the request occupies. */
	#recordServiceTime(status: number): void {
		const {rootLoadShedder, clock} = this.#options;
		if (status < firstFailureStatus && this.#call.depth === 0) {
			rootLoadShedder?.recordLatency(this.#rootRoute(), clock.now() - this.#startedAt, clock.now());
		}
	}

	/**
	Records the queueing delay that a gate reported with its response. Calls of any depth
	inform the root load shedder. Only a caller's request links its route to the reported
	service; the delay of a downstream call is reported to the node's own gate.
	*/
	#recordQueueingDelay({crowding}: GateMetadata): void {
		const {rootLoadShedder, clock, onDownstreamQueueingDelay} = this.#options;
		if (crowding === undefined) {
			return;
		}

		rootLoadShedder?.recordDelay(crowding, clock.now());
		if (this.#call.depth > 0) {
			onDownstreamQueueingDelay?.(crowding);
			return;
		}

		rootLoadShedder?.recordRouteDelay(this.#rootRoute(), crowding, clock.now());
	}

	#throttleKey(): ThrottleKey {
		const {team, priority, service} = this.#call;
		return {service, team, priority};
	}

	#startAttempt(): void {
		const {routing, clock, random} = this.#options;
		const now = clock.now();
		const {service, priority, deadline, objective, workClass} = this.#call;
		if (now >= deadline) {
			this.#finish({code: 'deadline-exceeded', outcome: 'not-run', detail: 'the deadline has passed'});
			return;
		}

		const choice = routing.choose({
			service, priority, deadline, objective, workClass, tried: this.#triedUpstreams,
		}, now, random);
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
		this.#attemptStartedAt = now;
		this.#gateLoad = undefined;
		this.#attemptCount += 1;
		this.#triedUpstreams.add(target.upstream);
		this.#lastUpstream = target.upstream;
		routing.begin(target.upstream, now);
		const runner = target.node === node ? ownGate : remoteGate(target);
		const call = this.#createGateCall();
		const running = runner.run(call, this);
		if (this.#target !== undefined) {
			this.#runningAttempt = running;
		}
	}

	#createGateCall(): GateCall {
		const call = this.#call;
		this.#attemptSplit = splitAttempts(this.#remainingAttempts);
		this.#remainingAttempts = this.#attemptSplit.kept;
		return {
			context: {
				requestId: createAttemptId(call.requestId, this.#attemptCount + (isProbable(call.repeatProbability) ? 1 : 0)),
				rootId: call.rootId,
				team: call.team,
				priority: call.priority,
				deadline: call.deadline,
				objective: call.objective,
				workClass: call.workClass,
				remainingAttempts: this.#attemptSplit.passed,
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
		this.#runningAttempt = undefined;
		this.#options.routing.end(target.upstream, outcome, this.#gateLoad, this.#options.clock.now(), this.#call.workClass);
	}

	#isRetryable(problem: Problem): boolean {
		if (problem.outcome === 'not-run') {
			return retryableRefusals.has(problem.code);
		}

		return this.#call.route.idempotent && retryableFailures.has(problem.code);
	}

	#acquireRetry(): boolean {
		if (this.#isDone || this.#remainingAttempts < 1 || !this.#call.body.canReplay()) {
			return false;
		}

		return this.#isRetryBudgetExempt() || this.#options.retryBudgets.of(this.#call.service).takeRetry(this.#options.clock.now(), this.#createRetryDemand());
	}

	/** A retry at an upstream that makes calls itself counts as a repeated run, as each call of its run counts as a repeat. */
	#createRetryDemand(): RetryDemand {
		const {depth, priority, progress = 0} = this.#call;
		return {
			kind: this.#isRefusedByUpstream && !this.#upstreamMakesCalls ? 'refused-call' : 'repeated-run', depth, priority, progress,
		};
	}

	/** True if the last attempt did not reach an upstream and was refused with `draining` or `no-upstream`. It cost no work, so its retry does not count against the retry budget. */
	#isRetryBudgetExempt(): boolean {
		const code = this.#lastProblem?.code;
		return !this.#hasArrived && (code === 'draining' || code === 'no-upstream');
	}

	#scheduleRetry(delay = this.#createBackoffDelay()): void {
		const {clock} = this.#options;
		this.#call.body.endReaders();
		this.#retryTimer = clock.startTimer(delay, () => {
			this.#retryTimer = undefined;
			if (!this.#isDone) {
				this.#startAttemptOrFail();
			}
		});
	}

	#createBackoffDelay(): number {
		return backoffDelay(this.#attemptCount, this.#options.random, this.#isRefusedByUpstream ? refusedCallBackoff : undefined);
	}

	/** Starts an attempt; an unexpected error ends this call alone. */
	#startAttemptOrFail(): void {
		try {
			this.#startAttempt();
		} catch (error: unknown) {
			this.#options.onLogEvent?.('call failed unexpectedly', {reason: error instanceof Error ? error.message : 'unknown reason'});
			this.#endAttempt({kind: 'failed'});
			this.#finish({code: 'internal', outcome: 'not-run', detail: 'the node failed before the request was sent again'});
		}
	}

	#end(): void {
		this.#isDone = true;
		this.#discardedFailure?.end();
		this.#deadlineTimer?.cancel();
		if (!this.#mayHaveArrived) {
			this.#options.retryBudgets.of(this.#call.service).withdrawAttempt?.(this.#startedAt, this.#call.repeatProbability);
		}
	}

	/** Ends a call whose response is incomplete after the deadline and the grace period. A response that has begun is interrupted; otherwise the outcome is unknown if any attempt may have run. */
	#handleDeadline(): void {
		if (this.#isDone) {
			return;
		}

		const running = this.#runningAttempt;
		const isAnswering = this.#isAnswering;
		this.#mayHaveRun ||= this.#target !== undefined;
		this.#mayHaveArrived ||= this.#target !== undefined;
		this.#endAttempt({kind: 'failed'});
		running?.cancel();
		if (isAnswering) {
			this.#end();
			this.#receiver.onBroken();
			return;
		}

		this.#finish({code: 'deadline-exceeded', outcome: this.#mayHaveRun ? 'unknown' : 'not-run', detail: 'no answer came before the deadline'});
	}

	/** Limits the retry delay that a refusal states to a caller. After a refusal by the upstream the time of its recovery is unknown, so that a random delay within the useful time is stated. Active where the node limits callers' requests. */
	#adjustRetryDelay(problem: Problem): Problem {
		const {rootLoadShedder, clock, random} = this.#options;
		const {retryAfterMilliseconds} = problem;
		if (rootLoadShedder === undefined || this.#call.depth > 0 || retryAfterMilliseconds === undefined) {
			return problem;
		}

		const now = clock.now();
		return {
			...problem,
			retryAfterMilliseconds: this.#isRefusedByUpstream
				? spreadRetryDelay(Number.POSITIVE_INFINITY, this.#usefulMilliseconds(now), random)
				: limitRetryDelay(retryAfterMilliseconds, this.#call.deadline - now),
		};
	}

	/** Ends the call with a problem. Its outcome is `not-run` only if it is certain that no attempt ran. */
	#finish(problem: Problem): void {
		if (this.#isDone) {
			return;
		}

		this.#end();
		this.#receiver.onProblem(this.#adjustRetryDelay(this.#mayHaveRun ? {...problem, outcome: 'unknown'} : problem));
	}
}

/** Returns the outcome of an attempt that ended with a problem. */
function getProblemOutcome(problem: Problem, metadata: GateMetadata): AttemptOutcome {
	if (metadata.isUnreachable === true) {
		return {kind: 'unreachable'};
	}

	return problem.outcome === 'not-run' ? {kind: 'refused'} : {kind: 'failed'};
}

const firstFailureStatus = 500;
const noTargetRetryMilliseconds = 1000;
/** Refused share of the calls of an upstream from which its errors are not retried, as a retry would repeat all of its calls and probably fail too. */
const maximumRefusedShareForRepeatedRuns = 0.1;
/** Delay before a retry at another upstream after an upstream refused the call; waiting longer would gain nothing. */
const refusedCallBackoff = {baseMilliseconds: 1, maximumMilliseconds: 4};
/** Probability of being a repeat from which the run of a call counts as one. */
const probableRepeat = 0.5;
/** Time after the deadline for which the entry node waits for the gate to report the outcome itself. */
const deadlineGraceMilliseconds = 150;

function isProbable(repeatProbability = 0): boolean {
	return repeatProbability >= probableRepeat;
}
