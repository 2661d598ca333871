/**
The first results of the latest commands, so that a resend gets its first answer.
*/

import {createHash} from 'node:crypto';
import type {CommandId, ConfigurationChange} from '@fireflyglade/model';
import type {CommandResult} from '../types.js';

/** The result of one command, with a digest of the request that it was given for. */
export type KeptResult = {
	readonly commandId: CommandId;
	readonly requestDigest: string;
	readonly result: CommandResult;
};

/** The latest results, up to a bound; the oldest are forgotten first. */
export class CommandResults {
	readonly #limit: number;
	readonly #results = new Map<CommandId, KeptResult>();

	constructor(limit: number, results: readonly KeptResult[] = []) {
		this.#limit = limit;
		for (const result of results) {
			this.add(result);
		}
	}

	get(commandId: CommandId): KeptResult | undefined {
		return this.#results.get(commandId);
	}

	add(kept: KeptResult): void {
		this.#results.set(kept.commandId, kept);
		for (const oldest of this.#results.keys()) {
			if (this.#results.size <= this.#limit) {
				return;
			}

			this.#results.delete(oldest);
		}
	}

	all(): readonly KeptResult[] {
		return [...this.#results.values()];
	}
}

/** A digest that is the same for equal changes, whatever the order of their fields. */
export function digestChange(change: ConfigurationChange): string {
	return createHash('sha256').update(JSON.stringify(change, sortFields)).digest('base64url');
}

function sortFields(_name: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1)));
}
