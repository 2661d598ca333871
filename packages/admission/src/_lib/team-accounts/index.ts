/**
Tracks each team's use of the gate's capacity for start-time fair queueing.

A team has one virtual start for all its priorities. It advances by 1 / weight
with each request that leaves the queue to run, so a team that runs many
important requests gets less capacity for its others. The virtual time is the
smallest virtual start of the teams with queued requests. A team without queued
requests may rejoin up to one run before the virtual time, because a small team
often has an empty queue when its turn comes.
*/

import {IndexedHeap} from '../indexed-heap/index.js';

/** Fair-queueing state of one team. */
export type TeamAccount = {
	readonly name: string;
	weight: number;
	/** Virtual time at which the team's next request starts. */
	virtualStart: number;
	/** Number of the team's queued requests. */
	waiting: number;
};

/** Maximum lead of a team over the others, in runs of the whole gate. */
const maximumLeadRuns = 500;
/** Number of runs by which a team that had no queued requests may start before the virtual time. */
const idleCreditRuns = 1;
/** Number of teams without queued requests above which their accounts are deleted. */
const maximumIdleTeams = 1024;

/** The accounts of all teams at one gate. */
export class TeamAccounts {
	readonly #accounts = new Map<string, TeamAccount>();
	/** Teams with queued requests, by virtual start. */
	readonly #backlogged = new IndexedHeap<TeamAccount>((left, right) => left.virtualStart < right.virtualStart);
	#virtualTime = 0;
	#backloggedWeight = 0;

	/** Returns the virtual start that a team with the given weight would have if it queued a request now. */
	virtualStartOf(name: string, weight: number): number {
		const account = this.#accounts.get(name);
		if (account === undefined) {
			return this.#virtualTime;
		}

		return account.waiting > 0 ? account.virtualStart : this.#rejoinedStart(account, weight);
	}

	/** Counts a request that enters the queue and returns its team's account. */
	join(name: string, weight: number): TeamAccount {
		const account = this.#accounts.get(name) ?? this.#create(name, weight);
		if (account.waiting === 0) {
			account.weight = weight;
			account.virtualStart = this.#rejoinedStart(account, weight);
			this.#backloggedWeight += weight;
			this.#backlogged.update(account);
		}

		account.waiting++;
		return account;
	}

	/** Counts a request that left the queue without running. */
	leave(account: TeamAccount): void {
		account.waiting--;
		if (account.waiting === 0) {
			this.#backloggedWeight -= account.weight;
			this.#backlogged.remove(account);
		}
	}

	/** Counts a request that left the queue to run. */
	charge(account: TeamAccount): void {
		this.#virtualTime = Math.max(this.#virtualTime, this.#backlogged.first()?.virtualStart ?? 0);
		const lead = maximumLeadRuns / Math.max(account.weight, this.#backloggedWeight);
		account.virtualStart = Math.min(account.virtualStart + (1 / account.weight), Math.max(account.virtualStart, this.#virtualTime + lead));
		this.#backlogged.update(account);
		this.leave(account);
	}

	#rejoinedStart(account: TeamAccount, weight: number): number {
		return Math.max(account.virtualStart, this.#virtualTime - (idleCreditRuns / weight));
	}

	#create(name: string, weight: number): TeamAccount {
		if (this.#accounts.size > this.#backlogged.size + maximumIdleTeams) {
			this.#deleteIdle();
		}

		const account: TeamAccount = {
			name, weight, virtualStart: this.#virtualTime, waiting: 0,
		};
		this.#accounts.set(name, account);
		return account;
	}

	#deleteIdle(): void {
		for (const [name, account] of this.#accounts) {
			if (account.waiting === 0) {
				this.#accounts.delete(name);
			}
		}
	}
}
