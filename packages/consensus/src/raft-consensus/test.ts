import {expect} from 'chai';
import type {MemberId} from '@fireflyglade/model';
import {SimulatedSet} from '../test-support/simulated-set.js';
import type {SimulatedMember} from '../test-support/simulated-member.js';
import type {ConsensusStatus, MemberSet} from '../types.js';
import {RaftConsensus} from './index.js';

function createSet(members: number): SimulatedSet {
	const set = new SimulatedSet({members, sabotage: 'none'});
	expect(set.runUntil(() => set.leader !== undefined)).to.equal(true);
	set.runCalm(10);
	return set;
}

function leaderOf(set: SimulatedSet): SimulatedMember {
	const {leader} = set;
	if (leader === undefined) {
		throw new TypeError('nobody leads');
	}

	return leader;
}

function statusOf(member: SimulatedMember): ConsensusStatus {
	const status = member.core?.status();
	if (status === undefined) {
		throw new TypeError(`${member.member} is down`);
	}

	return status;
}

function followersOf(set: SimulatedSet): SimulatedMember[] {
	return set.members.filter(member => member !== set.leader);
}

function firstOf(members: readonly SimulatedMember[]): SimulatedMember {
	const [first] = members;
	if (first === undefined) {
		throw new TypeError('no member is left');
	}

	return first;
}

/** Commits a command through whoever leads. */
function commit(set: SimulatedSet, commandId: string): boolean {
	const before = set.history.endedWrites;
	return set.runUntil(() => set.history.endedWrites > before, () => {
		set.proposeEverywhere(commandId);
	});
}

/** Adds a member, waits until it has caught up, and makes it a voter. */
function addVoter(set: SimulatedSet): SimulatedMember {
	const joining = set.addJoining(77);
	change(set, ({voters, learners}) => ({voters, learners: [...learners, joining.member]}));
	expect(set.runUntil(() => statusOf(leaderOf(set)).caughtUpLearners.includes(joining.member))).to.equal(true);
	change(set, ({voters}) => ({voters: [...voters, joining.member], learners: []}));
	return joining;
}

function removeVoter(set: SimulatedSet, member: MemberId): void {
	change(set, ({voters, learners}) => ({voters: voters.filter(voter => voter !== member), learners}));
}

function change(set: SimulatedSet, next: (members: MemberSet) => MemberSet): void {
	const leader = leaderOf(set);
	const index = statusOf(leader).lastIndex;
	set.proposeMembers(leader, next(statusOf(leader).members));
	expect(set.runUntil(() => statusOf(leader).commitIndex > index)).to.equal(true);
}

