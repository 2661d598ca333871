/**
The requests of one importance that wait, fair between teams.

The team with the smallest virtual start goes next. The team whose last request
would start the latest is the one that gives way when the queue is full.
*/

import {IndexedHeap} from '../indexed-heap/index.js';
import type {TeamAccount} from '../team-accounts/index.js';
import type {AdmissionRequest} from '../../types.js';

/** A request that waits. */
export type WaitingRequest = {
	readonly request: AdmissionRequest;
	/** Number of arrival, which rises with each request. */
	readonly sequence: number;
	/** Place in the order of importance; smaller goes first. */
	readonly band: number;
	readonly account: TeamAccount;
};

type TeamEntry = {
	readonly account: TeamAccount;
	readonly byDeadline: IndexedHeap<WaitingRequest>;
	readonly byNewest: IndexedHeap<WaitingRequest>;
};

/** Virtual time at which the last of the team's requests would start. */
function lastVirtualStart(team: TeamEntry): number {
	return team.account.virtualStart + ((team.byDeadline.size - 1) / team.account.weight);
}

/** A queue that is fair between teams by their accounts. */
export class FairQueue {
	/** Teams of which a request waits here. */
	readonly #teams = new Map<TeamAccount, TeamEntry>();
	readonly #byStart = new IndexedHeap<TeamEntry>((left, right) => left.account.virtualStart < right.account.virtualStart);
	readonly #byLastStart = new IndexedHeap<TeamEntry>((left, right) => lastVirtualStart(left) > lastVirtualStart(right));

	add(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.account) ?? this.#createEntry(waiting.account);
		team.byDeadline.update(waiting);
		team.byNewest.update(waiting);
		this.#placeEntry(team);
	}

	/** The request that runs next. */
	next(newestFirst: boolean): WaitingRequest | undefined {
		const team = this.#byStart.first();
		return (newestFirst ? team?.byNewest : team?.byDeadline)?.first();
	}

	/** The request that gives way first: of the team furthest ahead of its share, the one with the least remaining time. */
	firstToShed(): WaitingRequest | undefined {
		return this.#byLastStart.first()?.byDeadline.first();
	}

	remove(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.account);
		if (team?.byDeadline.remove(waiting)) {
			team.byNewest.remove(waiting);
			this.#placeEntry(team);
		}
	}

	/** Puts a team in its place after its account has changed. */
	reorder(account: TeamAccount): void {
		const team = this.#teams.get(account);
		if (team !== undefined) {
			this.#placeEntry(team);
		}
	}

	#placeEntry(team: TeamEntry): void {
		if (team.byDeadline.size === 0) {
			this.#teams.delete(team.account);
			this.#byStart.remove(team);
			this.#byLastStart.remove(team);
			return;
		}

		this.#byStart.update(team);
		this.#byLastStart.update(team);
	}

	#createEntry(account: TeamAccount): TeamEntry {
		const created: TeamEntry = {
			account,
			byDeadline: new IndexedHeap((left, right) => left.request.deadline < right.request.deadline),
			byNewest: new IndexedHeap((left, right) => left.sequence > right.sequence),
		};
		this.#teams.set(account, created);
		return created;
	}
}
