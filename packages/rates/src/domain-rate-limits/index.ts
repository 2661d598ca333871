/**
The parts of every team's rate and burst that belong to one failure domain.

Where a change moves weight from one domain to another, the gaining domain waits
until the holder of each losing domain is known to have taken the change over,
and for one loan longer. Until then its part is the smaller of old and new.
*/

import {
	type Configuration, emptyConfiguration, millisecondsInSecond, type DomainSettings, type FailureDomain, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import {heldMilliseconds, loanMilliseconds, partsInToken} from '../_lib/constants.js';
import type {RateLimit} from '../token-bucket/index.js';
import {splitByWeight} from '../split-by-weight/index.js';
import type {HolderView, RateTolerance} from '../types.js';

type Domains = ReadonlyMap<FailureDomain, DomainSettings>;

type Transition = {
	readonly revision: Revision;
	readonly before: Domains;
	readonly losers: readonly FailureDomain[];
	confirmedAt?: number;
};

/** Entitlements of one domain. */
export class DomainRateLimits {
	readonly #domain: FailureDomain;
	readonly #tolerance: RateTolerance | undefined;
	#configuration: Configuration = emptyConfiguration;
	#transitions: Transition[] = [];

	constructor(domain: FailureDomain, tolerance?: RateTolerance) {
		this.#domain = domain;
		this.#tolerance = tolerance;
	}

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Takes over a newer configuration. */
	setConfiguration(configuration: Configuration): void {
		const before = this.#configuration.domains;
		const losers = findLosers(before, configuration.domains).filter(domain => domain !== this.#domain);
		if (losers.length > 0) {
			this.#transitions.push({revision: configuration.revision, before, losers});
		}

		this.#configuration = configuration;
	}

	/** Takes note of how far the holders have come; returns true if the parts changed. */
	confirm(holders: ReadonlyMap<FailureDomain, HolderView>, now: number): boolean {
		const count = this.#transitions.length;
		for (const transition of this.#transitions) {
			if (transition.confirmedAt === undefined && isConfirmed(transition, holders)) {
				transition.confirmedAt = now;
			}
		}

		this.#transitions = this.#transitions.filter(({confirmedAt}) => confirmedAt === undefined || now - confirmedAt < heldMilliseconds(loanMilliseconds));
		return this.#transitions.length !== count;
	}

	/** The domain's own part of a team's rate and burst. */
	own(team: TeamName): RateLimit {
		const settings = this.#configuration.teams.get(team);
		if (settings === undefined) {
			return {ratePerSecond: 0, burst: 0};
		}

		let smallest = this.#partOf(settings, this.#configuration.domains, this.#domain);
		for (const {before} of this.#transitions) {
			const part = this.#partOf(settings, before, this.#domain);
			smallest = {
				ratePerSecond: Math.min(smallest.ratePerSecond, part.ratePerSecond),
				burst: Math.min(smallest.burst, part.burst),
			};
		}

		return smallest;
	}

	/** The part of any domain by the configuration. */
	part(team: TeamName, domain: FailureDomain): RateLimit {
		const settings = this.#configuration.teams.get(team);
		return settings === undefined ? {ratePerSecond: 0, burst: 0} : this.#partOf(settings, this.#configuration.domains, domain);
	}

	#partOf(team: Team, domains: Domains, domain: FailureDomain): RateLimit {
		const takers = [...domains.values()];
		const rates = splitByWeight(Math.floor(team.ratePerSecond * partsInToken), takers);
		const bursts = splitByWeight(Math.floor((team.burst + toleratedTokens(team, this.#tolerance)) * partsInToken), takers);
		return {ratePerSecond: rates.get(domain) ?? 0, burst: bursts.get(domain) ?? 0};
	}
}

function toleratedTokens(team: Team, tolerance: RateTolerance | undefined): number {
	if (tolerance === undefined) {
		return 0;
	}

	const inWindow = team.ratePerSecond * tolerance.windowMilliseconds / millisecondsInSecond;
	return tolerance.fixed + (tolerance.share * (team.burst + inWindow));
}

function shares(domains: Domains): Map<FailureDomain, number> {
	let weights = 0;
	for (const {weight} of domains.values()) {
		weights += weight;
	}

	return new Map([...domains.values()].map(({name, weight}) => [name, weights > 0 ? weight / weights : 0]));
}

function findLosers(before: Domains, after: Domains): FailureDomain[] {
	if (before === after) {
		return [];
	}

	const sharesAfter = shares(after);
	const losers: FailureDomain[] = [];
	for (const [domain, share] of shares(before)) {
		if (share > (sharesAfter.get(domain) ?? 0)) {
			losers.push(domain);
		}
	}

	return losers;
}

function isConfirmed({losers, revision}: Transition, holders: ReadonlyMap<FailureDomain, HolderView>): boolean {
	return losers.every(domain => (holders.get(domain)?.revision ?? -1) >= revision);
}
