/**
The requests of one importance that wait, fair between teams.

Teams are served by start-time fair queueing: each has a virtual start time
that moves on by 1 / weight with each request that leaves to run, and the team
with the smallest goes next. The team whose last request would start the latest
is the one that gives way when the queue is full.
*/

import {IndexedHeap} from '../indexed-heap/index.js';
import type {AdmissionRequest} from '../../types.js';

/** A request that waits. */
export type WaitingRequest = {
	readonly request: AdmissionRequest;
	readonly arrivedAt: number;
	/** Number of arrival, which rises with each request. */
	readonly sequence: number;
	/** Place in the order of importance; smaller goes first. */
	readonly band: number;
};

type TeamEntry = {
	readonly name: string;
	weight: number;
	/** Virtual time at which the team's next request starts. */
	virtualStart: number;
	readonly byDeadline: IndexedHeap<WaitingRequest>;
	readonly byNewest: IndexedHeap<WaitingRequest>;
};

/** Bound on the number of idle teams whose virtual start is remembered. */
const rememberedIdleTeams = 1024;

function virtualEnd(team: TeamEntry): number {
	return team.virtualStart + (team.byDeadline.size / team.weight);
}

/** A queue that is fair between teams by their weights. */
export class FairQueue {
	readonly #teams = new Map<string, TeamEntry>();
	readonly #byStart = new IndexedHeap<TeamEntry>((left, right) => left.virtualStart < right.virtualStart);
	readonly #byEnd = new IndexedHeap<TeamEntry>((left, right) => virtualEnd(left) > virtualEnd(right));
	#virtualTime = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** Adds a request; `weight` is the present weight of its team. */
	add(waiting: WaitingRequest, weight: number): void {
		const team = this.#team(waiting.request.team ?? '', weight);
		if (team.byDeadline.size === 0) {
			team.virtualStart = Math.max(team.virtualStart, this.#virtualTime);
		}

		team.weight = weight;
		team.byDeadline.update(waiting);
		team.byNewest.update(waiting);
		this.#size++;
		this.#reorder(team);
	}

	/** Takes the request that runs next. */
	takeNext(newestFirst: boolean): WaitingRequest | undefined {
		const team = this.#byStart.first();
		if (team === undefined) {
			return undefined;
		}

		const waiting = (newestFirst ? team.byNewest : team.byDeadline).first()!;
		this.#virtualTime = team.virtualStart;
		team.virtualStart += 1 / team.weight;
		this.#remove(team, waiting);
		return waiting;
	}

	/** The request that gives way first: of the team furthest ahead of its share, the one with the least remaining time. */
	firstToShed(): WaitingRequest | undefined {
		return this.#byEnd.first()?.byDeadline.first();
	}

	/** Removes a request that doesn't run. */
	remove(waiting: WaitingRequest): void {
		const team = this.#teams.get(waiting.request.team ?? '');
		if (team !== undefined) {
			this.#remove(team, waiting);
		}
	}

	#remove(team: TeamEntry, waiting: WaitingRequest): void {
		if (!team.byDeadline.remove(waiting)) {
			return;
		}

		team.byNewest.remove(waiting);
		this.#size--;
		this.#reorder(team);
	}

	#reorder(team: TeamEntry): void {
		if (team.byDeadline.size === 0) {
			this.#byStart.remove(team);
			this.#byEnd.remove(team);
			return;
		}

		this.#byStart.update(team);
		this.#byEnd.update(team);
	}

	#team(name: string, weight: number): TeamEntry {
		const known = this.#teams.get(name);
		if (known !== undefined) {
			return known;
		}

		if (this.#teams.size > this.#byStart.size + rememberedIdleTeams) {
			this.#forgetIdleTeams();
		}

		const created: TeamEntry = {
			name,
			weight,
			virtualStart: this.#virtualTime,
			byDeadline: new IndexedHeap((left, right) => left.request.deadline < right.request.deadline),
			byNewest: new IndexedHeap((left, right) => left.sequence > right.sequence),
		};
		this.#teams.set(name, created);
		return created;
	}

	#forgetIdleTeams(): void {
		for (const [name, team] of this.#teams) {
			if (team.byDeadline.size === 0) {
				this.#teams.delete(name);
			}
		}
	}
}
