/**
The first line of each file: what it holds and the version of its format.
*/

import {StorageDamagedError, StorageVersionError} from '../errors/index.js';

/** What a file holds. */
export type FileKind = 'log' | 'snapshot';

const formatVersion = 1;

/** The first bytes of a file of this kind. */
export function fileHeader(kind: FileKind): Uint8Array {
	return Buffer.from(`fireflyglade ${kind} ${formatVersion}\n`);
}

/**
Checks the first line of a file.

@returns The offset after the line, or undefined if the file ends within it.
@throws {StorageVersionError} The file is of another version.
@throws {StorageDamagedError} The file doesn't begin like a file of this kind.
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
		throw new StorageVersionError(`${file} is of version ${version}; this program reads version ${formatVersion}`);
	}

	throw new StorageDamagedError(file, 0, `it does not begin as a ${kind} file`);
}
