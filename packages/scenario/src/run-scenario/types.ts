/**
What a scenario runs on, and what it gives.
*/

import type {Admission, AdmissionOptions} from '@fireflyglade/admission';
import type {JobKey, RequestId, TeamName} from '@fireflyglade/model';
import type {RateLimiter, RateLimiterOptions} from '@fireflyglade/rates';
import type {RetryBudget, Routing, RoutingOptions} from '@fireflyglade/routing';
import type {StateMachine} from '@fireflyglade/state';
import type {ScenarioExpectation} from '../scenario.types.js';

/** A request of a caller and all that became of it. */
export type ScenarioRequest = {
	readonly id: RequestId;
	/** Name of its job; a request that is sent again has another id and the same job. */
	readonly job: JobKey;
	readonly caller: string;
	readonly team?: TeamName;
	/** Virtual milliseconds. */
	readonly at: number;
	/** Virtual times at which it began to run, at any upstream. */
	readonly starts: number[];
	isAdmitted: boolean;
	result: 'open' | 'whole' | 'not-run' | 'rate' | 'unknown';
};

/** The mechanisms that a scenario runs on. A test replaces one to show that a scenario notices. */
export type ScenarioMechanisms = {
	readonly createAdmission: (options: AdmissionOptions) => Admission;
	readonly createRouting: (options: RoutingOptions) => Routing;
	readonly createRetryBudget: () => RetryBudget;
	readonly createRateLimiter: (options: RateLimiterOptions) => RateLimiter;
	readonly createStateMachine: () => StateMachine;
	/** Attempts that are left of a call after one that may have run. */
	readonly countRemainingAttempts: (remaining: number, didRun: boolean) => number;
	/** Milliseconds until a change is in force at a node that is not cut off. */
	readonly configurationDelayMilliseconds: number;
	/** Milliseconds of silence after which an upstream gets no new work. */
	readonly announcementTimeoutMilliseconds: number;
};

/** How an expectation came out. */
export type ExpectationResult = {
	readonly expectation: ScenarioExpectation;
	readonly measured: number;
	readonly isMet: boolean;
};

/** How a scenario came out. */
export type ScenarioResult = {
	readonly expectations: readonly ExpectationResult[];
	readonly requests: number;
	/** Statements that were refused, with their reasons. */
	readonly refusedStatements: readonly string[];
};
