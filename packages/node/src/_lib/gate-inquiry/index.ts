/**
Asks a gate what became of a request whose connection broke before its answer.
*/

import type {Clock, Problem, Target} from '@fireflyglade/model';
import type {RequestProgress} from '@fireflyglade/transport';
import type {OutcomeClient} from '../../dependencies.js';
import type {CallReceiver, GateCall} from '../call-types.js';

/** The gate could not be reached, or certainly never began to run the request. */
export const unreachableGateProblem: Problem = {code: 'no-upstream', outcome: 'not-run', detail: 'the gate could not be reached'};

const unknownOutcome: Problem = {code: 'outcome-unknown', outcome: 'unknown', detail: 'the connection to the gate broke and the request may have run'};

/** What an inquiry needs. */
export type GateInquiryOptions = {
	readonly outcomes: OutcomeClient;
	readonly clock: Clock;
};

/** A request whose connection broke. */
export type BrokenCall = {
	readonly target: Target;
	readonly call: GateCall;
	/** Monotonic milliseconds. */
	readonly sentAt: number;
	readonly receiver: CallReceiver;
	readonly isCancelled: () => boolean;
};

/** Retries that a request which never ran leaves unused. */
export function unusedRetries(call: GateCall): number {
	return Math.max(0, call.context.remainingAttempts - 1);
}

/** Asks what became of a request, and tells its receiver. */
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
		// The answer to the caller says that the outcome isn't known.
		return 'unknown';
	}
}
