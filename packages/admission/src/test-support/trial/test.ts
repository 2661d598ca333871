import {expect} from 'chai';
import {GateAdmission} from '../../gate-admission/index.js';
import type {Admission} from '../../types.js';
import {
	recoverySeconds, Trial, type TeamLoad, type TrialOptions, type TrialResult,
} from './index.js';

const capacity = 400;
const slowFrom = 5000;
const slowUntil = 15_000;

/** Five teams that offer `factor` times the capacity of 20 slots of 50 ms in all. */
function teamsAt(factor: number): TeamLoad[] {
	return [0.4, 0.3, 0.1, 0.1, 0.1].map((part, index) => ({
		name: `team-${index}`, rate: part * capacity, offered: part * capacity * factor, importantShare: 0.05,
	}));
}

function run(change: Partial<TrialOptions>, admission?: (slots: number) => Admission): TrialResult {
	return new Trial({
		seed: 11,
		announcedSlots: 20,
		realSlots: 20,
		meanServiceMilliseconds: 50,
		teams: teamsAt(1),
		timeoutMilliseconds: 1000,
		retries: 3,
		retryDelayMilliseconds: 100,
		warmUpMilliseconds: 2000,
		milliseconds: 10_000,
		...change,
		admission,
	}).run();
}

function gate(slots: number): Admission {
	return new GateAdmission({slots, now: 0});
}

/** The smallest ratio of a team's goodput to its fair share. */
function worstTeam(teams: readonly TeamLoad[], result: TrialResult): number {
	const shares = teams.map(team => result.goodputByTeam.get(team.name)! / Math.min(team.rate, result.offeredByTeam.get(team.name)!));
	return Math.min(...shares);
}

describe('GateAdmission in trials of virtual time', () => {
	for (const factor of [2, 5, 10]) {
		it(`serves at least 90 % of the capacity, each team and all important requests at ${factor} times the capacity`, () => {
			const teams = teamsAt(factor);
			const result = run({teams}, gate);
			expect(result.goodput / result.capacity).to.be.at.least(0.9);
			expect(result.importantShare).to.be.at.least(0.99);
			expect(worstTeam(teams, result)).to.be.at.least(0.9);
			expect(result.uselessShare).to.be.at.most(0.02);
		});
	}

	it('refuses at most 1 % of the attempts at nine tenths of the capacity', () => {
		expect(run({teams: teamsAt(0.9)}, gate).refusedShare).to.be.at.most(0.01);
	});

	it('gives each other team its part while one sends many times its rate and retries hard', () => {
		const teams = teamsAt(0.9).map((team, index) => index === 4 ? {...team, offered: team.offered * 40} : team);
		expect(worstTeam(teams, run({teams}, gate))).to.be.at.least(0.9);
	});

	it('is back at 95 % of normal goodput within 5 s after a fourfold slow-down of 10 s, unlike no control', () => {
		const change = {teams: teamsAt(0.9), milliseconds: 22_000, slowness: (now: number) => now >= slowFrom && now < slowUntil ? 4 : 1};
		const controlled = run(change, gate);
		expect(recoverySeconds(controlled.answersByTenth, slowUntil, capacity * 0.9, 0.95)).to.be.at.most(5);
		const uncontrolled = run(change);
		expect(recoverySeconds(uncontrolled.answersByTenth, slowUntil, capacity * 0.9, 0.95) ?? Number.POSITIVE_INFINITY).to.be.above(5);
	});
});
