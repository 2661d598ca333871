/**
Stores the configuration in force at a node and the most recent changes that led
to it, so that peers can be sent only the changes that they lack.
*/

import {
	emptyConfiguration, type AcceptedChange, type Configuration, type ConfigurationUpdate, type Revision,
} from '@fireflyglade/model';
import {applyConfigurationChange} from '@fireflyglade/state';

/** Result of applying an update. */
export type UpdateResult = 'applied' | 'not-newer' | 'gap';

const maximumKeptChanges = 512;

/** Stores the newest configuration. An older configuration never replaces a newer one. */
export class ConfigurationStore {
	#configuration: Configuration = emptyConfiguration;
	/** The most recent consecutive changes, the newest last. */
	#changes: AcceptedChange[] = [];

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Applies the newer part of an update. Returns `gap` if changes are missing, so that the caller needs the whole configuration. */
	apply(update: ConfigurationUpdate): UpdateResult {
		switch (update.kind) {
			case 'whole': {
				return this.#replace(update.configuration);
			}

			case 'changes': {
				return this.#applyChanges(update.after, update.changes);
			}
		}
	}

	/** Returns the update from a revision: the changes if all of them are stored, otherwise the whole configuration; undefined if nothing is newer. */
	updateAfter(after: Revision): ConfigurationUpdate | undefined {
		const configuration = this.#configuration;
		if (configuration.revision <= after) {
			return undefined;
		}

		const first = this.#changes[0];
		if (first === undefined || first.revision > after + 1) {
			return {kind: 'whole', configuration};
		}

		return {kind: 'changes', after, changes: this.#changes.filter(({revision}) => revision > after)};
	}

	#replace(configuration: Configuration): UpdateResult {
		if (configuration.revision <= this.#configuration.revision) {
			return 'not-newer';
		}

		this.#configuration = configuration;
		this.#changes = [];
		return 'applied';
	}

	#applyChanges(after: Revision, changes: readonly AcceptedChange[]): UpdateResult {
		const {revision} = this.#configuration;
		if (after > revision) {
			return 'gap';
		}

		const newer = changes.filter(change => change.revision > revision);
		if (newer.length === 0) {
			return 'not-newer';
		}

		let configuration = this.#configuration;
		for (const change of newer) {
			const result = change.revision === configuration.revision + 1 ? applyConfigurationChange(configuration, change.change, change.revision) : undefined;
			if (result?.kind !== 'changed') {
				return 'gap';
			}

			configuration = result.configuration;
		}

		this.#configuration = configuration;
		this.#changes = [...this.#changes, ...newer].slice(-maximumKeptChanges);
		return 'applied';
	}
}
