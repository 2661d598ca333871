/**
One try to become leader: first the question whether a vote could be won, which
disturbs nobody, then the vote itself.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MemberState} from './member-state.js';
import {diskOf, majority} from './quorum.js';

/** A member that wants to become leader. */
export class Election {
	/** Asks whether a vote could be won. */
	static startPreVote(state: MemberState): Election {
		const {log, term, durability, member, disk} = state;
		const election = new Election(state, true);
		for (const voter of log.members.voters) {
			if (voter !== member) {
				durability.sendNow(voter, {
					kind: 'pre-vote-request', toDisk: diskOf(log.members, voter), term: term + 1, lastIndex: log.lastIndex, lastTerm: log.lastTerm,
				});
			}
		}

		election.takeGrant(member, disk);
		return election;
	}

	/** Asks for votes in the next term; the own vote counts once it is synced. */
	static startVote(state: MemberState, isTransfer: boolean): Election {
		state.raiseTerm(state.term + 1);
		state.vote(state.member);
		const {log, term, durability, member, disk} = state;
		for (const voter of log.members.voters) {
			durability.sendDurable(voter, voter === member
				? {
					kind: 'vote-response', term, granted: true, disk,
				}
				: {
					kind: 'vote-request', toDisk: diskOf(log.members, voter), term, lastIndex: log.lastIndex, lastTerm: log.lastTerm, isTransfer,
				});
		}

		return new Election(state, false);
	}

	/** True while it is only asked whether a vote could be won. */
	readonly isPreVote: boolean;
	readonly #state: MemberState;
	readonly #disks = new Map<MemberId, string>();

	private constructor(state: MemberState, isPreVote: boolean) {
		this.#state = state;
		this.isPreVote = isPreVote;
	}

	/** The disks of those who granted. */
	get disks(): ReadonlyMap<MemberId, string> {
		return this.#disks;
	}

	/**
	True once enough voters have granted. The first election of a fresh set must be
	unanimous, since the disks of the voters are recorded from their votes.
	*/
	get isWon(): boolean {
		const {members, lastIndex} = this.#state.log;
		const granted = members.voters.filter(voter => this.#disks.has(voter)).length;
		return granted >= (lastIndex <= 1 ? members.voters.length : majority(members));
	}

	takeGrant(from: MemberId, disk: string): void {
		this.#disks.set(from, disk);
	}
}
