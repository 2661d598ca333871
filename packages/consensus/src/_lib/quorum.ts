/**
Majorities, and the single steps by which members change.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MembershipChangeRefusal, MemberSet} from '../types.js';

/** Number of voters that make a majority. */
export function majority(members: MemberSet): number {
	return Math.floor(members.voters.length / 2) + 1;
}

/** The highest value that a majority of the voters has reached. */
export function quorumValue(members: MemberSet, valueOf: (voter: MemberId) => number): number {
	const values = members.voters.map(voter => valueOf(voter));
	values.sort((first, second) => second - first);
	return values[majority(members) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** The disk of a voter, if it was recorded. */
export function diskOf(members: MemberSet, member: MemberId): string | undefined {
	return members.disks?.[member];
}

/** The member set with the disks of its voters: those known before, and newly learned ones. */
export function withDisks(members: MemberSet, known: MemberSet, learned: ReadonlyMap<MemberId, string>): MemberSet {
	const disks: Record<string, string> = {};
	for (const voter of members.voters) {
		const disk = diskOf(known, voter) ?? learned.get(voter);
		if (disk !== undefined) {
			disks[voter] = disk;
		}
	}

	return {voters: members.voters, learners: members.learners, disks};
}

/** True if a member is a voter or a learner. */
export function isMember(members: MemberSet, member: MemberId): boolean {
	return members.voters.includes(member) || members.learners.includes(member);
}

/**
Checks that a member set follows another one by a single step: a learner is
added, a learner becomes a voter, or one member is removed.

@param isCaughtUp - Whether a learner has the log but for a short rest.
*/
export function findStepFault(previous: MemberSet, next: MemberSet, isCaughtUp: (learner: MemberId) => boolean): MembershipChangeRefusal | undefined {
	if (next.voters.length === 0) {
		return 'no-voter-left';
	}

	if (hasRepetition(next)) {
		return 'not-one-step';
	}

	const addedVoters = next.voters.filter(voter => !previous.voters.includes(voter));
	const addedLearners = next.learners.filter(learner => !isMember(previous, learner));
	const removed = [...previous.voters, ...previous.learners].filter(member => !isMember(next, member));
	const demoted = next.learners.filter(learner => previous.voters.includes(learner));
	if (addedVoters.length + addedLearners.length + removed.length + demoted.length !== 1 || demoted.length > 0) {
		return 'not-one-step';
	}

	const promoted = addedVoters[0];
	if (promoted === undefined) {
		return undefined;
	}

	if (!previous.learners.includes(promoted)) {
		return 'not-one-step';
	}

	return isCaughtUp(promoted) ? undefined : 'not-caught-up';
}

function hasRepetition(members: MemberSet): boolean {
	const all = [...members.voters, ...members.learners];
	return new Set(all).size !== all.length;
}
