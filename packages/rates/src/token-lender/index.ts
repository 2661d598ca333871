/**
The lease holder's side of the rate limiter: it lends tokens from its domain's
buckets while this node has the lease.

No loan outlives the lease under which it was made, so the next lease holder
knows that nothing is lent when its own lease begins. Its buckets start empty.
*/

import type {
	FailureDomain, FencingNumber, NodeId, Revision, TeamName,
} from '@fireflyglade/model';
import {lenderLoanMilliseconds, loanDurationMilliseconds, reserveShareOfBurst} from '../_lib/constants.js';
import type {
	LoanRequest, LoanResponse, LoanReport, LoanReports,
} from '../_lib/messages.js';
import type {DomainRateLimits} from '../domain-rate-limits/index.js';
import {TokenBucket} from '../token-bucket/index.js';
import type {OwnLease} from '../types.js';

/** Lends the tokens of a failure domain to nodes. */
export class TokenLender {
	readonly #domain: FailureDomain;
	readonly #rateLimits: DomainRateLimits;
	readonly #buckets = new Map<TeamName, TokenBucket>();
	/** Teams that were created under this lease; their buckets are filled once a majority of the witnesses have reached the revision in which the team was created. */
	readonly #pendingFills = new Map<TeamName, Revision>();
	#lease?: OwnLease;
	/** True once the buckets were created under the lease; only the buckets of teams that are created after that are filled. */
	#hasCreatedBuckets = false;

	constructor(domain: FailureDomain, rateLimits: DomainRateLimits) {
		this.#domain = domain;
		this.#rateLimits = rateLimits;
	}

	/** Starts, extends or ends the lease; a lease with another fencing number, or one that follows an expired lease, starts with empty buckets. */
	setLease(lease: OwnLease | undefined, now: number): void {
		const isExtended = lease !== undefined && this.#lease?.fencing === lease.fencing && now < this.#lease.until;
		if (!isExtended) {
			this.#buckets.clear();
			this.#pendingFills.clear();
			this.#hasCreatedBuckets = false;
		}

		this.#lease = lease;
		if (!this.#isActive(now)) {
			return;
		}

		this.#createMissingBuckets(now);
		this.#fillNewBuckets(now);
	}

	/** Applies the current rate limits to all buckets; `created` are teams that the earlier configuration did not have. */
	applyRateLimits(created: readonly TeamName[], now: number): void {
		const isActive = this.#isActive(now);
		for (const team of isActive && this.#hasCreatedBuckets ? created : []) {
			if (!this.#buckets.has(team)) {
				this.#pendingFills.set(team, this.#rateLimits.configuration.revision);
			}
		}

		for (const [team, bucket] of this.#buckets) {
			bucket.setRateLimit(this.#rateLimits.own(team), now);
		}

		if (isActive) {
			this.#createMissingBuckets(now);
			this.#fillNewBuckets(now);
		}
	}

	/** Responds to a loan request; the amount is 0 if this node does not have the lease with the request's fencing number. */
	answer(borrower: NodeId, request: LoanRequest, now: number): LoanResponse {
		const {fencing, run, team, loan} = request;
		const emptyResponse: LoanResponse = {
			kind: 'grant', domain: this.#domain, fencing, run, team, loan, amount: 0, durationMilliseconds: 0, level: 0,
		};
		const lease = this.#lease;
		if (lease === undefined || !this.#isActive(now) || lease.fencing !== fencing) {
			return emptyResponse;
		}

		this.#applyReports(borrower, run, request.reports, now);
		const lent = this.#lend(borrower, request, lease, now);
		return {...emptyResponse, ...lent, level: this.#buckets.get(team)?.level(now) ?? 0};
	}

	/** Applies reports on loans that were made under the current lease; others are ignored. */
	report(borrower: NodeId, {fencing, run, reports}: LoanReports, now: number): void {
		if (this.#isActive(now) && this.#lease?.fencing === fencing) {
			this.#applyReports(borrower, run, reports, now);
		}
	}

	/** Returns the fencing number of the lease if this node may lend now. */
	activeFencing(now: number): FencingNumber | undefined {
		return this.#isActive(now) ? this.#lease?.fencing : undefined;
	}

	#isActive(now: number): boolean {
		const lease = this.#lease;
		return lease !== undefined && now < lease.until && this.#rateLimits.configuration.revision >= lease.revisionAtStart;
	}

	#lend(borrower: NodeId, request: LoanRequest, lease: OwnLease, now: number): {readonly amount: number; readonly durationMilliseconds: number} {
		const bucket = this.#buckets.get(request.team);
		const durationMilliseconds = Math.min(loanDurationMilliseconds, (lease.until - now) / lenderLoanMilliseconds(1));
		if (bucket === undefined || durationMilliseconds <= 0) {
			return {amount: 0, durationMilliseconds: 0};
		}

		const spare = Math.max(0, Math.min(request.ahead, bucket.level(now) - request.amount - (bucket.rateLimit.burst * reserveShareOfBurst)));
		const amount = bucket.lend(loanKey(borrower, request.run, request.loan), request.amount + spare, now + lenderLoanMilliseconds(durationMilliseconds), now);
		return {amount, durationMilliseconds};
	}

	#applyReports(borrower: NodeId, run: number, reports: readonly LoanReport[], now: number): void {
		for (const report of reports) {
			this.#buckets.get(report.team)?.report(loanKey(borrower, run, report.loan), report, now);
		}
	}

	#createMissingBuckets(now: number): void {
		this.#hasCreatedBuckets = true;
		for (const team of this.#rateLimits.configuration.teams.keys()) {
			if (!this.#buckets.has(team)) {
				this.#buckets.set(team, new TokenBucket(this.#rateLimits.own(team), now));
			}
		}
	}

	#fillNewBuckets(now: number): void {
		for (const [team, revision] of this.#pendingFills) {
			if (this.#lease !== undefined && this.#lease.majorityRevision >= revision) {
				this.#buckets.get(team)?.fill(now);
				this.#pendingFills.delete(team);
			}
		}
	}
}

function loanKey(borrower: NodeId, run: number, loan: number): string {
	return `${borrower} ${run} ${loan}`;
}
