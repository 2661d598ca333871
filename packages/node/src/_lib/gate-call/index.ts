/**
Writes a call of an entry node for a gate, and reads it there.
*/

import type {CallContext} from '@fireflyglade/model';
import type {GateCall} from '../call-types.js';
import {formatPeerCall, type PeerCall} from '../peer-fields/index.js';

/** Writes what a gate needs to know of a call, beside its HTTP request. */
export function formatGateCall({context, idempotent, job}: GateCall, now: number): string {
	return formatPeerCall({
		requestId: context.requestId,
		rootId: context.rootId,
		...(context.team === undefined ? {} : {team: context.team}),
		priority: context.priority,
		timeoutMilliseconds: context.deadline - now,
		remainingAttempts: context.remainingAttempts,
		depth: context.depth,
		idempotent,
		...(job === undefined ? {} : {job}),
	});
}

/** The context of a call as the gate sees it. */
export function contextOf({requestId, rootId, team, priority, remainingAttempts, depth, timeoutMilliseconds}: PeerCall, traceparent: string, now: number): CallContext {
	return {
		requestId,
		rootId,
		...(team === undefined ? {} : {team}),
		priority,
		deadline: now + timeoutMilliseconds,
		remainingAttempts,
		depth,
		traceparent,
	};
}
