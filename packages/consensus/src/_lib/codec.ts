/**
Encoding of messages and stored values: one version byte, followed by MessagePack.
*/

import {Packr} from 'msgpackr';
import {ConsensusFormatError} from '../errors/index.js';

const formatVersion = 1;

const packer = new Packr({
	useRecords: false, moreTypes: false, copyBuffers: true, int64AsType: 'number',
});

/** Encodes a value made of plain objects, arrays, strings, numbers and byte arrays. */
export function encodeValue(value: unknown): Uint8Array {
	const packed = packer.pack(value);
	const bytes = new Uint8Array(packed.length + 1);
	bytes[0] = formatVersion;
	bytes.set(packed, 1);
	return bytes;
}

/**
Decodes an object that was encoded by `encodeValue`.

@param field - Name of a field that the object must have.
@throws {ConsensusFormatError} The bytes are corrupt, have an unknown format version, or lack the field.
*/
export function decodeObject(bytes: Uint8Array, field: string): Record<string, unknown> {
	if (bytes[0] !== formatVersion) {
		throw new ConsensusFormatError(`format version ${bytes[0] ?? 'none'} is not supported; expected version ${formatVersion}`);
	}

	const value: unknown = unpack(bytes.subarray(1));
	if (typeof value !== 'object' || value === null || !(field in value)) {
		throw new ConsensusFormatError(`the decoded value has no field ${field}`);
	}

	return Object.fromEntries(Object.entries(value));
}

function unpack(bytes: Uint8Array): unknown {
	try {
		return packer.unpack(bytes) as unknown;
	} catch (error) {
		throw new ConsensusFormatError('the bytes are not a complete MessagePack value', {cause: error});
	}
}
