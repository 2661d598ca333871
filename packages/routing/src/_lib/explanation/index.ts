/**
The explanation of a choice: the targets in order of preference, with the figures that
the choice compares.
*/

import type {FailureDomain} from '@fireflyglade/model';
import type {TargetExclusion, TargetExplanation} from '../../types.js';
import type {CompletionEstimate} from '../completion-choice/index.js';
import type {TargetState} from '../target-state/index.js';

/** A target as judged by the choice. */
export type JudgedTarget = {
	readonly state: TargetState;
	/** Undefined if the target may be chosen. */
	readonly exclusion: TargetExclusion['kind'] | undefined;
	readonly isPreferred: boolean;
	/** Absent if the choice goes by load alone. */
	readonly estimate?: CompletionEstimate;
};

/** Returns the explanations of targets in order of preference. `domain` is that of the node. */
export function createExplanation(targets: readonly JudgedTarget[], domain: FailureDomain, now: number): readonly TargetExplanation[] {
	return targets
		.map(judged => ({judged, ranks: getRanks(judged, domain, now)}))
		.toSorted((left, right) => compareRanks(left.ranks, right.ranks))
		.map(({judged}) => explainTarget(judged, now));
}

function explainTarget({state, exclusion, isPreferred, estimate}: JudgedTarget, now: number): TargetExplanation {
	const levelAgeMilliseconds = state.getLevelAge(now);
	return {
		target: state.target,
		...(exclusion !== undefined && {exclusion: describeExclusion(exclusion, state, now)}),
		isPreferred,
		load: estimate?.load ?? state.load(now),
		...(estimate !== undefined && {
			waitMilliseconds: estimate.waitMilliseconds, serviceMilliseconds: estimate.serviceMilliseconds, probability: estimate.probability,
		}),
		successShare: state.outcomes.getSuccessShare(now),
		...(levelAgeMilliseconds !== undefined && {levelAgeMilliseconds}),
		part: state.part(now),
	};
}

function describeExclusion(kind: TargetExclusion['kind'], {outcomes}: TargetState, now: number): TargetExclusion {
	return kind === 'ejected' ? {kind, remainingMilliseconds: outcomes.ejectedUntil - now} : {kind};
}

/** Returns what targets are ordered by, most significant first; the lower comes first. */
function getRanks({state, exclusion, isPreferred, estimate}: JudgedTarget, domain: FailureDomain, now: number): readonly number[] {
	const ranks = [exclusion === undefined ? 0 : 1, isPreferred ? 0 : 1];
	if (estimate !== undefined) {
		return [...ranks, state.part(now) < 1 ? 1 : 0, -estimate.score];
	}

	return [...ranks, state.target.domain === domain ? 0 : 1, -state.part(now), state.load(now)];
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
	for (const [index, rank] of left.entries()) {
		if (rank !== right[index]) {
			return rank - right[index]!;
		}
	}

	return 0;
}
