/**
The fleet as a node of the bench sees it: the bench relays the targets of the
other VMs, and every charge is admitted, as team rates aren't measured here.
*/

import type {
	Configuration, Target,
} from '@fireflyglade/model';
import type {Fleet} from '@fireflyglade/node';
import type {SentConfiguration} from '../vm-messages/index.js';

/** Makes a configuration of its sent form. */
export function receiveConfiguration(sent: SentConfiguration): Configuration {
	return {
		revision: sent.revision,
		teams: new Map(sent.teams),
		keys: new Map(sent.keys),
		routes: new Map(sent.routes),
		domains: new Map(sent.domains),
		drainedUpstreams: new Set(sent.drainedUpstreams),
		label: sent.label,
		services: new Map(sent.services),
	};
}

/** Makes the form of a configuration that can be sent. */
export function sendConfiguration(configuration: Configuration): SentConfiguration {
	return {
		revision: configuration.revision,
		teams: [...configuration.teams],
		keys: [...configuration.keys],
		routes: [...configuration.routes],
		domains: [...configuration.domains],
		drainedUpstreams: [...configuration.drainedUpstreams],
		label: configuration.label,
		services: [...configuration.services],
	};
}

/** The fleet of one node of the bench. */
export class RelayedFleet implements Fleet {
	readonly #configuration: Configuration;
	readonly #announce: (target: Target | undefined) => void;
	readonly #listeners = new Set<() => void>();
	#targets: readonly Target[] = [];

	constructor(configuration: Configuration, announce: (target: Target | undefined) => void) {
		this.#configuration = configuration;
		this.#announce = announce;
	}

	/** Takes over the targets that the bench relays. */
	setTargets(targets: readonly Target[]): void {
		this.#targets = targets;
		for (const listener of this.#listeners) {
			listener();
		}
	}

	configuration(): Configuration {
		return this.#configuration;
	}

	hasConfiguration(): boolean {
		return true;
	}

	areKeysFresh(): boolean {
		return true;
	}

	isKeyWithdrawn(): boolean {
		return false;
	}

	connectivity(): ReturnType<Fleet['connectivity']> {
		return {kind: 'connected'};
	}

	targets(): readonly Target[] {
		return this.#targets;
	}

	charge(): ReturnType<Fleet['charge']> {
		return {kind: 'admitted'};
	}

	refund(): void {
		// Nothing was charged.
	}

	settle(): void {
		// Nothing was charged.
	}

	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	announceTarget(target: Target | undefined): void {
		this.#announce(target);
	}

	setLevelSource(): void {
		// Levels ride back on answers alone.
	}

	setFiguresSource(): void {
		// The bench counts at the callers.
	}
}
