/**
A domain cut off, its return, and the death of a holder, under constant demand.
*/

import {
	millisecondsInSecond, type FailureDomain, type RandomSource, type Team,
} from '@fireflyglade/model';
import {planArrivals} from './arrivals.js';
import type {Charger} from './baselines.js';
import type {BenchFleet} from './fleet.js';
import {judge, type Decision, type Judgement} from './judge.js';
import {offerArrivals} from './offer.js';

/** What the faults led to. */
export type FaultResult = Judgement & {
	readonly domains: number;
	readonly factor: number;
	/** Wrongful refusals over requests offered, by part of the run. */
	readonly wrongfulShareWhileCut: number;
	readonly wrongfulShareAfterHeal: number;
	readonly wrongfulShareAfterDeath: number;
	/** Milliseconds from the holder's death until another one is known in its domain. */
	readonly holderReplacedAfter: number | undefined;
	/** The longest time after the death in which the largest team got nothing at the domain's nodes. */
	readonly longestRefusalMilliseconds: number;
	/** Tokens of all teams that the fleet could have admitted after the death, and did not. */
	readonly tokensLostAfterDeath: number;
};

const factor = 0.9;
const cutAt = 2000;
const healAt = 6000;
const deathAt = 8500;
const endAt = 14_000;

/** What the faults are run on. */
export type FaultOptions = {
	readonly fleet: BenchFleet;
	readonly teams: readonly Team[];
	readonly charge: Charger;
	readonly nodesPerDomain: number;
	readonly random: RandomSource;
};

/** Runs the faults one after the other. */
export async function runFaults({fleet, teams, charge, nodesPerDomain, random}: FaultOptions): Promise<FaultResult> {
	await fleet.setTeams(teams);
	await fleet.settle();
	const arrivals = planArrivals({
		factor, spread: 'balanced', rhythm: 'steady', milliseconds: endAt,
	}, teams, {all: fleet.nodes.length, perDomain: nodesPerDomain}, random);
	const start = performance.now();
	const faults = new Faults(fleet);
	const decisions = await offerArrivals(arrivals, async (team, node) => fleet.nodes[node]!.isStopped ? charge(team, faults.neighbourOf(node)) : charge(team, node), elapsed => {
		faults.advance(elapsed);
	});
	const part = (from: number, to: number): Decision[] => decisions.filter(({at}) => at - start >= from && at - start < to);
	const after = part(deathAt, endAt);
	return {
		...judge(decisions),
		domains: fleet.domains.length,
		factor,
		wrongfulShareWhileCut: judge(part(cutAt, healAt)).wrongfulShare,
		wrongfulShareAfterHeal: judge(part(healAt, deathAt)).wrongfulShare,
		wrongfulShareAfterDeath: judge(after).wrongfulShare,
		holderReplacedAfter: faults.replacedAfter,
		longestRefusalMilliseconds: longestRefusal(after, teams[0]!, node => fleet.nodes[node]!.domain === faults.lostDomain),
		tokensLostAfterDeath: judge(after).wrongfulRefusals,
	};
}

class Faults {
	replacedAfter: number | undefined;
	lostDomain: FailureDomain | undefined;
	readonly #fleet: BenchFleet;
	#killedAt: number | undefined;
	#killedFencing = 0;

	constructor(fleet: BenchFleet) {
		this.#fleet = fleet;
	}

	advance(elapsed: number): void {
		const {links, domains} = this.#fleet;
		if (elapsed >= cutAt && elapsed < healAt) {
			links.cut.add(domains[1]!);
			return;
		}

		links.cut.clear();
		if (elapsed >= deathAt) {
			this.#killOnce(domains[0]!);
			this.#noteReplacement();
		}
	}

	/** Another running node of the same domain. */
	neighbourOf(index: number): number {
		const {nodes} = this.#fleet;
		return nodes.findIndex(({domain, isStopped}) => !isStopped && domain === nodes[index]!.domain);
	}

	#killOnce(domain: FailureDomain): void {
		const holder = this.#fleet.holderOf(domain);
		if (this.#killedAt !== undefined || holder === undefined) {
			return;
		}

		this.#killedAt = performance.now();
		this.#killedFencing = holder.fleet.holders().get(domain)?.fencing ?? 0;
		this.lostDomain = domain;
		void holder.kill();
	}

	#noteReplacement(): void {
		const {lostDomain} = this;
		if (this.#killedAt === undefined || this.replacedAfter !== undefined || lostDomain === undefined) {
			return;
		}

		const isReplaced = this.#fleet.nodes.some(({fleet, isStopped}) => !isStopped && (fleet.holders().get(lostDomain)?.fencing ?? 0) > this.#killedFencing);
		if (isReplaced) {
			this.replacedAfter = performance.now() - this.#killedAt;
		}
	}
}

/** The longest time between two admissions of a team at some nodes in which it was refused, in milliseconds. */
function longestRefusal(decisions: readonly Decision[], team: Team, isMeant: (node: number) => boolean): number {
	let longest = 0;
	let refusedSince: number | undefined;
	const ordered = decisions.filter(decision => decision.team === team && isMeant(decision.node)).toSorted((first, second) => first.at - second.at);
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
