/**
Tells the log how much of the fleet a node knows, whenever that changes.

Nodes that know different parts of the fleet look alike by themselves: each serves,
but with part of the targets, or without a holder of the teams' rates.
*/

import type {FailureDomain} from '@fireflyglade/model';
import type {HolderView} from '@fireflyglade/rates';
import type {Fields} from '@fireflyglade/observability';

/** What a node knows of the fleet. */
export type FleetView = {
	/** Members, the node itself counted. */
	readonly members: number;
	readonly targets: number;
	readonly domains: Iterable<FailureDomain>;
	readonly holders: ReadonlyMap<FailureDomain, HolderView>;
};

/** Tells changes of a node's view of the fleet. */
export class FleetViewLog {
	readonly #tell: (event: string, details: Fields) => void;
	#told = '';

	constructor(tell: (event: string, details: Fields) => void) {
		this.#tell = tell;
	}

	/** Tells the view if it differs from what was told last. */
	logIfChanged({members, targets, domains, holders}: FleetView): void {
		const named = [...domains].map(domain => `${domain}=${holders.get(domain)?.holder ?? 'none'}`).join(' ');
		const described = `${members} ${targets} ${named}`;
		if (described === this.#told) {
			return;
		}

		this.#told = described;
		this.#tell('fleet view', {members, targets, holders: named});
	}
}
