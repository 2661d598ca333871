/**
The spender's part of a rate keeper for one team: it charges requests against
borrowed tokens, borrows ahead of measured demand, and asks the holder of its
domain, then the others, before it refuses.
*/

import {
	millisecondsInSecond, type FailureDomain, type FencingNumber, type NodeId, type RequestId, type TeamName,
} from '@fireflyglade/model';
import {
	askTimeoutMilliseconds, chargeTimeoutMilliseconds, dryMilliseconds, dryShareOfFilling, idleLoanMilliseconds,
	leastPrefetchTokens, loanMilliseconds, longestDryMilliseconds, holderStartMilliseconds, missingHolderPatienceMilliseconds, missingHolderWaitMilliseconds,
	partsInToken, prefetchDemandPerSecond, prefetchMilliseconds, prefetchPauseMilliseconds, prefetchShareOfBurst,
	reportMilliseconds, reserveShare, unreportedShare, usableMilliseconds,
} from '../_lib/constants.js';
import type {Ask, Grant} from '../_lib/messages.js';
import {DemandAverage} from '../demand-average/index.js';
import type {DomainRateLimits} from '../domain-rate-limits/index.js';
import {LevelEstimates} from '../level-estimates/index.js';
import {type ChargedPart, type HolderReports, BorrowedTokens} from '../borrowed-tokens/index.js';
import type {ChargeOutcome, HolderView} from '../types.js';

type Waiting = {
	readonly requestId: RequestId;
	readonly since: number;
};

type PendingAsk = {
	readonly loan: number;
	readonly domain: FailureDomain;
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly sentAt: number;
	readonly amount: number;
};

/** A decision about a charge, with what it was charged. */
export type TeamChargeDecision = {
	readonly requestId: RequestId;
	readonly outcome: ChargeOutcome;
	readonly parts: readonly ChargedPart[];
};

/** What the accounts of a node share. */
export type TeamRateLimiterContext = {
	readonly domain: FailureDomain;
	readonly run: number;
	readonly book: DomainRateLimits;
	holders(): ReadonlyMap<FailureDomain, HolderView>;
	/** The domain's holder answered. */
	noteAnswer(domain: FailureDomain): void;
	/** The domain's holder gave no answer in time. */
	noteSilence(domain: FailureDomain, at: number): void;
	nextLoan(): number;
	decide(account: TeamRateLimiter, decision: TeamChargeDecision): void;
	send(holder: NodeId, ask: Ask): void;
	report(reports: readonly HolderReports[]): void;
};

/** One team at one node. */
export class TeamRateLimiter {
	readonly #team: TeamName;
	readonly #context: TeamRateLimiterContext;
	readonly #purse: BorrowedTokens;
	readonly #estimates = new LevelEstimates();
	readonly #demand: DemandAverage;
	readonly #pending = new Map<number, PendingAsk>();
	readonly #tried = new Set<FailureDomain>();
	#waiting: Waiting[] = [];
	/** The request that the round waits for. */
	#current?: PendingAsk;
	#dryUntil = Number.NEGATIVE_INFINITY;
	/** Rounds in a row that ended empty. */
	#dryRounds = 0;
	/** Since when the own domain has had no known holder, as far as charges saw it. */
	#holderMissingSince: number | undefined;
	/** Until when the holder that came last is taken for one that has just started. */
	#holderStartsUntil = Number.NEGATIVE_INFINITY;
	#prefetchedAt = Number.NEGATIVE_INFINITY;
	#reportedAt: number;

	constructor(team: TeamName, context: TeamRateLimiterContext, now: number) {
		this.#team = team;
		this.#context = context;
		this.#purse = new BorrowedTokens(team);
		this.#demand = new DemandAverage(now);
		this.#reportedAt = now;
	}

	get isWaiting(): boolean {
		return this.#waiting.length > 0;
	}

	charge(requestId: RequestId, now: number): void {
		this.#demand.note(now);
		this.#waiting.push({requestId, since: now});
		this.#proceed(now);
	}

	refund(parts: readonly ChargedPart[], now: number): void {
		this.#purse.refund(parts, now);
		this.#proceed(now);
	}

	/** Takes a holder's answer; one that was never asked for, or came before, changes nothing. */
	receive(grant: Grant, now: number): void {
		const ask = this.#pending.get(grant.loan);
		if (ask?.fencing !== grant.fencing || ask.domain !== grant.domain) {
			return;
		}

		this.#pending.delete(grant.loan);
		this.#estimates.note(grant.domain, grant.level, now);
		this.#context.noteAnswer(grant.domain);
		this.#borrow(ask, grant, now);
		if (grant.amount < ask.amount) {
			this.#tried.add(grant.domain);
		}

		if (this.#current === ask) {
			this.#current = undefined;
		}

		this.#proceed(now);
	}

