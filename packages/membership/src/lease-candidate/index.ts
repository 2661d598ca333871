/**
A candidate for a leased role: it requests votes from the domain's witnesses and
renews the lease while a majority grants it.

The lease starts at the time at which the request was sent, so that it always
ends here before it ends at the witnesses.
*/

import {
	type FencingNumber, initialRevision, type NodeId, type Revision,
} from '@fireflyglade/model';
import {
	fastRenewalIntervalMilliseconds, renewalIntervalMilliseconds, electionRoundTimeoutMilliseconds, candidateLeaseMilliseconds,
} from '../_lib/constants.js';
import type {LeaseRequest, LeaseVote} from '../_lib/messages.js';
import type {DomainRole} from '../types.js';

/** A lease that this node holds. */
export type OwnLease = {
	readonly fencing: FencingNumber;
	readonly until: number;
	/** Highest revision that a voter had when the lease began; the holder must reach it before it acts. */
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

/** Requests and renews the lease of one role. */
export class LeaseCandidate {
	readonly #role: DomainRole;
	readonly #node: NodeId;
	#roundNumber: number;
	#round?: Round;
	#lease?: OwnLease;
	#nextRequestAt = 0;

	/** Creates a candidate whose rounds have numbers above `firstRound`, which must rise with each run of the process. */
	constructor(role: DomainRole, node: NodeId, firstRound: number) {
		this.#roundNumber = firstRound;
		this.#role = role;
		this.#node = node;
	}

	/** Returns the lease, or undefined if it has ended. */
	lease(now: number): OwnLease | undefined {
		return this.#lease !== undefined && now < this.#lease.until ? this.#lease : undefined;
	}

	/** Returns the request to send to every witness if one is due; requests are more frequent while the witnesses lag behind `revision`. */
	nextRequest(witnesses: readonly NodeId[], highestKnown: FencingNumber, revision: Revision, now: number): LeaseRequest | undefined {
		const lease = this.lease(now);
		const isLagging = lease !== undefined && lease.majorityRevision < revision;
		if (now < this.#nextRequestAt - (isLagging ? renewalIntervalMilliseconds - fastRenewalIntervalMilliseconds : 0)) {
			return undefined;
		}

		const isCurrent = lease !== undefined && lease.fencing >= highestKnown;
		const fencing = isCurrent ? lease.fencing : (highestKnown + 1) as FencingNumber;
		this.#roundNumber++;
		this.#nextRequestAt = now + renewalIntervalMilliseconds;
		this.#round = {
			number: this.#roundNumber, fencing, sentAt: now, votes: new Map(), hasMajority: false,
		};
		return {
			role: this.#role, candidate: this.#node, fencing, witnesses, round: this.#roundNumber,
		};
	}

	/** Abandons a round that got no majority in time and returns its number; its votes no longer count. */
	abandonRound(now: number): number | undefined {
		const round = this.#round;
		if (round === undefined || round.hasMajority || this.lease(now) !== undefined || now - round.sentAt < electionRoundTimeoutMilliseconds) {
			return undefined;
		}

		this.#round = undefined;
		return round.number;
	}

	/** Postpones the next request until `at`. */
	waitUntil(at: number): void {
		this.#nextRequestAt = at;
	}

	/** Counts a vote; returns true if the lease was obtained or extended. */
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
		return this.#updateLease(round, majority, now);
	}

	#updateLease(round: Round, majority: number, now: number): boolean {
		const until = round.sentAt + candidateLeaseMilliseconds;
		if (until <= now) {
			return false;
		}

		const previous = this.lease(now);
		const revisions = [...round.votes.values()].toSorted((first, second) => second - first);
		const highest = revisions[0] ?? initialRevision;
		const reached = revisions[majority - 1] ?? initialRevision;
		const isRenewal = previous?.fencing === round.fencing;
		this.#lease = {
			fencing: round.fencing,
			until,
			revisionAtStart: isRenewal ? previous.revisionAtStart : highest,
			majorityRevision: isRenewal ? Math.max(previous.majorityRevision, reached) as Revision : reached,
		};
		return true;
	}
}
