/**
Prints the results of every policy in every trial. Run it with
`node packages/admission/dist/test-support/trial-table/index.js [seed] [part of a trial's name]`.
*/

import process from 'node:process';
import {
	recoverySeconds, Trial, type TeamLoad, type TrialOptions, type TrialResult,
} from '../trial/index.js';
import {admissionPolicies, type AdmissionPolicy} from '../admission-policies/index.js';

const defaultSeed = 7;
const capacity = 800;
const slowdownStart = 10_000;
const slowdownEnd = 20_000;

/** Creates eight teams, a few of them large, that together offer `factor` times the capacity. */
function createTeams(factor: number): TeamLoad[] {
	const parts = [0.3, 0.25, 0.2, 0.05, 0.05, 0.05, 0.05, 0.05];
	return parts.map((part, index) => ({
		name: `team-${index}`, rate: part * capacity, offered: part * capacity * factor, importantShare: 0.05,
	}));
}

function createOptions(seed: number, factor: number): Omit<TrialOptions, 'admission'> {
	return {
		seed,
		announcedSlots: 40,
		realSlots: 40,
		meanServiceMilliseconds: 50,
		teams: createTeams(factor),
		timeoutMilliseconds: 1000,
		retries: 3,
		retryDelayMilliseconds: 100,
		warmUpMilliseconds: 3000,
		milliseconds: 12_000,
	};
}

/** One set of trial options, shown as one table. */
type TrialCase = {
	readonly name: string;
	readonly options: (seed: number) => Omit<TrialOptions, 'admission'>;
	/** Virtual time in milliseconds at which the slowdown ends; the recovery is measured from then on. */
	readonly triggerEnd?: number;
};

/** Creates teams of which one offers 36 times its rate; all others offer 0.9 times theirs. */
function createStormTeams(): TeamLoad[] {
	return createTeams(0.9).map((team, index) => index === 7 ? {...team, offered: team.offered * 8 * 5} : team);
}

const trials: readonly TrialCase[] = [
	...[0.5, 0.9, 1, 2, 5, 10].map(factor => ({name: `${factor}x`, options: (seed: number) => createOptions(seed, factor)})),
	{name: '0.9x, a quarter of the slots is real', options: seed => ({...createOptions(seed, 0.9), announcedSlots: 160})},
	{name: '2x, a quarter of the slots is real', options: seed => ({...createOptions(seed, 2), announcedSlots: 160})},
	{name: '2x, timeout 150 ms', options: seed => ({...createOptions(seed, 2), timeoutMilliseconds: 150})},
	{name: '0.9x, one team at 36x', options: seed => ({...createOptions(seed, 0.9), teams: createStormTeams()})},
	...[0.7, 0.9].map(factor => ({
		name: `${factor}x, fourfold slow for 10 s`,
		options: (seed: number) => ({
			...createOptions(seed, factor),
			milliseconds: 30_000,
			slowness: (now: number) => now >= slowdownStart && now < slowdownEnd ? 4 : 1,
		}),
		triggerEnd: slowdownEnd,
	})),
	{
		name: '0.9x, fourfold slow for 10 s, 3 slots in 4 unreal',
		options: seed => ({
			...createOptions(seed, 0.9), announcedSlots: 160, milliseconds: 30_000, slowness: now => now >= slowdownStart && now < slowdownEnd ? 4 : 1,
		}),
		triggerEnd: slowdownEnd,
	},
];

/** Returns the smallest ratio of a team's goodput to its fair share of the capacity. */
function worstTeamShare(options: Omit<TrialOptions, 'admission'>, result: TrialResult): number {
	let rates = 0;
	for (const team of options.teams) {
		rates += team.rate;
	}

	let worst = Number.POSITIVE_INFINITY;
	for (const team of options.teams) {
		const fair = Math.min(result.offeredByTeam.get(team.name)!, team.rate / rates * result.capacity);
		worst = Math.min(worst, result.goodputByTeam.get(team.name)! / fair);
	}

	return worst;
}

function formatRow(trial: TrialCase, policy: AdmissionPolicy, seed: number): string {
	const options = trial.options(seed);
	const result = new Trial({...options, admission: policy.admission}).run();
	let offered = 0;
	for (const team of options.teams) {
		offered += team.offered;
	}

	const normalGoodput = Math.min(offered, result.capacity);
	const cells = [
		policy.name,
		(result.goodput / normalGoodput).toFixed(3),
		worstTeamShare(options, result).toFixed(3),
		result.importantShare.toFixed(4),
		result.refusedShare.toFixed(4),
		result.uselessShare.toFixed(4),
		result.latencyPercentile99.toFixed(0),
	];
	if (trial.triggerEnd !== undefined) {
		cells.push(recoverySeconds(result.answersByTenth, trial.triggerEnd, normalGoodput, 0.95)?.toFixed(1) ?? 'never');
	}

	return `| ${cells.join(' | ')} |`;
}

const seed = Number(process.argv[2] ?? defaultSeed);
const nameFilter = process.argv[3] ?? '';
const lines: string[] = [];
for (const trial of trials) {
	if (!trial.name.includes(nameFilter)) {
		continue;
	}

	lines.push('', `${trial.name} (seed ${seed})`, '', '| policy | goodput / normal | worst team / fair | important | refused | useless | p99 ms | recovery s |', '|---|---|---|---|---|---|---|---|');
	for (const policy of admissionPolicies) {
		lines.push(formatRow(trial, policy, seed));
	}
}

console.log(lines.join('\n'));
