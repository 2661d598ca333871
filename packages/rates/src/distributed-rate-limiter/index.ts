/**
The rate limiter of one node. It charges requests against tokens that the node has
borrowed, and lends tokens to other nodes while the node is its domain's lease holder.

Messages of the node to itself are handled at once; all others are returned to the
caller for delivery.
*/

import {
	type Configuration, type FailureDomain, type NodeId, type RequestId, type TeamName, UnreachableError,
} from '@fireflyglade/model';
import {unresponsiveHolderPauseMilliseconds, unansweredRequestLimit} from '../_lib/constants.js';
import type {RatePayload} from '../_lib/messages.js';
import {DomainRateLimits} from '../domain-rate-limits/index.js';
import {TokenLender} from '../token-lender/index.js';
import type {ChargedAmount, HolderReports} from '../borrowed-tokens/index.js';
import {type TeamRateLimiterContext, TeamRateLimiter} from '../team-rate-limiter/index.js';
import type {
	ChargeDecision, HolderView, OwnLease, RateActions, RateLimiter, RateLimiterOptions, RateMessage,
} from '../types.js';

/** An admitted charge that can still be refunded. */
type ChargeRecord = {
	readonly limiter: TeamRateLimiter;
	readonly chargedAmounts: readonly ChargedAmount[];
};

/** Limits the rates of teams over all nodes with tokens that lease holders lend to nodes. */
export class DistributedRateLimiter implements RateLimiter {
	readonly #node: NodeId;
	readonly #run: number;
	readonly #rateLimits: DomainRateLimits;
	readonly #lender: TokenLender;
	readonly #teamLimiters = new Map<TeamName, TeamRateLimiter>();
	readonly #chargeRecords = new Map<RequestId, ChargeRecord>();
	readonly #domain: FailureDomain;
	#holders: ReadonlyMap<FailureDomain, HolderView> = new Map();
	readonly #unansweredRequests = new Map<FailureDomain, number>();
	readonly #pausedUntil = new Map<FailureDomain, number>();
	#loanNumber = 0;
	#decisions: ChargeDecision[] = [];
	readonly #outgoing: RateMessage[] = [];
	#isShutDown = false;

	constructor({node, domain, run, tolerance}: RateLimiterOptions) {
		this.#node = node;
		this.#domain = domain;
		this.#run = run;
		this.#rateLimits = new DomainRateLimits(domain, tolerance);
		this.#lender = new TokenLender(domain, this.#rateLimits);
	}

	charge(team: TeamName, requestId: RequestId, now: number): RateActions {
		if (this.#isShutDown || !this.#rateLimits.configuration.teams.has(team)) {
			this.#decisions.push({requestId, outcome: {kind: 'refused', retryAfterMilliseconds: 1000}});
			return this.#takeActions(now);
		}

		this.#getTeamLimiter(team, now).charge(requestId, now);
		return this.#takeActions(now);
	}

	refund(requestId: RequestId, now: number): RateActions {
		const chargeRecord = this.#chargeRecords.get(requestId);
		this.#chargeRecords.delete(requestId);
		chargeRecord?.limiter.refund(chargeRecord.chargedAmounts, now);
		return this.#takeActions(now);
	}

	settle(requestId: RequestId): void {
		this.#chargeRecords.delete(requestId);
	}

	receive(message: RateMessage, now: number): RateActions {
		this.#handle(message, now);
		return this.#takeActions(now);
	}

	tick(now: number): RateActions {
		for (const [domain, until] of this.#pausedUntil) {
			if (until <= now) {
				this.#pausedUntil.delete(domain);
			}
		}

		if (this.#rateLimits.confirmTransitions(this.#holders, now)) {
			this.#lender.applyRateLimits([], now);
		}

		for (const limiter of this.#teamLimiters.values()) {
			limiter.tick(now);
		}

		return this.#takeActions(now);
	}

	setConfiguration(configuration: Configuration, now: number): RateActions {
		const before = this.#rateLimits.configuration;
		if (configuration.revision <= before.revision && before.revision > 0) {
			return this.#takeActions(now);
		}

		this.#rateLimits.setConfiguration(configuration);
		const created = [...configuration.teams.keys()].filter(team => !before.teams.has(team));
		this.#lender.applyRateLimits(created, now);
		for (const [team, limiter] of this.#teamLimiters) {
			if (!configuration.teams.has(team)) {
				limiter.close(now);
				this.#teamLimiters.delete(team);
			}
		}

		return this.#takeActions(now);
	}

