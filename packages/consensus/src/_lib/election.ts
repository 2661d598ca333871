/**
One attempt to become leader: a pre-vote, which asks whether an election could be
won without raising any member's term, and then the vote itself.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MemberState} from './member-state.js';
import {diskOf, majoritySize} from './quorum.js';

/** The grants that a candidate has received in a pre-vote or a vote. */
export class Election {
	/** Starts a pre-vote: asks every voter whether it would grant a vote in the next term. */
	static startPreVote(state: MemberState): Election {
		const {log, term, outbox, member, disk} = state;
		const election = new Election(state, true);
		for (const voter of log.members.voters) {
			if (voter !== member) {
				outbox.sendImmediately(voter, {
					kind: 'pre-vote-request', toDisk: diskOf(log.members, voter), term: term + 1, lastIndex: log.lastIndex, lastTerm: log.lastTerm,
				});
			}
		}

		election.recordGrant(member, disk);
		return election;
	}

	/** Starts a vote in the next term. This member's own vote counts once it is synced. */
	static startVote(state: MemberState, isTransfer: boolean): Election {
		state.advanceTerm(state.term + 1);
		state.vote(state.member);
		const {log, term, outbox, member, disk} = state;
		for (const voter of log.members.voters) {
			outbox.sendAfterSync(voter, voter === member
				? {
					kind: 'vote-response', term, granted: true, disk,
				}
				: {
					kind: 'vote-request', toDisk: diskOf(log.members, voter), term, lastIndex: log.lastIndex, lastTerm: log.lastTerm, isTransfer,
				});
		}

		return new Election(state, false);
	}

	/** True for a pre-vote, false for a vote. */
	readonly isPreVote: boolean;
	readonly #state: MemberState;
	readonly #disks = new Map<MemberId, string>();

	private constructor(state: MemberState, isPreVote: boolean) {
		this.#state = state;
		this.isPreVote = isPreVote;
	}

	/** The disk identifiers of the members that granted their vote. */
	get disks(): ReadonlyMap<MemberId, string> {
		return this.#disks;
	}

	/**
	True once enough voters have granted their vote. The first election of a new
	cluster must be unanimous, because the disks of the voters are recorded from
	their votes.
	*/
	get isWon(): boolean {
		const {members, lastIndex} = this.#state.log;
		const granted = members.voters.filter(voter => this.#disks.has(voter)).length;
		return granted >= (lastIndex <= 1 ? members.voters.length : majoritySize(members));
	}

	recordGrant(from: MemberId, disk: string): void {
		this.#disks.set(from, disk);
	}
}
