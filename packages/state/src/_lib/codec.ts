/**
Encoding of commands and saved states: one version byte, followed by MessagePack.

Plain objects are encoded without shared record definitions, so that each value can
be decoded independently.
*/

import {Packr} from 'msgpackr';
import {StateFormatError} from '../errors/index.js';

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
Decodes a value that was encoded by `encodeValue`.

@throws {StateFormatError} The bytes are corrupt or have an unknown format version.
*/
export function decodeValue(bytes: Uint8Array): unknown {
	if (bytes[0] !== formatVersion) {
		throw new StateFormatError(`format version ${bytes[0] ?? 'none'} is not supported; expected version ${formatVersion}`);
	}

	try {
		return packer.unpack(bytes.subarray(1)) as unknown;
	} catch (error) {
		throw new StateFormatError('the bytes are not a complete MessagePack value', {cause: error});
	}
}
