/**
Estimates of the bucket levels of one team at the lease holders, from the levels
that they last reported. The estimates choose the lease holder to ask first, and
allow a refusal without a request if no lease holder can have a token. A request
is never admitted by an estimate.
*/

import {millisecondsInSecond, type FailureDomain} from '@fireflyglade/model';
import {levelLifetimeMilliseconds} from '../_lib/constants.js';
import type {RateLimit} from '../token-bucket/index.js';

type ReportedLevel = {
	readonly level: number;
	readonly at: number;
};

/** Estimates the bucket levels of one team by failure domain. */
export class LevelEstimates {
	readonly #reportedLevels = new Map<FailureDomain, ReportedLevel>();

	/** Records the level that a domain's lease holder reported at `at`. */
	record(domain: FailureDomain, level: number, at: number): void {
		this.#reportedLevels.set(domain, {level, at});
	}

	/** Returns the most microtokens that the lease holder may have: the whole burst if no recent level is known. */
	estimate(domain: FailureDomain, {ratePerSecond, burst}: RateLimit, now: number): number {
		const reported = this.#reportedLevels.get(domain);
		if (reported === undefined || now - reported.at > levelLifetimeMilliseconds) {
			return burst;
		}

		return Math.min(burst, reported.level + ((now - reported.at) * ratePerSecond / millisecondsInSecond));
	}
}
