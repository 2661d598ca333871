/**
Types of a call inside a node, between the entry and a gate, be it the node's own
or another's.
*/

import type {
	CallContext, GateLevel, Problem, ServiceName,
} from '@fireflyglade/model';
import type {QueueingDelay} from '@fireflyglade/routing';
import type {
	AnswerFlow, AnswerHead, HeaderFields, OutgoingBody,
} from '@fireflyglade/transport';
import type {JobClaimFields} from './peer-fields/index.js';

/** One attempt of a call, for a gate. */
export type GateCall = {
	/** `requestId` names the attempt. */
	readonly context: CallContext;
	/** The service that the call is for: an address may belong to another one by now. */
	readonly service: ServiceName;
	readonly idempotent: boolean;
	readonly job?: JobClaimFields | undefined;
	readonly method: string;
	/** Path with the query. */
	readonly path: string;
	/** Names and values in turn, without any of the system's own fields. */
	readonly headers: readonly string[];
	readonly body: OutgoingBody;
	/** Length of a streamed body, if it is known. */
	readonly bodyLength: number | undefined;
};

/** What rides back from a gate beside the answer. */
export type GateMetadata = {
	readonly level?: GateLevel | undefined;
	/** Retries of the call tree that were not used; none if the gate could not tell. */
	readonly retriesLeft: number;
	/** Milliseconds that the call and those below it waited at gates. */
	readonly queuedMilliseconds?: number | undefined;
	/** True if the request came to the upstream, which refused it unrun. */
	readonly hasArrived?: boolean | undefined;
	/** The longest wait that calls met lately at the gate and at those to which its upstream's calls go. */
	readonly crowding?: QueueingDelay | undefined;
};

/** Takes the answer to a call. `onEnd`, `onProblem` or `onBroken` is called once, as the last of all. */
export type CallReceiver = {
	onHead(head: AnswerHead, flow: AnswerFlow, note: GateMetadata): void;
	onData(chunk: Uint8Array): void;
	onEnd(trailers: HeaderFields): void;
	/** The call failed before the head of an answer. */
	onProblem(problem: Problem, note: GateMetadata): void;
	/** The answer broke off midway. */
	onBroken(): void;
};

/** A call under way. */
export type RunningCall = {
	/** The caller has gone: nothing is reported afterwards. */
	cancel(): void;
};

/** Runs calls: the node's own gate, or another node's. */
export type CallRunner = {
	run(call: GateCall, receiver: CallReceiver): RunningCall;
};
