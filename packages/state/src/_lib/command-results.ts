/**
The results of the most recent commands, so that a resend gets the result of its first execution.
*/

import {createHash} from 'node:crypto';
import type {CommandId, ConfigurationChange} from '@fireflyglade/model';
import type {CommandResult} from '../types.js';

/** The result of one command, with the digest of the request that produced it. */
export type RetainedResult = {
	readonly commandId: CommandId;
	readonly requestDigest: string;
	readonly result: CommandResult;
};

/** The most recent results, up to a limit; the oldest are dropped first. */
export class CommandResults {
	readonly #limit: number;
	readonly #results = new Map<CommandId, RetainedResult>();

	constructor(limit: number, results: readonly RetainedResult[] = []) {
		this.#limit = limit;
		for (const result of results) {
			this.add(result);
		}
	}

	get(commandId: CommandId): RetainedResult | undefined {
		return this.#results.get(commandId);
	}

	add(retained: RetainedResult): void {
		this.#results.set(retained.commandId, retained);
		for (const oldest of this.#results.keys()) {
			if (this.#results.size <= this.#limit) {
				return;
			}

			this.#results.delete(oldest);
		}
	}

	all(): readonly RetainedResult[] {
		return [...this.#results.values()];
	}
}

/** The SHA-256 digest of a change, independent of the order of its fields. */
export function digestChange(change: ConfigurationChange): string {
	return createHash('sha256').update(JSON.stringify(change, sortFields)).digest('base64url');
}

function sortFields(_name: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1)));
}
