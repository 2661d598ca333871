/**
Rate limiting of one team at one node: charges requests against borrowed tokens,
and borrows ahead of measured demand.

Charges that find too few tokens start a round of loan requests: first to the lease
holder of the node's own failure domain, then to the others, one at a time. The
charges are refused when no lease holder has tokens left. For a backoff after that no
further round starts, and charges that find too few borrowed tokens are refused at once.
While a lease holder of the node's own domain is expected soon, charges wait for it instead.
*/

import {
	millisecondsInSecond, type FailureDomain, type FencingNumber, type NodeId, type RequestId, type TeamName,
} from '@fireflyglade/model';
import {
	loanRequestTimeoutMilliseconds, chargeTimeoutMilliseconds, initialBackoffMilliseconds, backoffShareOfFillTime, unusedLoanReturnMilliseconds,
	minimumPrefetchTokens, loanDurationMilliseconds, maximumBackoffMilliseconds, holderStartupMilliseconds, missingHolderTimeoutMilliseconds, chargeTimeoutWithoutHolderMilliseconds,
	microtokensInToken, minimumPrefetchDemandPerSecond, prefetchHorizonMilliseconds, prefetchIntervalMilliseconds, prefetchShareOfBurst,
	reportIntervalMilliseconds, reserveShareOfBurst, unreportedShareOfBurst, borrowerLoanMilliseconds,
} from '../_lib/constants.js';
import type {LoanRequest, LoanResponse} from '../_lib/messages.js';
import {DemandAverage} from '../demand-average/index.js';
import type {DomainRateLimits} from '../domain-rate-limits/index.js';
import {LevelEstimates} from '../level-estimates/index.js';
import {type ChargedAmount, type HolderReports, BorrowedTokens} from '../borrowed-tokens/index.js';
import type {ChargeOutcome, HolderView} from '../types.js';

type WaitingCharge = {
	readonly requestId: RequestId;
	readonly since: number;
};

type PendingLoanRequest = {
	readonly loan: number;
	readonly domain: FailureDomain;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly sentAt: number;
	readonly amount: number;
};

/** A decision about a charge, with the amounts charged from each loan. */
export type TeamChargeDecision = {
	readonly requestId: RequestId;
	readonly outcome: ChargeOutcome;
	readonly chargedAmounts: readonly ChargedAmount[];
};

/** What all team rate limiters of a node share. */
export type TeamRateLimiterContext = {
	readonly domain: FailureDomain;
	readonly run: number;
	readonly rateLimits: DomainRateLimits;
	/** Returns the lease holders that may be asked, by failure domain. */
	holders(): ReadonlyMap<FailureDomain, HolderView>;
	/** Records that the domain's lease holder responded. */
	recordResponse(domain: FailureDomain): void;
	/** Records that the domain's lease holder did not respond in time. */
	recordTimeout(domain: FailureDomain, at: number): void;
	nextLoanNumber(): number;
	decide(limiter: TeamRateLimiter, decision: TeamChargeDecision): void;
	send(holder: NodeId, request: LoanRequest): void;
	report(reports: readonly HolderReports[]): void;
};

/** Limits the rate of one team at one node. */
export class TeamRateLimiter {
	readonly #team: TeamName;
	readonly #context: TeamRateLimiterContext;
	readonly #borrowedTokens: BorrowedTokens;
	readonly #levelEstimates = new LevelEstimates();
	readonly #demand: DemandAverage;
	readonly #pendingRequests = new Map<number, PendingLoanRequest>();
	/** Domains whose lease holder lent too little in the current round, or did not respond in time. */
	readonly #triedDomains = new Set<FailureDomain>();
	#waiting: WaitingCharge[] = [];
	/** The loan request that is waited for before another one is sent. */
	#currentRequest?: PendingLoanRequest;
	#backoffUntil = Number.NEGATIVE_INFINITY;
	/** Number of consecutive rounds that ended without a charge admitted. */
	#refusedRounds = 0;
	/** Time at which the node's own domain was first seen without a known lease holder; undefined if it has one. */
	#holderMissingSince: number | undefined;
	/** Time until which the own domain's latest lease holder counts as newly started. */
	#holderStartupUntil = Number.NEGATIVE_INFINITY;
	#prefetchedAt = Number.NEGATIVE_INFINITY;
	#reportedAt: number;

