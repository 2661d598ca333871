/**
The evidence of what a node still hears: the control quorum and the failure
domains.

The age of the evidence travels with gossip, so that one node that hears is
enough for its domain. A node that hears no quorum but more than half of the
failure domains has a control outage; one that hears neither is cut off.
*/

import type {FailureDomain} from '@fireflyglade/model';
import {silenceMilliseconds} from '../_lib/constants.js';
import type {Connectivity} from '../types.js';

/** When the quorum and the domains were last heard. */
export class ConnectivityEvidence {
	readonly #own: FailureDomain;
	readonly #heardAt = new Map<FailureDomain, number>();
	#quorumAt?: number;
	readonly #startedAt: number;

	constructor(own: FailureDomain, now: number) {
		this.#own = own;
		this.#startedAt = now;
	}

	observeQuorum(at: number): void {
		this.#quorumAt = Math.max(this.#quorumAt ?? at, at);
	}

	observeDomain(domain: FailureDomain, at: number): void {
		this.#heardAt.set(domain, Math.max(this.#heardAt.get(domain) ?? at, at));
	}

	/** Milliseconds since word of the quorum. */
	quorumAge(now: number): number | undefined {
		return this.#quorumAt === undefined ? undefined : now - this.#quorumAt;
	}

	/** Milliseconds since the domain was heard. */
	domainAge(domain: FailureDomain, now: number): number | undefined {
		if (domain === this.#own) {
			return 0;
		}

		const at = this.#heardAt.get(domain);
		return at === undefined ? undefined : now - at;
	}

	hears(domain: FailureDomain, now: number): boolean {
		const age = this.domainAge(domain, now);
		return age !== undefined && age <= silenceMilliseconds;
	}

	/** Judges what the node still hears of `domains`, its own among them or not. */
	connectivity(domains: ReadonlySet<FailureDomain>, now: number): Connectivity {
		const quorumAge = this.quorumAge(now);
		if (quorumAge !== undefined && quorumAge <= silenceMilliseconds) {
			return {kind: 'connected'};
		}

		const quorumLostAt = (this.#quorumAt ?? this.#startedAt) + (this.#quorumAt === undefined ? 0 : silenceMilliseconds);
		const others = [...domains].filter(domain => domain !== this.#own);
		const heard = others.filter(domain => this.hears(domain, now)).length + 1;
		const count = others.length + 1;
		if (heard * 2 > count) {
			return {kind: 'control-outage', since: quorumLostAt};
		}

		return {kind: 'cut-off', since: Math.max(quorumLostAt, this.#majorityLostAt(others, count))};
	}

	/** When the node last heard more than half of `count` domains, in milliseconds of its clock. */
	#majorityLostAt(others: readonly FailureDomain[], count: number): number {
		const neededOthers = Math.floor(count / 2);
		const heardAt = others.map(domain => this.#heardAt.get(domain) ?? this.#startedAt - silenceMilliseconds);
		const sorted = heardAt.toSorted((first, second) => second - first);
		return (sorted[neededOthers - 1] ?? this.#startedAt) + silenceMilliseconds;
	}
}
