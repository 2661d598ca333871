/**
The tokens of one team that a node has borrowed.

A token is taken from the loans that end first; a request may be charged parts
of several. Counts of each loan only rise, so that reports can be repeated.
*/

import type {
	FailureDomain, FencingNumber, NodeId, TeamName,
} from '@fireflyglade/model';
import type {LoanReport} from '../_lib/messages.js';
import {partsInToken} from '../_lib/constants.js';

/** A loan as its borrower knows it; amounts in parts of a token. */
export type BorrowedLoan = {
	readonly number: number;
	readonly domain: FailureDomain;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly takenAt: number;
	/** Milliseconds of this node's clock until which the tokens may be used. */
	readonly until: number;
	remaining: number;
	spent: number;
	spentReported: number;
	returned: number;
	refunded: number;
	isDirty: boolean;
};

/** What a request was charged of one loan. */
export type ChargedPart = {
	readonly loan: BorrowedLoan;
	readonly amount: number;
};

/** Reports for one holder. */
export type HolderReports = {
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly reports: LoanReport[];
};

/** The loans of one team. */
export class BorrowedTokens {
	readonly #team: TeamName;
	#loans: BorrowedLoan[] = [];

	constructor(team: TeamName) {
		this.#team = team;
	}

	add(loan: BorrowedLoan): void {
		this.#loans.push(loan);
		this.#loans.sort((first, second) => first.until - second.until);
	}

	/** Parts of a token that can be spent now. */
	available(now: number): number {
		let sum = 0;
		for (const loan of this.#loans) {
			if (now < loan.until) {
				sum += loan.remaining;
			}
		}

		return sum;
	}

	/** Spends one token; returns what it was made of, or undefined if there is less than one. */
	spend(now: number): readonly ChargedPart[] | undefined {
		if (this.available(now) < partsInToken) {
			return undefined;
		}

		const parts: ChargedPart[] = [];
		let needed = partsInToken;
		for (const loan of this.#loans) {
			const amount = now < loan.until ? Math.min(loan.remaining, needed) : 0;
			if (amount > 0) {
				loan.remaining -= amount;
				loan.spent += amount;
				loan.isDirty = true;
				needed -= amount;
				parts.push({loan, amount});
			}

			if (needed === 0) {
				break;
			}
		}

		return parts;
	}

	/**
	Gives back what a request was charged. What was not yet reported as spent can be
	spent again here, as the lender still counts it as lent; the rest goes to the lender.
	*/
	refund(parts: readonly ChargedPart[], now: number): void {
		for (const {loan, amount} of parts) {
			if (now >= loan.until) {
				continue;
			}

			const unreported = Math.min(amount, loan.spent - loan.spentReported);
			loan.spent -= unreported;
			loan.remaining += unreported;
			loan.refunded += amount - unreported;
			loan.isDirty = true;
		}
	}

	/** Parts of a token that no report has told the lenders of. */
	unreported(): number {
		let sum = 0;
		for (const loan of this.#loans) {
			sum += loan.spent - loan.spentReported;
		}

		return sum;
	}

	/** Stops using what is left of loans taken before `before`, so that the next reports return it; returns true if there was any. */
	giveBack(before: number): boolean {
		let hasReturned = false;
		for (const loan of this.#loans) {
			if (loan.takenAt < before && loan.remaining > 0) {
				loan.returned += loan.remaining;
				loan.remaining = 0;
				loan.isDirty = true;
				hasReturned = true;
			}
		}

		return hasReturned;
	}

	/** Writes what is new for each holder, or for one alone, and drops loans that have ended. */
	takeReports(now: number, only?: NodeId): HolderReports[] {
		const byHolder = new Map<string, HolderReports>();
		for (const loan of this.#loans) {
			if (!loan.isDirty || (only !== undefined && loan.holder !== only)) {
				continue;
			}

			const key = `${loan.holder} ${loan.fencing}`;
			const reports = byHolder.get(key) ?? {holder: loan.holder, fencing: loan.fencing, reports: []};
			reports.reports.push(this.#report(loan));
			byHolder.set(key, reports);
		}

		this.#loans = this.#loans.filter(loan => now < loan.until);
		return [...byHolder.values()];
	}

	#report(loan: BorrowedLoan): LoanReport {
		loan.isDirty = false;
		loan.spentReported = loan.spent;
		const {number, spent, returned, refunded} = loan;
		return {
			team: this.#team, loan: number, spent, returned, refunded,
		};
	}
}
