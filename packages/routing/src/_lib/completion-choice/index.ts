/**
The choice for a request with a latency objective: the target with the best score among a
few random ones, so that nodes with the same levels don't all choose the same target.
*/

import type {FailureDomain, RandomSource} from '@fireflyglade/model';
import {
	expectWait, getObjectiveProbability, scoreCandidate, type Candidate,
} from '../completion-score/index.js';
import type {TargetState} from '../target-state/index.js';

/** Number of random targets that are compared in the own failure domain, and in the others. */
const ownSampleSize = 3;
const otherSampleSize = 2;

/** What the choice for a request depends on, beside the targets. */
export type CompletionQuery = {
	readonly now: number;
	/** The node's own failure domain. */
	readonly domain: FailureDomain;
	readonly workClass: number;
	/** Milliseconds until the objective. */
	readonly remainingMilliseconds: number;
	/** Mean service time of the work class at the service's targets. */
	readonly meanMilliseconds: number;
	/** Mean load of the service's targets. */
	readonly meanLoad: number;
	/** Extra latency of the way to another failure domain. */
	readonly crossDomainMilliseconds: number;
};

/** What is expected of a request at one target. */
export type CompletionEstimate = {
	/** Requests at the target relative to its concurrency limit, with this request. */
	readonly load: number;
	readonly waitMilliseconds: number;
	readonly serviceMilliseconds: number;
	/** Probability of an answer within the objective. */
	readonly probability: number;
	readonly score: number;
};

type MutableCandidate = {-readonly [Key in keyof Candidate]: Candidate[Key]};

/** Chooses targets by the probability that they meet an objective. It reuses its working memory, so one instance serves one node. */
export class CompletionChoice {
	#bestScore = Number.NEGATIVE_INFINITY;
	#best: TargetState | undefined;
	/** A target with a reduced share of requests, chosen only if there is no other. */
	#reserve: TargetState | undefined;
	readonly #candidate: MutableCandidate = {
		serviceMilliseconds: 0, meanMilliseconds: 0, load: 0, successShare: 1, crossDomainMilliseconds: 0,
	};

	/** Returns the best of a few random targets, or of all without a random source; undefined if there are no targets. */
	pick(own: readonly TargetState[], others: readonly TargetState[], query: CompletionQuery, random: RandomSource | undefined): TargetState | undefined {
		this.#best = undefined;
		this.#reserve = undefined;
		this.#bestScore = Number.NEGATIVE_INFINITY;
		this.#compare(own, ownSampleSize, query, random);
		this.#compare(others, otherSampleSize, query, random);
		return this.#best ?? this.#reserve;
	}

	/** Returns the probability that a target answers within the objective. */
	getProbability(state: TargetState, query: CompletionQuery): number {
		const candidate = this.#describe(state, query);
		return getObjectiveProbability(candidate, query.remainingMilliseconds) * candidate.successShare;
	}

	/** Returns the figures that the choice compares. */
	estimate(state: TargetState, query: CompletionQuery): CompletionEstimate {
		const probability = this.getProbability(state, query);
		const candidate = this.#describe(state, query);
		const {load, serviceMilliseconds} = candidate;
		return {
			load, serviceMilliseconds, probability, waitMilliseconds: expectWait(load) * serviceMilliseconds, score: scoreCandidate(candidate, query.remainingMilliseconds),
		};
	}

	#describe(state: TargetState, query: CompletionQuery): Candidate {
		const {now, meanMilliseconds} = query;
		const candidate = this.#candidate;
		candidate.serviceMilliseconds = state.expectServiceTime(query.workClass, meanMilliseconds, now);
		candidate.meanMilliseconds = meanMilliseconds;
		candidate.load = state.expectLoad(query.meanLoad, now);
		candidate.successShare = state.outcomes.getSuccessShare(now);
		candidate.crossDomainMilliseconds = state.target.domain === query.domain ? 0 : query.crossDomainMilliseconds;
		return candidate;
	}

	/** Compares a sample of targets: every one if there are few or there is no random source, otherwise those at a random start and a random distance from each other. The distance is so short that the sample doesn't reach its start again, which keeps its targets distinct. */
	#compare(states: readonly TargetState[], sampleSize: number, query: CompletionQuery, random: RandomSource | undefined): void {
		const {length} = states;
		if (length === 0) {
			return;
		}

		const maximumStep = length <= sampleSize ? 1 : Math.floor((length - 1) / (sampleSize - 1));
		const drawn = random === undefined ? 0 : random.nextInteger(length * maximumStep);
		let index = drawn % length;
		const step = 1 + Math.floor(drawn / length);
		for (let count = random === undefined ? length : Math.min(sampleSize, length); count > 0; count--) {
			const state = states[index]!;
			index = (index + step) % length;
			const part = state.part(query.now);
			if (part < 1 && (random === undefined || random.nextFraction() >= part)) {
				this.#reserve ??= state;
				continue;
			}

			const score = scoreCandidate(this.#describe(state, query), query.remainingMilliseconds);
			if (score > this.#bestScore) {
				this.#best = state;
				this.#bestScore = score;
			}
		}
	}
}
