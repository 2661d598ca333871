/**
The tokens of one team that a node has borrowed.

The loans that end first are spent first; the token of one request may come from
several loans. The reported amounts of a loan only rise, so that reports can be
repeated.
*/

import type {
	FailureDomain, FencingNumber, NodeId, TeamName,
} from '@fireflyglade/model';
import type {LoanReport} from '../_lib/messages.js';
import {microtokensInToken} from '../_lib/constants.js';

/** A loan of tokens at its borrower; amounts in microtokens. */
export type BorrowedLoan = {
	readonly number: number;
	readonly domain: FailureDomain;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly borrowedAt: number;
	/** Monotonic milliseconds of this node until which the tokens may be spent. */
	readonly until: number;
	remaining: number;
	spent: number;
	spentReported: number;
	returned: number;
	refunded: number;
	hasUnreportedChange: boolean;
};

/** The amount that a request was charged from one loan. */
export type ChargedAmount = {
	readonly loan: BorrowedLoan;
	readonly amount: number;
};

/** Reports for one lease holder. */
export type HolderReports = {
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly reports: LoanReport[];
};

/** The loans of one team at one node. */
export class BorrowedTokens {
	readonly #team: TeamName;
	#loans: BorrowedLoan[] = [];

	constructor(team: TeamName) {
		this.#team = team;
	}

	/** Adds a loan, keeping the loans ordered by their end. */
	add(loan: BorrowedLoan): void {
		this.#loans.push(loan);
		this.#loans.sort((first, second) => first.until - second.until);
	}

	/** Returns the amount that can be spent now, in microtokens. */
	available(now: number): number {
		let sum = 0;
		for (const loan of this.#loans) {
			if (now < loan.until) {
				sum += loan.remaining;
			}
		}

		return sum;
	}

	/** Spends one token and returns the amounts taken from each loan, or undefined if less than one token is available. */
	spend(now: number): readonly ChargedAmount[] | undefined {
		if (this.available(now) < microtokensInToken) {
			return undefined;
		}

		const chargedAmounts: ChargedAmount[] = [];
		let needed = microtokensInToken;
		for (const loan of this.#loans) {
			const amount = now < loan.until ? Math.min(loan.remaining, needed) : 0;
			if (amount > 0) {
				loan.remaining -= amount;
				loan.spent += amount;
				loan.hasUnreportedChange = true;
				needed -= amount;
				chargedAmounts.push({loan, amount});
			}

			if (needed === 0) {
				break;
			}
		}

		return chargedAmounts;
	}

	/**
	Refunds what a request was charged. An amount that is not yet reported as spent can
	be spent again here, as the lender still counts it as lent; the rest is reported to
	the lender as refunded.
	*/
	refund(chargedAmounts: readonly ChargedAmount[], now: number): void {
		for (const {loan, amount} of chargedAmounts) {
			if (now >= loan.until) {
				continue;
			}

			const unreported = Math.min(amount, loan.spent - loan.spentReported);
			loan.spent -= unreported;
			loan.remaining += unreported;
			loan.refunded += amount - unreported;
			loan.hasUnreportedChange = true;
		}
	}

	/** Returns the amount that is spent but not yet reported, in microtokens. */
	unreportedAmount(): number {
		let sum = 0;
		for (const loan of this.#loans) {
			sum += loan.spent - loan.spentReported;
		}

		return sum;
	}

	/** Marks what is left of loans borrowed before `before` as returned, so that the next reports return it; returns true if anything was left. */
	returnUnused(before: number): boolean {
		let hasReturned = false;
		for (const loan of this.#loans) {
			if (loan.borrowedAt < before && loan.remaining > 0) {
				loan.returned += loan.remaining;
				loan.remaining = 0;
				loan.hasUnreportedChange = true;
				hasReturned = true;
			}
		}

		return hasReturned;
	}

	/** Creates the reports on all changed loans, or on those of the lease holder `only`, and drops loans that have ended. */
	takeReports(now: number, only?: NodeId): HolderReports[] {
		const byHolder = new Map<string, HolderReports>();
		for (const loan of this.#loans) {
			if (!loan.hasUnreportedChange || (only !== undefined && loan.holder !== only)) {
				continue;
			}

			const key = `${loan.holder} ${loan.fencing}`;
			const reports = byHolder.get(key) ?? {holder: loan.holder, fencing: loan.fencing, reports: []};
			reports.reports.push(this.#createReport(loan));
			byHolder.set(key, reports);
		}

		this.#loans = this.#loans.filter(loan => now < loan.until);
		return [...byHolder.values()];
	}

	#createReport(loan: BorrowedLoan): LoanReport {
		loan.hasUnreportedChange = false;
		loan.spentReported = loan.spent;
		const {number, spent, returned, refunded} = loan;
		return {
			team: this.#team, loan: number, spent, returned, refunded,
		};
	}
}
