import {expect} from 'chai';
import type {MemberId} from '@fireflyglade/model';
import {
	addVoter, changeMembers, commit, createCluster, firstOf, followersOf, leaderOf, removeVoter, statusOf,
} from '../test-support/drive-cluster.js';
import {SimulatedCluster} from '../test-support/simulated-cluster.js';
import type {MemberSet} from '../types.js';
import {RaftConsensus} from './index.js';

describe('RaftConsensus', () => {
	it('commits and reads in a cluster of one member without waiting for others', () => {
		const cluster = new SimulatedCluster({members: 1, injectedFault: 'none'});
		expect(commit(cluster, 'c1')).to.equal(true);
		cluster.read(leaderOf(cluster), 1);
		expect(cluster.history.endedReads).to.equal(1);
	});

	it('sends a granted vote only after the vote is synced', () => {
		const voters = ['m1', 'm2', 'm3'] as MemberId[];
		const consensus = new RaftConsensus({
			member: 'm1' as MemberId, stored: {hardState: {term: 0}, entries: []}, initialMembers: {voters, learners: []}, randomSeed: 1, now: 0,
		});
		const [first] = consensus.tick(0);
		expect(first).to.deep.include({kind: 'persist', number: 1});
		consensus.persisted(1, 0);
		const request = {
			kind: 'vote-request', toDisk: undefined, term: 2, lastIndex: 1, lastTerm: 1, isTransfer: false,
		};
		const actions = consensus.receive({from: 'm2' as MemberId, to: 'm1' as MemberId, payload: request}, 1);
		expect(actions.map(action => action.kind)).to.deep.equal(['persist']);
		const afterSync = consensus.persisted(2, 2);
		expect(afterSync.map(action => action.kind)).to.deep.equal(['send']);
		expect(afterSync[0]).to.have.nested.property('message.payload.granted', true);
	});

	it('keeps leader and term when a follower returns from a long network partition', () => {
		const cluster = createCluster(3);
		const leader = leaderOf(cluster);
		const {term} = statusOf(leader);
		const isolated = firstOf(followersOf(cluster));
		cluster.isolate(isolated);
		commit(cluster, 'c1');
		cluster.runWithoutFaults(300);
		cluster.read(isolated, 1);
		cluster.runWithoutFaults(30);
		expect(cluster.history.endedReads).to.equal(0);
		cluster.heal();
		cluster.runWithoutFaults(40);
		expect(statusOf(leader)).to.include({role: 'leader', term});
		expect(isolated.appliedIndex).to.equal(leader.appliedIndex);
		expect(cluster.history.violation).to.equal(undefined);
	});

	it('replaces a partitioned leader, which serves no read and follows the new leader when it returns', () => {
		const cluster = createCluster(3);
		const old = leaderOf(cluster);
		cluster.isolate(old);
		cluster.read(old, 1);
		cluster.propose(old, 'c1');
		expect(cluster.runUntil(() => cluster.leader !== undefined && cluster.leader !== old)).to.equal(true);
		expect(commit(cluster, 'c2')).to.equal(true);
		cluster.read(old, 2);
		cluster.runWithoutFaults(300);
		expect(statusOf(old).role).to.not.equal('leader');
		expect(cluster.history.endedReads).to.equal(0);
		const {term} = statusOf(leaderOf(cluster));
		cluster.heal();
		cluster.runWithoutFaults(40);
		expect(statusOf(old)).to.include({role: 'follower', term});
		expect(cluster.history.violation).to.equal(undefined);
	});

	it('still commits when a second member is lost right after the first was replaced', () => {
		const cluster = createCluster(3);
		const lost = firstOf(followersOf(cluster));
		cluster.crash(lost, 1);
		addVoter(cluster);
		removeVoter(cluster, lost.member);
		cluster.crash(leaderOf(cluster), 1);
		expect(commit(cluster, 'after')).to.equal(true);
		expect(cluster.history.violation).to.equal(undefined);
	});

	for (const asJoining of [false, true]) {
		it(`does not let a member that lost its disk vote or acknowledge entries when it is started ${asJoining ? 'to join' : 'as before'}`, () => {
			const cluster = createCluster(3);
			commit(cluster, 'c1');
			const leader = leaderOf(cluster);
			const memberWithLostDisk = firstOf(followersOf(cluster));
			cluster.replaceDisk(memberWithLostDisk, 5, asJoining);
			cluster.runWithoutFaults(40);
			expect(statusOf(memberWithLostDisk).hasLostDisk).to.equal(true);
			cluster.crash(leader, 1);
			expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(false);
			cluster.restartAll();
			expect(commit(cluster, 'c2')).to.equal(true);
			addVoter(cluster);
			removeVoter(cluster, memberWithLostDisk.member);
			expect(commit(cluster, 'c3')).to.equal(true);
			expect(cluster.history.violation).to.equal(undefined);
		});
	}

	it('sends a new member a snapshot in chunks before it becomes a voter', () => {
		const cluster = createCluster(3);
		for (let number = 0; number < 20; number++) {
			commit(cluster, `command-${number}`);
		}

		cluster.compact(leaderOf(cluster));
		const joining = addVoter(cluster);
		expect(cluster.history.restoredSnapshots).to.equal(1);
		expect(statusOf(joining)).to.include({role: 'follower', hasLostDisk: false});
	});

	it('refuses an invalid membership change, the promotion of a lagging learner, and a change while another is pending', () => {
		const cluster = createCluster(3);
		const {core} = leaderOf(cluster);
		const {voters} = statusOf(leaderOf(cluster)).members;
		const propose = (members: MemberSet) => core?.propose({kind: 'members', members}, 0);
		expect(propose({voters: [...voters, 'm9' as MemberId], learners: []})).to.deep.equal({kind: 'members-refused', reason: 'not-one-step'});
		expect(propose({voters: [], learners: []})).to.deep.equal({kind: 'members-refused', reason: 'no-voter-left'});
		changeMembers(cluster, members => ({...members, learners: ['m9' as MemberId]}));
		expect(propose({voters: [...voters, 'm9' as MemberId], learners: []})).to.deep.equal({kind: 'members-refused', reason: 'not-caught-up'});
		cluster.proposeMembers(leaderOf(cluster), {voters, learners: []});
		expect(propose({voters, learners: []})).to.deep.equal({kind: 'members-refused', reason: 'change-pending'});
	});

	it('keeps the leader while the disks of all members are slow', () => {
		const cluster = createCluster(3);
		const leader = leaderOf(cluster);
		const {term} = statusOf(leader);
		cluster.propose(leader, 'c1');
		for (let number = 0; number < 100; number++) {
			cluster.round({
				kind: 'round', milliseconds: 25, seed: number, lossPercent: 0, delayPercent: 0, duplicatePercent: 0, slowDiskPercent: 100,
			});
		}

		expect(statusOf(leader)).to.include({role: 'leader', term});
		expect(cluster.history.endedWrites).to.equal(0);
		cluster.runWithoutFaults(10);
		expect(cluster.history.endedWrites).to.equal(1);
	});

	it('transfers leadership without waiting for an election timeout', () => {
		const cluster = createCluster(3);
		const old = leaderOf(cluster);
		cluster.transfer(old);
		cluster.runWithoutFaults(4);
		expect(cluster.leader).to.not.equal(old);
		expect(cluster.leader).to.not.equal(undefined);
	});

	it('elects the first leader of a new cluster only when all initial members are up', () => {
		const cluster = new SimulatedCluster({members: 3, injectedFault: 'none'});
		cluster.crash(cluster.pick(2), 1);
		expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(false);
		cluster.restartAll();
		expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
	});
});
