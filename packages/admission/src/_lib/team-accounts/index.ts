/**
What each team has had of the gate's capacity, by start-time fair queueing.

A team has one virtual start over all importances: it moves on by 1 / weight
with each request that leaves the queue to run, so a team that takes much by
important requests gets less for its other ones. A team that was idle joins one
run before the virtual time, the smallest virtual start of the teams that wait:
a small team often has nothing waiting when its turn comes.
*/

import {IndexedHeap} from '../indexed-heap/index.js';

/** The account of one team. */
export type TeamAccount = {
	readonly name: string;
	weight: number;
	/** Virtual time at which the team's next request starts. */
	virtualStart: number;
	/** Requests of the team that wait. */
	waiting: number;
};

/** Runs of the whole gate by which a team may be ahead of the others. */
const maximumLeadRuns = 500;
/** Runs that a team which had nothing waiting may catch up. */
const idleCreditRuns = 1;
/** Idle teams that are remembered. */
const rememberedIdleTeams = 1024;

/** The accounts of the teams at one gate. */
export class TeamAccounts {
	readonly #accounts = new Map<string, TeamAccount>();
	readonly #active = new IndexedHeap<TeamAccount>((left, right) => left.virtualStart < right.virtualStart);
	#virtualTime = 0;
	#activeWeight = 0;

	/** Counts a request that begins to wait and returns its team's account. */
	join(name: string, weight: number): TeamAccount {
		const account = this.#accounts.get(name) ?? this.#create(name, weight);
		if (account.waiting === 0) {
			account.weight = weight;
			account.virtualStart = Math.max(account.virtualStart, this.#virtualTime - (idleCreditRuns / weight));
			this.#activeWeight += weight;
			this.#active.update(account);
		}

		account.waiting++;
		return account;
	}

	/** Counts a request that left the queue without running. */
	leave(account: TeamAccount): void {
		account.waiting--;
		if (account.waiting === 0) {
			this.#activeWeight -= account.weight;
			this.#active.remove(account);
		}
	}

	/** Counts a request that left the queue to run. */
	charge(account: TeamAccount): void {
		this.#virtualTime = Math.max(this.#virtualTime, this.#active.first()?.virtualStart ?? 0);
		const lead = maximumLeadRuns / Math.max(account.weight, this.#activeWeight);
		account.virtualStart = Math.min(account.virtualStart + (1 / account.weight), Math.max(account.virtualStart, this.#virtualTime + lead));
		this.#active.update(account);
		this.leave(account);
	}

	#create(name: string, weight: number): TeamAccount {
		if (this.#accounts.size > this.#active.size + rememberedIdleTeams) {
			this.#forgetIdle();
		}

		const account: TeamAccount = {
			name, weight, virtualStart: this.#virtualTime, waiting: 0,
		};
		this.#accounts.set(name, account);
		return account;
	}

	#forgetIdle(): void {
		for (const [name, account] of this.#accounts) {
			if (account.waiting === 0) {
				this.#accounts.delete(name);
			}
		}
	}
}
