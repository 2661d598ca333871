/**
Types of the mechanisms that a scenario runs on and of its results.
*/

import type {Admission, AdmissionOptions} from '@fireflyglade/admission';
import type {JobKey, RequestId, TeamName} from '@fireflyglade/model';
import type {RateLimiter, RateLimiterOptions} from '@fireflyglade/rates';
import type {RetryBudget, Routing, RoutingOptions} from '@fireflyglade/routing';
import type {StateMachine} from '@fireflyglade/state';
import type {ScenarioExpectation} from '../scenario.types.js';

/** A request of a caller, its runs and its result. */
export type ScenarioRequest = {
	readonly id: RequestId;
	/** Job key. A request that is sent again has a new id and the same job key. */
	readonly job: JobKey;
	readonly caller: string;
	readonly team?: TeamName;
	/** Virtual milliseconds at which it was sent. */
	readonly at: number;
	/** Virtual times, in milliseconds, at which it started to run at any upstream. */
	readonly starts: number[];
	/** True once the rate limiter has admitted it, or at once if it is sent to an open route without a known key. */
	isAdmitted: boolean;
	/** `open` until it is answered; `whole` for a complete answer, `rate` for a refusal by the rate limit. */
	result: 'open' | 'whole' | 'not-run' | 'rate' | 'unknown';
};

/** The mechanisms that a scenario runs on. Tests replace one by a defective version to check that a scenario detects it. */
export type ScenarioMechanisms = {
	readonly createAdmission: (options: AdmissionOptions) => Admission;
	readonly createRouting: (options: RoutingOptions) => Routing;
	readonly createRetryBudget: () => RetryBudget;
	readonly createRateLimiter: (options: RateLimiterOptions) => RateLimiter;
	readonly createStateMachine: () => StateMachine;
	/** Returns the remaining attempts of a call after an attempt; `didRun` is true if that attempt ran or may have run. */
	readonly countRemainingAttempts: (remaining: number, didRun: boolean) => number;
	/** Time until a configuration change takes effect at a node that is not cut off. */
	readonly configurationDelayMilliseconds: number;
	/** Time without an announcement after which an upstream receives no new requests. */
	readonly announcementTimeoutMilliseconds: number;
};

/** Outcome of an expectation. */
export type ExpectationResult = {
	readonly expectation: ScenarioExpectation;
	readonly measured: number;
	readonly isMet: boolean;
};

/** Outcome of a scenario. */
export type ScenarioResult = {
	readonly expectations: readonly ExpectationResult[];
	/** Number of requests that were sent. */
	readonly requests: number;
	/** Operator statements that were refused, with the reason of each. */
	readonly refusedStatements: readonly string[];
};
