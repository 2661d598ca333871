/**
The configuration that the state machine modifies in place. Callers get copies. A
copy is made only on request, and only of the parts that changed since the last
copy, so a long sequence of changes, such as a replay at a restart, does not copy
the configuration for each change.
*/

import type {
	Configuration, ConfigurationChange, ConfigurationReplacement, Revision,
} from '@fireflyglade/model';
import type {ChangeRefusal} from '../types.js';
import {applyChange, isRefusal} from './apply-change.js';
import {findReplacementRefusal} from './find-replacement-refusal.js';
import {inPlaceEditor} from './collection-editor.js';

/** A configuration that is modified by one owner and published as immutable copies. */
export class WorkingConfiguration {
	#working: Configuration;
	#published: Configuration;
	readonly #unpublishedParts = new Set<string>();

	constructor(configuration: Configuration) {
		this.#published = configuration;
		this.#working = {
			revision: configuration.revision,
			teams: new Map(configuration.teams),
			keys: new Map(configuration.keys),
			routes: new Map(configuration.routes),
			domains: new Map(configuration.domains),
			drainedUpstreams: new Set(configuration.drainedUpstreams),
			label: configuration.label,
			services: configuration.services,
			...(configuration.callerBounds === undefined ? {} : {callerBounds: configuration.callerBounds}),
		};
	}

	get revision(): Revision {
		return this.#working.revision;
	}

	/** Applies a change; returns the refusal if it is refused. */
	apply(change: ConfigurationChange, revision: Revision): ChangeRefusal | undefined {
		const result = applyChange(this.#working, change, inPlaceEditor);
		if (isRefusal(result)) {
			return result;
		}

		for (const part of Object.keys(result)) {
			this.#unpublishedParts.add(part);
		}

		this.#working = {...this.#working, revision};
		return undefined;
	}

	/** Replaces the whole configuration; returns the refusal if it is refused. */
	replace(replacement: ConfigurationReplacement, revision: Revision): ChangeRefusal | undefined {
		const refusal = findReplacementRefusal(this.#working, replacement);
		if (refusal !== undefined) {
			return refusal;
		}

		const {domains, drainedUpstreams} = this.#working;
		const {label, callerBounds} = replacement;
		this.#working = {
			revision,
			label,
			teams: new Map(replacement.teams.map(team => [team.name, team])),
			keys: new Map(replacement.keys.map(key => [key.id, key])),
			routes: new Map(replacement.routes.map(route => [route.id, route])),
			services: new Map(replacement.services.map(service => [service.name, service])),
			domains,
			drainedUpstreams,
			...(callerBounds === undefined ? {} : {callerBounds}),
		};
		for (const part of ['teams', 'keys', 'routes']) {
			this.#unpublishedParts.add(part);
		}

		return undefined;
	}

	/** Returns a copy of the current configuration that later changes do not modify. */
	publish(): Configuration {
		if (this.#published.revision === this.#working.revision) {
			return this.#published;
		}

		const working = this.#working;
		const published = this.#published;
		this.#published = {
			revision: working.revision,
			teams: this.#unpublishedParts.has('teams') ? new Map(working.teams) : published.teams,
			keys: this.#unpublishedParts.has('keys') ? new Map(working.keys) : published.keys,
			routes: this.#unpublishedParts.has('routes') ? new Map(working.routes) : published.routes,
			domains: this.#unpublishedParts.has('domains') ? new Map(working.domains) : published.domains,
			drainedUpstreams: this.#unpublishedParts.has('drainedUpstreams') ? new Set(working.drainedUpstreams) : published.drainedUpstreams,
			label: working.label,
			services: working.services,
			...(working.callerBounds === undefined ? {} : {callerBounds: working.callerBounds}),
		};
		this.#unpublishedParts.clear();
		return this.#published;
	}
}
