import {SeededRandom} from '@fireflyglade/model';
import {expect} from 'chai';
import {
	addVoter, commit, createCluster, followersOf, leaderOf, removeVoter, statusOf,
} from '../drive-cluster.js';
import type {SimulatedCluster} from '../simulated-cluster.js';
import type {SimulatedMember} from '../simulated-member.js';

type LostRole = 'leader' | 'acknowledging follower' | 'other follower';

const lostRoles: readonly LostRole[] = ['leader', 'acknowledging follower', 'other follower'];
const seedCount = 60;
const maximumAcknowledgementRounds = 200;

/** Runs a round with delayed messages and slow disks. */
function roundWithDelays(cluster: SimulatedCluster, random: SeededRandom): void {
	cluster.round({
		kind: 'round', milliseconds: 2, seed: random.nextInteger(2 ** 30), lossPercent: 0, delayPercent: 40, duplicatePercent: 5, slowDiskPercent: 50,
	});
}

/** Proposes a command and returns right after the round in which it was acknowledged. */
function acknowledge(cluster: SimulatedCluster, commandId: string, random: SeededRandom): void {
	const before = cluster.history.endedWrites;
	cluster.propose(leaderOf(cluster), commandId);
	for (let number = 0; number < maximumAcknowledgementRounds && cluster.history.endedWrites === before; number++) {
		roundWithDelays(cluster, random);
	}

	expect(cluster.history.endedWrites).to.be.above(before);
}

function findLost(cluster: SimulatedCluster, role: LostRole): SimulatedMember {
	const leader = leaderOf(cluster);
	const followers = followersOf(cluster).filter(follower => follower.isUp).sort((first, second) => second.writtenIndex - first.writtenIndex);
	return role === 'leader' ? leader : followers.at(role === 'acknowledging follower' ? 0 : -1)!;
}

/** Checks that the group recovers without the lost members, and that the remaining ones have what was acknowledged and show nothing older. */
function expectRecovery(cluster: SimulatedCluster, lost: readonly SimulatedMember[]): void {
	const acknowledgedIndex = cluster.history.committedIndex;
	expect(commit(cluster, 'after the loss')).to.equal(true);
	for (const member of lost) {
		const joined = addVoter(cluster);
		removeVoter(cluster, member.member);
		expect(statusOf(leaderOf(cluster)).members.voters).to.include(joined.member).and.not.to.include(member.member);
	}

	expect(commit(cluster, 'after the replacement')).to.equal(true);
	const before = cluster.history.endedReads;
	for (const [position, member] of cluster.members.entries()) {
		cluster.read(member, 1000 + position);
	}

	cluster.runWithoutFaults(20);
	const present = cluster.members.filter(member => !lost.includes(member));
	expect(cluster.history.endedReads - before).to.equal(present.length);
	for (const member of present) {
		expect(member.appliedIndex).to.be.at.least(acknowledgedIndex + 1);
	}

	expect(cluster.history.violation).to.equal(undefined);
}

/** Runs a case with several seeds for each role of the lost member. */
function forEachLoss(members: number, run: (cluster: SimulatedCluster, role: LostRole, random: SeededRandom) => void): void {
	for (const role of lostRoles) {
		for (let seed = 1; seed <= seedCount; seed++) {
			run(createCluster(members), role, new SeededRandom(seed));
		}
	}
}

describe('losses of members right after an acknowledgement', function () {
	this.timeout(60_000);

	it('keeps what was acknowledged if one disk is lost at once', () => {
		forEachLoss(3, (cluster, role, random) => {
			acknowledge(cluster, 'acknowledged', random);
			const lost = findLost(cluster, role);
			cluster.crash(lost, random.nextInteger(1000));
			expectRecovery(cluster, [lost]);
		});
	});

	it('keeps what was acknowledged if one disk is lost within 4 ms while all others lose power', () => {
		forEachLoss(3, (cluster, role, random) => {
			acknowledge(cluster, 'acknowledged', random);
			const lost = findLost(cluster, role);
			cluster.crash(lost, random.nextInteger(1000));
			for (let number = 0; number < random.nextInteger(3); number++) {
				roundWithDelays(cluster, random);
			}

			const others = cluster.members.filter(member => member !== lost);
			for (const member of others) {
				cluster.crash(member, random.nextInteger(1000));
			}

			cluster.runWithoutFaults(20);
			for (const member of others) {
				cluster.restart(member, random.nextInteger(1000));
			}

			expectRecovery(cluster, [lost]);
		});
	});

	it('keeps what was acknowledged if two disks of five are lost while the others lose power', () => {
		forEachLoss(5, (cluster, role, random) => {
			acknowledge(cluster, 'acknowledged', random);
			const first = findLost(cluster, role);
			cluster.crash(first, random.nextInteger(1000));
			const second = cluster.members.filter(member => member !== first).sort((left, right) => right.writtenIndex - left.writtenIndex)[0]!;
			const lost = [first, second];
			for (const member of cluster.members) {
				cluster.crash(member, random.nextInteger(1000));
			}

			for (const member of cluster.members.filter(other => !lost.includes(other))) {
				cluster.restart(member, random.nextInteger(1000));
			}

			expectRecovery(cluster, lost);
		});
	});

	it('keeps what was acknowledged if all members are killed at once and start again', () => {
		forEachLoss(3, (cluster, _role, random) => {
			acknowledge(cluster, 'acknowledged', random);
			for (const member of cluster.members) {
				cluster.crash(member, random.nextInteger(1000));
			}

			cluster.restartAll();
			expectRecovery(cluster, []);
		});
	});
});

