/**
What a node is given from outside: the fleet, the decisions, and the services of
control. Tests give small fakes.
*/

import type {Admission, AdmissionOptions} from '@fireflyglade/admission';
import type {
	Clock, ProblemCode, ProblemOutcome, RandomSource, RequestId, RouteId, ServiceName, TeamName, UpstreamId,
} from '@fireflyglade/model';
import type {RetryBudgets, Routing} from '@fireflyglade/routing';
import type {NodeSettings} from '@fireflyglade/settings';
import type {ClaimOutcome, ClaimRequest, ClaimResult} from '@fireflyglade/state';
import type {FleetCredentials, OutcomeResponse, OutcomeRequest} from '@fireflyglade/transport';
import type {CallInterface} from './call-interface/index.js';
import type {Fleet} from './types.js';

/** Claims of jobs in the replicated log. */
export type JobClaims = {
	/** Claims a job. Rejects if no quorum could be reached; the job has then not run. */
	begin(claim: ClaimRequest): Promise<ClaimResult>;
	/** Commits how a claimed job ended. */
	finish(claim: ClaimRequest, outcome: ClaimOutcome): Promise<void>;
};

/** Asks the gate at an RPC address what became of a request. */
export type OutcomeAsker = {
	ask(rpcAddress: string, question: OutcomeRequest): Promise<OutcomeResponse>;
};

/** Where a request came in. */
export type CallSide = 'caller' | 'egress';

/** How a request ended at its entry node. */
export type FinishedRequest = {
	readonly side: CallSide;
	readonly team?: TeamName;
	readonly route?: RouteId;
	/** From 0, the most important, to 99. */
	readonly priority?: number;
	readonly method: string;
	readonly status: number;
	readonly durationMilliseconds: number;
	readonly traceparent: string;
	/** Attempts that were sent. */
	readonly attempts: number;
	/** True if the answer arrived whole. */
	readonly whole: boolean;
	/** Set if the system made the answer. */
	readonly problem?: ProblemCode;
	readonly outcome?: ProblemOutcome;
	/** What the caller calls the request, if the interface has a name for it. */
	readonly callerRequestId?: string;
	readonly service?: ServiceName;
	/** A sentence on the problem. */
	readonly detail?: string;
	readonly retryAfterMilliseconds?: number;
	/** Milliseconds that the request waited at gates. */
	readonly queuedMilliseconds?: number;
	/** The last upstream that an attempt was sent to. */
	readonly upstream?: UpstreamId;
};

/** One hop of a request, for the traces. */
export type HopSpan = {
	readonly hop: 'entry' | 'gate' | 'upstream';
	readonly requestId: RequestId;
	readonly traceparent: string;
	readonly upstream?: UpstreamId;
	/** Monotonic milliseconds. */
	readonly start: number;
	readonly end: number;
	readonly status?: number;
	readonly problem?: ProblemCode;
};

/** An answer that an upstream began or owed, and that did not come whole. */
export type LostAnswer = {
	readonly requestId: RequestId;
	readonly upstream: UpstreamId;
	/** True if its head had come. */
	readonly answered: boolean;
	readonly cause: Error;
};

/** Watches what a node does. Every method must return quickly. */
export type NodeObserver = {
	requestFinished(request: FinishedRequest): void;
	hopFinished(span: HopSpan): void;
	/** Text of `/metrics`. */
	renderMetrics(): Promise<string>;
};

/** Everything that a node is given. */
export type NodeDependencies = {
	readonly settings: NodeSettings;
	/** How nodes prove at each other's gates that they belong to the fleet. */
	readonly credentials: FleetCredentials;
	/** Bound address of the node's RPC listener, for others to ask outcomes at. */
	readonly rpcAddress: string;
	readonly fleet: Fleet;
	readonly createAdmission: (options: AdmissionOptions) => Admission;
	readonly routing: Routing;
	readonly retryBudgets: RetryBudgets;
	/** The interface to callers and upstream; the product's own if absent. */
	/** True if callers' requests are let in by the room that the call graph shows, where calls below can't be told apart. */
	readonly sharesRoots?: boolean;
	readonly callInterface?: CallInterface;
	/** Address of the listener for connections that carry many calls of other nodes; such calls go by HTTP if absent. */
	readonly channelAddress?: string;
	/** Told the bound address of that listener. */
	readonly onChannelListening?: (address: string) => void;
	/** Address of the only upstream that may announce itself; any if absent. */
	readonly ownUpstreamAddress?: string;
	/** Milliseconds of silence after which the upstream counts as gone; three seconds if absent. */
	readonly announcementTimeoutMilliseconds?: number;
	readonly claims: JobClaims;
	readonly outcomes: OutcomeAsker;
	readonly observer: NodeObserver;
	/** Told of each answer of the upstream that was lost, for the log. */
	readonly onAnswerLost?: (lost: LostAnswer) => void;
	readonly clock: Clock;
	readonly random: RandomSource;
};
