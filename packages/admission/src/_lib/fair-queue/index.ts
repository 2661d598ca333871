/**
The queued requests of one band, which is one level of importance, ordered by
start-time fair queueing between teams.

The team with the smallest virtual start runs next; among teams that are less
than one run behind it, the request that must start first. Within a team, requests
that can still meet their objective run by the time at which they must start for it,
which does not change while they wait; a request without an objective is ordered
by its deadline among them. Requests that can no longer meet their objective run
by deadline, after the others but for a small share of the team's turns.

When the queue is full, a request is shed from the team whose last request has
the latest virtual start, or from one that is less than one run behind it. Late
requests beyond the same small share are shed first, then the request that could
wait the longest, because its caller has the most time to come back.

Requests without an objective run and are shed in the order of virtual start and
deadline alone.
*/

import {IndexedHeap} from '../indexed-heap/index.js';
import type {TeamAccount} from '../team-accounts/index.js';
import type {AdmissionRequest} from '../../types.js';

/** A request that may be queued. */
export type QueueCandidate = {
	readonly request: AdmissionRequest;
	/** Expected service time. */
	readonly serviceMilliseconds: number;
	/** Time by which the request must start to meet its objective; its deadline if it has no objective. */
	readonly latestStart: number;
};

/** A queued request. */
export type WaitingRequest = QueueCandidate & {
	/** Arrival number, which increases with each request. */
	readonly sequence: number;
	/** Position in the order of importance; the lowest number runs first. */
	readonly band: number;
	readonly account: TeamAccount;
	/** True once the request was found to be unable to meet its objective. */
	isLate: boolean;
};

/** A request that is not queued yet, with its team's part in fair queueing. */
export type NewRequest = {
	readonly candidate: QueueCandidate;
	readonly team: string;
	readonly weight: number;
	/** Virtual start that the team would have if it queued the request now. */
	readonly virtualStart: number;
};

type TeamQueue = {
	readonly account: TeamAccount;
	readonly byLatestStart: IndexedHeap<WaitingRequest>;
	/** Requests that can no longer meet their objective; absent until there is one. */
	lateByDeadline: IndexedHeap<WaitingRequest> | undefined;
	readonly byNewest: IndexedHeap<WaitingRequest>;
	/** Number of the team's runs since the last one of a late request. */
	runsSinceLate: number;
};

/** One in this many of a team's runs is of a late request while there are late ones. */
const runsPerLateRun = 10;

/** Virtual start of the last of the team's queued requests in this band. */
function lastVirtualStart(team: TeamQueue): number {
	return team.account.virtualStart + ((team.byNewest.size - 1) / team.account.weight);
}

/** Moves the requests that can no longer meet their objective to the late ones; each request moves at most once. */
function moveLate(team: TeamQueue, now: number): void {
	for (let waiting = team.byLatestStart.first(); waiting !== undefined && isPastObjective(waiting, now); waiting = team.byLatestStart.first()) {
		team.byLatestStart.remove(waiting);
		waiting.isLate = true;
		team.lateByDeadline ??= new IndexedHeap((left, right) => left.request.deadline < right.request.deadline);
		team.lateByDeadline.update(waiting);
	}
}

function isPastObjective({request, latestStart}: QueueCandidate, now: number): boolean {
	return latestStart < now && request.objective !== undefined;
}

/** The request of the team that runs next. */
function nextOf(team: TeamQueue, now: number): WaitingRequest | undefined {
	moveLate(team, now);
	const onTime = team.byLatestStart.first();
	const late = team.lateByDeadline?.first();
	return late === undefined || (onTime !== undefined && team.runsSinceLate < runsPerLateRun - 1) ? onTime : late;
}

/** The request of the team to shed first. */
function firstToShedOf(team: TeamQueue, now: number): WaitingRequest | undefined {
	moveLate(team, now);
	const late = team.lateByDeadline?.first();
	if (late !== undefined && team.lateByDeadline!.size > team.byNewest.size / runsPerLateRun) {
		return late;
	}

	return lastToStart(team) ?? late;
}

/** True if a request runs before another one while the fair shares of teams don't decide between them. */
function isRunBefore(left: QueueCandidate, right: QueueCandidate, now: number): boolean {
	const isLate = isPastObjective(left, now);
	if (isLate !== isPastObjective(right, now)) {
		return !isLate;
	}

	return isLate ? left.request.deadline < right.request.deadline : left.latestStart < right.latestStart;
}

function isShedBefore(left: WaitingRequest, right: WaitingRequest): boolean {
	if (left.isLate !== right.isLate) {
		return left.isLate;
	}

	return left.isLate ? left.request.deadline < right.request.deadline : left.latestStart > right.latestStart;
}

/** The request that can wait the longest and still meet its objective; the one with the earliest deadline if requests without an objective come first. */
function lastToStart({byLatestStart}: TeamQueue): WaitingRequest | undefined {
	const first = byLatestStart.first();
	if (first?.request.objective === undefined) {
		return first;
	}

	let last = first;
	for (const waiting of byLatestStart.items) {
		last = waiting.latestStart > last.latestStart ? waiting : last;
	}

	return last;
}

