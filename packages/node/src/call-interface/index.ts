/**
The names and habits of the interface at which a node meets callers and the
upstream beside it. Another interface than the product's own is handed in by
whoever starts the node.
*/

import {millisecondsInSecond, type Problem, type ServiceName} from '@fireflyglade/model';

/** How a node meets callers and its upstream. Names of fields are in lower case. */
export type CallInterface = {
	/** Field of the caller's key. */
	readonly keyField: string;
	/** True if the field holds the key alone, without a scheme. */
	readonly isKeyBare: boolean;
	/** Field of the remaining milliseconds, from the caller and to the upstream. */
	readonly timeoutField: string;
	/** Field of the team, to the upstream. */
	readonly teamField: string;
	/** Field of the token by which the upstream's own calls are matched; none is sent if absent. */
	readonly contextField?: string;
	/** Field that tells the upstream at which service a call began. */
	readonly origin?: {readonly field: string; readonly service: ServiceName};
	/** Field of the caller's request id, which the upstream repeats in its answer. */
	readonly requestIdField?: string;
	/** Field by which an upstream is told which one is meant; another one refuses. */
	readonly expectedUpstreamField?: string;
	/** Field by which an upstream says that it did not run the request. */
	readonly notRunField?: string;
	/** True if requests without a key on open routes come from upstreams, as parts of chains that have begun. */
	readonly areOpenCallsNested: boolean;
	/** True if each hop continues the caller's W3C trace context, or begins one; else it passes on unchanged. */
	readonly shouldContinueTrace: boolean;
	/** True if the time after which a retry may help is told in fractions of seconds; else in whole seconds. */
	readonly isRetryAfterFractional: boolean;
	/** Fields of callers that are never passed on, beside those of the product. */
	readonly droppedFields: ReadonlySet<string>;
};

/** The product's own interface. */
export const productCallInterface: CallInterface = {
	keyField: 'authorization',
	isKeyBare: false,
	timeoutField: 'fireflyglade-timeout-ms',
	teamField: 'fireflyglade-team',
	contextField: 'fireflyglade-context',
	areOpenCallsNested: false,
	shouldContinueTrace: true,
	isRetryAfterFractional: false,
	droppedFields: new Set(),
};

/** Fields of an answer that states a problem, beside those of every such answer. */
export function createProblemFields(callInterface: CallInterface, problem: Problem): Readonly<Record<string, string>> {
	const {retryAfterMilliseconds} = problem;
	if (retryAfterMilliseconds === undefined || !callInterface.isRetryAfterFractional) {
		return noFields;
	}

	return {'retry-after': (Math.max(1, Math.round(retryAfterMilliseconds)) / millisecondsInSecond).toFixed(3)};
}

const noFields: Readonly<Record<string, string>> = {};
