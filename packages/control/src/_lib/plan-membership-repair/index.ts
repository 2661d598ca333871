/**
Decides how the members of the replicated log are repaired without an operator.

Answers the loss of control VMs and of their disks: whoever comes with an empty
disk comes as a new member, receives the log, and then votes; a voter that is
gone gives its place up once that costs no tolerance. Each call gives one step, as
the replicated log changes one member at a time.
*/

import type {MemberSet} from '@fireflyglade/consensus';
import type {MemberId} from '@fireflyglade/model';

/** What the leader knows of the members. */
export type MembershipView = {
	readonly members: MemberSet;
	readonly caughtUpLearners: readonly MemberId[];
	/** RPC address of each member that is known, whether or not it belongs to the log. */
	readonly addresses: ReadonlyMap<MemberId, string>;
	/** Milliseconds since a member introduced itself; undefined if it never did. */
	readonly millisecondsSinceContact: (member: MemberId) => number | undefined;
	/** Voters below which none is removed for its silence alone. */
	readonly minimumVoters: number;
};

/** One step of the repair. */
export type MembershipRepair = {
	readonly action: 'add' | 'remove';
	readonly member: MemberId;
};

/** Silence up to which a member counts as present; introductions come every half second. */
const presenceTimeoutMilliseconds = 1600;
/** Silence after which an even number of voters gives a silent one up, which costs no tolerance. */
const redundantVoterRemovalMilliseconds = 2500;
/** Silence after which a learner is given up. */
const learnerRemovalMilliseconds = 10_000;

/**
The next step of the repair, or undefined if there is none.

@param view - What the leader knows.
*/
export function planMembershipRepair(view: MembershipView): MembershipRepair | undefined {
	const {members, caughtUpLearners} = view;
	const promoted = members.learners.find(member => caughtUpLearners.includes(member) && isPresent(view, member));
	if (promoted !== undefined) {
		return {action: 'add', member: promoted};
	}

	const removed = members.voters.find(member => isVoterRemovable(view, member)) ?? members.learners.find(member => (findMillisecondsSinceContact(view, member)) > learnerRemovalMilliseconds);
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

/** A voter is gone if another voter runs at its address, or if it is silent and its vote is one too many. */
function isVoterRemovable(view: MembershipView, member: MemberId): boolean {
	if (isPresent(view, member)) {
		return false;
	}

	const {members, addresses, minimumVoters} = view;
	const address = addresses.get(member);
	const isSucceeded = address !== undefined && members.voters.some(other => other !== member && addresses.get(other) === address && isPresent(view, other));
	if (isSucceeded) {
		return true;
	}

	const isSpare = members.voters.length % 2 === 0 && members.voters.length > minimumVoters;
	return isSpare && findMillisecondsSinceContact(view, member) > redundantVoterRemovalMilliseconds;
}

function isPresent(view: MembershipView, member: MemberId): boolean {
	return findMillisecondsSinceContact(view, member) <= presenceTimeoutMilliseconds;
}

function findMillisecondsSinceContact(view: MembershipView, member: MemberId): number {
	return view.millisecondsSinceContact(member) ?? Number.POSITIVE_INFINITY;
}
