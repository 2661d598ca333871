/**
The header fields and conventions that a node uses towards callers and its own
upstream. The product has its own interface; a program that starts a node can
pass another one.
*/

import {
	millisecondsInSecond, type Problem, type ServiceName, type UpstreamLoad,
} from '@fireflyglade/model';

/** Header fields and conventions towards callers and the upstream. Field names are in lower case. */
export type CallInterface = {
	/** Request field with the caller's key. */
	readonly keyField: string;
	/** True if the field contains only the key, without an authentication scheme such as `Bearer`. */
	readonly isKeyBare: boolean;
	/** Request field with the milliseconds until the deadline, from the caller and to the upstream. */
	readonly timeoutField: string;
	/** Request field with the name of the team, to the upstream. */
	readonly teamField: string;
	/** Request field with a context token. The upstream sends it with its own calls, which links them to the request; no token is sent if absent. */
	readonly contextField?: string;
	/** Request field with the service of the node at which the call entered the fleet, to the upstream. */
	readonly origin?: {readonly field: string; readonly service: ServiceName};
	/** Field with the caller's request id, which the upstream repeats in its response. */
	readonly requestIdField?: string;
	/** Request field with the instance name of the intended upstream; any other upstream refuses the request. */
	readonly expectedUpstreamField?: string;
	/** Response field by which an upstream states that it did not run the request. */
	readonly notRunField?: string;
	/** Response field in which an upstream states its load, and the function that parses its value; undefined for a value that can't be used. */
	readonly loadField?: {readonly name: string; readonly parse: (value: string) => UpstreamLoad | undefined};
	/** True if requests without a key on open routes are nested calls, which upstreams make while they process a request. */
	readonly areOpenCallsNested: boolean;
	/** True if each hop continues the caller's W3C trace context with a new span, or starts a trace; if false, the trace context is forwarded unchanged. */
	readonly shouldContinueTrace: boolean;
	/** True if `retry-after` is given with fractions of a second; whole seconds otherwise. */
	readonly isRetryAfterFractional: boolean;
	/** Request fields of callers that are never forwarded, in addition to those of the product. */
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

/** Creates the additional header fields of a problem response that the call interface requires. */
export function createProblemFields(callInterface: CallInterface, problem: Problem): Readonly<Record<string, string>> {
	const {retryAfterMilliseconds} = problem;
	if (retryAfterMilliseconds === undefined || !callInterface.isRetryAfterFractional) {
		return noFields;
	}

	return {'retry-after': (Math.max(1, Math.round(retryAfterMilliseconds)) / millisecondsInSecond).toFixed(3)};
}

const noFields: Readonly<Record<string, string>> = {};
