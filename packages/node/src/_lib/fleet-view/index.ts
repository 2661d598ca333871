/**
Logs how much of the fleet a node knows, whenever that changes.

Nodes that know different parts of the fleet look the same from outside: each one
serves requests, but with only part of the targets, or without a lease holder for
the teams' rates.
*/

import type {FailureDomain} from '@fireflyglade/model';
import type {HolderView} from '@fireflyglade/rates';
import type {Fields} from '@fireflyglade/observability';

/** What a node knows of the fleet. */
export type FleetView = {
	/** Number of members, including the node itself. */
	readonly members: number;
	readonly targets: number;
	readonly domains: Iterable<FailureDomain>;
	readonly holders: ReadonlyMap<FailureDomain, HolderView>;
};

/** Logs changes of a node's view of the fleet. */
export class FleetViewLog {
	readonly #log: (event: string, details: Fields) => void;
	#lastDescription = '';

	constructor(log: (event: string, details: Fields) => void) {
		this.#log = log;
	}

	/** Logs the view if it differs from the last one that was logged. */
	logIfChanged({members, targets, domains, holders}: FleetView): void {
		const holderList = [...domains].map(domain => `${domain}=${holders.get(domain)?.holder ?? 'none'}`).join(' ');
		const description = `${members} ${targets} ${holderList}`;
		if (description === this.#lastDescription) {
			return;
		}

		this.#lastDescription = description;
		this.#log('fleet view', {members, targets, holders: holderList});
	}
}
