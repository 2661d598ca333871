/**
Types of a call inside a node, between the entry listener and a gate. The gate
is the node's own or that of another node.
*/

import type {
	CallContext, GateLevel, Problem, ServiceName,
} from '@fireflyglade/model';
import type {QueueingDelay, RefusedShare} from '@fireflyglade/routing';
import type {
	ResponseFlow, ResponseHead, HeaderFields, OutgoingBody,
} from '@fireflyglade/transport';
import type {JobClaimFields} from './peer-fields/index.js';

/** One attempt of a call, for a gate. */
export type GateCall = {
	/** The `requestId` of the context identifies the attempt. */
	readonly context: CallContext;
	/** The service that the call is for. The gate checks it, as its address may have been reassigned to another service. */
	readonly service: ServiceName;
	readonly idempotent: boolean;
	readonly job?: JobClaimFields | undefined;
	readonly method: string;
	/** Path, including the query. */
	readonly path: string;
	/** Alternating names and values, without the fields that the system itself uses. */
	readonly headers: readonly string[];
	readonly body: OutgoingBody;
	/** Length of a streamed body, if it is known. */
	readonly bodyLength: number | undefined;
};

/** What a gate reports with a response: its load, unused retries and queueing delays. */
export type GateMetadata = {
	/** The gate's load; undefined if it is unknown. */
	readonly level?: GateLevel | undefined;
	/** Unused retries of the call tree; 0 if the gate does not know. */
	readonly retriesLeft: number;
	/** Milliseconds that the call and its downstream calls were queued at gates. */
	readonly queuedMilliseconds?: number | undefined;
	/** True if the request reached the upstream, which refused it without running it. */
	readonly hasArrived?: boolean | undefined;
	/** True if the gate could not be reached, so that this is not its answer. */
	readonly isUnreachable?: boolean | undefined;
	/** The longest recent queueing delay at this gate and at the gates that its upstream calls, with the service where it occurred. */
	readonly crowding?: QueueingDelay | undefined;
	/** The highest share of calls that the upstreams of a service refuse, among the calls that this gate's upstream makes and those below them. */
	readonly refusedShare?: RefusedShare | undefined;
	/** True if this gate's upstream makes calls itself, so that each of its runs may cause repeats further down. */
	readonly makesCalls?: boolean | undefined;
};

/** Receives the response to a call. Exactly one of `onEnd`, `onProblem` and `onBroken` is called, as the last callback. */
export type CallReceiver = {
	onHead(head: ResponseHead, flow: ResponseFlow, metadata: GateMetadata): void;
	onData(chunk: Uint8Array): void;
	onEnd(trailers: HeaderFields): void;
	/** The call failed before the head of a response arrived. */
	onProblem(problem: Problem, metadata: GateMetadata): void;
	/** The response was interrupted after its head. */
	onBroken(): void;
};

/** A call in progress. */
export type RunningCall = {
	/** Cancels the call because its caller disconnected. No callback is called afterwards. */
	cancel(): void;
};

/** Runs calls at the node's own gate or at that of another node. */
export type CallRunner = {
	run(call: GateCall, receiver: CallReceiver): RunningCall;
};
