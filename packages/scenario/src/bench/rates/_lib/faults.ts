/**
Injects faults under constant load: a partition that isolates one domain, its
recovery, and the failure of a lease holder.
*/

import {
	millisecondsInSecond, type FailureDomain, type RandomSource, type Team,
} from '@fireflyglade/model';
import {planArrivals} from './arrivals.js';
import type {ChargeFunction} from './baselines.js';
import type {BenchFleet} from './fleet.js';
import {evaluateDecisions, type Decision, type DecisionEvaluation} from './evaluate-decisions.js';
import {offerArrivals} from './offer-arrivals.js';

/** The measurements of the run with faults. */
export type FaultResult = DecisionEvaluation & {
	readonly domains: number;
	readonly factor: number;
	/** Share of the requests offered that were wrongfully refused, by part of the run. */
	readonly wrongfulShareWhileCut: number;
	readonly wrongfulShareAfterHeal: number;
	readonly wrongfulShareAfterDeath: number;
	/** Milliseconds from the holder's failure until a node knows a new holder with a higher fencing number. */
	readonly holderReplacedAfter: number | undefined;
	/** The longest time after the failure in which all requests of the first (largest) team at the domain's nodes were refused. */
	readonly longestRefusalMilliseconds: number;
	/** Tokens that the teams' rates allowed after the failure but that the fleet did not admit. */
	readonly tokensLostAfterDeath: number;
};

const factor = 0.9;
const partitionStartMilliseconds = 2000;
const partitionEndMilliseconds = 6000;
const holderStopMilliseconds = 8500;
const runMilliseconds = 14_000;

/** The fleet and the load of the run with faults. */
export type FaultOptions = {
	readonly fleet: BenchFleet;
	readonly teams: readonly Team[];
	readonly charge: ChargeFunction;
	readonly nodesPerDomain: number;
	readonly random: RandomSource;
};

/** Runs the load, injects the faults one after the other, and evaluates each part of the run. */
export async function runFaults({fleet, teams, charge, nodesPerDomain, random}: FaultOptions): Promise<FaultResult> {
	await fleet.setTeams(teams);
	await fleet.settle();
	const arrivals = planArrivals({
		factor, spread: 'balanced', rhythm: 'steady', milliseconds: runMilliseconds,
	}, teams, {all: fleet.nodes.length, perDomain: nodesPerDomain}, random);
	const start = performance.now();
	const faults = new FaultInjector(fleet);
	const decisions = await offerArrivals(arrivals, async (team, node) => fleet.nodes[node]!.isStopped ? charge(team, faults.findRunningPeer(node)) : charge(team, node), elapsed => {
		faults.advance(elapsed);
	});
	const decisionsBetween = (from: number, to: number): Decision[] => decisions.filter(({at}) => at - start >= from && at - start < to);
	const afterFailure = decisionsBetween(holderStopMilliseconds, runMilliseconds);
	return {
		...evaluateDecisions(decisions),
		domains: fleet.domains.length,
		factor,
		wrongfulShareWhileCut: evaluateDecisions(decisionsBetween(partitionStartMilliseconds, partitionEndMilliseconds)).wrongfulShare,
		wrongfulShareAfterHeal: evaluateDecisions(decisionsBetween(partitionEndMilliseconds, holderStopMilliseconds)).wrongfulShare,
		wrongfulShareAfterDeath: evaluateDecisions(afterFailure).wrongfulShare,
		holderReplacedAfter: faults.replacementMilliseconds,
		longestRefusalMilliseconds: longestRefusal(afterFailure, teams[0]!, node => fleet.nodes[node]!.domain === faults.stoppedHolderDomain),
		tokensLostAfterDeath: evaluateDecisions(afterFailure).wrongfulRefusals,
	};
}

class FaultInjector {
	replacementMilliseconds: number | undefined;
	stoppedHolderDomain: FailureDomain | undefined;
	readonly #fleet: BenchFleet;
	#stoppedAt: number | undefined;
	#stoppedFencing = 0;

	constructor(fleet: BenchFleet) {
		this.#fleet = fleet;
	}

	/** Applies the faults that are due `elapsed` milliseconds after the start. */
	advance(elapsed: number): void {
		const {network, domains} = this.#fleet;
		if (elapsed >= partitionStartMilliseconds && elapsed < partitionEndMilliseconds) {
			network.cut.add(domains[1]!);
			return;
		}

		network.cut.clear();
		if (elapsed >= holderStopMilliseconds) {
			this.#stopHolderOnce(domains[0]!);
			this.#checkReplacement();
		}
	}

	/** Returns the index of another running node in the same domain. */
	findRunningPeer(index: number): number {
		const {nodes} = this.#fleet;
		return nodes.findIndex(({domain, isStopped}) => !isStopped && domain === nodes[index]!.domain);
	}

	#stopHolderOnce(domain: FailureDomain): void {
		const holder = this.#fleet.holderOf(domain);
		if (this.#stoppedAt !== undefined || holder === undefined) {
			return;
		}

		this.#stoppedAt = performance.now();
		this.#stoppedFencing = holder.fleet.holders().get(domain)?.fencing ?? 0;
		this.stoppedHolderDomain = domain;
		void holder.kill();
	}

	#checkReplacement(): void {
		const {stoppedHolderDomain} = this;
		if (this.#stoppedAt === undefined || this.replacementMilliseconds !== undefined || stoppedHolderDomain === undefined) {
			return;
		}

		const isReplaced = this.#fleet.nodes.some(({fleet, isStopped}) => !isStopped && (fleet.holders().get(stoppedHolderDomain)?.fencing ?? 0) > this.#stoppedFencing);
		if (isReplaced) {
			this.replacementMilliseconds = performance.now() - this.#stoppedAt;
		}
	}
}

/** Returns the longest run of refusals of a team at the included nodes, in milliseconds, plus the time in which the team gains one token. */
function longestRefusal(decisions: readonly Decision[], team: Team, isIncludedNode: (node: number) => boolean): number {
	let longest = 0;
	let refusedSince: number | undefined;
	const ordered = decisions.filter(decision => decision.team === team && isIncludedNode(decision.node)).toSorted((first, second) => first.at - second.at);
	for (const {at, isAdmitted} of ordered) {
		if (isAdmitted) {
			refusedSince = undefined;
			continue;
		}

		refusedSince ??= at;
		longest = Math.max(longest, at - refusedSince + (millisecondsInSecond / team.ratePerSecond));
	}

	return longest;
}
