/**
The segments of the log: their names, their reading, and the cut of a torn tail.
*/

import {join} from 'node:path';
import {StorageDamagedError} from '../errors/index.js';
import type {FileSystem} from '../types.js';
import {decodeBatch} from './batch.js';
import {checkFileHeader, fileHeader} from './file-header.js';
import {readFrame} from './frame.js';
import {readFile} from './read-file.js';
import {RecordList} from './record-list.js';

/** One segment. */
export type Segment = {
	readonly sequence: number;
	readonly path: string;
	/** Bytes up to which the file is whole. */
	readonly size: number;
	/** Highest index of a record in it; 0 without records. */
	readonly highestIndex: number;
};

/** What all segments hold. */
export type SegmentsReading = {
	readonly segments: readonly Segment[];
	readonly list: RecordList;
};

const namePattern = /^log-(\d{10})$/;

/** Path of the segment with this number. */
export function segmentPath(folder: string, sequence: number): string {
	return join(folder, `log-${String(sequence).padStart(10, '0')}`);
}

/**
Reads all segments in order, and cuts a torn tail off the last one.

@throws {StorageDamagedError} A file is damaged or missing.
*/
export async function readSegments(fileSystem: FileSystem, folder: string): Promise<SegmentsReading> {
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

async function readSegment(fileSystem: FileSystem, place: {sequence: number; path: string; isLast: boolean}, list: RecordList): Promise<Segment | undefined> {
	const {sequence, path, isLast} = place;
	const content = await readFile(fileSystem, path);
	if (isLast && isUnfinished(content)) {
		// The crash came while the segment was being created: no write in it was answered.
		await fileSystem.remove(path);
		return undefined;
	}

	let offset = checkFileHeader('log', path, content);
	if (offset === undefined) {
		throw new StorageDamagedError(path, 0, 'the file is too short');
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
			await cutTail(fileSystem, path, offset);
			return {
				sequence, path, size: offset, highestIndex,
			};
		}

		if (reading.kind !== 'frame') {
			throw new StorageDamagedError(path, offset, reading.kind === 'torn' ? 'the file ends within a write' : reading.reason);
		}

		const batch = decodeBatch(reading.payload);
		list.replay(batch, path, offset);
		highestIndex = Math.max(highestIndex, batch.records.at(-1)?.index ?? 0);
		offset = reading.next;
	}
}

/** True if a file holds no more than a part of its header, or bytes that were never written. */
function isUnfinished(content: Uint8Array): boolean {
	const header = fileHeader('log');
	if (content.byteLength < header.byteLength) {
		return Buffer.compare(content, header.subarray(0, content.byteLength)) === 0 || content.every(byte => byte === 0);
	}

	return content.every(byte => byte === 0);
}

async function cutTail(fileSystem: FileSystem, path: string, length: number): Promise<void> {
	const handle = await fileSystem.open(path, 'r+');
	try {
		await handle.truncate(length);
		await handle.sync();
	} finally {
		await handle.close();
	}
}
