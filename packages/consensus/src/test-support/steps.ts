/**
The steps of an exploration, and how a seed makes them.
*/

import {SeededRandom} from '@fireflyglade/model';

/** One step of a run; numbers pick among what there is at that moment. */
export type Step =
	| RoundStep
	| {readonly kind: 'propose'; readonly pick: number; readonly command: number}
	| {readonly kind: 'read'; readonly pick: number; readonly readId: number}
	| {readonly kind: 'crash'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'restart'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'wipe'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'cut'; readonly from: number; readonly to: number}
	| {readonly kind: 'isolate'; readonly pick: number}
	| {readonly kind: 'heal'}
	| {readonly kind: 'jump'; readonly pick: number; readonly milliseconds: number}
	| {readonly kind: 'compact'; readonly pick: number}
	| {readonly kind: 'change-members'; readonly pick: number; readonly what: number}
	| {readonly kind: 'transfer'; readonly pick: number};

/** Time passes, messages are delivered, and writes end. */
export type RoundStep = {
	readonly kind: 'round';
	readonly milliseconds: number;
	readonly seed: number;
	readonly lossPercent: number;
	readonly delayPercent: number;
	readonly duplicatePercent: number;
	readonly slowDiskPercent: number;
};

const stepCount = 600;
const commandCount = 30;

/** Makes the steps of a seed. */
export function makeSteps(seed: number): readonly Step[] {
	const random = new SeededRandom(seed);
	const steps: Step[] = [];
	const trouble = random.nextInteger(4);
	const mayWipe = random.nextInteger(4) === 0;
	for (let number = 0; number < stepCount; number++) {
		const step = makeStep(random, number, trouble);
		if (step.kind !== 'wipe' || mayWipe) {
			steps.push(step);
		}
	}

	return steps;
}

function makeStep(random: SeededRandom, number: number, trouble: number): Step {
	const pick = random.nextInteger(1000);
	const seed = random.nextInteger(2 ** 30);
	const dice = random.nextInteger(100);
	if (dice < 50) {
		const isCalm = random.nextInteger(4) >= trouble;
		return {
			kind: 'round',
			milliseconds: random.nextInteger(10) === 0 ? 300 : 30,
			seed,
			lossPercent: isCalm ? 0 : 20,
			delayPercent: isCalm ? 5 : 40,
			duplicatePercent: isCalm ? 0 : 10,
			slowDiskPercent: random.nextInteger(3) === 0 ? 60 : 5,
		};
	}

	const others: ReadonlyArray<readonly [number, Step]> = [
		[68, {kind: 'propose', pick, command: seed % commandCount}],
		[78, {kind: 'read', pick, readId: number}],
		[80, {kind: 'crash', pick, seed}],
		[86, {kind: 'restart', pick, seed}],
		[87, {kind: 'cut', from: pick, to: seed}],
		[88, {kind: 'isolate', pick}],
		[92, {kind: 'heal'}],
		[93, {kind: 'jump', pick, milliseconds: seed % 2000}],
		[95, {kind: 'compact', pick}],
		[98, {kind: 'change-members', pick, what: seed}],
		[99, {kind: 'transfer', pick}],
	];
	for (const [limit, step] of others) {
		if (dice < limit) {
			return step;
		}
	}

	return {kind: 'wipe', pick, seed};
}
