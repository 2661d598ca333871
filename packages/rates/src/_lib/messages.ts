/**
Messages between rate keepers. Amounts are in parts of a token.
*/

import type {FailureDomain, FencingNumber, TeamName} from '@fireflyglade/model';

/** What became of a loan so far; every count only rises, so that a repeated report changes nothing. */
export type LoanReport = {
	readonly team: TeamName;
	/** Number of the loan at the borrower. */
	readonly loan: number;
	readonly spent: number;
	readonly returned: number;
	/** Spent and reported, but given back, as the request did not run. */
	readonly refunded: number;
};

/** Asks a holder for a loan. */
export type Ask = {
	readonly kind: 'ask';
	readonly fencing: FencingNumber;
	/** Number of the borrower's run. */
	readonly run: number;
	readonly team: TeamName;
	readonly loan: number;
	/** What waiting requests need. */
	readonly amount: number;
	/** What the node would borrow ahead; it is lent only while the bucket is well filled. */
	readonly ahead: number;
	readonly reports: readonly LoanReport[];
};

/** A holder's answer; `amount` is 0 if it has nothing to lend. */
export type Grant = {
	readonly kind: 'grant';
	readonly domain: FailureDomain;
	readonly fencing: FencingNumber;
	readonly run: number;
	readonly team: TeamName;
	readonly loan: number;
	readonly amount: number;
	readonly durationMilliseconds: number;
	/** What the holder has left. */
	readonly level: number;
};

/** Reports on loans. */
export type Report = {
	readonly kind: 'report';
	readonly fencing: FencingNumber;
	readonly run: number;
	readonly reports: readonly LoanReport[];
};

/** The payload of a message between rate keepers. */
export type RatePayload = Ask | Grant | Report;
