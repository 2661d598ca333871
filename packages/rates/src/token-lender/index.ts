/**
The holder's part of a rate keeper: it lends from its domain's buckets while it
has the lease.

No loan outlives the lease under which it was made, so that the next holder
knows that nothing is lent when its own lease begins. It starts empty.
*/

import type {
	FailureDomain, FencingNumber, NodeId, Revision, TeamName,
} from '@fireflyglade/model';
import {heldMilliseconds, loanMilliseconds, reserveShare} from '../_lib/constants.js';
import type {
	Ask, Grant, LoanReport, Report,
} from '../_lib/messages.js';
import type {DomainRateLimits} from '../domain-rate-limits/index.js';
import {TokenBucket} from '../token-bucket/index.js';
import type {OwnLease} from '../types.js';

/** Lends a domain's tokens. */
export class TokenLender {
	readonly #domain: FailureDomain;
	readonly #book: DomainRateLimits;
	readonly #buckets = new Map<TeamName, TokenBucket>();
	/** Teams that were created under this lease, to be filled once a majority of the witnesses know the revision. */
	readonly #toFill = new Map<TeamName, Revision>();
	#lease?: OwnLease;
	/** True once this node has lent, or could have, under the lease. */
	#hasBegun = false;

	constructor(domain: FailureDomain, book: DomainRateLimits) {
		this.#domain = domain;
		this.#book = book;
	}

	/** Begins, extends or ends the lease; a lease with another fencing number begins with empty buckets. */
	setLease(lease: OwnLease | undefined, now: number): void {
		const goesOn = lease !== undefined && this.#lease?.fencing === lease.fencing && now < this.#lease.until;
		if (!goesOn) {
			this.#buckets.clear();
			this.#toFill.clear();
			this.#hasBegun = false;
		}

		this.#lease = lease;
		if (!this.#isActive(now)) {
			return;
		}

		this.#createBuckets(now);
		this.#fillCreated(now);
	}

	/** Takes over what the book says now; `created` are teams that the earlier configuration did not have. */
	applyBook(created: readonly TeamName[], now: number): void {
		const isActive = this.#isActive(now);
		for (const team of isActive && this.#hasBegun ? created : []) {
			if (!this.#buckets.has(team)) {
				this.#toFill.set(team, this.#book.configuration.revision);
			}
		}

		for (const [team, bucket] of this.#buckets) {
			bucket.setEntitlement(this.#book.own(team), now);
		}

		if (isActive) {
			this.#createBuckets(now);
			this.#fillCreated(now);
		}
	}

	/** Answers a request for a loan; the answer is 0 if this node isn't the holder that was meant. */
	answer(borrower: NodeId, ask: Ask, now: number): Grant {
		const {fencing, run, team, loan} = ask;
		const nothing: Grant = {
			kind: 'grant', domain: this.#domain, fencing, run, team, loan, amount: 0, durationMilliseconds: 0, level: 0,
		};
		const lease = this.#lease;
		if (lease === undefined || !this.#isActive(now) || lease.fencing !== fencing) {
			return nothing;
		}

		this.#takeReports(borrower, run, ask.reports, now);
		const lent = this.#lend(borrower, ask, lease, now);
		return {...nothing, ...lent, level: this.#buckets.get(team)?.level(now) ?? 0};
	}

	/** Takes over reports on loans. */
	report(borrower: NodeId, {fencing, run, reports}: Report, now: number): void {
		if (this.#isActive(now) && this.#lease?.fencing === fencing) {
			this.#takeReports(borrower, run, reports, now);
		}
	}

	/** Fencing number of the lease, if this node may lend now. */
	activeFencing(now: number): FencingNumber | undefined {
		return this.#isActive(now) ? this.#lease?.fencing : undefined;
	}

	#isActive(now: number): boolean {
		const lease = this.#lease;
		return lease !== undefined && now < lease.until && this.#book.configuration.revision >= lease.revisionAtStart;
	}

	#lend(borrower: NodeId, ask: Ask, lease: OwnLease, now: number): {readonly amount: number; readonly durationMilliseconds: number} {
		const bucket = this.#buckets.get(ask.team);
		const durationMilliseconds = Math.min(loanMilliseconds, (lease.until - now) / heldMilliseconds(1));
		if (bucket === undefined || durationMilliseconds <= 0) {
			return {amount: 0, durationMilliseconds: 0};
		}

		const spare = Math.max(0, Math.min(ask.ahead, bucket.level(now) - ask.amount - (bucket.entitlement.burst * reserveShare)));
		const amount = bucket.lend(loanKey(borrower, ask.run, ask.loan), ask.amount + spare, now + heldMilliseconds(durationMilliseconds), now);
		return {amount, durationMilliseconds};
	}

	#takeReports(borrower: NodeId, run: number, reports: readonly LoanReport[], now: number): void {
		for (const report of reports) {
			this.#buckets.get(report.team)?.report(loanKey(borrower, run, report.loan), report, now);
		}
	}

	#createBuckets(now: number): void {
		this.#hasBegun = true;
		for (const team of this.#book.configuration.teams.keys()) {
			if (!this.#buckets.has(team)) {
				this.#buckets.set(team, new TokenBucket(this.#book.own(team), now));
			}
		}
	}

	#fillCreated(now: number): void {
		for (const [team, revision] of this.#toFill) {
			if (this.#lease !== undefined && this.#lease.majorityRevision >= revision) {
				this.#buckets.get(team)?.fill(now);
				this.#toFill.delete(team);
			}
		}
	}
}

function loanKey(borrower: NodeId, run: number, loan: number): string {
	return `${borrower} ${run} ${loan}`;
}
