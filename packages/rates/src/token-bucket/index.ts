/**
The bucket of one team at the holder of a failure domain.

What is lent still counts against the capacity until it is reported spent,
returned, or has expired. So what stands unspent here and at borrowers together
never exceeds the burst, and no window spends more than burst plus rate times
its length.
*/

import {maximumClockDrift, millisecondsInSecond} from '@fireflyglade/model';
import {expiryIntervalMilliseconds} from '../_lib/constants.js';
import type {LoanReport} from '../_lib/messages.js';

/** A domain's part of a team's rate and burst, in parts of a token. */
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

/** A token bucket that lends. */
export class TokenBucket {
	readonly #loans = new Map<string, Loan>();
	#entitlement: RateLimit;
	#level = 0;
	#out = 0;
	#refilledAt: number;
	#earliestEnd = Number.POSITIVE_INFINITY;

	/** The bucket starts empty. */
	constructor(entitlement: RateLimit, now: number) {
		this.#entitlement = entitlement;
		this.#refilledAt = now;
	}

	get entitlement(): RateLimit {
		return this.#entitlement;
	}

	/** Takes over a new entitlement; what the old one allowed beyond it is no longer lent. */
	setEntitlement(entitlement: RateLimit, now: number): void {
		this.#advance(now);
		this.#entitlement = entitlement;
		this.#capLevel();
	}

	/** Fills the bucket as far as what is lent leaves room. */
	fill(now: number): void {
		this.#advance(now);
		this.#level = Number.POSITIVE_INFINITY;
		this.#capLevel();
	}

	/** What can be lent now, in whole parts. */
	level(now: number): number {
		this.#advance(now);
		return Math.floor(this.#level);
	}

	/** Lends up to `amount` under a key until `until`, and returns how much; a key is served once. */
	lend(key: string, amount: number, until: number, now: number): number {
		const granted = Math.min(Math.floor(amount), this.level(now));
		if (granted <= 0 || until <= now || this.#loans.has(key)) {
			return 0;
		}

		this.#level -= granted;
		this.#out += granted;
		this.#earliestEnd = Math.min(this.#earliestEnd, until);
		this.#loans.set(key, {
			amount: granted, until, spent: 0, returned: 0, refunded: 0,
		});
		return granted;
	}

	/** Takes over a report on a loan; one on a loan that has ended changes nothing. */
	report(key: string, report: LoanReport, now: number): void {
		this.#advance(now);
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
		this.#out += outstanding(loan) - before;
		this.#level += loan.returned - returnedBefore + loan.refunded - refundedBefore;
		this.#capLevel();
	}

	#advance(now: number): void {
		const elapsed = Math.max(0, now - this.#refilledAt);
		this.#refilledAt = Math.max(now, this.#refilledAt);
		this.#level += elapsed * this.#entitlement.ratePerSecond * (1 - maximumClockDrift) / millisecondsInSecond;
		this.#capLevel();
		if (this.#earliestEnd + expiryIntervalMilliseconds <= now) {
			this.#expire(now);
		}
	}

	#capLevel(): void {
		this.#level = Math.min(this.#level, Math.max(0, this.#entitlement.burst - this.#out));
	}

	#expire(now: number): void {
		this.#earliestEnd = Number.POSITIVE_INFINITY;
		for (const [key, loan] of this.#loans) {
			if (loan.until <= now) {
				this.#out -= outstanding(loan);
				this.#loans.delete(key);
			} else {
				this.#earliestEnd = Math.min(this.#earliestEnd, loan.until);
			}
		}
	}
}

function outstanding(loan: Loan): number {
	return loan.amount - loan.spent - loan.returned;
}
