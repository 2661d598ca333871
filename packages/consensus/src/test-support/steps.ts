/**
The steps of a simulation run, and their generation from a seed.
*/

import {SeededRandom} from '@fireflyglade/model';

/** One step of a run. `pick` and similar numbers select one of the members that exist when the step is performed. */
export type Step =
	| RoundStep
	| {readonly kind: 'propose'; readonly pick: number; readonly command: number}
	| {readonly kind: 'read'; readonly pick: number; readonly readId: number}
	| {readonly kind: 'crash'; readonly pick: number; readonly seed: number}
	| {readonly kind: 'restart'; readonly pick: number; readonly seed: number}
	/** Replaces the disk of a member with an empty one and restarts the member. */
	| {readonly kind: 'wipe'; readonly pick: number; readonly seed: number}
	/** Drops all messages from one member to another. */
	| {readonly kind: 'cut'; readonly from: number; readonly to: number}
	/** Drops all messages to and from a member. */
	| {readonly kind: 'isolate'; readonly pick: number}
	/** Delivers messages in all directions again. */
	| {readonly kind: 'heal'}
	/** Moves the clock of a member forward. */
	| {readonly kind: 'jump'; readonly pick: number; readonly milliseconds: number}
	| {readonly kind: 'compact'; readonly pick: number}
	/** Proposes a membership change, which the number `what` selects. */
	| {readonly kind: 'change-members'; readonly pick: number; readonly what: number}
	/** Transfers leadership. */
	| {readonly kind: 'transfer'; readonly pick: number};

/** A round, in which time passes, messages are delivered and writes complete. */
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

/** Generates the steps for a seed. */
export function generateSteps(seed: number): readonly Step[] {
	const random = new SeededRandom(seed);
	const steps: Step[] = [];
	const faultLevel = random.nextInteger(4);
	const isDiskLossAllowed = random.nextInteger(4) === 0;
	for (let number = 0; number < stepCount; number++) {
		const step = generateStep(random, number, faultLevel);
		if (step.kind !== 'wipe' || isDiskLossAllowed) {
			steps.push(step);
		}
	}

	return steps;
}

function generateStep(random: SeededRandom, number: number, faultLevel: number): Step {
	const pick = random.nextInteger(1000);
	const seed = random.nextInteger(2 ** 30);
	const roll = random.nextInteger(100);
	if (roll < 50) {
		const isFaultFree = random.nextInteger(4) >= faultLevel;
		return {
			kind: 'round',
			milliseconds: random.nextInteger(10) === 0 ? 300 : 30,
			seed,
			lossPercent: isFaultFree ? 0 : 20,
			delayPercent: isFaultFree ? 5 : 40,
			duplicatePercent: isFaultFree ? 0 : 10,
			slowDiskPercent: random.nextInteger(3) === 0 ? 60 : 5,
		};
	}

	const stepsByRollLimit: ReadonlyArray<readonly [number, Step]> = [
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
	for (const [limit, step] of stepsByRollLimit) {
		if (roll < limit) {
			return step;
		}
	}

	return {kind: 'wipe', pick, seed};
}
