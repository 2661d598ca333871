/**
Converts a call between its form at the entry node, its form for the gate, and the
context that the gate creates from it.
*/

import type {CallContext} from '@fireflyglade/model';
import type {GateCall} from '../call-types.js';
import {formatPeerCall, type PeerCall} from '../peer-fields/index.js';

/** Selects what a gate needs to know of a call beside its HTTP request. The deadline becomes the remaining milliseconds, as monotonic clocks differ between nodes. */
export function toPeerCall({context, service, idempotent, job}: GateCall, now: number): PeerCall {
	return {
		requestId: context.requestId,
		rootId: context.rootId,
		service,
		team: context.team,
		priority: context.priority,
		timeoutMilliseconds: Math.max(1, Math.ceil(context.deadline - now)),
		...(context.objective === undefined ? {} : {objectiveMilliseconds: Math.max(0, Math.ceil(context.objective - now))}),
		workClass: context.workClass,
		remainingAttempts: context.remainingAttempts,
		depth: context.depth,
		idempotent,
		job,
	};
}

/** Formats what a gate needs to know of a call as the value of one field. */
export function formatGateCall(call: GateCall, now: number): string {
	return formatPeerCall(toPeerCall(call, now));
}

/** Creates the context of a received call, with its deadline on the gate's monotonic clock. */
export function createCallContext({requestId, rootId, team, priority, remainingAttempts, depth, timeoutMilliseconds, objectiveMilliseconds, workClass}: PeerCall, traceparent: string, now: number): CallContext {
	return {
		requestId,
		rootId,
		team,
		priority,
		deadline: now + timeoutMilliseconds,
		...(objectiveMilliseconds === undefined ? {} : {objective: now + objectiveMilliseconds}),
		workClass,
		remainingAttempts,
		depth,
		traceparent,
	};
}
