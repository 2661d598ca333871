import {expect} from 'chai';
import {GateAdmission} from '../../gate-admission/index.js';
import type {Admission} from '../../types.js';
import {
	recoverySeconds, Trial, type TeamLoad, type TrialOptions, type TrialResult,
} from './index.js';

const capacity = 400;
const slowdownStart = 5000;
const slowdownEnd = 15_000;

/** Creates five teams that together offer `factor` times the capacity of 20 slots with a service time of 50 ms. */
function createTeams(factor: number): TeamLoad[] {
	return [0.4, 0.3, 0.1, 0.1, 0.1].map((part, index) => ({
		name: `team-${index}`, rate: part * capacity, offered: part * capacity * factor, importantShare: 0.05,
	}));
}

function runTrial(change: Partial<TrialOptions>, admission?: (slots: number) => Admission): TrialResult {
	return new Trial({
		seed: 11,
		announcedSlots: 20,
		realSlots: 20,
		meanServiceMilliseconds: 50,
		teams: createTeams(1),
		timeoutMilliseconds: 1000,
		retries: 3,
		retryDelayMilliseconds: 100,
		warmUpMilliseconds: 2000,
		milliseconds: 10_000,
		...change,
		admission,
	}).run();
}

function createGate(slots: number): Admission {
	return new GateAdmission({slots, now: 0});
}

/** Returns the smallest ratio of a team's goodput to its fair share. */
function worstTeamShare(teams: readonly TeamLoad[], result: TrialResult): number {
	const shares = teams.map(team => result.goodputByTeam.get(team.name)! / Math.min(team.rate, result.offeredByTeam.get(team.name)!));
	return Math.min(...shares);
}

describe('GateAdmission in trials in virtual time', () => {
	for (const factor of [2, 5, 10]) {
		it(`serves at least 90 % of the capacity and of each team's fair share, and 99 % of the important requests, at ${factor} times the capacity`, () => {
			const teams = createTeams(factor);
			const result = runTrial({teams}, createGate);
			expect(result.goodput / result.capacity).to.be.at.least(0.9);
			expect(result.importantShare).to.be.at.least(0.99);
			expect(worstTeamShare(teams, result)).to.be.at.least(0.9);
			expect(result.uselessShare).to.be.at.most(0.02);
		});
	}

	it('refuses at most 1 % of the attempts at 0.9 times the capacity', () => {
		expect(runTrial({teams: createTeams(0.9)}, createGate).refusedShare).to.be.at.most(0.01);
	});

	it('serves at least 90 % of each team\'s fair share while one sends many times its rate with retries', () => {
		const teams = createTeams(0.9).map((team, index) => index === 4 ? {...team, offered: team.offered * 40} : team);
		expect(worstTeamShare(teams, runTrial({teams}, createGate))).to.be.at.least(0.9);
	});

	it('recovers to 95 % of normal goodput within 5 s after a fourfold slowdown of 10 s, unlike without admission control', () => {
		const change = {teams: createTeams(0.9), milliseconds: 22_000, slowness: (now: number) => now >= slowdownStart && now < slowdownEnd ? 4 : 1};
		const controlled = runTrial(change, createGate);
		expect(recoverySeconds(controlled.answersByTenth, slowdownEnd, capacity * 0.9, 0.95)).to.be.at.most(5);
		const uncontrolled = runTrial(change);
		expect(recoverySeconds(uncontrolled.answersByTenth, slowdownEnd, capacity * 0.9, 0.95) ?? Number.POSITIVE_INFINITY).to.be.above(5);
	});
});
