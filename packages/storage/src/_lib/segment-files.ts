/**
The segment files of the log: their names, how they are read, and the truncation of a torn write at the end.
*/

import {join} from 'node:path';
import {StorageDamagedError} from '../errors/index.js';
import type {FileSystem} from '../types.js';
import {decodeBatch} from './batch.js';
import {checkFileHeader, fileHeader} from './file-header.js';
import {readFrame} from './frame.js';
import {readFile} from './read-file.js';
import {RecordList} from './record-list.js';

/** A segment file. */
export type Segment = {
	readonly sequence: number;
	readonly path: string;
	/** Size in bytes of the valid content. */
	readonly size: number;
	/** Highest index of a record in the segment; 0 if it has no records. */
	readonly highestIndex: number;
};

/** The content of all segments. */
export type SegmentsContent = {
	readonly segments: readonly Segment[];
	readonly list: RecordList;
};

const namePattern = /^log-(\d{10})$/;

/** The path of the segment with this sequence number. */
export function segmentPath(folder: string, sequence: number): string {
	return join(folder, `log-${String(sequence).padStart(10, '0')}`);
}

/**
Reads all segments in order, and truncates a torn write at the end of the last one.

@throws {StorageDamagedError} A file is corrupt or missing.
*/
export async function readSegments(fileSystem: FileSystem, folder: string): Promise<SegmentsContent> {
	const sequences = await listSequences(fileSystem, folder);
	const list = new RecordList();
	const segments: Segment[] = [];
	for (const [position, sequence] of sequences.entries()) {
		if (sequence !== (sequences[0] ?? 0) + position) {
			throw new StorageDamagedError(segmentPath(folder, sequence - 1), 0, 'the file is missing');
		}

		const path = segmentPath(folder, sequence);
		const isLast = position === sequences.length - 1;
		const segment = await readSegment(fileSystem, {sequence, path, isLast}, list);
		if (segment !== undefined) {
			segments.push(segment);
		}
	}

	return {segments, list};
}

async function listSequences(fileSystem: FileSystem, folder: string): Promise<number[]> {
	const sequences: number[] = [];
	for (const name of await fileSystem.list(folder)) {
		const sequence = namePattern.exec(name)?.[1];
		if (sequence !== undefined) {
			sequences.push(Number(sequence));
		}
	}

	return sequences.sort((first, second) => first - second);
}

async function readSegment(fileSystem: FileSystem, file: {sequence: number; path: string; isLast: boolean}, list: RecordList): Promise<Segment | undefined> {
	const {sequence, path, isLast} = file;
	const content = await readFile(fileSystem, path);
	if (isLast && isUnfinished(content)) {
		// A crash interrupted the creation of the segment, so no write in it was acknowledged.
		await fileSystem.remove(path);
		return undefined;
	}

	let offset = checkFileHeader('log', path, content);
	if (offset === undefined) {
		throw new StorageDamagedError(path, 0, 'the file ends within its header');
	}

	let highestIndex = 0;
	for (;;) {
		const reading = readFrame(content, offset);
		if (reading.kind === 'end') {
			return {
				sequence, path, size: offset, highestIndex,
			};
		}

		if (reading.kind === 'torn' && isLast) {
			await truncateFile(fileSystem, path, offset);
			return {
				sequence, path, size: offset, highestIndex,
			};
		}

		if (reading.kind !== 'frame') {
			throw new StorageDamagedError(path, offset, reading.kind === 'torn' ? 'the file ends with an incomplete write, but it is not the last segment' : reading.reason);
		}

		const batch = decodeBatch(reading.payload);
		list.replay(batch, path, offset);
		highestIndex = Math.max(highestIndex, batch.records.at(-1)?.index ?? 0);
		offset = reading.next;
	}
}

/** True if a file contains only part of its header, or only zeros, which stand for bytes that were never written. */
function isUnfinished(content: Uint8Array): boolean {
	const header = fileHeader('log');
	if (content.byteLength < header.byteLength) {
		return Buffer.compare(content, header.subarray(0, content.byteLength)) === 0 || content.every(byte => byte === 0);
	}

	return content.every(byte => byte === 0);
}

async function truncateFile(fileSystem: FileSystem, path: string, length: number): Promise<void> {
	const handle = await fileSystem.open(path, 'r+');
	try {
		await handle.truncate(length);
		await handle.sync();
	} finally {
		await handle.close();
	}
}
