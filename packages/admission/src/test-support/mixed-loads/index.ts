/**
Loads for trials with latency objectives: a tight class and two loose ones.
*/

import type {MixedTeam, MixedTrialOptions, WorkLoad} from '../mixed-trial/index.js';

const slots = 8;
const milliseconds = 60_000;
const wavePeriodMilliseconds = 14_000;
const waveAmplitude = 0.55;

/** The class whose answers have their full value for 250 ms only. */
export const tightWork: WorkLoad = {
	workClass: 1, meanMilliseconds: 84, objectiveMilliseconds: 250, deadlineMilliseconds: 1200, share: 0.4,
};

/** A class of short work with much time. */
export const shortWork: WorkLoad = {
	workClass: 2, meanMilliseconds: 15, objectiveMilliseconds: 800, deadlineMilliseconds: 2400, share: 0.4,
};

/** A class of long work with much time. */
export const longWork: WorkLoad = {
	workClass: 3, meanMilliseconds: 160, objectiveMilliseconds: 3000, deadlineMilliseconds: 8000, share: 0.2,
};

/** Creates six teams that send at their rates. */
export function createTeams(): MixedTeam[] {
	return [0.35, 0.25, 0.2, 0.1, 0.05, 0.05].map((rate, index) => ({name: `team-${index}`, rate, factor: 1}));
}

/** Creates 75 teams that send at their rates, four of them large, so that most have no more than a request at the gate. */
export function createManyTeams(): MixedTeam[] {
	return Array.from({length: 75}, (_, index) => ({name: `team-${index}`, rate: index < 4 ? 10 : 1, factor: 1}));
}

/** Options of a trial at `load` times the capacity. */
export function createLoad(seed: number, load: number, change: Partial<MixedTrialOptions> = {}): MixedTrialOptions {
	return {
		seed, slots, classes: [tightWork, shortWork, longWork], teams: createTeams(), load: () => load, hasObjectives: true, returns: 0, milliseconds, ...change,
	};
}

/** A load that moves up and down by 55 % around `mean`. */
export function createWave(mean: number): (now: number) => number {
	return now => mean * (1 + (waveAmplitude * Math.sin(2 * Math.PI * now / wavePeriodMilliseconds)));
}

/** Teams of which the fourth sends at 7.5 times its rate. */
export function createSurgeTeams(): MixedTeam[] {
	return createTeams().map((team, index) => index === 3 ? {...team, factor: 7.5} : team);
}
