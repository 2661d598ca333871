/**
Plans how the membership of the replicated log is repaired without an operator,
after control VMs or their disks are lost.

A control process that starts with an empty disk is a new member: it is added as a
learner, receives the log, and becomes a voter once it has caught up. A lost voter
is removed once a new voter has its address, or once its removal does not lower the
number of failures that the group tolerates. Each call plans one change, because the replicated log changes one
member at a time.
*/

import type {MemberSet} from '@fireflyglade/consensus';
import type {MemberId} from '@fireflyglade/model';

/** The membership as the leader sees it. */
export type MembershipView = {
	readonly members: MemberSet;
	readonly caughtUpLearners: readonly MemberId[];
	/** RPC address of each known control process, whether or not it is a member of the log. */
	readonly addresses: ReadonlyMap<MemberId, string>;
	/** Milliseconds since a member last introduced itself; `undefined` if it never did. */
	readonly millisecondsSinceContact: (member: MemberId) => number | undefined;
	/**
	Milliseconds for which this process has been the leader. Members that did not introduce
	themselves before, because of a restart or a partition, count as absent no longer than this.
	*/
	readonly millisecondsObserved: number;
	/** An absent voter without a successor (a present voter with the same address) is removed only while there are more voters than this. */
	readonly minimumVoters: number;
};

/** One change of the membership. */
export type MembershipRepair = {
	readonly action: 'add' | 'remove';
	readonly member: MemberId;
};

/** Time since the last introduction up to which a member counts as present; members introduce themselves every half second. */
const presenceTimeoutMilliseconds = 1600;
/** Time without introductions after which a voter is removed from an even number of voters, which does not lower the fault tolerance. */
const redundantVoterRemovalMilliseconds = 2500;
/** Time without introductions after which a learner is removed. */
const learnerRemovalMilliseconds = 10_000;

/**
Plans the next change of the membership. Learners are promoted first, then members
are removed, then new members are added as learners.

@param view - The membership as the leader sees it.
@returns The next change, or `undefined` if none is needed.
*/
export function planMembershipRepair(view: MembershipView): MembershipRepair | undefined {
	const {members, caughtUpLearners} = view;
	const promoted = members.learners.find(member => caughtUpLearners.includes(member) && isPresent(view, member));
	if (promoted !== undefined) {
		return {action: 'add', member: promoted};
	}

	const removed = members.voters.find(member => isVoterRemovable(view, member)) ?? members.learners.find(member => findObservedAbsence(view, member) > learnerRemovalMilliseconds);
	if (removed !== undefined) {
		return {action: 'remove', member: removed};
	}

	for (const member of view.addresses.keys()) {
		if (!members.voters.includes(member) && !members.learners.includes(member) && isPresent(view, member)) {
			return {action: 'add', member};
		}
	}

	return undefined;
}

/** An absent voter is removable if a present voter has the same address, or if the number of voters is even and above the minimum. */
function isVoterRemovable(view: MembershipView, member: MemberId): boolean {
	if (isPresent(view, member)) {
		return false;
	}

	const {members, addresses, minimumVoters} = view;
	const address = addresses.get(member);
	const hasSuccessor = address !== undefined && members.voters.some(other => other !== member && addresses.get(other) === address && isPresent(view, other));
	if (hasSuccessor) {
		return true;
	}

	const isRedundant = members.voters.length % 2 === 0 && members.voters.length > minimumVoters;
	return isRedundant && findObservedAbsence(view, member) > redundantVoterRemovalMilliseconds;
}

function isPresent(view: MembershipView, member: MemberId): boolean {
	return findMillisecondsSinceContact(view, member) <= presenceTimeoutMilliseconds;
}

/** Milliseconds for which a member has been absent while this process has been the leader. */
function findObservedAbsence(view: MembershipView, member: MemberId): number {
	return Math.min(findMillisecondsSinceContact(view, member), view.millisecondsObserved);
}

function findMillisecondsSinceContact(view: MembershipView, member: MemberId): number {
	return view.millisecondsSinceContact(member) ?? Number.POSITIVE_INFINITY;
}
