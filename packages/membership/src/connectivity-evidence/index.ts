/**
Records when there was last contact with the control quorum and with each failure
domain.

The age of the last contact is spread by gossip, so the contact of one node counts for
its whole domain. A node without contact to the quorum has a control outage if it has
contact with more than half of the failure domains, and is cut off otherwise.
*/

import type {FailureDomain} from '@fireflyglade/model';
import {evidenceLifetimeMilliseconds} from '../_lib/constants.js';
import type {Connectivity} from '../types.js';

/** Keeps the times of the last contacts and derives the node's connectivity. */
export class ConnectivityEvidence {
	readonly #ownDomain: FailureDomain;
	readonly #lastContactAt = new Map<FailureDomain, number>();
	#lastQuorumContactAt?: number;
	readonly #startedAt: number;

	constructor(ownDomain: FailureDomain, now: number) {
		this.#ownDomain = ownDomain;
		this.#startedAt = now;
	}

	/** Records that there was contact with the quorum at a time; earlier times than the last are ignored. */
	observeQuorum(at: number): void {
		this.#lastQuorumContactAt = Math.max(this.#lastQuorumContactAt ?? at, at);
	}

	/** Records that there was contact with the domain at a time; earlier times than the last are ignored. */
	observeDomain(domain: FailureDomain, at: number): void {
		this.#lastContactAt.set(domain, Math.max(this.#lastContactAt.get(domain) ?? at, at));
	}

	/** Returns the milliseconds since the last contact with the quorum, or undefined if there was none. */
	quorumAge(now: number): number | undefined {
		return this.#lastQuorumContactAt === undefined ? undefined : now - this.#lastQuorumContactAt;
	}

	/** Returns the milliseconds since the last contact with the domain, 0 for the node's own, or undefined if there was none. */
	domainAge(domain: FailureDomain, now: number): number | undefined {
		if (domain === this.#ownDomain) {
			return 0;
		}

		const at = this.#lastContactAt.get(domain);
		return at === undefined ? undefined : now - at;
	}

	/** Tells whether the last contact with the domain is recent enough. */
	isReachable(domain: FailureDomain, now: number): boolean {
		const age = this.domainAge(domain, now);
		return age !== undefined && age <= evidenceLifetimeMilliseconds;
	}

	/** Returns the node's connectivity among `domains`, which may or may not include its own domain. */
	connectivity(domains: ReadonlySet<FailureDomain>, now: number): Connectivity {
		const quorumAge = this.quorumAge(now);
		if (quorumAge !== undefined && quorumAge <= evidenceLifetimeMilliseconds) {
			return {kind: 'connected'};
		}

		const quorumLostAt = (this.#lastQuorumContactAt ?? this.#startedAt) + (this.#lastQuorumContactAt === undefined ? 0 : evidenceLifetimeMilliseconds);
		const others = [...domains].filter(domain => domain !== this.#ownDomain);
		const reachableCount = others.filter(domain => this.isReachable(domain, now)).length + 1;
		const count = others.length + 1;
		if (reachableCount * 2 > count) {
			return {kind: 'control-outage', since: quorumLostAt};
		}

		return {kind: 'cut-off', since: Math.max(quorumLostAt, this.#findMajorityLossTime(others, count))};
	}

	/** Returns the time at which the node lost contact with more than half of `count` domains, in monotonic milliseconds. */
	#findMajorityLossTime(others: readonly FailureDomain[], count: number): number {
		const neededOthers = Math.floor(count / 2);
		const contactTimes = others.map(domain => this.#lastContactAt.get(domain) ?? this.#startedAt - evidenceLifetimeMilliseconds);
		const sorted = contactTimes.toSorted((first, second) => second - first);
		return (sorted[neededOthers - 1] ?? this.#startedAt) + evidenceLifetimeMilliseconds;
	}
}
