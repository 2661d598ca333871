/**
Plans the requests that a phase of the bench offers: their times, teams and nodes.
*/

import {millisecondsInSecond, type RandomSource, type Team} from '@fireflyglade/model';

/** Distribution of the requests over the nodes. */
export type Spread = 'balanced' | 'skewed';

/** Distribution of the requests over time. */
export type Rhythm = 'steady' | 'bursty';

/** One planned request. */
export type Arrival = {
	/** Milliseconds from the start of the phase. */
	readonly at: number;
	readonly team: Team;
	readonly node: number;
};

/** The offered load of a phase. */
export type OfferedLoad = {
	/** Offered load as a multiple of the teams' rates. */
	readonly factor: number;
	readonly spread: Spread;
	readonly rhythm: Rhythm;
	readonly milliseconds: number;
};

/** Number of nodes in the fleet and in each domain; a skewed spread favors the first `perDomain` nodes. */
export type NodeCounts = {
	readonly all: number;
	readonly perDomain: number;
};

const skewedShare = 0.8;
const batchShareOfBurst = 0.5;

/** Plans the requests of a phase, sorted by time. */
export function planArrivals(offer: OfferedLoad, teams: readonly Team[], nodes: NodeCounts, random: RandomSource): Arrival[] {
	const arrivals: Arrival[] = [];
	for (const team of teams) {
		const batchSize = offer.rhythm === 'bursty' ? Math.max(1, Math.floor(team.burst * batchShareOfBurst)) : 1;
		const spacing = batchSize * millisecondsInSecond / (team.ratePerSecond * offer.factor);
		for (let at = spacing * random.nextFraction(); at < offer.milliseconds; at += spacing) {
			for (let count = 0; count < batchSize; count++) {
				const isSkewed = offer.spread === 'skewed' && random.nextFraction() < skewedShare;
				arrivals.push({at, team, node: random.nextInteger(isSkewed ? nodes.perDomain : nodes.all)});
			}
		}
	}

	return arrivals.sort((first, second) => first.at - second.at);
}
