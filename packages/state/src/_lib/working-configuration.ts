/**
The configuration that the state machine changes in place. Others get copies; a
copy is made only when one is asked for, and only of the parts that have changed.
So a long row of changes, as at a restart, costs no copy for each.
*/

import type {
	Configuration, ConfigurationChange, ConfigurationReplacement, Revision,
} from '@fireflyglade/model';
import type {ChangeRefusal} from '../types.js';
import {decideChange, isRefusal} from './decide-change.js';
import {findReplacementRefusal} from './find-replacement-refusal.js';
import {inPlaceEditor} from './map-editor.js';

/** A configuration that one owner changes. */
export class WorkingConfiguration {
	#working: Configuration;
	#published: Configuration;
	readonly #changedParts = new Set<string>();

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

	/** Applies a change; gives the refusal if there is one. */
	apply(change: ConfigurationChange, revision: Revision): ChangeRefusal | undefined {
		const result = decideChange(this.#working, change, inPlaceEditor);
		if (isRefusal(result)) {
			return result;
		}

		for (const part of Object.keys(result)) {
			this.#changedParts.add(part);
		}

		this.#working = {...this.#working, revision};
		return undefined;
	}

	/** Puts a whole configuration in place; gives the refusal if there is one. */
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
			this.#changedParts.add(part);
		}

		return undefined;
	}

	/** The configuration as it is now, which later changes leave as it is. */
	publish(): Configuration {
		if (this.#published.revision === this.#working.revision) {
			return this.#published;
		}

		const working = this.#working;
		const published = this.#published;
		this.#published = {
			revision: working.revision,
			teams: this.#changedParts.has('teams') ? new Map(working.teams) : published.teams,
			keys: this.#changedParts.has('keys') ? new Map(working.keys) : published.keys,
			routes: this.#changedParts.has('routes') ? new Map(working.routes) : published.routes,
			domains: this.#changedParts.has('domains') ? new Map(working.domains) : published.domains,
			drainedUpstreams: this.#changedParts.has('drainedUpstreams') ? new Set(working.drainedUpstreams) : published.drainedUpstreams,
			label: working.label,
			services: working.services,
			...(working.callerBounds === undefined ? {} : {callerBounds: working.callerBounds}),
		};
		this.#changedParts.clear();
		return this.#published;
	}
}
