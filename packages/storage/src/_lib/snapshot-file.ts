/**
Snapshot files. A snapshot is written to a temporary file, synced, and then renamed to its final name.
*/

import {join} from 'node:path';
import {StorageDamagedError} from '../errors/index.js';
import type {FileSystem, StoredSnapshot} from '../types.js';
import {checkFileHeader, fileHeader} from './file-header.js';
import {encodeFrame, frameHeaderBytes, readFrame} from './frame.js';
import {readFile, writeFile} from './read-file.js';

const partialName = 'snapshot.partial';
const namePattern = /^snapshot-(\d{16})$/;

/** Writes a snapshot to the temporary file; it takes effect when `commitSnapshot` renames the file. */
export async function writePartialSnapshot(fileSystem: FileSystem, folder: string, snapshot: StoredSnapshot): Promise<void> {
	await writeFile(fileSystem, join(folder, partialName), [fileHeader('snapshot'), encodeFrame(snapshot.data)]);
}

/** Renames the temporary file to the final name of the snapshot, and syncs the folder. */
export async function commitSnapshot(fileSystem: FileSystem, folder: string, lastIndex: number): Promise<void> {
	await fileSystem.rename(join(folder, partialName), join(folder, snapshotName(lastIndex)));
	await fileSystem.syncFolder(folder);
}

/** Removes all snapshots older than the one at `lastIndex`. */
export async function removeOldSnapshots(fileSystem: FileSystem, folder: string, lastIndex: number): Promise<void> {
	for (const name of await fileSystem.list(folder)) {
		const index = namePattern.exec(name)?.[1];
		if (index !== undefined && Number(index) < lastIndex) {
			await fileSystem.remove(join(folder, name));
		}
	}
}

/** Removes the temporary file of an unfinished snapshot. */
export async function removePartialSnapshot(fileSystem: FileSystem, folder: string): Promise<void> {
	const names = await fileSystem.list(folder);
	if (names.includes(partialName)) {
		await fileSystem.remove(join(folder, partialName));
	}
}

/**
Reads the latest snapshot.

@throws {StorageDamagedError} The snapshot is corrupt. An older one is not used instead, because the records that follow it may have been removed.
*/
export async function readSnapshot(fileSystem: FileSystem, folder: string): Promise<StoredSnapshot | undefined> {
	let newest: number | undefined;
	for (const name of await fileSystem.list(folder)) {
		const index = namePattern.exec(name)?.[1];
		if (index !== undefined && Number(index) > (newest ?? -1)) {
			newest = Number(index);
		}
	}

	if (newest === undefined) {
		return undefined;
	}

	const file = join(folder, snapshotName(newest));
	const content = await readFile(fileSystem, file);
	return {lastIndex: newest, data: readSnapshotData(file, content)};
}

function readSnapshotData(file: string, content: Uint8Array): Uint8Array {
	const start = checkFileHeader('snapshot', file, content);
	if (start === undefined) {
		throw new StorageDamagedError(file, 0, 'the file ends within its header');
	}

	const reading = readFrame(content, start);
	if (reading.kind !== 'frame' || reading.next !== content.byteLength) {
		throw new StorageDamagedError(file, start + frameHeaderBytes, 'the snapshot is incomplete or corrupt');
	}

	return reading.payload;
}

function snapshotName(lastIndex: number): string {
	return `snapshot-${String(lastIndex).padStart(16, '0')}`;
}