	constructor(team: TeamName, context: TeamRateLimiterContext, now: number) {
		this.#team = team;
		this.#context = context;
		this.#borrowedTokens = new BorrowedTokens(team);
		this.#demand = new DemandAverage(now);
		this.#reportedAt = now;
	}

	get isWaiting(): boolean {
		return this.#waiting.length > 0;
	}

	charge(requestId: RequestId, now: number): void {
		this.#demand.recordCharge(now);
		this.#waiting.push({requestId, since: now});
		this.#serveOrBorrow(now);
	}

	refund(chargedAmounts: readonly ChargedAmount[], now: number): void {
		this.#borrowedTokens.refund(chargedAmounts, now);
		this.#serveOrBorrow(now);
	}

	/** Handles a lease holder's response; an unexpected or repeated response is ignored. */
	receive(response: LoanResponse, now: number): void {
		const request = this.#pendingRequests.get(response.loan);
		if (request?.fencing !== response.fencing || request.domain !== response.domain) {
			return;
		}

		this.#pendingRequests.delete(response.loan);
		this.#levelEstimates.record(response.domain, response.level, now);
		this.#context.recordResponse(response.domain);
		this.#addLoan(request, response, now);
		if (response.amount < request.amount) {
			this.#triedDomains.add(response.domain);
		}

		if (this.#currentRequest === request) {
			this.#currentRequest = undefined;
		}

		this.#serveOrBorrow(now);
	}

	tick(now: number): void {
		const current = this.#currentRequest;
		if (current !== undefined && now - current.sentAt >= loanRequestTimeoutMilliseconds) {
			this.#triedDomains.add(current.domain);
			this.#context.recordTimeout(current.domain, now);
			this.#currentRequest = undefined;
		}

		for (const [loan, request] of this.#pendingRequests) {
			if (now - request.sentAt > loanDurationMilliseconds) {
				this.#pendingRequests.delete(loan);
			}
		}

		const isReturning = this.#borrowedTokens.returnUnused(now - unusedLoanReturnMilliseconds);
		this.#serveOrBorrow(now);
		if (isReturning || reportPeriodOf(now) > reportPeriodOf(this.#reportedAt) || this.#isReportDue()) {
			this.#sendReports(now);
		}
	}

	/** Refuses waiting charges and returns all tokens, when the team is deleted or the node shuts down. */
	close(now: number): void {
		this.#refuseWaiting(() => true, now);
		this.#borrowedTokens.returnUnused(Number.POSITIVE_INFINITY);
		this.#sendReports(now);
	}

	/** Tells whether the unreported amount is so large that it keeps too much of the domain's bucket from refilling. */
	#isReportDue(): boolean {
		const {burst} = this.#context.rateLimits.part(this.#team, this.#context.domain);
		return this.#borrowedTokens.unreportedAmount() > Math.max(microtokensInToken, burst * unreportedShareOfBurst);
	}

