import {expect} from 'chai';
import {
	ControlGroup, waitUntil, type Ending, type GroupMember,
} from '../control-group.js';

const createTeam = (name: string): string => `create team ${name} rate 20/s burst 10`;

function followersOf(group: ControlGroup): readonly GroupMember[] {
	return group.running.filter(member => member !== group.leader);
}

describe('losses of control processes', function () {
	this.timeout(60_000);
	let group: ControlGroup;

	beforeEach(async () => {
		group = await ControlGroup.start(3);
		expect(await group.send(createTeam('acknowledged'))).to.include({kind: 'changed', revision: 1});
	});

	afterEach(async () => group.close());

	/** Checks that every running process shows these teams at once, so that no state older than the acknowledged one is shown. */
	async function expectTeams(...teams: readonly string[]): Promise<void> {
		for (const member of group.running) {
			const shown = await group.send('show teams', [member]);
			for (const team of teams) {
				expect(JSON.stringify(shown), member.member).to.contain(team);
			}
		}
	}

	async function waitForReplacement(lost: GroupMember, joined: GroupMember): Promise<void> {
		await waitUntil(() => group.voters.includes(joined.member) && !group.voters.includes(lost.member), `${joined.member} votes and ${lost.member} is removed`);
	}

	/** Checks that the new member counts: the group goes on after the loss of another one. */
	async function expectToSurviveAnotherLoss(joined: GroupMember): Promise<void> {
		expect(group.voters).to.have.lengthOf(3);
		await group.end(group.running.find(member => member !== joined)!, 'killed');
		expect(await group.send(createTeam('after-another'))).to.include({kind: 'changed'});
		await expectTeams('acknowledged', 'after-another');
	}

	type Case = readonly [role: 'leader' | 'follower', ending: Ending, address: 'same' | 'other', moment: 'before' | 'after'];
	const cases: readonly Case[] = [
		['leader', 'killed', 'other', 'after'],
		['leader', 'stopped', 'other', 'before'],
		['follower', 'killed', 'other', 'before'],
		['follower', 'stopped', 'other', 'after'],
		['leader', 'killed', 'same', 'after'],
		['follower', 'stopped', 'same', 'after'],
	];
	async function checkReplacement([role, ending, address, moment]: Case): Promise<void> {
		const lost = role === 'leader' ? group.leader! : followersOf(group)[0]!;
		const seeds = group.addresses;
		let joined: GroupMember | undefined;
		if (moment === 'before') {
			joined = await group.join(seeds);
		}

		await group.end(lost, ending);
		joined ??= await group.join(seeds, address === 'same' ? lost.control.rpcAddress : undefined);
		expect(await group.send(createTeam('meanwhile'))).to.include({kind: 'changed', revision: 2});
		await waitForReplacement(lost, joined);
		await expectTeams('acknowledged', 'meanwhile');
		await expectToSurviveAnotherLoss(joined);
	}

	for (const oneCase of cases) {
		const [role, ending, address, moment] = oneCase;
		it(`replaces a ${role} that is ${ending} and loses its disk, by an empty one that starts ${moment} the loss at the ${address} address`, async () => checkReplacement(oneCase));
	}

	async function checkRestartOfAll(ending: Ending): Promise<void> {
		const ended = await Promise.all(group.running.map(async member => group.end(member, ending)));
		for (const member of ended) {
			await group.restart(member);
		}

		await waitUntil(() => group.leader !== undefined, 'a leader after the restart');
		await expectTeams('acknowledged');
		expect(await group.send(createTeam('after'))).to.include({kind: 'changed', revision: 2});
		expect(group.voters).to.have.lengthOf(3);
	}

	for (const ending of ['killed', 'power-lost'] as const) {
		it(`keeps what was acknowledged when all processes are ${ending} at once and start again`, async () => checkRestartOfAll(ending));
	}

	async function checkLostDisk(role: 'leader' | 'follower'): Promise<void> {
		const lost = role === 'leader' ? group.leader! : followersOf(group)[0]!;
		await group.send(createTeam('just-acknowledged'));
		const ended = await Promise.all(group.running.map(async member => group.end(member, 'power-lost')));
		for (const member of ended.filter(other => other.member !== lost.member)) {
			await group.restart(member);
		}

		const joined = await group.join(group.addresses);
		await waitForReplacement(lost, joined);
		await expectTeams('acknowledged', 'just-acknowledged');
		await expectToSurviveAnotherLoss(joined);
	}

	for (const role of ['leader', 'follower'] as const) {
		it(`keeps what was just acknowledged when the disk of the ${role} is lost while the others lose power`, async () => checkLostDisk(role));
	}

	async function checkStall(role: 'leader' | 'follower', state: 'stalled' | 'full'): Promise<void> {
		const stalled = role === 'leader' ? group.leader! : followersOf(group)[0]!;
		const resume = state === 'stalled' ? group.stallDisk(stalled) : group.fillDisk(stalled);
		try {
			expect(await group.send(createTeam('meanwhile'), [stalled])).to.include({kind: 'changed', revision: 2});
			await expectTeams('acknowledged', 'meanwhile');
		} finally {
			resume();
		}

		expect(await group.send(createTeam('after'))).to.include({kind: 'changed', revision: 3});
		await expectTeams('meanwhile', 'after');
	}

	for (const role of ['leader', 'follower'] as const) {
		for (const state of ['stalled', 'full'] as const) {
			it(`accepts changes and answers reads while the disk of the ${role} is ${state}`, async () => checkStall(role, state));
		}
	}

	it('lets a process join whose first seeds are all gone, once its seeds are replaced', async () => {
		const lost = followersOf(group)[0]!;
		await group.end(lost, 'killed');
		const joined = await group.join([lost.control.rpcAddress]);
		await new Promise(resolve => {
			setTimeout(resolve, 1500);
		});
		expect(group.voters).to.not.include(joined.member);
		joined.control.setSeeds([lost.control.rpcAddress, group.leader!.control.rpcAddress]);
		await waitForReplacement(lost, joined);
		await expectTeams('acknowledged');
		await expectToSurviveAnotherLoss(joined);
	});
});