	setHolders(holders: ReadonlyMap<FailureDomain, HolderView>, now: number): RateActions {
		this.#holders = new Map(holders);
		if (this.#rateLimits.confirmTransitions(this.#holders, now)) {
			this.#lender.applyRateLimits([], now);
		}

		return this.#takeActions(now);
	}

	setOwnLease(lease: OwnLease | undefined, now: number): RateActions {
		this.#lender.setLease(lease, now);
		return this.#takeActions(now);
	}

	shutDown(now: number): RateActions {
		this.#isShutDown = true;
		for (const limiter of this.#teamLimiters.values()) {
			limiter.close(now);
		}

		return this.#takeActions(now);
	}

	#getTeamLimiter(team: TeamName, now: number): TeamRateLimiter {
		const known = this.#teamLimiters.get(team);
		if (known !== undefined) {
			return known;
		}

		const limiter = new TeamRateLimiter(team, this.#createTeamContext(), now);
		this.#teamLimiters.set(team, limiter);
		return limiter;
	}

	/** Pauses requests to another domain after several consecutive unanswered ones; the own domain is always asked. */
	#recordTimeout(domain: FailureDomain, now: number): void {
		const count = (this.#unansweredRequests.get(domain) ?? 0) + 1;
		this.#unansweredRequests.set(domain, count);
		if (count >= unansweredRequestLimit && domain !== this.#domain) {
			this.#pausedUntil.set(domain, now + unresponsiveHolderPauseMilliseconds);
		}
	}

	/** Returns the lease holders without those of paused domains. */
	#responsiveHolders(): ReadonlyMap<FailureDomain, HolderView> {
		if (this.#pausedUntil.size === 0) {
			return this.#holders;
		}

		return new Map([...this.#holders].filter(([domain]) => !this.#pausedUntil.has(domain)));
	}

	#createTeamContext(): TeamRateLimiterContext {
		return {
			domain: this.#domain,
			run: this.#run,
			rateLimits: this.#rateLimits,
			holders: () => this.#responsiveHolders(),
			recordResponse: domain => {
				this.#unansweredRequests.delete(domain);
			},
			recordTimeout: (domain, at) => {
				this.#recordTimeout(domain, at);
			},
			nextLoanNumber: () => {
				this.#loanNumber++;
				return this.#loanNumber;
			},
			decide: (limiter, {requestId, outcome, chargedAmounts}) => {
				this.#decisions.push({requestId, outcome});
				if (chargedAmounts.length > 0) {
					this.#chargeRecords.set(requestId, {limiter, chargedAmounts});
				}
			},
			send: (holder, request) => {
				this.#send(holder, request);
			},
			report: holderReports => {
				this.#sendReports(holderReports);
			},
		};
	}

	#handle({from, payload: raw}: RateMessage, now: number): void {
		const payload = raw as RatePayload;
		switch (payload.kind) {
			case 'ask': {
				this.#send(from, this.#lender.answer(from, payload, now));
				return;
			}

			case 'grant': {
				if (payload.run === this.#run) {
					this.#teamLimiters.get(payload.team)?.receive(payload, now);
				}

				return;
			}

			case 'report': {
				this.#lender.report(from, payload, now);
				return;
			}

			default: {
				throw new UnreachableError(payload);
			}
		}
	}

	#sendReports(holderReports: readonly HolderReports[]): void {
		for (const {holder, fencing, reports} of holderReports) {
			this.#send(holder, {
				kind: 'report', fencing, run: this.#run, reports,
			});
		}
	}

	#send(to: NodeId, payload: RatePayload): void {
		this.#outgoing.push({from: this.#node, to, payload});
	}

	/** Handles messages to this node itself until none is left, and returns the other messages with the decisions. */
	#takeActions(now: number): RateActions {
		const messages: RateMessage[] = [];
		for (;;) {
			const message = this.#outgoing.shift();
			if (message === undefined) {
				break;
			}

			if (message.to === this.#node) {
				this.#handle(message, now);
			} else {
				messages.push(message);
			}
		}

		const decisions = this.#decisions;
		this.#decisions = [];
		return {decisions, messages};
	}
}
