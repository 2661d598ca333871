/**
The parts of every team's rate and burst that belong to one failure domain.

When a change moves weight from one domain to another, the gaining domain waits
until the lease holder of each losing domain is known to have applied the change,
and then for the duration of one loan. Until then it uses the smaller of the old
and the new part, so that the parts never add up to more than the team's limit.
*/

import {
	type Configuration, emptyConfiguration, millisecondsInSecond, type DomainSettings, type FailureDomain, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import {lenderLoanMilliseconds, loanDurationMilliseconds, microtokensInToken} from '../_lib/constants.js';
import type {RateLimit} from '../token-bucket/index.js';
import {splitByWeight} from '../split-by-weight/index.js';
import type {HolderView, RateTolerance} from '../types.js';

type Domains = ReadonlyMap<FailureDomain, DomainSettings>;

/** A change of the domains' weights that may not be in force at all lease holders yet. */
type Transition = {
	/** Configuration revision of the change. */
	readonly revision: Revision;
	/** The domains before the change. */
	readonly before: Domains;
	/** The other domains whose part the change reduces. */
	readonly losingDomains: readonly FailureDomain[];
	/** Time at which the lease holders of all losing domains were known to have applied the change. */
	confirmedAt?: number;
};

/** The rate limits of all teams in one failure domain. */
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

	/** Applies a newer configuration. */
	setConfiguration(configuration: Configuration): void {
		const before = this.#configuration.domains;
		const losingDomains = findLosingDomains(before, configuration.domains).filter(domain => domain !== this.#domain);
		if (losingDomains.length > 0) {
			this.#transitions.push({revision: configuration.revision, before, losingDomains});
		}

		this.#configuration = configuration;
	}

	/** Updates the transitions by the revisions that the lease holders have reached; returns true if a transition ended, which changes the limits. */
	confirmTransitions(holders: ReadonlyMap<FailureDomain, HolderView>, now: number): boolean {
		const count = this.#transitions.length;
		for (const transition of this.#transitions) {
			if (transition.confirmedAt === undefined && isConfirmed(transition, holders)) {
				transition.confirmedAt = now;
			}
		}

		this.#transitions = this.#transitions.filter(({confirmedAt}) => confirmedAt === undefined || now - confirmedAt < lenderLoanMilliseconds(loanDurationMilliseconds));
		return this.#transitions.length !== count;
	}

	/** Returns this domain's part of a team's rate and burst, limited while transitions last. */
	own(team: TeamName): RateLimit {
		const settings = this.#configuration.teams.get(team);
		if (settings === undefined) {
			return {ratePerSecond: 0, burst: 0};
		}

		let smallest = this.#computeRateLimit(settings, this.#configuration.domains, this.#domain);
		for (const {before} of this.#transitions) {
			const part = this.#computeRateLimit(settings, before, this.#domain);
			smallest = {
				ratePerSecond: Math.min(smallest.ratePerSecond, part.ratePerSecond),
				burst: Math.min(smallest.burst, part.burst),
			};
		}

		return smallest;
	}

	/** Returns any domain's part of a team's rate and burst by the configuration alone. */
	part(team: TeamName, domain: FailureDomain): RateLimit {
		const settings = this.#configuration.teams.get(team);
		return settings === undefined ? {ratePerSecond: 0, burst: 0} : this.#computeRateLimit(settings, this.#configuration.domains, domain);
	}

	#computeRateLimit(team: Team, domains: Domains, domain: FailureDomain): RateLimit {
		const weightedDomains = [...domains.values()];
		const rates = splitByWeight(Math.floor(team.ratePerSecond * microtokensInToken), weightedDomains);
		const bursts = splitByWeight(Math.floor((team.burst + computeToleratedTokens(team, this.#tolerance)) * microtokensInToken), weightedDomains);
		return {ratePerSecond: rates.get(domain) ?? 0, burst: bursts.get(domain) ?? 0};
	}
}

function computeToleratedTokens(team: Team, tolerance: RateTolerance | undefined): number {
	if (tolerance === undefined) {
		return 0;
	}

	const inWindow = team.ratePerSecond * tolerance.windowMilliseconds / millisecondsInSecond;
	return tolerance.fixed + (tolerance.share * (team.burst + inWindow));
}

function computeShares(domains: Domains): Map<FailureDomain, number> {
	let totalWeight = 0;
	for (const {weight} of domains.values()) {
		totalWeight += weight;
	}

	return new Map([...domains.values()].map(({name, weight}) => [name, totalWeight > 0 ? weight / totalWeight : 0]));
}

function findLosingDomains(before: Domains, after: Domains): FailureDomain[] {
	if (before === after) {
		return [];
	}

	const sharesAfter = computeShares(after);
	const losingDomains: FailureDomain[] = [];
	for (const [domain, share] of computeShares(before)) {
		if (share > (sharesAfter.get(domain) ?? 0)) {
			losingDomains.push(domain);
		}
	}

	return losingDomains;
}

function isConfirmed({losingDomains, revision}: Transition, holders: ReadonlyMap<FailureDomain, HolderView>): boolean {
	return losingDomains.every(domain => (holders.get(domain)?.revision ?? -1) >= revision);
}
