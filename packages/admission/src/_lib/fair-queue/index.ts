/**
The queued requests of one band, which is one level of importance, ordered by
start-time fair queueing between teams.

The team with the smallest virtual start runs next. When the queue is full, a
request is shed from the team whose last request has the latest virtual start.
*/

import {IndexedHeap} from '../indexed-heap/index.js';
import type {TeamAccount} from '../team-accounts/index.js';
import type {AdmissionRequest} from '../../types.js';

/** A queued request. */
export type WaitingRequest = {
	readonly request: AdmissionRequest;
	/** Arrival number, which increases with each request. */
	readonly sequence: number;
	/** Position in the order of importance; the lowest number runs first. */
	readonly band: number;
	readonly account: TeamAccount;
};

type TeamQueue = {
	readonly account: TeamAccount;
	readonly byDeadline: IndexedHeap<WaitingRequest>;
	readonly byNewest: IndexedHeap<WaitingRequest>;
};

/** Virtual start of the last of the team's queued requests in this band. */
function lastVirtualStart(team: TeamQueue): number {
	return team.account.virtualStart + ((team.byDeadline.size - 1) / team.account.weight);
}

/** A queue that divides runs fairly between teams by their accounts. */
export class FairQueue {
	/** Teams with queued requests in this band. */
	readonly #teams = new Map<TeamAccount, TeamQueue>();
	readonly #byVirtualStart = new IndexedHeap<TeamQueue>((left, right) => left.account.virtualStart < right.account.virtualStart);
	readonly #byLastVirtualStart = new IndexedHeap<TeamQueue>((left, right) => lastVirtualStart(left) > lastVirtualStart(right));

	add(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.account) ?? this.#createTeamQueue(waiting.account);
		team.byDeadline.update(waiting);
		team.byNewest.update(waiting);
		this.#reposition(team);
	}

	/** The request that runs next. */
	next(isNewestFirst: boolean): WaitingRequest | undefined {
		const team = this.#byVirtualStart.first();
		return (isNewestFirst ? team?.byNewest : team?.byDeadline)?.first();
	}

	/** The request to shed first: the one with the earliest deadline of the team furthest ahead of its fair share. */
	firstToShed(): WaitingRequest | undefined {
		return this.#byLastVirtualStart.first()?.byDeadline.first();
	}

	remove(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.account);
		if (team?.byDeadline.remove(waiting)) {
			team.byNewest.remove(waiting);
			this.#reposition(team);
		}
	}

	/** Updates the position of a team after its account has changed. */
	reorder(account: TeamAccount): void {
		const team = this.#teams.get(account);
		if (team !== undefined) {
			this.#reposition(team);
		}
	}

	#reposition(team: TeamQueue): void {
		if (team.byDeadline.size === 0) {
			this.#teams.delete(team.account);
			this.#byVirtualStart.remove(team);
			this.#byLastVirtualStart.remove(team);
			return;
		}

		this.#byVirtualStart.update(team);
		this.#byLastVirtualStart.update(team);
	}

	#createTeamQueue(account: TeamAccount): TeamQueue {
		const created: TeamQueue = {
			account,
			byDeadline: new IndexedHeap((left, right) => left.request.deadline < right.request.deadline),
			byNewest: new IndexedHeap((left, right) => left.sequence > right.sequence),
		};
		this.#teams.set(account, created);
		return created;
	}
}
