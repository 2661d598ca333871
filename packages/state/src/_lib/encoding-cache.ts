/**
Binary forms of values that never change, each made once.

A state is saved again and again, but few of its records have changed since the
last time; the rest is copied.
*/

import {decodeValue, encodeValue} from './codec.js';

/** Encodes values that never change. */
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
		const known = this.#encoded.get(value);
		if (known !== undefined) {
			return known;
		}

		const bytes = encodeValue(value);
		this.#encoded.set(value, bytes);
		return bytes;
	}
}
