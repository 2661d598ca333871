/**
A witness of a failure domain: it votes on who holds a leased role.

A witness keeps nothing on disk. After its start it waits one lease before it
votes, so that every lease that it may have granted earlier has ended.
*/

import type {FencingNumber, NodeId, Revision} from '@fireflyglade/model';
import {witnessLeaseMilliseconds} from '../_lib/constants.js';
import type {LeaseRequest, LeaseVote} from '../_lib/messages.js';
import type {DomainRole} from '../types.js';

type Grant = {
	readonly holder: NodeId;
	readonly fencing: FencingNumber;
	readonly round: number;
	readonly until: number;
};

/** The votes of one witness. */
export class LeaseWitness {
	readonly #grants = new Map<DomainRole, Grant>();
	readonly #highest = new Map<DomainRole, FencingNumber>();
	#votesFrom: number;

	/** The witness votes from one lease after `now`. */
	constructor(now: number) {
		this.#votesFrom = now + witnessLeaseMilliseconds;
	}

	/** Keeps the witness from voting for one lease, as if it had just started. */
	wait(now: number): void {
		this.#votesFrom = now + witnessLeaseMilliseconds;
	}

	/** Takes note of a fencing number that is in use, so that no lower one is granted. */
	observeFencing(role: DomainRole, fencing: FencingNumber): void {
		if (fencing > this.highestFencing(role)) {
			this.#highest.set(role, fencing);
		}
	}

	highestFencing(role: DomainRole): FencingNumber {
		return this.#highest.get(role) ?? (0 as FencingNumber);
	}

	/** Tells whether the witness could grant the role to anyone. */
	isFree(role: DomainRole, now: number): boolean {
		const grant = this.#grants.get(role);
		return now >= this.#votesFrom && (grant === undefined || grant.until <= now);
	}

	/** Votes on a request; `agrees` tells whether both know the same witnesses. */
	vote(request: LeaseRequest, agrees: boolean, revision: Revision, now: number): LeaseVote {
		const granted = agrees && this.#mayGrant(request, now);
		if (granted) {
			const {candidate, fencing, role, round} = request;
			this.#grants.set(role, {
				holder: candidate, fencing, round, until: now + witnessLeaseMilliseconds,
			});
			this.observeFencing(role, fencing);
		}

		return {
			role: request.role, round: request.round, granted, highestFencing: this.highestFencing(request.role), revision,
		};
	}

	/** Takes back a vote in a round that its candidate gave up; a later vote for the same candidate stands. */
	release(role: DomainRole, holder: NodeId, round: number): void {
		const grant = this.#grants.get(role);
		if (grant?.holder === holder && grant.round === round) {
			this.#grants.delete(role);
		}
	}

	#mayGrant(request: LeaseRequest, now: number): boolean {
		if (now < this.#votesFrom) {
			return false;
		}

		const grant = this.#grants.get(request.role);
		const highest = this.highestFencing(request.role);
		if (grant === undefined || grant.until <= now) {
			return request.fencing > highest;
		}

		return grant.holder === request.candidate && request.fencing >= highest;
	}
}
