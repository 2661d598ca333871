/**
The choice by load alone: the less loaded of two random targets.
*/

import type {NodeId, RandomSource} from '@fireflyglade/model';
import type {TargetState} from '../target-state/index.js';

/** Load up to which the target on the node itself is preferred. */
const maximumLocalLoad = 0.85;
/** Load by which the target on the node itself may exceed another target and still be preferred. */
const toleratedLocalLoadExcess = 0.1;

/** Returns the less loaded of two random targets. While that target has a reduced share of requests, it is returned with a probability equal to its `part`, and otherwise the other one with a probability equal to that one's `part`; the less loaded one if neither is. */
export function pickLessLoadedOfTwo(states: readonly TargetState[], now: number, random: RandomSource): TargetState {
	const firstIndex = random.nextInteger(states.length);
	const first = states[firstIndex]!;
	if (states.length === 1) {
		return first;
	}

	const otherIndex = random.nextInteger(states.length - 1);
	const second = states[otherIndex < firstIndex ? otherIndex : otherIndex + 1]!;
	const isSecondBetter = second.load(now) < first.load(now);
	const better = isSecondBetter ? second : first;
	if (random.nextFraction() < better.part(now)) {
		return better;
	}

	const other = isSecondBetter ? first : second;
	const otherPart = other.part(now);
	return otherPart >= 1 || random.nextFraction() < otherPart ? other : better;
}

/** Returns the least loaded of the targets with the largest share of requests. `states` must not be empty. */
export function findLeastLoaded(states: readonly TargetState[], now: number): TargetState {
	let best = states[0]!;
	for (const state of states) {
		const difference = state.part(now) - best.part(now);
		if (difference > 0 || (difference === 0 && state.load(now) < best.load(now))) {
			best = state;
		}
	}

	return best;
}

/** Returns the target on the node itself while it has spare capacity, because it needs no hop between nodes; undefined otherwise. */
export function findLocalTarget(best: TargetState, states: readonly TargetState[], node: NodeId, now: number): TargetState | undefined {
	for (const state of states) {
		if (state.target.node === node) {
			return state.part(now) >= 1 && state.load(now) <= Math.min(maximumLocalLoad, best.load(now) + toleratedLocalLoadExcess) ? state : undefined;
		}
	}

	return undefined;
}
