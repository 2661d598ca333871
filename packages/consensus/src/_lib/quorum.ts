/**
Majorities of voters, and the rules for single-step membership changes.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MembershipChangeRefusal, MemberSet} from '../types.js';

/** The number of voters that form a majority. */
export function majoritySize(members: MemberSet): number {
	return Math.floor(members.voters.length / 2) + 1;
}

/** The highest value that a majority of the voters has reached or exceeded. */
export function quorumValue(members: MemberSet, valueOf: (voter: MemberId) => number): number {
	const values = members.voters.map(voter => valueOf(voter));
	values.sort((first, second) => second - first);
	return values[majoritySize(members) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** The recorded disk identifier of a voter; undefined if none was recorded. */
export function diskOf(members: MemberSet, member: MemberId): string | undefined {
	return members.disks?.[member];
}

/** Adds the disk identifiers of the voters to a member set. Identifiers recorded in `known` take precedence over `reported` ones. */
export function withDisks(members: MemberSet, known: MemberSet, reported: ReadonlyMap<MemberId, string>): MemberSet {
	const disks: Record<string, string> = {};
	for (const voter of members.voters) {
		const disk = diskOf(known, voter) ?? reported.get(voter);
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
Checks that a membership change is a single step: it adds a learner, promotes a
learner to voter, or removes one member.

@param isCaughtUp - Returns true if a learner's log is close enough to the end of the leader's log.
@returns The reason for a refusal, or undefined if the change is allowed.
*/
export function findMembershipChangeRefusal(previous: MemberSet, next: MemberSet, isCaughtUp: (learner: MemberId) => boolean): MembershipChangeRefusal | undefined {
	if (next.voters.length === 0) {
		return 'no-voter-left';
	}

	if (hasDuplicates(next)) {
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

function hasDuplicates(members: MemberSet): boolean {
	const all = [...members.voters, ...members.learners];
	return new Set(all).size !== all.length;
}
