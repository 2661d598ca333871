/**
The header line of each file, which states the kind of file and its format version.
*/

import {StorageDamagedError, StorageVersionError} from '../errors/index.js';

/** The kind of a file. */
export type FileKind = 'log' | 'snapshot';

const formatVersion = 1;

/** Returns the header line of a file of this kind. */
export function fileHeader(kind: FileKind): Uint8Array {
	return Buffer.from(`fireflyglade ${kind} ${formatVersion}\n`);
}

/**
Checks the header line of a file.

@returns The offset after the header, or undefined if the file ends within it.
@throws {StorageVersionError} The file has an unsupported format version.
@throws {StorageDamagedError} The file does not begin with the header of this kind of file.
*/
export function checkFileHeader(kind: FileKind, file: string, content: Uint8Array): number | undefined {
	const expected = fileHeader(kind);
	const found = content.subarray(0, expected.byteLength);
	if (Buffer.compare(found, expected) === 0) {
		return expected.byteLength;
	}

	if (content.byteLength < expected.byteLength && Buffer.compare(found, expected.subarray(0, found.byteLength)) === 0) {
		return undefined;
	}

	const version = /^fireflyglade [a-z]+ (\d+)\n/.exec(Buffer.from(content.subarray(0, 64)).toString('latin1'))?.[1];
	if (version !== undefined && version !== String(formatVersion)) {
		throw new StorageVersionError(`${file} has format version ${version}; supported is version ${formatVersion}`);
	}

	throw new StorageDamagedError(file, 0, `the file does not begin with the header of a ${kind} file`);
}
