/**
Charges the requests of one node against the rate limits of their teams. The
decision is immediate if the node has tokens; otherwise it follows when tokens
arrive from another node. Messages for other nodes are passed to the sender.

A team that exceeds its rate gets its tokens for its important requests first.
*/

import {
	highestPriority, type Clock, type RequestId, type TeamName,
} from '@fireflyglade/model';
import {
	PriorityShares, type ChargeOutcome, type RateActions, type RateLimiter, type RateMessage,
} from '@fireflyglade/rates';

/** Options of the charges. */
export type TeamChargesOptions = {
	readonly rateLimiter: RateLimiter;
	readonly clock: Clock;
	/** Sends a message to another node. */
	readonly send: (message: RateMessage) => void;
};

/** Charges requests of one node and tracks the charges that wait for tokens. */
export class TeamCharges {
	readonly #options: TeamChargesOptions;
	readonly #pending = new Map<RequestId, (outcome: ChargeOutcome) => void>();
	readonly #shares = new Map<TeamName, PriorityShares>();

	constructor(options: TeamChargesOptions) {
		this.#options = options;
	}

	/** Charges a request. The outcome is a promise only if tokens have to come from another node. */
	charge(team: TeamName, requestId: RequestId, priority = highestPriority): ChargeOutcome | Promise<ChargeOutcome> {
		const {rateLimiter, clock} = this.#options;
		const now = clock.now();
		const shares = this.#sharesOf(team, now);
		if (!shares.admits(priority, now)) {
			return {kind: 'refused', retryAfterMilliseconds: shares.retryAfterMilliseconds(priority)};
		}

		const actions = rateLimiter.charge(team, requestId, now);
		const decided = actions.decisions.find(decision => decision.requestId === requestId);
		this.applyActions(actions);
		if (decided !== undefined) {
			return recordOutcome(shares, priority, decided.outcome);
		}

		return new Promise<ChargeOutcome>(resolve => {
			this.#pending.set(requestId, outcome => {
				resolve(recordOutcome(shares, priority, outcome));
			});
		});
	}

	/** Returns the token of a request that did not run for lack of capacity. */
	refund(requestId: RequestId): void {
		const {rateLimiter, clock} = this.#options;
		this.applyActions(rateLimiter.refund(requestId, clock.now()));
	}

	/** Drops what is known of teams that no longer exist. */
	retain(teams: ReadonlyMap<TeamName, unknown>): void {
		for (const team of this.#shares.keys()) {
			if (!teams.has(team)) {
				this.#shares.delete(team);
			}
		}
	}

	/** Executes actions of the rate limiter: resolves pending charges and sends messages. */
	applyActions({decisions, messages}: RateActions): void {
		for (const {requestId, outcome} of decisions) {
			const resolve = this.#pending.get(requestId);
			this.#pending.delete(requestId);
			resolve?.(outcome);
		}

		for (const message of messages) {
			this.#options.send(message);
		}
	}

	#sharesOf(team: TeamName, now: number): PriorityShares {
		const existing = this.#shares.get(team);
		if (existing !== undefined) {
			return existing;
		}

		const created = new PriorityShares(now);
		this.#shares.set(team, created);
		return created;
	}
}

/** Counts the decision about a request that was charged, and delays the retry of a refused one by the excess of its team. */
function recordOutcome(shares: PriorityShares, priority: number, outcome: ChargeOutcome): ChargeOutcome {
	shares.recordDecision(outcome.kind === 'admitted');
	return outcome.kind === 'admitted'
		? outcome
		: {...outcome, retryAfterMilliseconds: Math.max(outcome.retryAfterMilliseconds, shares.retryAfterMilliseconds(priority))};
}