describe('stalled disks', function () {
	this.timeout(60_000);

	it('commits while the disk of the leader or of one follower is stalled', () => {
		for (const role of lostRoles) {
			const cluster = createCluster(3);
			const {term} = statusOf(leaderOf(cluster));
			const stalled = findLost(cluster, role);
			cluster.stallDisk(stalled);
			expect(commit(cluster, 'during the stall')).to.equal(true);
			cluster.runWithoutFaults(200);
			cluster.resumeDisk(stalled);
			cluster.runWithoutFaults(40);
			expect(statusOf(leaderOf(cluster)).term).to.equal(term);
			expect(statusOf(leaderOf(cluster)).commitIndex).to.equal(statusOf(stalled).commitIndex);
			expect(cluster.history.violation).to.equal(undefined);
		}
	});

	it('writes a snapshot that was taken during a stall only once the entries that it covers are synced', () => {
		const cluster = createCluster(3);
		const leader = leaderOf(cluster);
		cluster.stallDisk(leader);
		for (let number = 0; number < 20; number++) {
			expect(commit(cluster, `command-${number}`)).to.equal(true);
		}

		cluster.compact(leader);
		cluster.resumeDisk(leader);
		cluster.runWithoutFaults(10);
		cluster.crash(leader, 1);
		cluster.restart(leader, 1);
		expect(cluster.history.restoredSnapshots).to.equal(1);
		expect(commit(cluster, 'after the stall')).to.equal(true);
		expect(cluster.history.violation).to.equal(undefined);
	});

	it('elects a leader while the disk of one of five members is stalled, and keeps it once that disk resumes', () => {
		for (const stalledPosition of [0, 1, 2, 3]) {
			const cluster = createCluster(5);
			const lost = leaderOf(cluster);
			const stalled = followersOf(cluster)[stalledPosition]!;
			cluster.stallDisk(stalled);
			cluster.crash(lost, 1);
			expect(commit(cluster, 'during the stall')).to.equal(true);
			cluster.runWithoutFaults(200);
			const leader = leaderOf(cluster);
			cluster.resumeDisk(stalled);
			cluster.runWithoutFaults(80);
			expect(leaderOf(cluster), `${stalled.member} stalled: ${cluster.describe()}`).to.equal(leader);
			expectRecovery(cluster, [lost]);
		}
	});

	it('serves again after a stall of a follower during which the leader of three is lost', () => {
		for (const stalledPosition of [0, 1]) {
			const cluster = createCluster(3);
			expect(commit(cluster, 'before the stall')).to.equal(true);
			const lost = leaderOf(cluster);
			const stalled = followersOf(cluster)[stalledPosition]!;
			cluster.stallDisk(stalled);
			cluster.crash(lost, 1);
			cluster.runWithoutFaults(200);
			cluster.resumeDisk(stalled);
			expectRecovery(cluster, [lost]);
		}
	});
});

describe('groups split in halves', function () {
	this.timeout(60_000);

	for (const members of [4, 5]) {
		it(`keeps what was acknowledged if a group of ${members} is split for seconds and then loses a member`, () => {
			forEachLoss(members, (cluster, role, random) => {
				acknowledge(cluster, 'acknowledged', random);
				for (const [position, member] of cluster.members.entries()) {
					for (const other of cluster.members.slice(position + 1)) {
						if (cluster.members.indexOf(other) % 2 !== position % 2) {
							cluster.cut(member, other);
							cluster.cut(other, member);
						}
					}
				}

				cluster.proposeEverywhere('during the split');
				for (const [position, member] of cluster.members.entries()) {
					cluster.read(member, position);
				}

				cluster.runWithoutFaults(120 + random.nextInteger(40));
				cluster.heal();
				expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
				const lost = findLost(cluster, role);
				cluster.crash(lost, random.nextInteger(1000));
				expectRecovery(cluster, [lost]);
			});
		});
	}
});
