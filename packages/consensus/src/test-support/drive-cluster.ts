/**
Steps that tests of a simulated cluster share: they bring about an election, a commit
or a change of the members, and fail if it doesn't happen.
*/

import type {MemberId} from '@fireflyglade/model';
import {expect} from 'chai';
import type {ConsensusStatus, MemberSet} from '../types.js';
import {SimulatedCluster} from './simulated-cluster.js';
import type {SimulatedMember} from './simulated-member.js';

/** Creates a cluster that has elected its first leader. */
export function createCluster(members: number): SimulatedCluster {
	const cluster = new SimulatedCluster({members, injectedFault: 'none'});
	expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
	cluster.runWithoutFaults(10);
	return cluster;
}

export function leaderOf(cluster: SimulatedCluster): SimulatedMember {
	const {leader} = cluster;
	if (leader === undefined) {
		throw new TypeError('there is no leader');
	}

	return leader;
}

export function statusOf(member: SimulatedMember): ConsensusStatus {
	const status = member.core?.status();
	if (status === undefined) {
		throw new TypeError(`${member.member} is down`);
	}

	return status;
}

export function followersOf(cluster: SimulatedCluster): SimulatedMember[] {
	return cluster.members.filter(member => member !== cluster.leader);
}

export function firstOf(members: readonly SimulatedMember[]): SimulatedMember {
	const [first] = members;
	if (first === undefined) {
		throw new TypeError('the list of members is empty');
	}

	return first;
}

/** Proposes a command on all members in each round until it is committed; returns false if it is not committed after 400 rounds. */
export function commit(cluster: SimulatedCluster, commandId: string): boolean {
	const before = cluster.history.endedWrites;
	return cluster.runUntil(() => cluster.history.endedWrites > before, () => {
		cluster.proposeEverywhere(commandId);
	});
}

/** Adds a member as a learner, waits until it has caught up, and promotes it to voter. */
export function addVoter(cluster: SimulatedCluster): SimulatedMember {
	const joining = cluster.addJoiningMember(77);
	changeMembers(cluster, ({voters, learners}) => ({voters, learners: [...learners, joining.member]}));
	expect(cluster.runUntil(() => statusOf(leaderOf(cluster)).caughtUpLearners.includes(joining.member))).to.equal(true);
	changeMembers(cluster, ({voters}) => ({voters: [...voters, joining.member], learners: []}));
	return joining;
}

export function removeVoter(cluster: SimulatedCluster, member: MemberId): void {
	changeMembers(cluster, ({voters, learners}) => ({voters: voters.filter(voter => voter !== member), learners}));
}

/** Proposes a membership change on the leader and waits until it is committed. */
export function changeMembers(cluster: SimulatedCluster, next: (members: MemberSet) => MemberSet): void {
	const leader = leaderOf(cluster);
	const index = statusOf(leader).lastIndex;
	cluster.proposeMembers(leader, next(statusOf(leader).members));
	expect(cluster.runUntil(() => statusOf(leader).commitIndex > index)).to.equal(true);
}
