/**
Finds the team of a caller's key by the digest of the key.
*/

import {createHash} from 'node:crypto';
import type {
	Configuration, Key, KeyDigest, KeyId,
} from '@fireflyglade/model';

/** The result of looking a key up. */
export type KeyLookup =
	| {readonly kind: 'found'; readonly key: Key}
	| {readonly kind: 'unknown'};

/** SHA-256 of a secret, in lower-case hexadecimal. */
export function digestSecret(secret: string): KeyDigest {
	return createHash('sha256').update(secret).digest('hex') as KeyDigest;
}

/** The keys of one configuration. */
export class KeyTable {
	readonly #keys = new Map<KeyDigest, Key>();
	readonly #isWithdrawn: (id: KeyId) => boolean;

	constructor(configuration: Configuration, isWithdrawn: (id: KeyId) => boolean) {
		this.#isWithdrawn = isWithdrawn;
		for (const key of configuration.keys.values()) {
			if (!key.withdrawn && configuration.teams.has(key.team)) {
				this.#keys.set(key.digest, key);
			}
		}
	}

	/** Looks up a secret; a withdrawn key is unknown. */
	lookUp(secret: string): KeyLookup {
		const key = this.#keys.get(digestSecret(secret));
		if (key === undefined || this.#isWithdrawn(key.id)) {
			return {kind: 'unknown'};
		}

		return {kind: 'found', key};
	}
}
