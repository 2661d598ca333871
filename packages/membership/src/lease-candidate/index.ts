/**
A candidate for a leased role: it asks the domain's witnesses for votes and
renews the lease while a majority grants it.

The lease counts from the moment at which the request was sent, so that it
always ends here before it ends at the witnesses.
*/

import {
	type FencingNumber, initialRevision, type NodeId, type Revision,
} from '@fireflyglade/model';
import {
	hastyRenewalMilliseconds, renewalMilliseconds, roundMilliseconds, usableLeaseMilliseconds,
} from '../_lib/constants.js';
import type {LeaseRequest, LeaseVote} from '../_lib/messages.js';
import type {DomainRole} from '../types.js';

/** A lease that this node holds. */
export type OwnLease = {
	readonly fencing: FencingNumber;
	readonly until: number;
	/** Highest revision that a voter had when the lease began: the holder acts once it has reached that. */
	readonly revisionAtStart: Revision;
	/** Revision that a majority of the witnesses have reached. */
	readonly majorityRevision: Revision;
};

type Round = {
	readonly number: number;
	readonly fencing: FencingNumber;
	readonly sentAt: number;
	readonly votes: Map<NodeId, Revision>;
	hasMajority: boolean;
};

/** Asks for and renews one role's lease. */
export class LeaseCandidate {
	readonly #role: DomainRole;
	readonly #node: NodeId;
	#roundNumber: number;
	#round?: Round;
	#lease?: OwnLease;
	#nextRequestAt = 0;

	/** The rounds of a run are numbered from `firstRound`, which rises from run to run. */
	constructor(role: DomainRole, node: NodeId, firstRound: number) {
		this.#roundNumber = firstRound;
		this.#role = role;
		this.#node = node;
	}

	/** The lease, if it has not ended. */
	lease(now: number): OwnLease | undefined {
		return this.#lease !== undefined && now < this.#lease.until ? this.#lease : undefined;
	}

	/** The request to send to every witness now, if it is time; it is sooner while the witnesses lag behind `revision`. */
	nextRequest(witnesses: readonly NodeId[], highestKnown: FencingNumber, revision: Revision, now: number): LeaseRequest | undefined {
		const lease = this.lease(now);
		const isLagging = lease !== undefined && lease.majorityRevision < revision;
		if (now < this.#nextRequestAt - (isLagging ? renewalMilliseconds - hastyRenewalMilliseconds : 0)) {
			return undefined;
		}

		const isCurrent = lease !== undefined && lease.fencing >= highestKnown;
		const fencing = isCurrent ? lease.fencing : (highestKnown + 1) as FencingNumber;
		this.#roundNumber++;
		this.#nextRequestAt = now + renewalMilliseconds;
		this.#round = {
			number: this.#roundNumber, fencing, sentAt: now, votes: new Map(), hasMajority: false,
		};
		return {
			role: this.#role, candidate: this.#node, fencing, witnesses, round: this.#roundNumber,
		};
	}

	/** Gives up a round that got no majority in time and returns its number; its votes no longer count. */
	abandonRound(now: number): number | undefined {
		const round = this.#round;
		if (round === undefined || round.hasMajority || this.lease(now) !== undefined || now - round.sentAt < roundMilliseconds) {
			return undefined;
		}

		this.#round = undefined;
		return round.number;
	}

	/** Puts the next request off until `at`. */
	waitUntil(at: number): void {
		this.#nextRequestAt = at;
	}

	/** Counts a vote; returns true if the lease began, or went on. */
	receive(from: NodeId, vote: LeaseVote, witnesses: readonly NodeId[], now: number): boolean {
		const round = this.#round;
		if (vote.round !== round?.number || !vote.granted || !witnesses.includes(from)) {
			return false;
		}

		round.votes.set(from, vote.revision);
		const majority = Math.floor(witnesses.length / 2) + 1;
		if (round.votes.size < majority) {
			return false;
		}

		round.hasMajority = true;
		return this.#take(round, majority, now);
	}

	#take(round: Round, majority: number, now: number): boolean {
		const until = round.sentAt + usableLeaseMilliseconds;
		if (until <= now) {
			return false;
		}

		const previous = this.lease(now);
		const revisions = [...round.votes.values()].toSorted((first, second) => second - first);
		const highest = revisions[0] ?? initialRevision;
		const reached = revisions[majority - 1] ?? initialRevision;
		const goesOn = previous?.fencing === round.fencing;
		this.#lease = {
			fencing: round.fencing,
			until,
			revisionAtStart: goesOn ? previous.revisionAtStart : highest,
			majorityRevision: goesOn ? Math.max(previous.majorityRevision, reached) as Revision : reached,
		};
		return true;
	}
}
