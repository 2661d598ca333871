/**
Asks a gate for the outcome of a request whose connection broke before its response,
and reports the result to the receiver of the call.
*/

import type {Clock, Problem, Target} from '@fireflyglade/model';
import type {RequestProgress} from '@fireflyglade/transport';
import type {OutcomeClient} from '../../dependencies.js';
import type {CallReceiver, GateCall} from '../call-types.js';

/** The problem of a request whose gate could not be reached, or certainly did not start to run it. */
export const unreachableGateProblem: Problem = {code: 'no-upstream', outcome: 'not-run', detail: 'the gate could not be reached'};

const unknownOutcome: Problem = {code: 'outcome-unknown', outcome: 'unknown', detail: 'the connection to the gate broke and the request may have run'};

/** Dependencies of `reportBrokenCall`. */
export type GateInquiryOptions = {
	readonly outcomes: OutcomeClient;
	readonly clock: Clock;
};

/** A call whose connection broke before its response. */
export type BrokenCall = {
	readonly target: Target;
	readonly call: GateCall;
	/** Monotonic milliseconds at which the request was sent. */
	readonly sentAt: number;
	readonly receiver: CallReceiver;
	readonly isCancelled: () => boolean;
};

/** Retries that remain unused if the request did not run. */
export function unusedRetries(call: GateCall): number {
	return Math.max(0, call.context.remainingAttempts - 1);
}

/** Reports that a call did not run because its gate could not be reached. */
export function reportUnreachableGate(call: GateCall, receiver: CallReceiver): void {
	receiver.onProblem(unreachableGateProblem, {retriesLeft: unusedRetries(call), isUnreachable: true});
}

/** Asks the gate for the outcome of a call and reports the resulting problem to its receiver, unless the call was cancelled. */
export async function reportBrokenCall({target, call, sentAt, receiver, isCancelled}: BrokenCall, options: GateInquiryOptions): Promise<void> {
	const progress = await askProgress(target, call, sentAt, options);
	if (isCancelled()) {
		return;
	}

	if (progress === 'not-run') {
		receiver.onProblem(unreachableGateProblem, {retriesLeft: unusedRetries(call)});
		return;
	}

	receiver.onProblem(unknownOutcome, {retriesLeft: 0});
}

async function askProgress(target: Target, call: GateCall, sentAt: number, {outcomes, clock}: GateInquiryOptions): Promise<RequestProgress> {
	try {
		const answer = await outcomes.ask(target.rpcAddress, {requestId: call.context.requestId, sentMillisecondsAgo: clock.now() - sentAt});
		return answer.progress;
	} catch {
		// Without the gate's response, the caller is told that the outcome is unknown.
		return 'unknown';
	}
}