	tick(now: number): void {
		const current = this.#current;
		if (current !== undefined && now - current.sentAt >= askTimeoutMilliseconds) {
			this.#tried.add(current.domain);
			this.#context.noteSilence(current.domain, now);
			this.#current = undefined;
		}

		for (const [loan, ask] of this.#pending) {
			if (now - ask.sentAt > loanMilliseconds) {
				this.#pending.delete(loan);
			}
		}

		const isReturning = this.#purse.giveBack(now - idleLoanMilliseconds);
		this.#proceed(now);
		if (isReturning || periodOf(now) > periodOf(this.#reportedAt) || this.#isReportDue()) {
			this.#sendReports(now);
		}
	}

	/** Refuses what waits and gives everything back, as the team is gone or the node shuts down. */
	close(now: number): void {
		this.#refuseWaiting(() => true, now);
		this.#purse.giveBack(Number.POSITIVE_INFINITY);
		this.#sendReports(now);
	}

	/** True if what is spent but not reported takes too much of the room for new tokens. */
	#isReportDue(): boolean {
		const {burst} = this.#context.book.part(this.#team, this.#context.domain);
		return this.#purse.unreported() > Math.max(partsInToken, burst * unreportedShare);
	}

	#sendReports(now: number): void {
		this.#reportedAt = now;
		const reports = this.#purse.takeReports(now);
		if (reports.length > 0) {
			this.#context.report(reports);
		}
	}

	#borrow(ask: PendingAsk, grant: Grant, now: number): void {
		const until = ask.sentAt + usableMilliseconds(grant.durationMilliseconds);
		if (grant.amount <= 0 || until <= now) {
			return;
		}

		this.#purse.add({
			number: ask.loan, domain: ask.domain, holder: ask.holder, fencing: ask.fencing, takenAt: now, until,
			remaining: grant.amount, spent: 0, spentReported: 0, returned: 0, refunded: 0, isDirty: false,
		});
	}

	#proceed(now: number): void {
		this.#serveWaiting(now);
		this.#refuseOverdue(now);
		if (this.#current !== undefined) {
			return;
		}

		const needed = (this.#waiting.length * partsInToken) - this.#purse.available(now);
		if (this.#waiting.length === 0) {
			this.#prefetch(-needed, now);
			return;
		}

		if (now < this.#dryUntil || this.#isHopeless(now) || !this.#askDomain(this.#nextDomain(now), needed, this.#prefetchTarget(now), now)) {
			this.#endRoundUnlessHolderIsDue(now);
		}
	}

	/**
	A domain has no holder for a lease's length after its first witnesses are set, and
	again after its holder is lost. What fits into the burst then waits for the next
	holder: to refuse it would be wrong, as nobody has counted it yet.
	*/
	#endRoundUnlessHolderIsDue(now: number): void {
		const {burst = 0} = this.#context.book.configuration.teams.get(this.#team) ?? {};
		if (!this.#isHolderDue(now)) {
			this.#endRound(now);
			return;
		}

		const fitting = new Set(this.#waiting.slice(0, burst));
		this.#refuseWaiting(waiting => !fitting.has(waiting), now);
		this.#tried.clear();
	}

	/** True if the own domain has no known holder, and has had none for a short time only, or if its holder has just started with empty buckets. */
	#isHolderDue(now: number): boolean {
		const {holders, domain} = this.#context;
		if (holders().has(domain)) {
			this.#holderStartsUntil = this.#holderMissingSince === undefined ? this.#holderStartsUntil : now + holderStartMilliseconds;
			this.#holderMissingSince = undefined;
			return now < this.#holderStartsUntil;
		}

		this.#holderMissingSince ??= now;
		return now - this.#holderMissingSince < missingHolderPatienceMilliseconds;
	}

	#refuseOverdue(now: number): void {
		const limit = this.#isHolderDue(now) ? missingHolderWaitMilliseconds : chargeTimeoutMilliseconds;
		this.#refuseWaiting(({since}) => now - since >= limit, now);
	}

	#serveWaiting(now: number): void {
		let served = 0;
		for (const {requestId} of this.#waiting) {
			const parts = this.#purse.spend(now);
			if (parts === undefined) {
				break;
			}

			served++;
			this.#context.decide(this, {requestId, outcome: {kind: 'admitted'}, parts});
		}

		if (served > 0) {
			this.#dryRounds = 0;
			this.#waiting = this.#waiting.slice(served);
		}
	}

	#refuseWaiting(isRefused: (waiting: Waiting) => boolean, now: number): void {
		const kept: Waiting[] = [];
		for (const waiting of this.#waiting) {
			if (isRefused(waiting)) {
				this.#context.decide(this, {requestId: waiting.requestId, outcome: this.#refusal(now), parts: []});
			} else {
				kept.push(waiting);
			}
		}

		this.#waiting = kept;
	}

	/** Doubles with each round that ended empty, up to a part of the time in which the burst fills, so that no bucket overflows meanwhile. */
	#dryPause(): number {
		const {ratePerSecond = 1, burst = 1} = this.#context.book.configuration.teams.get(this.#team) ?? {};
		const limit = Math.min(longestDryMilliseconds, dryShareOfFilling * millisecondsInSecond * burst / ratePerSecond);
		return Math.max(dryMilliseconds, Math.min(limit, dryMilliseconds * (2 ** this.#dryRounds)));
	}

	/** Refuses what waits after every holder was asked, and gives fractions back for others to use. */
	#endRound(now: number): void {
		this.#tried.clear();
		if (now >= this.#dryUntil) {
			this.#dryUntil = now + this.#dryPause();
			this.#dryRounds++;
		}

		this.#refuseWaiting(() => true, now);
		this.#purse.giveBack(Number.POSITIVE_INFINITY);
		this.#sendReports(now);
	}

	#prefetch(available: number, now: number): void {
		this.#tried.clear();
		const target = this.#prefetchTarget(now);
		const isPaused = now < Math.max(this.#dryUntil, this.#prefetchedAt + prefetchPauseMilliseconds);
		if (target > 0 && available <= target / 2 && !isPaused) {
			this.#prefetchedAt = now;
			this.#askDomain(this.#spareDomain(now), 0, target - available, now);
		}
	}

	#prefetchTarget(now: number): number {
		const burst = this.#context.book.configuration.teams.get(this.#team)?.burst ?? 0;
		const limit = Math.floor(burst * prefetchShareOfBurst);
		const demand = this.#demand.perSecond(now);
		if (limit < 1 || demand < prefetchDemandPerSecond) {
			return 0;
		}

		const wanted = Math.max(leastPrefetchTokens, Math.ceil(demand * prefetchMilliseconds / millisecondsInSecond));
		return Math.min(wanted, limit) * partsInToken;
	}

	/** Tells whether no holder can have enough for one token, by what they said lately. */
	#isHopeless(now: number): boolean {
		let sum = this.#purse.available(now);
		for (const domain of this.#context.holders().keys()) {
			sum += this.#estimate(domain, now);
		}

		return sum < partsInToken;
	}

	#estimate(domain: FailureDomain, now: number): number {
		return this.#estimates.estimate(domain, this.#context.book.part(this.#team, domain), now);
	}

	/** Asks a holder for `needed`, and for `ahead` more if it has plenty; returns false if there is none to ask. */
	#askDomain(domain: FailureDomain | undefined, needed: number, ahead: number, now: number): boolean {
		const view = domain === undefined ? undefined : this.#context.holders().get(domain);
		if (domain === undefined || view === undefined) {
			return false;
		}

		const loan = this.#context.nextLoan();
		const {holder, fencing} = view;
		const pending: PendingAsk = {
			loan, domain, holder, fencing, sentAt: now, amount: Math.ceil(needed),
		};
		this.#pending.set(loan, pending);
		this.#current = pending;
		const reports = this.#purse.takeReports(now, holder).filter(report => report.fencing === fencing).flatMap(report => report.reports);
		this.#context.send(holder, {
			kind: 'ask', fencing, run: this.#context.run, team: this.#team, loan, amount: pending.amount, ahead: Math.ceil(ahead), reports,
		});
		return true;
	}

	/** The own domain first, then the one that is thought to have most. */
	#nextDomain(now: number): FailureDomain | undefined {
		const {domain: own} = this.#context;
		const holders = this.#context.holders();
		if (holders.has(own) && !this.#tried.has(own) && this.#estimate(own, now) >= partsInToken / 10) {
			return own;
		}

		let best: FailureDomain | undefined;
		let most = 0;
		for (const domain of holders.keys()) {
			const estimate = this.#tried.has(domain) ? 0 : this.#estimate(domain, now);
			if (estimate > most) {
				most = estimate;
				best = domain;
			}
		}

		return best;
	}

	/** A domain that is thought to have tokens to lend ahead: the own one first. */
	#spareDomain(now: number): FailureDomain | undefined {
		const {domain: own, book} = this.#context;
		const holders = this.#context.holders();
		for (const domain of holders.has(own) ? [own, ...holders.keys()] : holders.keys()) {
			const reserve = book.part(this.#team, domain).burst * reserveShare;
			if (this.#estimate(domain, now) >= reserve + partsInToken) {
				return domain;
			}
		}

		return undefined;
	}

	#refusal(now: number): ChargeOutcome {
		const rate = this.#context.book.configuration.teams.get(this.#team)?.ratePerSecond ?? 0;
		const untilToken = rate > 0 ? Math.ceil(millisecondsInSecond / rate) : millisecondsInSecond;
		const untilDry = Math.ceil(Math.max(0, this.#dryUntil - now));
		return {kind: 'refused', retryAfterMilliseconds: Math.max(1, untilToken, untilDry)};
	}
}

/** Number of the reporting period; the periods of all teams begin together, so that their reports travel in one batch. */
function periodOf(now: number): number {
	return Math.floor(now / reportMilliseconds);
}
