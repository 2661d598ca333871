/**
Requests and helpers for tests of admission.
*/

import {createTeamName, type RequestId} from '@fireflyglade/model';
import type {AdmissionDecision, AdmissionRequest} from '../../types.js';

/** Creates a request of team `one` with priority 5 and a deadline at 10 s. */
export function createRequest(id: string, change: Partial<AdmissionRequest> = {}): AdmissionRequest {
	return {
		requestId: id as RequestId, rootId: id as RequestId, team: createTeamName('one'), priority: 5, deadline: 10_000, depth: 0, ...change,
	};
}

/** Returns the request ids of the decisions of one kind. */
export function idsOf(decisions: readonly AdmissionDecision[], kind: AdmissionDecision['kind']): string[] {
	return decisions.filter(decision => decision.kind === kind).map(decision => decision.requestId);
}
