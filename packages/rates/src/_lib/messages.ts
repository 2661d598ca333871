/**
Messages between the rate limiters of nodes. Amounts are in microtokens.

Property names and kinds are sent as they are, so they must not be renamed.
*/

import type {FailureDomain, FencingNumber, TeamName} from '@fireflyglade/model';

/** Cumulative use of a loan. Every amount only rises, so that applying a report is idempotent. */
export type LoanReport = {
	readonly team: TeamName;
	/** Number of the loan, unique within the borrower's run. */
	readonly loan: number;
	readonly spent: number;
	readonly returned: number;
	/** Amount that was reported as spent and later refunded, as the request did not run. */
	readonly refunded: number;
};

/** Asks a lease holder for a loan of tokens. */
export type LoanRequest = {
	readonly kind: 'ask';
	readonly fencing: FencingNumber;
	/** Number of the run of the borrower's process. */
	readonly run: number;
	readonly team: TeamName;
	readonly loan: number;
	/** Amount that waiting requests need. */
	readonly amount: number;
	/** Amount to borrow ahead; it is lent only from what exceeds the bucket's reserve. */
	readonly ahead: number;
	readonly reports: readonly LoanReport[];
};

/** The response to a loan request; `amount` is 0 if the bucket is empty, or if the responding node does not have the lease with the request's fencing number. */
export type LoanResponse = {
	readonly kind: 'grant';
	readonly domain: FailureDomain;
	readonly fencing: FencingNumber;
	readonly run: number;
	readonly team: TeamName;
	readonly loan: number;
	readonly amount: number;
	readonly durationMilliseconds: number;
	/** Level of the team's bucket at the lease holder after the loan. */
	readonly level: number;
};

/** Reports the use of loans. */
export type LoanReports = {
	readonly kind: 'report';
	readonly fencing: FencingNumber;
	readonly run: number;
	readonly reports: readonly LoanReport[];
};

/** The payload of a message between rate limiters. */
export type RatePayload = LoanRequest | LoanResponse | LoanReports;
