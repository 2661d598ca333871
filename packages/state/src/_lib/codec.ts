/**
Binary form of commands and saved states: one version byte, then MessagePack.

Plain objects are written without shared record definitions, so that each value
can be read on its own.
*/

import {Packr} from 'msgpackr';
import {StateFormatError} from '../errors/index.js';

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
Reads what `encodeValue` wrote.

@throws {StateFormatError} The bytes are damaged or of an unknown version.
*/
export function decodeValue(bytes: Uint8Array): unknown {
	if (bytes[0] !== formatVersion) {
		throw new StateFormatError(`format version ${bytes[0] ?? 'none'} is not known; this program reads version ${formatVersion}`);
	}

	try {
		return packer.unpack(bytes.subarray(1)) as unknown;
	} catch (error) {
		throw new StateFormatError('the bytes are no whole MessagePack value', {cause: error});
	}
}
