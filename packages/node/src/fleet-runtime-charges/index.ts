/**
Charges the requests of one node against the rate limits of their teams. The
decision is immediate if the node has tokens; otherwise it follows when tokens
arrive from another node. Messages for other nodes are passed to the sender.
*/

import type {Clock, RequestId, TeamName} from '@fireflyglade/model';
import type {
	ChargeOutcome, RateActions, RateLimiter, RateMessage,
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

	constructor(options: TeamChargesOptions) {
		this.#options = options;
	}

	/** Charges a request. The outcome is a promise only if tokens have to come from another node. */
	charge(team: TeamName, requestId: RequestId): ChargeOutcome | Promise<ChargeOutcome> {
		const {rateLimiter, clock} = this.#options;
		const actions = rateLimiter.charge(team, requestId, clock.now());
		const decided = actions.decisions.find(decision => decision.requestId === requestId);
		this.applyActions(actions);
		return decided?.outcome ?? new Promise<ChargeOutcome>(resolve => {
			this.#pending.set(requestId, resolve);
		});
	}

	/** Returns the token of a request that did not run for lack of capacity. */
	refund(requestId: RequestId): void {
		const {rateLimiter, clock} = this.#options;
		this.applyActions(rateLimiter.refund(requestId, clock.now()));
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
}
