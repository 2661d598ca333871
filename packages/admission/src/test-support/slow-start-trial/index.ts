/**
Prints what a cold upstream does in its first 3 s under different slow starts, after
its first start and after a restart during which its gate kept its limit. Run it with
`node packages/admission/dist/test-support/slow-start-trial/index.js [number of seeds]`.
*/

import process from 'node:process';
import type {GateLevel} from '@fireflyglade/model';
import {AnnouncedLimit} from '../../announced-limit/index.js';
import {GateAdmission} from '../../gate-admission/index.js';
import type {ConcurrencyLimit} from '../../types.js';
import {DoublingLimit} from '../admission-policies/index.js';
import {Trial, type TrialResult} from '../trial/index.js';

const startUpMilliseconds = 3000;
/** Time for which the upstream works before it restarts. */
const millisecondsBeforeRestart = 5000;
const defaultSeedCount = 10;
const meanServiceMilliseconds = 100;
/** Time in which callers want an answer, about the objective of a request of this duration. */
const timeoutMilliseconds = 400;
const initialRampShare = 0.1;

type Schedule = {
	readonly name: string;
	/** True if the schedule also applies to an upstream that restarts under its name. */
	readonly isForRestarts: boolean;
	readonly createLimit: (slots: number) => ConcurrencyLimit;
	/** Share of the arrivals that the entry nodes send to an upstream that started `age` milliseconds ago. */
	readonly entryShare: (age: number, level: GateLevel, slots: number) => number;
};

function createAnnouncedLimit(slots: number): ConcurrencyLimit {
	return new AnnouncedLimit({slots, now: 0});
}

/** An announced limit that never starts slowly. */
function createUnchangingLimit(slots: number): ConcurrencyLimit {
	return Object.assign(new AnnouncedLimit({slots, now: 0}), {beginSlowStart: undefined});
}

/** The former schedule of entry nodes. */
function rampShare(age: number): number {
	return Math.min(1, initialRampShare + ((1 - initialRampShare) * age / startUpMilliseconds));
}

const schedules: readonly Schedule[] = [
	{
		name: 'former, on the platform', isForRestarts: false, createLimit: createUnchangingLimit, entryShare: rampShare,
	},
	{
		name: 'former, elsewhere', isForRestarts: false, createLimit: slots => new DoublingLimit(slots), entryShare: rampShare,
	},
	{
		name: 'none', isForRestarts: true, createLimit: createUnchangingLimit, entryShare: () => 1,
	},
	{
		name: 'new', isForRestarts: true, createLimit: createAnnouncedLimit, entryShare: (_age, {limit}, slots) => limit / slots,
	},
];

type ColdUpstream = {
	readonly name: string;
	/** Factor on the service time while the upstream starts up. */
	readonly slowness: (age: number, running: number, slots: number) => number;
};

const upstreams: readonly ColdUpstream[] = [
	{name: 'twice as slow', slowness: () => 2},
	{
		// The number of requests that it runs without slowing down grows from a quarter of the slots to all of them.
		name: 'twice as slow, and slower when full',
		slowness: (age, running, slots) => 2 * Math.max(1, running / (slots * (0.25 + (0.75 * age / startUpMilliseconds)))),
	},
	{name: 'as fast as usual', slowness: () => 1},
];

/** How much work is offered to which upstream. */
type TrialCase = {
	readonly upstream: ColdUpstream;
	readonly isRestart: boolean;
	readonly slots: number;
	/** Relative to the usual capacity of the upstream. */
	readonly load: number;
};

function runTrial({upstream, isRestart, slots, load}: TrialCase, schedule: Schedule, seed: number): TrialResult {
	const startedAt = isRestart ? millisecondsBeforeRestart : 0;
	const limit = schedule.createLimit(slots);
	const capacity = slots * 1000 / meanServiceMilliseconds;
	let hasStarted = false;
	return new Trial({
		seed,
		announcedSlots: slots,
		realSlots: slots,
		meanServiceMilliseconds,
		slowness: (now, running) => now >= startedAt && now < startedAt + startUpMilliseconds ? upstream.slowness(now - startedAt, running, slots) : 1,
		teams: [{name: 'one', rate: capacity, offered: capacity * load}],
		timeoutMilliseconds,
		retries: 0,
		retryDelayMilliseconds: 0,
		warmUpMilliseconds: startedAt,
		milliseconds: startUpMilliseconds,
		entryShare(now, level) {
			if (now < startedAt) {
				return 1;
			}

			if (!hasStarted) {
				hasStarted = true;
				limit.beginSlowStart?.(now);
			}

			return schedule.entryShare(now - startedAt, level, slots);
		},
		admission: announced => new GateAdmission({slots: announced, now: 0, limit}),
	}).run();
}

/** Formats the means over all seeds: answers in time relative to the offered requests, and late and refused ones relative to those sent to the upstream. */
function formatRow(trialCase: TrialCase, schedule: Schedule, seedCount: number): string {
	const {upstream, isRestart, slots, load} = trialCase;
	const sums = [0, 0, 0];
	for (let seed = 1; seed <= seedCount; seed++) {
		const {goodput, capacity, lateShare, refusedShare} = runTrial(trialCase, schedule, seed);
		for (const [index, value] of [goodput / capacity / load, lateShare, refusedShare].entries()) {
			sums[index]! += value;
		}
	}

	const cells = [upstream.name, isRestart ? 'restart' : 'start', slots, load, schedule.name, ...sums.map(sum => (sum / seedCount).toFixed(3))];
	return `| ${cells.join(' | ')} |`;
}

const seedCount = Number(process.argv[2] ?? defaultSeedCount);
const lines = ['| cold upstream | case | slots | load | slow start | in time | late | refused |', '|---|---|---|---|---|---|---|---|'];
for (const upstream of upstreams) {
	for (const isRestart of [false, true]) {
		for (const slots of [8, 40]) {
			for (const load of [0.5, 0.9]) {
				const applicable = schedules.filter(({isForRestarts}) => isForRestarts || !isRestart);
				lines.push(...applicable.map(schedule => formatRow({
					upstream, isRestart, slots, load,
				}, schedule, seedCount)));
			}
		}
	}
}

console.log(lines.join('\n'));
