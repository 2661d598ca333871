/**
The charges of one node: each request that is charged gets the decision that the
rate keeper makes for it, at once where tokens are at hand, and what the keeper
tells other nodes goes out.
*/

import type {Clock, RequestId, TeamName} from '@fireflyglade/model';
import type {
	ChargeOutcome, RateActions, RateLimiter, RateMessage,
} from '@fireflyglade/rates';

/** What the charges need. */
export type TeamChargesOptions = {
	readonly keeper: RateLimiter;
	readonly clock: Clock;
	/** Carries a message to another node. */
	readonly send: (message: RateMessage) => void;
};

/** The charges of one node. */
export class TeamCharges {
	readonly #options: TeamChargesOptions;
	readonly #pending = new Map<RequestId, (outcome: ChargeOutcome) => void>();

	constructor(options: TeamChargesOptions) {
		this.#options = options;
	}

	/** Charges a request; the outcome is a promise only where tokens have to come from elsewhere. */
	charge(team: TeamName, requestId: RequestId): ChargeOutcome | Promise<ChargeOutcome> {
		const {keeper, clock} = this.#options;
		const actions = keeper.charge(team, requestId, clock.now());
		const decided = actions.decisions.find(decision => decision.requestId === requestId);
		this.take(actions);
		return decided?.outcome ?? new Promise<ChargeOutcome>(resolve => {
			this.#pending.set(requestId, resolve);
		});
	}

	/** Gives a request's token back. */
	refund(requestId: RequestId): void {
		const {keeper, clock} = this.#options;
		this.take(keeper.refund(requestId, clock.now()));
	}

	/** Carries out what the keeper decided. */
	take({decisions, messages}: RateActions): void {
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
