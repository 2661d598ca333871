/**
Binary form of what members send and store: one version byte, then MessagePack.
*/

import {Packr} from 'msgpackr';
import {ConsensusFormatError} from '../errors/index.js';

const formatVersion = 1;

const packer = new Packr({
	useRecords: false, moreTypes: false, copyBuffers: true, int64AsType: 'number',
});

/** Writes a value of plain objects, arrays, strings, numbers and byte arrays. */
export function encodeValue(value: unknown): Uint8Array {
	const packed = packer.pack(value);
	const bytes = new Uint8Array(packed.length + 1);
	bytes[0] = formatVersion;
	bytes.set(packed, 1);
	return bytes;
}

/**
Reads an object that `encodeValue` wrote.

@param field - A field that the object must have.
@throws {ConsensusFormatError} The bytes are damaged or of an unknown version, or lack the field.
*/
export function decodeObject(bytes: Uint8Array, field: string): Record<string, unknown> {
	if (bytes[0] !== formatVersion) {
		throw new ConsensusFormatError(`format version ${bytes[0] ?? 'none'} is not known; this program reads version ${formatVersion}`);
	}

	const value: unknown = unpack(bytes.subarray(1));
	if (typeof value !== 'object' || value === null || !(field in value)) {
		throw new ConsensusFormatError(`the value has no field ${field}`);
	}

	return Object.fromEntries(Object.entries(value));
}

function unpack(bytes: Uint8Array): unknown {
	try {
		return packer.unpack(bytes) as unknown;
	} catch (error) {
		throw new ConsensusFormatError('the bytes are no whole MessagePack value', {cause: error});
	}
}
