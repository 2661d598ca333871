/**
Writes a call of an entry node for a gate, and reads it there.
*/

import type {CallContext} from '@fireflyglade/model';
import type {GateCall} from '../call-types.js';
import {formatPeerCall, type PeerCall} from '../peer-fields/index.js';

/** What a gate needs to know of a call, beside its HTTP request. */
export function toPeerCall({context, service, idempotent, job}: GateCall, now: number): PeerCall {
	return {
		requestId: context.requestId,
		rootId: context.rootId,
		service,
		team: context.team,
		priority: context.priority,
		timeoutMilliseconds: Math.max(1, Math.ceil(context.deadline - now)),
		remainingAttempts: context.remainingAttempts,
		depth: context.depth,
		idempotent,
		job,
	};
}

/** Writes what a gate needs to know of a call as one field. */
export function formatGateCall(call: GateCall, now: number): string {
	return formatPeerCall(toPeerCall(call, now));
}

/** The context of a call as the gate sees it. */
export function createCallContext({requestId, rootId, team, priority, remainingAttempts, depth, timeoutMilliseconds}: PeerCall, traceparent: string, now: number): CallContext {
	return {
		requestId,
		rootId,
		team,
		priority,
		deadline: now + timeoutMilliseconds,
		remainingAttempts,
		depth,
		traceparent,
	};
}