describe('RaftConsensus', () => {
	it('commits at once in a set of a single member, after its own sync', () => {
		const set = new SimulatedSet({members: 1, sabotage: 'none'});
		expect(commit(set, 'c1')).to.equal(true);
		set.read(leaderOf(set), 1);
		expect(set.history.endedReads).to.equal(1);
	});

	it('lets no message go before what it promises is synced', () => {
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

	it('is not disturbed by a follower that was cut off for long', () => {
		const set = createSet(3);
		const leader = leaderOf(set);
		const {term} = statusOf(leader);
		const isolated = firstOf(followersOf(set));
		set.isolate(isolated);
		commit(set, 'c1');
		set.runCalm(300);
		set.read(isolated, 1);
		set.runCalm(30);
		expect(set.history.endedReads).to.equal(0);
		set.heal();
		set.runCalm(40);
		expect(statusOf(leader)).to.include({role: 'leader', term});
		expect(isolated.appliedIndex).to.equal(leader.appliedIndex);
		expect(set.history.violation).to.equal(undefined);
	});

	it('replaces a leader that was cut off, which answers no read and disturbs nobody when it is back', () => {
		const set = createSet(3);
		const old = leaderOf(set);
		set.isolate(old);
		set.read(old, 1);
		set.propose(old, 'c1');
		expect(set.runUntil(() => set.leader !== undefined && set.leader !== old)).to.equal(true);
		expect(commit(set, 'c2')).to.equal(true);
		set.read(old, 2);
		set.runCalm(300);
		expect(statusOf(old).role).to.not.equal('leader');
		expect(set.history.endedReads).to.equal(0);
		const {term} = statusOf(leaderOf(set));
		set.heal();
		set.runCalm(40);
		expect(statusOf(old)).to.include({role: 'follower', term});
		expect(set.history.violation).to.equal(undefined);
	});

	it('goes on when a second member is lost right after the first was replaced', () => {
		const set = createSet(3);
		const lost = firstOf(followersOf(set));
		set.crash(lost, 1);
		addVoter(set);
		removeVoter(set, lost.member);
		set.crash(leaderOf(set), 1);
		expect(commit(set, 'after')).to.equal(true);
		expect(set.history.violation).to.equal(undefined);
	});

	for (const asJoining of [false, true]) {
		it(`lets a member that lost its disk neither vote nor acknowledge when it is started ${asJoining ? 'to join' : 'as before'}`, () => {
			const set = createSet(3);
			commit(set, 'c1');
			const leader = leaderOf(set);
			const wiped = firstOf(followersOf(set));
			set.wipe(wiped, 5, asJoining);
			set.runCalm(40);
			expect(statusOf(wiped).hasLostDisk).to.equal(true);
			set.crash(leader, 1);
			expect(set.runUntil(() => set.leader !== undefined)).to.equal(false);
			set.restartAll();
			expect(commit(set, 'c2')).to.equal(true);
			addVoter(set);
			removeVoter(set, wiped.member);
			expect(commit(set, 'c3')).to.equal(true);
			expect(set.history.violation).to.equal(undefined);
		});
	}

	it('brings a new member up by a snapshot in pieces, and lets it vote only then', () => {
		const set = createSet(3);
		for (let number = 0; number < 20; number++) {
			commit(set, `command-${number}`);
		}

		set.compact(leaderOf(set));
		const joining = addVoter(set);
		expect(set.history.snapshotsTaken).to.equal(1);
		expect(statusOf(joining)).to.include({role: 'follower', hasLostDisk: false});
	});

	it('refuses a change of the members that is no single step, or of a learner that has not caught up', () => {
		const set = createSet(3);
		const {core} = leaderOf(set);
		const {voters} = statusOf(leaderOf(set)).members;
		const propose = (members: MemberSet) => core?.propose({kind: 'members', members}, 0);
		expect(propose({voters: [...voters, 'm9' as MemberId], learners: []})).to.deep.equal({kind: 'members-refused', reason: 'not-one-step'});
		expect(propose({voters: [], learners: []})).to.deep.equal({kind: 'members-refused', reason: 'no-voter-left'});
		change(set, members => ({...members, learners: ['m9' as MemberId]}));
		expect(propose({voters: [...voters, 'm9' as MemberId], learners: []})).to.deep.equal({kind: 'members-refused', reason: 'not-caught-up'});
		set.proposeMembers(leaderOf(set), {voters, learners: []});
		expect(propose({voters, learners: []})).to.deep.equal({kind: 'members-refused', reason: 'change-pending'});
	});

	it('keeps its leader while the disks of all followers are slow', () => {
		const set = createSet(3);
		const leader = leaderOf(set);
		const {term} = statusOf(leader);
		set.propose(leader, 'c1');
		for (let number = 0; number < 100; number++) {
			set.round({
				kind: 'round', milliseconds: 25, seed: number, lossPercent: 0, delayPercent: 0, duplicatePercent: 0, slowDiskPercent: 100,
			});
		}

		expect(statusOf(leader)).to.include({role: 'leader', term});
		expect(set.history.endedWrites).to.equal(0);
		set.runCalm(10);
		expect(set.history.endedWrites).to.equal(1);
	});

	it('hands leadership over without waiting for a timeout', () => {
		const set = createSet(3);
		const old = leaderOf(set);
		set.transfer(old);
		set.runCalm(4);
		expect(set.leader).to.not.equal(old);
		expect(set.leader).to.not.equal(undefined);
	});

	it('keeps the first set waiting until all first members are there', () => {
		const set = new SimulatedSet({members: 3, sabotage: 'none'});
		set.crash(set.pick(2), 1);
		expect(set.runUntil(() => set.leader !== undefined)).to.equal(false);
		set.restartAll();
		expect(set.runUntil(() => set.leader !== undefined)).to.equal(true);
	});
});