	#sendReports(now: number): void {
		this.#reportedAt = now;
		const reports = this.#borrowedTokens.takeReports(now);
		if (reports.length > 0) {
			this.#context.report(reports);
		}
	}

	#addLoan(request: PendingLoanRequest, response: LoanResponse, now: number): void {
		const until = request.sentAt + borrowerLoanMilliseconds(response.durationMilliseconds);
		if (response.amount <= 0 || until <= now) {
			return;
		}

		this.#borrowedTokens.add({
			number: request.loan, domain: request.domain, holder: request.holder, fencing: request.fencing, borrowedAt: now, until,
			remaining: response.amount, spent: 0, spentReported: 0, returned: 0, refunded: 0, hasUnreportedChange: false,
		});
	}

	#serveOrBorrow(now: number): void {
		this.#serveWaiting(now);
		this.#refuseExpired(now);
		if (this.#currentRequest !== undefined) {
			return;
		}

		const needed = (this.#waiting.length * microtokensInToken) - this.#borrowedTokens.available(now);
		if (this.#waiting.length === 0) {
			this.#prefetch(-needed, now);
			return;
		}

		if (now < this.#backoffUntil || this.#isOutOfTokens(now) || !this.#requestLoan(this.#selectDomain(now), needed, this.#prefetchTargetAmount(now), now)) {
			this.#endRoundUnlessHolderIsExpected(now);
		}
	}

	/**
	Ends the round, unless a lease holder is expected soon. A domain has no lease holder
	for the length of a lease after its first witnesses are set, and again after its
	holder is lost. Charges that fit into the burst then wait for the next holder: to
	refuse them would be wrong, as no lease holder has counted tokens for them yet. The
	rest are refused.
	*/
	#endRoundUnlessHolderIsExpected(now: number): void {
		const {burst = 0} = this.#context.rateLimits.configuration.teams.get(this.#team) ?? {};
		if (!this.#isHolderExpected(now)) {
			this.#endRound(now);
			return;
		}

		const fitting = new Set(this.#waiting.slice(0, burst));
		this.#refuseWaiting(waiting => !fitting.has(waiting), now);
		this.#triedDomains.clear();
	}

	/** Tells whether the own domain has been without a known lease holder for a short time only, or its lease holder has just started with empty buckets. It also records when the holder disappears and when a new one appears. */
	#isHolderExpected(now: number): boolean {
		const {holders, domain} = this.#context;
		if (holders().has(domain)) {
			this.#holderStartupUntil = this.#holderMissingSince === undefined ? this.#holderStartupUntil : now + holderStartupMilliseconds;
			this.#holderMissingSince = undefined;
			return now < this.#holderStartupUntil;
		}

		this.#holderMissingSince ??= now;
		return now - this.#holderMissingSince < missingHolderTimeoutMilliseconds;
	}

	#refuseExpired(now: number): void {
		const limit = this.#isHolderExpected(now) ? chargeTimeoutWithoutHolderMilliseconds : chargeTimeoutMilliseconds;
		this.#refuseWaiting(({since}) => now - since >= limit, now);
	}

	#serveWaiting(now: number): void {
		let served = 0;
		for (const {requestId} of this.#waiting) {
			const chargedAmounts = this.#borrowedTokens.spend(now);
			if (chargedAmounts === undefined) {
				break;
			}

			served++;
			this.#context.decide(this, {requestId, outcome: {kind: 'admitted'}, chargedAmounts});
		}

		if (served > 0) {
			this.#refusedRounds = 0;
			this.#waiting = this.#waiting.slice(served);
		}
	}

	#refuseWaiting(isRefused: (waiting: WaitingCharge) => boolean, now: number): void {
		const kept: WaitingCharge[] = [];
		for (const waiting of this.#waiting) {
			if (isRefused(waiting)) {
				this.#context.decide(this, {requestId: waiting.requestId, outcome: this.#createRefusal(now), chargedAmounts: []});
			} else {
				kept.push(waiting);
			}
		}

		this.#waiting = kept;
	}

	/** Returns the backoff, which doubles with each refused round up to a share of the time in which the burst refills, so that no bucket overflows in the meantime. */
	#backoffMilliseconds(): number {
		const {ratePerSecond = 1, burst = 1} = this.#context.rateLimits.configuration.teams.get(this.#team) ?? {};
		const limit = Math.min(maximumBackoffMilliseconds, backoffShareOfFillTime * millisecondsInSecond * burst / ratePerSecond);
		return Math.max(initialBackoffMilliseconds, Math.min(limit, initialBackoffMilliseconds * (2 ** this.#refusedRounds)));
	}

	/** Refuses the waiting charges once no further lease holder can be asked, starts the backoff, and returns fractions of a token for other nodes to use. */
	#endRound(now: number): void {
		this.#triedDomains.clear();
		if (now >= this.#backoffUntil) {
			this.#backoffUntil = now + this.#backoffMilliseconds();
			this.#refusedRounds++;
		}

		this.#refuseWaiting(() => true, now);
		this.#borrowedTokens.returnUnused(Number.POSITIVE_INFINITY);
		this.#sendReports(now);
	}

	/** Borrows ahead if at most half of the target amount is available. As no charge waits, the round is over and the tried domains are cleared. */
	#prefetch(available: number, now: number): void {
		this.#triedDomains.clear();
		const target = this.#prefetchTargetAmount(now);
		const isPaused = now < Math.max(this.#backoffUntil, this.#prefetchedAt + prefetchIntervalMilliseconds);
		if (target > 0 && available <= target / 2 && !isPaused) {
			this.#prefetchedAt = now;
			this.#requestLoan(this.#selectPrefetchDomain(now), 0, target - available, now);
		}
	}

	/** Returns the amount to have available ahead of demand, in microtokens; 0 if the demand or the team's burst is too small. */
	#prefetchTargetAmount(now: number): number {
		const burst = this.#context.rateLimits.configuration.teams.get(this.#team)?.burst ?? 0;
		const limit = Math.floor(burst * prefetchShareOfBurst);
		const demand = this.#demand.perSecond(now);
		if (limit < 1 || demand < minimumPrefetchDemandPerSecond) {
			return 0;
		}

		const wanted = Math.max(minimumPrefetchTokens, Math.ceil(demand * prefetchHorizonMilliseconds / millisecondsInSecond));
		return Math.min(wanted, limit) * microtokensInToken;
	}

	/** Tells whether less than one token is available here and, by the estimates, at all lease holders together. */
	#isOutOfTokens(now: number): boolean {
		let sum = this.#borrowedTokens.available(now);
		for (const domain of this.#context.holders().keys()) {
			sum += this.#estimateLevel(domain, now);
		}

		return sum < microtokensInToken;
	}

	#estimateLevel(domain: FailureDomain, now: number): number {
		return this.#levelEstimates.estimate(domain, this.#context.rateLimits.part(this.#team, domain), now);
	}

	/** Asks a domain's lease holder for `needed` microtokens, and for `ahead` more if its bucket exceeds the reserve; returns false if there is no lease holder to ask. */
	#requestLoan(domain: FailureDomain | undefined, needed: number, ahead: number, now: number): boolean {
		const view = domain === undefined ? undefined : this.#context.holders().get(domain);
		if (domain === undefined || view === undefined) {
			return false;
		}

		const loan = this.#context.nextLoanNumber();
		const {holder, fencing} = view;
		const pending: PendingLoanRequest = {
			loan, domain, holder, fencing, sentAt: now, amount: Math.ceil(needed),
		};
		this.#pendingRequests.set(loan, pending);
		this.#currentRequest = pending;
		const reports = this.#borrowedTokens.takeReports(now, holder).filter(report => report.fencing === fencing).flatMap(report => report.reports);
		this.#context.send(holder, {
			kind: 'ask', fencing, run: this.#context.run, team: this.#team, loan, amount: pending.amount, ahead: Math.ceil(ahead), reports,
		});
		return true;
	}

	/**
	Selects the domain to ask next among those not tried in this round: the own domain if
	its estimated level is at least a tenth of a token, otherwise the domain with the
	highest estimated level. Returns undefined if no domain has an estimated level above 0.
	*/
	#selectDomain(now: number): FailureDomain | undefined {
		const {domain: own} = this.#context;
		const holders = this.#context.holders();
		if (holders.has(own) && !this.#triedDomains.has(own) && this.#estimateLevel(own, now) >= microtokensInToken / 10) {
			return own;
		}

		let best: FailureDomain | undefined;
		let most = 0;
		for (const domain of holders.keys()) {
			const estimate = this.#triedDomains.has(domain) ? 0 : this.#estimateLevel(domain, now);
			if (estimate > most) {
				most = estimate;
				best = domain;
			}
		}

		return best;
	}

	/** Selects a domain whose estimated level exceeds the reserve by a token, the own domain first. */
	#selectPrefetchDomain(now: number): FailureDomain | undefined {
		const {domain: own, rateLimits} = this.#context;
		const holders = this.#context.holders();
		for (const domain of holders.has(own) ? [own, ...holders.keys()] : holders.keys()) {
			const reserve = rateLimits.part(this.#team, domain).burst * reserveShareOfBurst;
			if (this.#estimateLevel(domain, now) >= reserve + microtokensInToken) {
				return domain;
			}
		}

		return undefined;
	}

	#createRefusal(now: number): ChargeOutcome {
		const rate = this.#context.rateLimits.configuration.teams.get(this.#team)?.ratePerSecond ?? 0;
		const untilToken = rate > 0 ? Math.ceil(millisecondsInSecond / rate) : millisecondsInSecond;
		const untilBackoffEnds = Math.ceil(Math.max(0, this.#backoffUntil - now));
		return {kind: 'refused', retryAfterMilliseconds: Math.max(1, untilToken, untilBackoffEnds)};
	}
}

/** Returns the number of the reporting period; the periods of all teams begin together, so that their reports are sent in one batch. */
function reportPeriodOf(now: number): number {
	return Math.floor(now / reportIntervalMilliseconds);
}
