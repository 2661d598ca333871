/**
A `Fleet` for the nodes of the overload bench: the bench process relays the
targets of the other VMs, and every charge is admitted because this bench does
not measure team rates.
*/

import type {
	Configuration, Target,
} from '@fireflyglade/model';
import type {Fleet} from '@fireflyglade/node';
import type {SerializedConfiguration} from '../vm-messages/index.js';

/** Restores a configuration from its serialized form. */
export function deserializeConfiguration(sent: SerializedConfiguration): Configuration {
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

/** Converts a configuration to a form that can be sent over IPC. */
export function serializeConfiguration(configuration: Configuration): SerializedConfiguration {
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

/** The fleet as one node of the bench sees it. */
export class RelayedFleet implements Fleet {
	readonly #configuration: Configuration;
	readonly #announce: (target: Target | undefined) => void;
	readonly #listeners = new Set<() => void>();
	#targets: readonly Target[] = [];

	constructor(configuration: Configuration, announce: (target: Target | undefined) => void) {
		this.#configuration = configuration;
		this.#announce = announce;
	}

	/** Replaces the targets and notifies the listeners. */
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
		// Load levels travel only in the headers of answers.
	}

	setFiguresSource(): void {
		// The load generator does the counting.
	}
}
