/**
The requests that a phase of the bench offers: when, of which team, at which node.
*/

import {millisecondsInSecond, type RandomSource, type Team} from '@fireflyglade/model';

/** How demand is spread over the nodes. */
export type Spread = 'balanced' | 'skewed';

/** How demand is spread over time. */
export type Rhythm = 'steady' | 'bursty';

/** One request. */
export type Arrival = {
	/** Milliseconds from the start of the phase. */
	readonly at: number;
	readonly team: Team;
	readonly node: number;
};

/** A phase's offered load. */
export type Offer = {
	/** Offered over the teams' rates. */
	readonly factor: number;
	readonly spread: Spread;
	readonly rhythm: Rhythm;
	readonly milliseconds: number;
};

/** The nodes that requests come to; a skewed spread favours the first `perDomain`. */
export type NodeCounts = {
	readonly all: number;
	readonly perDomain: number;
};

const skewedShare = 0.8;
const burstShare = 0.5;

/** Plans the requests of a phase, in order of time. */
export function planArrivals(offer: Offer, teams: readonly Team[], nodes: NodeCounts, random: RandomSource): Arrival[] {
	const arrivals: Arrival[] = [];
	for (const team of teams) {
		const together = offer.rhythm === 'bursty' ? Math.max(1, Math.floor(team.burst * burstShare)) : 1;
		const spacing = together * millisecondsInSecond / (team.ratePerSecond * offer.factor);
		for (let at = spacing * random.nextFraction(); at < offer.milliseconds; at += spacing) {
			for (let count = 0; count < together; count++) {
				const isSkewed = offer.spread === 'skewed' && random.nextFraction() < skewedShare;
				arrivals.push({at, team, node: random.nextInteger(isSkewed ? nodes.perDomain : nodes.all)});
			}
		}
	}

	return arrivals.sort((first, second) => first.at - second.at);
}
