/**
Prints the figures of every policy in every trial. Run it with
`node packages/admission/dist/test-support/trial-table/index.js [seed] [part of a trial's name]`.
*/

import process from 'node:process';
import {
	recoverySeconds, Trial, type TeamLoad, type TrialOptions, type TrialResult,
} from '../trial/index.js';
import {variants, type Variant} from '../variants/index.js';

const defaultSeed = 7;
const capacity = 800;
const slowFrom = 10_000;
const slowUntil = 20_000;

/** Eight teams, a few large, that offer `factor` times the capacity in all. */
function teamsAt(factor: number): TeamLoad[] {
	const parts = [0.3, 0.25, 0.2, 0.05, 0.05, 0.05, 0.05, 0.05];
	return parts.map((part, index) => ({
		name: `team-${index}`, rate: part * capacity, offered: part * capacity * factor, importantShare: 0.05,
	}));
}

function base(seed: number, factor: number): Omit<TrialOptions, 'admission'> {
	return {
		seed,
		announcedSlots: 40,
		realSlots: 40,
		meanServiceMilliseconds: 50,
		teams: teamsAt(factor),
		timeoutMilliseconds: 1000,
		retries: 3,
		retryDelayMilliseconds: 100,
		warmUpMilliseconds: 3000,
		milliseconds: 12_000,
	};
}

type Column = {
	readonly name: string;
	readonly options: (seed: number) => Omit<TrialOptions, 'admission'>;
	readonly triggerEnd?: number;
};

function stormTeams(): TeamLoad[] {
	return teamsAt(0.9).map((team, index) => index === 7 ? {...team, offered: team.offered * 8 * 5} : team);
}

const columns: readonly Column[] = [
	...[0.5, 0.9, 1, 2, 5, 10].map(factor => ({name: `${factor}x`, options: (seed: number) => base(seed, factor)})),
	{name: '0.9x, a quarter of the slots is real', options: seed => ({...base(seed, 0.9), announcedSlots: 160})},
	{name: '2x, a quarter of the slots is real', options: seed => ({...base(seed, 2), announcedSlots: 160})},
	{name: '2x, timeout 150 ms', options: seed => ({...base(seed, 2), timeoutMilliseconds: 150})},
	{name: '0.9x, one team at 36x', options: seed => ({...base(seed, 0.9), teams: stormTeams()})},
	...[0.7, 0.9].map(factor => ({
		name: `${factor}x, fourfold slow for 10 s`,
		options: (seed: number) => ({
			...base(seed, factor),
			milliseconds: 30_000,
			slowness: (now: number) => now >= slowFrom && now < slowUntil ? 4 : 1,
		}),
		triggerEnd: slowUntil,
	})),
	{
		name: '0.9x, fourfold slow for 10 s, 3 slots in 4 unreal',
		options: seed => ({
			...base(seed, 0.9), announcedSlots: 160, milliseconds: 30_000, slowness: now => now >= slowFrom && now < slowUntil ? 4 : 1,
		}),
		triggerEnd: slowUntil,
	},
];

/** The smallest ratio of a team's goodput to its part of what can be served. */
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

function row(column: Column, variant: Variant, seed: number): string {
	const options = column.options(seed);
	const result = new Trial({...options, admission: variant.admission}).run();
	let offered = 0;
	for (const team of options.teams) {
		offered += team.offered;
	}

	const normal = Math.min(offered, result.capacity);
	const cells = [
		variant.name,
		(result.goodput / normal).toFixed(3),
		worstTeamShare(options, result).toFixed(3),
		result.importantShare.toFixed(4),
		result.refusedShare.toFixed(4),
		result.uselessShare.toFixed(4),
		result.latencyPercentile99.toFixed(0),
	];
	if (column.triggerEnd !== undefined) {
		cells.push(recoverySeconds(result.answersByTenth, column.triggerEnd, normal, 0.95)?.toFixed(1) ?? 'never');
	}

	return `| ${cells.join(' | ')} |`;
}

const seed = Number(process.argv[2] ?? defaultSeed);
const wanted = process.argv[3] ?? '';
const lines: string[] = [];
for (const column of columns) {
	if (!column.name.includes(wanted)) {
		continue;
	}

	lines.push('', `${column.name} (seed ${seed})`, '', '| policy | goodput / normal | worst team / fair | important | refused | useless | p99 ms | recovery s |', '|---|---|---|---|---|---|---|---|');
	for (const variant of variants) {
		lines.push(row(column, variant, seed));
	}
}

console.log(lines.join('\n'));
