/**
Prints the results of trials with latency objectives, each with the objectives
withheld from the gate and with them. Run it with
`node packages/admission/dist/test-support/mixed-table/index.js [number of seeds]`.
*/

import process from 'node:process';
import {
	createLoad, createManyTeams, createSurgeTeams, createTeams, createWave,
} from '../mixed-loads/index.js';
import {
	MixedTrial, worthOf, type MixedCounts, type MixedTrialOptions, type MixedTrialResult,
} from '../mixed-trial/index.js';

const defaultSeeds = 5;
const waitingMilliseconds = 10;

type MixedCase = {
	readonly name: string;
	readonly options: (seed: number) => MixedTrialOptions;
};

const oneTeam = createTeams().slice(0, 1);
const cases: readonly MixedCase[] = [
	...[0.9, 1.2, 2].map(load => ({name: `${load}x`, options: (seed: number) => createLoad(seed, load)})),
	...[0.9, 1.2, 2].map(load => ({name: `${load}x, one team`, options: (seed: number) => createLoad(seed, load, {teams: oneTeam})})),
	...[1.2, 2].map(load => ({name: `${load}x, 75 teams`, options: (seed: number) => createLoad(seed, load, {teams: createManyTeams()})})),
	{name: 'wave around 0.9x, 75 teams', options: seed => createLoad(seed, 0, {load: createWave(0.9), teams: createManyTeams()})},
	{name: 'wave around 0.9x', options: seed => createLoad(seed, 0, {load: createWave(0.9)})},
	{name: '0.9x, one team at 7.5 times', options: seed => createLoad(seed, 0.9, {teams: createSurgeTeams()})},
	{name: '2x, callers return 3 times', options: seed => createLoad(seed, 2, {returns: 3})},
	{name: 'wave around 0.9x, callers return 3 times', options: seed => createLoad(seed, 0, {load: createWave(0.9), returns: 3})},
];

/** Returns the smallest value per request that a team earned which sends no more than its rate. */
function worstOrdinaryTeam(options: MixedTrialOptions, result: MixedTrialResult): number {
	return Math.min(...options.teams.filter(({factor}) => factor === 1).map(({name}) => worthOf(result.byTeam.get(name)!)));
}

function mean(values: readonly number[]): string {
	return (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(3);
}

function formatRow({name, options}: MixedCase, hasObjectives: boolean, seeds: number): string {
	const trials = Array.from({length: seeds}, (_, index) => ({...options(index + 1), hasObjectives}));
	const results = trials.map(trial => new MixedTrial(trial).run());
	const ofClass = (workClass: number): string => mean(results.map(result => worthOf(result.byClass.get(workClass)!)));
	const share = (value: (counts: MixedCounts) => number): string => mean(results.map(({all}) => value(all) / all.offered));
	return `| ${[
		name,
		hasObjectives ? 'slack' : 'deadline',
		mean(results.map(({all}) => worthOf(all))),
		ofClass(1),
		ofClass(2),
		ofClass(3),
		share(({onTime}) => onTime),
		share(({late}) => late),
		share(({failed}) => failed),
		mean(results.map((result, index) => worstOrdinaryTeam(trials[index]!, result))),
		mean(results.map(({refusalWaits}) => refusalWaits.filter(wait => wait > waitingMilliseconds).length / Math.max(1, refusalWaits.length))),
		mean(results.map(({refusalsByAttempt, attempts}) => (refusalsByAttempt[1] ?? 0) / Math.max(1, attempts[1] ?? 0))),
	].join(' | ')} |`;
}

const seeds = Number(process.argv[2] ?? defaultSeeds);
console.log('| load | order | worth | tight | short | long | on time | late | failed | worst ordinary team | refused after a wait | refused again |');
console.log('|---|---|---|---|---|---|---|---|---|---|---|---|');
for (const mixedCase of cases) {
	console.log(formatRow(mixedCase, false, seeds));
	console.log(formatRow(mixedCase, true, seeds));
}