/** A queue that divides runs fairly between teams by their accounts. */
export class FairQueue {
	/** Teams with queued requests in this band. */
	readonly #teams = new Map<TeamAccount, TeamQueue>();
	readonly #byVirtualStart = new IndexedHeap<TeamQueue>((left, right) => left.account.virtualStart < right.account.virtualStart);
	readonly #byLastVirtualStart = new IndexedHeap<TeamQueue>((left, right) => lastVirtualStart(left) > lastVirtualStart(right));
	#size = 0;
	#serviceMilliseconds = 0;

	get size(): number {
		return this.#size;
	}

	/** Sum of the expected service times. */
	get serviceMilliseconds(): number {
		return this.#serviceMilliseconds;
	}

	add(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.account) ?? this.#createTeamQueue(waiting.account);
		team.byLatestStart.update(waiting);
		team.byNewest.update(waiting);
		this.#size++;
		this.#serviceMilliseconds += waiting.serviceMilliseconds;
		this.#reposition(team);
	}

	/** Selects the request that runs next, which the caller then removes. */
	selectNext(isNewestFirst: boolean, now: number): WaitingRequest | undefined {
		const first = this.#byVirtualStart.first();
		if (first === undefined || isNewestFirst) {
			return first?.byNewest.first();
		}

		const firstNext = nextOf(first, now);
		if (firstNext?.request.objective === undefined) {
			first.runsSinceLate++;
			return firstNext;
		}

		const team = this.#selectTeam(first, firstNext, now);
		const next = team === first ? firstNext : nextOf(team, now);
		team.runsSinceLate = next?.isLate ? 0 : team.runsSinceLate + 1;
		return next;
	}

	/** The request to shed first, of a team that is furthest ahead of its fair share. */
	firstToShed(now: number): WaitingRequest | undefined {
		const furthest = this.#byLastVirtualStart.first();
		let chosen = furthest === undefined ? undefined : firstToShedOf(furthest, now);
		if (chosen?.request.objective === undefined) {
			return chosen;
		}

		const start = lastVirtualStart(furthest!) - (1 / furthest!.account.weight);
		for (const team of this.#byLastVirtualStart.items) {
			const candidate = lastVirtualStart(team) > start ? firstToShedOf(team, now) : undefined;
			if (candidate?.request.objective !== undefined && isShedBefore(candidate, chosen)) {
				chosen = candidate;
			}
		}

		return chosen;
	}

	/** Expected service time of the queued requests that run before a new one, if no others arrive. */
	workAhead({candidate, team: own, weight, virtualStart}: NewRequest, now: number): number {
		let ownCount = 0;
		let work = 0;
		for (const waiting of this.#findTeam(own)?.byNewest.items ?? []) {
			if (!isRunBefore(candidate, waiting, now)) {
				ownCount++;
				work += waiting.serviceMilliseconds;
			}
		}

		const start = virtualStart + (ownCount / weight);
		const meanMilliseconds = this.#serviceMilliseconds / Math.max(1, this.#size);
		for (const [account, team] of this.#teams) {
			if (account.name !== own && account.virtualStart < start) {
				work += Math.min(team.byNewest.size, Math.ceil((start - account.virtualStart) * account.weight)) * meanMilliseconds;
			}
		}

		return work;
	}

	remove(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.account);
		if (!team?.byNewest.remove(waiting)) {
			return;
		}

		(waiting.isLate ? team.lateByDeadline : team.byLatestStart)?.remove(waiting);
		this.#size--;
		this.#serviceMilliseconds = this.#size === 0 ? 0 : this.#serviceMilliseconds - waiting.serviceMilliseconds;
		this.#reposition(team);
	}

	/** Updates the position of a team after its account has changed. */
	reorder(account: TeamAccount): void {
		const team = this.#teams.get(account);
		if (team !== undefined) {
			this.#reposition(team);
		}
	}

	/** Selects the team that runs next: of those that start before the first one's run would end in virtual time, the one whose request must start first. Each team thereby gives way by less than one run. */
	#selectTeam(first: TeamQueue, firstNext: WaitingRequest, now: number): TeamQueue {
		let chosen = first;
		let earliest = firstNext;
		const end = first.account.virtualStart + (1 / first.account.weight);
		for (const team of this.#byVirtualStart.items) {
			const next = team.account.virtualStart < end ? nextOf(team, now) : undefined;
			if (next?.request.objective !== undefined && isRunBefore(next, earliest, now)) {
				chosen = team;
				earliest = next;
			}
		}

		return chosen;
	}

	#findTeam(name: string): TeamQueue | undefined {
		for (const [account, team] of this.#teams) {
			if (account.name === name) {
				return team;
			}
		}

		return undefined;
	}

	#reposition(team: TeamQueue): void {
		if (team.byNewest.size === 0) {
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
			byLatestStart: new IndexedHeap((left, right) => left.latestStart < right.latestStart),
			lateByDeadline: undefined,
			byNewest: new IndexedHeap((left, right) => left.sequence > right.sequence),
			runsSinceLate: 0,
		};
		this.#teams.set(account, created);
		return created;
	}
}
