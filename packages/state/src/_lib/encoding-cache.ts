/**
A cache of the encoded forms of immutable values.

A state is saved repeatedly, but few of its records change between two saves; the
encodings of the others are reused.
*/

import {decodeValue, encodeValue} from './codec.js';

/** Encodes immutable values, each only once. */
export class EncodingCache<Value extends WeakKey> {
	readonly #encoded = new WeakMap<Value, Uint8Array>();

	encodeAll(values: Iterable<Value>): readonly Uint8Array[] {
		const encoded: Uint8Array[] = [];
		for (const value of values) {
			encoded.push(this.#encode(value));
		}

		return encoded;
	}

	decodeAll(encoded: readonly Uint8Array[]): readonly Value[] {
		const values: Value[] = [];
		for (const bytes of encoded) {
			const value = decodeValue(bytes) as Value;
			this.#encoded.set(value, bytes);
			values.push(value);
		}

		return values;
	}

	#encode(value: Value): Uint8Array {
		const cached = this.#encoded.get(value);
		if (cached !== undefined) {
			return cached;
		}

		const bytes = encodeValue(value);
		this.#encoded.set(value, bytes);
		return bytes;
	}
}
