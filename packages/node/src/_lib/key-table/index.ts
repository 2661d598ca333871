/**
Finds a caller's key by its digest.
*/

import {createHash} from 'node:crypto';
import type {
	Configuration, Key, KeyDigest, KeyId,
} from '@fireflyglade/model';

/** The result of a key lookup. */
export type KeyLookup =
	| {readonly kind: 'found'; readonly key: Key}
	| {readonly kind: 'unknown'};

/** Computes the SHA-256 of a secret, in lower-case hexadecimal. */
export function digestSecret(secret: string): KeyDigest {
	return createHash('sha256').update(secret).digest('hex') as KeyDigest;
}

/** The keys of one configuration whose team exists and which are not withdrawn. */
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

	/** Looks up the key of a secret. A key that was withdrawn since the configuration was applied is unknown too. */
	lookUp(secret: string): KeyLookup {
		const key = this.#keys.get(digestSecret(secret));
		if (key === undefined || this.#isWithdrawn(key.id)) {
			return {kind: 'unknown'};
		}

		return {kind: 'found', key};
	}
}
