/**
The token bucket of one team at the lease holder of a failure domain.

Nodes spend tokens that the bucket has lent them. Lent tokens count against the
capacity until they are reported as spent, returned, or their loan expires. So
the unspent tokens here and at the borrowers together never exceed the burst, and
no window spends more than burst plus rate times its length.
*/

import {maximumClockDrift, millisecondsInSecond} from '@fireflyglade/model';
import {expiryIntervalMilliseconds} from '../_lib/constants.js';
import type {LoanReport} from '../_lib/messages.js';

/** A domain's part of a team's rate and burst, in microtokens. */
export type RateLimit = {
	readonly ratePerSecond: number;
	readonly burst: number;
};

type Loan = {
	readonly amount: number;
	readonly until: number;
	spent: number;
	returned: number;
	refunded: number;
};

/** A token bucket that lends its tokens for a limited time. */
export class TokenBucket {
	readonly #loans = new Map<string, Loan>();
	#rateLimit: RateLimit;
	#level = 0;
	#lent = 0;
	#refilledAt: number;
	#earliestExpiry = Number.POSITIVE_INFINITY;

	/** Creates an empty bucket. */
	constructor(rateLimit: RateLimit, now: number) {
		this.#rateLimit = rateLimit;
		this.#refilledAt = now;
	}

	get rateLimit(): RateLimit {
		return this.#rateLimit;
	}

	/** Applies a new rate limit; tokens beyond the new burst are discarded. */
	setRateLimit(rateLimit: RateLimit, now: number): void {
		this.#advanceTo(now);
		this.#rateLimit = rateLimit;
		this.#capLevel();
	}

	/** Fills the bucket up to the burst less the lent tokens. */
	fill(now: number): void {
		this.#advanceTo(now);
		this.#level = Number.POSITIVE_INFINITY;
		this.#capLevel();
	}

	/** Returns what can be lent now, in whole microtokens. */
	level(now: number): number {
		this.#advanceTo(now);
		return Math.floor(this.#level);
	}

	/** Lends up to `amount` under a key until `until`, and returns the amount lent. It returns 0 if the key already has a loan. */
	lend(key: string, amount: number, until: number, now: number): number {
		const granted = Math.min(Math.floor(amount), this.level(now));
		if (granted <= 0 || until <= now || this.#loans.has(key)) {
			return 0;
		}

		this.#level -= granted;
		this.#lent += granted;
		this.#earliestExpiry = Math.min(this.#earliestExpiry, until);
		this.#loans.set(key, {
			amount: granted, until, spent: 0, returned: 0, refunded: 0,
		});
		return granted;
	}

	/** Applies a report on the use of a loan; a report on an unknown loan, such as an expired one, is ignored. */
	report(key: string, report: LoanReport, now: number): void {
		this.#advanceTo(now);
		const loan = this.#loans.get(key);
		if (loan === undefined) {
			return;
		}

		const before = outstanding(loan);
		const returnedBefore = loan.returned;
		const refundedBefore = loan.refunded;
		loan.spent = Math.max(loan.spent, Math.min(report.spent, loan.amount - loan.returned));
		loan.returned = Math.max(loan.returned, Math.min(report.returned, loan.amount - loan.spent));
		loan.refunded = Math.max(loan.refunded, Math.min(report.refunded, loan.spent));
		this.#lent += outstanding(loan) - before;
		this.#level += loan.returned - returnedBefore + loan.refunded - refundedBefore;
		this.#capLevel();
	}

	/** Adds the tokens of the elapsed time, at the rate less the maximum clock drift as this node's clock may run fast, and expires loans. */
	#advanceTo(now: number): void {
		const elapsed = Math.max(0, now - this.#refilledAt);
		this.#refilledAt = Math.max(now, this.#refilledAt);
		this.#level += elapsed * this.#rateLimit.ratePerSecond * (1 - maximumClockDrift) / millisecondsInSecond;
		this.#capLevel();
		if (this.#earliestExpiry + expiryIntervalMilliseconds <= now) {
			this.#expireLoans(now);
		}
	}

	#capLevel(): void {
		this.#level = Math.min(this.#level, Math.max(0, this.#rateLimit.burst - this.#lent));
	}

	/** Removes expired loans; their outstanding tokens count as spent. */
	#expireLoans(now: number): void {
		this.#earliestExpiry = Number.POSITIVE_INFINITY;
		for (const [key, loan] of this.#loans) {
			if (loan.until <= now) {
				this.#lent -= outstanding(loan);
				this.#loans.delete(key);
			} else {
				this.#earliestExpiry = Math.min(this.#earliestExpiry, loan.until);
			}
		}
	}
}

function outstanding(loan: Loan): number {
	return loan.amount - loan.spent - loan.returned;
}
