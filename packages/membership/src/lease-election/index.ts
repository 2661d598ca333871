/**
The election of lease holders in a failure domain, as one node takes part in it: as
a witness and as a candidate.

Only witnesses are candidates, as a witness knows when the lease that it granted has
ended. The candidates start one after the other, in an order that differs by role.
*/

import type {
	FencingNumber, NodeId, RandomSource, Revision,
} from '@fireflyglade/model';
import {candidacyDelayMilliseconds, maximumRoundBackoffMilliseconds} from '../_lib/constants.js';
import type {Body, LeaseRequest, LeaseVote} from '../_lib/messages.js';
import {LeaseCandidate, type OwnLease} from '../lease-candidate/index.js';
import {LeaseWitness} from '../lease-witness/index.js';
import type {DomainRole} from '../types.js';

/** All leased roles. */
export const domainRoles: readonly DomainRole[] = ['holder', 'relay'];

/** A message to another witness of the domain. */
export type ElectionMessage = {
	readonly to: NodeId;
	readonly body: Body;
};

/** The messages to send after a call, and the roles whose own lease was obtained, extended or ended (`changed`). */
export type ElectionActions = {
	readonly messages: readonly ElectionMessage[];
	readonly changed: readonly DomainRole[];
};

/** Options of a lease election. */
export type LeaseElectionOptions = {
	readonly revision: Revision;
	readonly incarnation: number;
	readonly random: RandomSource;
	readonly now: number;
};

/** Combines the witness and the candidates of one node for all leased roles. */
export class LeaseElection {
	readonly #node: NodeId;
	readonly #random: RandomSource;
	readonly #witness: LeaseWitness;
	readonly #candidates: ReadonlyMap<DomainRole, LeaseCandidate>;
	/** Time at which this node first found its witness free to grant the lease of a role. */
	readonly #freeSince = new Map<DomainRole, number>();
	readonly #heldRoles = new Set<DomainRole>();
	#witnesses: readonly NodeId[] = [];
	#revision: Revision;
	#isCandidate = true;

	constructor(node: NodeId, {revision, incarnation, random, now}: LeaseElectionOptions) {
		this.#node = node;
		this.#random = random;
		this.#revision = revision;
		this.#witness = new LeaseWitness(now);
		this.#candidates = new Map(domainRoles.map(role => [role, new LeaseCandidate(role, node, incarnation)]));
	}

	setRevision(revision: Revision): void {
		this.#revision = revision;
	}

	/** Sets the domain's witnesses; `isProvisional` is true if the configuration names none, in which case a change suspends voting for one lease. */
	setWitnesses(witnesses: readonly NodeId[], isProvisional: boolean, now: number): void {
		if (witnesses.join(' ') === this.#witnesses.join(' ')) {
			return;
		}

		this.#witnesses = witnesses;
		if (isProvisional) {
			this.#witness.wait(now);
		}
	}

	/** Records a fencing number that is in use, so that no lower one is granted. */
	observeFencing(role: DomainRole, fencing: FencingNumber): void {
		this.#witness.observeFencing(role, fencing);
	}

	/** Returns the lease that this node holds, or undefined if it has ended. */
	ownLease(role: DomainRole, now: number): OwnLease | undefined {
		return this.#candidates.get(role)!.lease(now);
	}

	/** Stops requesting and renewing leases. Leases are not released but expire, as tokens lent under them may still be in use. */
	withdraw(): void {
		this.#isCandidate = false;
	}

	tick(now: number): ElectionActions {
		const messages: ElectionMessage[] = [];
		const changed: DomainRole[] = [];
		for (const role of domainRoles) {
			this.#abandonRound(role, messages, now);
			const request = this.#nextRequest(role, now);
			if (request !== undefined) {
				this.#sendToWitnesses(request, messages, changed, now);
			}

			this.#detectLeaseEnd(role, changed, now);
		}

		return {messages, changed};
	}

	/** Votes on another candidate's request. */
	receiveRequest(from: NodeId, request: LeaseRequest, now: number): ElectionActions {
		return {messages: [{to: from, body: {kind: 'lease-vote', vote: this.#vote(request, now)}}], changed: []};
	}

	/** Counts a witness's vote on this node's request. */
	receiveVote(from: NodeId, vote: LeaseVote, now: number): ElectionActions {
		const changed: DomainRole[] = [];
		this.#countVote(from, vote, changed, now);
		return {messages: [], changed};
	}

	/** Withdraws the vote in a round that its candidate abandoned. */
	receiveRelease(from: NodeId, role: DomainRole, round: number): void {
		this.#witness.release(role, from, round);
	}

	/** Releases the votes of a round without a majority, so that candidates don't block one another. */
	#abandonRound(role: DomainRole, messages: ElectionMessage[], now: number): void {
		const candidate = this.#candidates.get(role)!;
		const round = candidate.abandonRound(now);
		if (round === undefined) {
			return;
		}

		candidate.waitUntil(now + this.#random.nextInteger(maximumRoundBackoffMilliseconds));
		this.#witness.release(role, this.#node, round);
		for (const witness of this.#witnesses) {
			if (witness !== this.#node) {
				messages.push({to: witness, body: {kind: 'lease-release', role, round}});
			}
		}
	}

	#nextRequest(role: DomainRole, now: number): LeaseRequest | undefined {
		const position = this.#witnesses.indexOf(this.#node);
		if (position === -1 || !this.#isCandidate || !this.#canRequest(role, position, now)) {
			return undefined;
		}

		return this.#candidates.get(role)!.nextRequest(this.#witnesses, this.#witness.highestFencing(role), this.#revision, now);
	}

	/** Tells whether this node may request a lease: it holds it already, or its witness has been free for the delay of its place in the order of candidates. */
	#canRequest(role: DomainRole, position: number, now: number): boolean {
		if (this.ownLease(role, now) !== undefined) {
			return true;
		}

		if (!this.#witness.isFree(role, now)) {
			this.#freeSince.delete(role);
			return false;
		}

		const freeSince = this.#freeSince.get(role) ?? now;
		this.#freeSince.set(role, freeSince);
		const shift = domainRoles.indexOf(role);
		const rank = (position + shift) % this.#witnesses.length;
		return now >= freeSince + (rank * candidacyDelayMilliseconds);
	}

	#sendToWitnesses(request: LeaseRequest, messages: ElectionMessage[], changed: DomainRole[], now: number): void {
		for (const witness of this.#witnesses) {
			if (witness !== this.#node) {
				messages.push({to: witness, body: {kind: 'lease-request', request}});
			}
		}

		this.#countVote(this.#node, this.#vote(request, now), changed, now);
	}

	#vote(request: LeaseRequest, now: number): LeaseVote {
		const hasSameWitnesses = this.#witnesses.includes(this.#node) && request.witnesses.join(' ') === this.#witnesses.join(' ');
		return this.#witness.vote(request, hasSameWitnesses, this.#revision, now);
	}

	#countVote(from: NodeId, vote: LeaseVote, changed: DomainRole[], now: number): void {
		this.#witness.observeFencing(vote.role, vote.highestFencing);
		if (this.#candidates.get(vote.role)!.receive(from, vote, this.#witnesses, now)) {
			this.#heldRoles.add(vote.role);
			changed.push(vote.role);
		}
	}

	#detectLeaseEnd(role: DomainRole, changed: DomainRole[], now: number): void {
		if (this.#heldRoles.has(role) && this.ownLease(role, now) === undefined) {
			this.#heldRoles.delete(role);
			changed.push(role);
		}
	}
}
