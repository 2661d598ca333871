import {expect} from 'chai';
import {
	createLoad, createManyTeams, createSurgeTeams, createTeams, createWave, longWork, shortWork, tightWork,
} from '../mixed-loads/index.js';
import {
	MixedTrial, worthOf, type MixedTrialOptions, type MixedTrialResult,
} from './index.js';

const seed = 7;

/** Runs a trial with the objectives withheld from the gate and one with them. */
function compare(options: MixedTrialOptions): readonly [MixedTrialResult, MixedTrialResult] {
	return [new MixedTrial({...options, hasObjectives: false}).run(), new MixedTrial(options).run()];
}

function worthOfClass(result: MixedTrialResult, workClass: number): number {
	return worthOf(result.byClass.get(workClass)!);
}

/** Returns the smallest value per request that a team earned which sends no more than its rate. */
function worstOrdinaryTeam(options: MixedTrialOptions, result: MixedTrialResult): number {
	return Math.min(...options.teams.filter(({factor}) => factor === 1).map(({name}) => worthOf(result.byTeam.get(name)!)));
}

describe('GateAdmission in trials with objectives in virtual time', () => {
	// Guards against an overload in which the requests with the tightest objectives are refused first.
	for (const [name, load, gain, tight] of [
		['0.9 times the capacity', () => 0.9, -0.01, 0.95],
		['1.2 times the capacity', () => 1.2, 0.03, 0.9],
		['twice the capacity', () => 2, 0.05, 0.75],
		['a wave of 55 % around 0.9 times the capacity', createWave(0.9), 0.02, 0.9],
	] as const) {
		it(`earns more than by deadline, and most of the tight class, at ${name}`, () => {
			const [byDeadline, bySlack] = compare(createLoad(seed, 0, {load}));
			expect(worthOf(bySlack.all) - worthOf(byDeadline.all)).to.be.at.least(gain);
			expect(worthOfClass(bySlack, tightWork.workClass)).to.be.at.least(tight);
		});
	}

	// Guards against an order that has no effect because each team has only a request or two at the gate.
	it('earns more than by deadline with tens of small teams', () => {
		const [byDeadline, bySlack] = compare(createLoad(seed, 1.2, {teams: createManyTeams()}));
		expect(worthOf(bySlack.all) - worthOf(byDeadline.all)).to.be.at.least(0.045);
	});

	// Guards against one team that takes the places of the others in the queue.
	it('serves the ordinary teams as before while one sends 7.5 times its rate', () => {
		const options = createLoad(seed, 0.9, {teams: createSurgeTeams()});
		const [byDeadline, bySlack] = compare(options);
		expect(worstOrdinaryTeam(options, bySlack)).to.be.at.least(Math.max(0.9, worstOrdinaryTeam(options, byDeadline)));
	});

	// Guards against callers that are refused again because they return together or too early.
	it('earns more when refused callers come back in a wave, and states no longer wait than a third of the time left', () => {
		const [byDeadline, bySlack] = compare(createLoad(seed, 0, {load: createWave(0.9), returns: 3}));
		expect(worthOf(bySlack.all) - worthOf(byDeadline.all)).to.be.at.least(0.05);
		expect(bySlack.refusalsByAttempt[1]! / bySlack.attempts[1]!).to.be.below(byDeadline.refusalsByAttempt[1]! / byDeadline.attempts[1]!);
		for (const {retryAfterMilliseconds, at, deadline} of bySlack.decisions) {
			expect(retryAfterMilliseconds).to.be.at.most(Math.max(1, (deadline - at) / 3));
		}
	});

	// Guards against late requests that never run while others arrive without end.
	it('still serves requests that can\'t meet their objective in a lasting overload', () => {
		const hopeless = {...longWork, workClass: 4, objectiveMilliseconds: 20};
		const [, bySlack] = compare(createLoad(seed, 1.2, {teams: createTeams().slice(0, 1), classes: [tightWork, shortWork, hopeless]}));
		const {late, offered} = bySlack.byClass.get(hopeless.workClass)!;
		expect(late / offered).to.be.above(0.05);
		expect(worthOfClass(bySlack, tightWork.workClass)).to.be.above(0.9);
	});

	// Guards against a deadline check that refuses work which would have been served.
	it('refuses nothing for its deadline on arrival while the load fits', () => {
		const [, bySlack] = compare(createLoad(seed, 0.7));
		expect(bySlack.decisions.filter(({reason}) => reason === 'deadline')).to.have.length(0);
	});
});
