/**
A witness of a failure domain: it votes on who holds a leased role.

A witness stores nothing on disk. After its start it waits for the duration of one
lease before it votes, so that every lease that it may have granted earlier has ended.
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

/** Votes on lease requests and keeps the granted votes of one witness. */
export class LeaseWitness {
	readonly #grants = new Map<DomainRole, Grant>();
	readonly #highestFencing = new Map<DomainRole, FencingNumber>();
	#votesFrom: number;

	/** Creates a witness that votes once the duration of one lease has passed since `now`. */
	constructor(now: number) {
		this.#votesFrom = now + witnessLeaseMilliseconds;
	}

	/** Suspends voting for the duration of one lease, as after a start. */
	wait(now: number): void {
		this.#votesFrom = now + witnessLeaseMilliseconds;
	}

	/** Records a fencing number that is in use, so that no lower one is granted. */
	observeFencing(role: DomainRole, fencing: FencingNumber): void {
		if (fencing > this.highestFencing(role)) {
			this.#highestFencing.set(role, fencing);
		}
	}

	highestFencing(role: DomainRole): FencingNumber {
		return this.#highestFencing.get(role) ?? (0 as FencingNumber);
	}

	/** Tells whether the witness may vote and has no unexpired grant of the role. */
	isFree(role: DomainRole, now: number): boolean {
		const grant = this.#grants.get(role);
		return now >= this.#votesFrom && (grant === undefined || grant.until <= now);
	}

	/** Votes on a request; `hasSameWitnesses` tells whether candidate and witness know the same witnesses. */
	vote(request: LeaseRequest, hasSameWitnesses: boolean, revision: Revision, now: number): LeaseVote {
		const granted = hasSameWitnesses && this.#canGrant(request, now);
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

	/** Withdraws the vote in a round that its candidate abandoned; a later vote for the same candidate remains valid. */
	release(role: DomainRole, holder: NodeId, round: number): void {
		const grant = this.#grants.get(role);
		if (grant?.holder === holder && grant.round === round) {
			this.#grants.delete(role);
		}
	}

	#canGrant(request: LeaseRequest, now: number): boolean {
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
