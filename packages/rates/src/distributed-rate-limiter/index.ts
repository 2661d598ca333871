/**
The rate keeper of one node: spender always, holder where it has the lease.

Messages to itself are handled at once; all others are for the shell to carry.
*/

import {
	type Configuration, type FailureDomain, type NodeId, type RequestId, type TeamName, UnreachableError,
} from '@fireflyglade/model';
import {silenceMilliseconds, silentAsks} from '../_lib/constants.js';
import type {RatePayload} from '../_lib/messages.js';
import {DomainRateLimits} from '../domain-rate-limits/index.js';
import {TokenLender} from '../token-lender/index.js';
import type {ChargedPart, HolderReports} from '../borrowed-tokens/index.js';
import {type TeamRateLimiterContext, TeamRateLimiter} from '../team-rate-limiter/index.js';
import type {
	ChargeDecision, HolderView, OwnLease, RateActions, RateLimiter, RateLimiterOptions, RateMessage,
} from '../types.js';

type Charged = {
	readonly account: TeamRateLimiter;
	readonly parts: readonly ChargedPart[];
};

/** Keeps rates by tokens that are lent and spent, and never made twice. */
export class DistributedRateLimiter implements RateLimiter {
	readonly #node: NodeId;
	readonly #run: number;
	readonly #book: DomainRateLimits;
	readonly #lender: TokenLender;
	readonly #accounts = new Map<TeamName, TeamRateLimiter>();
	readonly #charged = new Map<RequestId, Charged>();
	readonly #domain: FailureDomain;
	#holders: ReadonlyMap<FailureDomain, HolderView> = new Map();
	readonly #unanswered = new Map<FailureDomain, number>();
	readonly #silentUntil = new Map<FailureDomain, number>();
	#loanNumber = 0;
	#decisions: ChargeDecision[] = [];
	readonly #outgoing: RateMessage[] = [];
	#isClosed = false;

	constructor({node, domain, run, tolerance}: RateLimiterOptions) {
		this.#node = node;
		this.#domain = domain;
		this.#run = run;
		this.#book = new DomainRateLimits(domain, tolerance);
		this.#lender = new TokenLender(domain, this.#book);
	}

	charge(team: TeamName, requestId: RequestId, now: number): RateActions {
		if (this.#isClosed || !this.#book.configuration.teams.has(team)) {
			this.#decisions.push({requestId, outcome: {kind: 'refused', retryAfterMilliseconds: 1000}});
			return this.#takeActions(now);
		}

		this.#account(team, now).charge(requestId, now);
		return this.#takeActions(now);
	}

	refund(requestId: RequestId, now: number): RateActions {
		const charged = this.#charged.get(requestId);
		this.#charged.delete(requestId);
		charged?.account.refund(charged.parts, now);
		return this.#takeActions(now);
	}

	settle(requestId: RequestId): void {
		this.#charged.delete(requestId);
	}

	receive(message: RateMessage, now: number): RateActions {
		this.#handle(message, now);
		return this.#takeActions(now);
	}

	tick(now: number): RateActions {
		for (const [domain, until] of this.#silentUntil) {
			if (until <= now) {
				this.#silentUntil.delete(domain);
			}
		}

		if (this.#book.confirm(this.#holders, now)) {
			this.#lender.applyBook([], now);
		}

		for (const account of this.#accounts.values()) {
			account.tick(now);
		}

		return this.#takeActions(now);
	}

	setConfiguration(configuration: Configuration, now: number): RateActions {
		const before = this.#book.configuration;
		if (configuration.revision <= before.revision && before.revision > 0) {
			return this.#takeActions(now);
		}

		this.#book.setConfiguration(configuration);
		const created = [...configuration.teams.keys()].filter(team => !before.teams.has(team));
		this.#lender.applyBook(created, now);
		for (const [team, account] of this.#accounts) {
			if (!configuration.teams.has(team)) {
				account.close(now);
				this.#accounts.delete(team);
			}
		}

		return this.#takeActions(now);
	}

	setHolders(holders: ReadonlyMap<FailureDomain, HolderView>, now: number): RateActions {
		this.#holders = new Map(holders);
		if (this.#book.confirm(this.#holders, now)) {
			this.#lender.applyBook([], now);
		}

		return this.#takeActions(now);
	}

	setOwnLease(lease: OwnLease | undefined, now: number): RateActions {
		this.#lender.setLease(lease, now);
		return this.#takeActions(now);
	}

	shutDown(now: number): RateActions {
		this.#isClosed = true;
		for (const account of this.#accounts.values()) {
			account.close(now);
		}

		return this.#takeActions(now);
	}

	#account(team: TeamName, now: number): TeamRateLimiter {
		const known = this.#accounts.get(team);
		if (known !== undefined) {
			return known;
		}

		const account = new TeamRateLimiter(team, this.#createContext(), now);
		this.#accounts.set(team, account);
		return account;
	}

	/** After some unanswered requests in a row, another domain isn't asked for a while; the own one always is. */
	#noteSilence(domain: FailureDomain, now: number): void {
		const count = (this.#unanswered.get(domain) ?? 0) + 1;
		this.#unanswered.set(domain, count);
		if (count >= silentAsks && domain !== this.#domain) {
			this.#silentUntil.set(domain, now + silenceMilliseconds);
		}
	}

	/** Holders, without those of domains that gave no answer lately. */
	#reachableHolders(): ReadonlyMap<FailureDomain, HolderView> {
		if (this.#silentUntil.size === 0) {
			return this.#holders;
		}

		return new Map([...this.#holders].filter(([domain]) => !this.#silentUntil.has(domain)));
	}

	#createContext(): TeamRateLimiterContext {
		return {
			domain: this.#domain,
			run: this.#run,
			book: this.#book,
			holders: () => this.#reachableHolders(),
			noteAnswer: domain => {
				this.#unanswered.delete(domain);
			},
			noteSilence: (domain, at) => {
				this.#noteSilence(domain, at);
			},
			nextLoan: () => {
				this.#loanNumber++;
				return this.#loanNumber;
			},
			decide: (account, {requestId, outcome, parts}) => {
				this.#decisions.push({requestId, outcome});
				if (parts.length > 0) {
					this.#charged.set(requestId, {account, parts});
				}
			},
			send: (holder, ask) => {
				this.#send(holder, ask);
			},
			report: byHolder => {
				this.#sendReports(byHolder);
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
					this.#accounts.get(payload.team)?.receive(payload, now);
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

	#sendReports(byHolder: readonly HolderReports[]): void {
		for (const {holder, fencing, reports} of byHolder) {
			this.#send(holder, {
				kind: 'report', fencing, run: this.#run, reports,
			});
		}
	}

	#send(to: NodeId, payload: RatePayload): void {
		this.#outgoing.push({from: this.#node, to, payload});
	}

	/** Handles messages to this node itself until none is left, and returns the rest. */
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
