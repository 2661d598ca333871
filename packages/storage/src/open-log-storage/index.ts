/**
A durable log in one folder: segments of checksummed writes, the newest
snapshot, and a lock.

A write counts once it is synced. If an operation on a file fails, the state of
the disk is no longer known, so the storage refuses all that follows until it is
opened again and has read back what lasts.
*/

import {
	StorageDamagedError, StorageFailedError, StorageOrderError,
} from '../errors/index.js';
import {encodeBatch} from '../_lib/batch.js';
import {fileHeader} from '../_lib/file-header.js';
import {lockFolder, type FolderLock, type LockOwner} from '../_lib/folder-lock.js';
import {encodeFrame} from '../_lib/frame.js';
import {writeFile} from '../_lib/read-file.js';
import {
	readSegments, segmentPath, type Segment, type SegmentsReading,
} from '../_lib/segment-files.js';
import {
	nameSnapshot, readSnapshot, removeOldSnapshots, removePartialSnapshot, writeSnapshotAside,
} from '../_lib/snapshot-file.js';
import {NodeFileSystem} from '../node-file-system/index.js';
import type {
	FileHandle, FileSystem, LoadedLog, LogStorage, LogWrite, StoredSnapshot,
} from '../types.js';

/** Options of a log storage. */
export type LogStorageOptions = {
	readonly fileSystem: FileSystem;
	/** Bytes of a segment after which the next one is begun. */
	readonly segmentBytes: number;
	/** The process that the lock names; this one, but for tests of a restart. */
	readonly owner?: LockOwner;
	/** True where whoever starts the process makes sure that it is alone on its folder; no lock is taken then. */
	readonly hasExclusiveAccess?: boolean;
};

const defaultSegmentBytes = 16_777_216;

const noLock: FolderLock = {
	async release() {
		// Nothing is held.
	},
};

/**
Opens the log in a folder, which is created if need be, and takes its lock.

@throws {FolderLockedError} A living process has the folder open.
@throws {StorageDamagedError} A file is damaged; the error names file and offset.
@throws {StorageVersionError} A file is of another version.

@example
```ts
const storage = await openLogStorage('/var/lib/fireflyglade');
await storage.write({records: [{index: 1, data}]});
```
*/
export async function openLogStorage(folder: string, options: Partial<LogStorageOptions> = {}): Promise<LogStorage> {
	const fileSystem = options.fileSystem ?? new NodeFileSystem();
	await fileSystem.makeFolder(folder);
	const lock = options.hasExclusiveAccess === true ? noLock : await lockFolder(fileSystem, folder, options.owner);
	try {
		await removePartialSnapshot(fileSystem, folder);
		const storage = new SegmentedLog(folder, lock, {fileSystem, segmentBytes: options.segmentBytes ?? defaultSegmentBytes});
		await storage.recover();
		return storage;
	} catch (error) {
		await lock.release();
		throw error;
	}
}

class SegmentedLog implements LogStorage {
	readonly #folder: string;
	readonly #lock: FolderLock;
	readonly #fileSystem: FileSystem;
	readonly #segmentBytes: number;
	#segments: Segment[] = [];
	#current: FileHandle | undefined;
	/** What was read at the start; dropped with the first write. */
	#loaded: LoadedLog | undefined;
	#value: Uint8Array | undefined;
	/** Index of the last record in the files, as a replay would find it. */
	#lastIndex: number | undefined;
	#snapshotIndex = 0;
	#failure: unknown;
	#closed = false;
	#queue: Promise<unknown> = Promise.resolve();
	#snapshotQueue: Promise<unknown> = Promise.resolve();

	constructor(folder: string, lock: FolderLock, options: LogStorageOptions) {
		this.#folder = folder;
		this.#lock = lock;
		this.#fileSystem = options.fileSystem;
		this.#segmentBytes = options.segmentBytes;
	}

	/** Reads the folder back after a start. */
	async recover(): Promise<void> {
		const reading = await readSegments(this.#fileSystem, this.#folder);
		const snapshot = await readSnapshot(this.#fileSystem, this.#folder);
		this.#loaded = this.#combine(reading, snapshot);
		this.#segments = [...reading.segments];
		this.#value = reading.list.value;
		this.#lastIndex = reading.list.lastIndex;
		this.#snapshotIndex = snapshot?.lastIndex ?? 0;
		const last = this.#segments.at(-1);
		if (last === undefined) {
			await this.#beginSegment();
			return;
		}

		await this.#openCurrent(last);
		// What was read may come from a write that a killed process never synced.
		await this.#current?.sync();
		await this.#fileSystem.syncFolder(this.#folder);
	}

	async write(change: LogWrite): Promise<void> {
		return this.#enqueue(async () => this.#append(change));
	}

	async saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
		const done = runAfter(this.#snapshotQueue, async () => this.#saveSnapshot(snapshot));
		this.#snapshotQueue = ignoreFailure(done);
		return done;
	}

	async load(): Promise<LoadedLog> {
		return this.#enqueue(async () => this.#loaded ?? this.#combine(
			await readSegments(this.#fileSystem, this.#folder),
			await readSnapshot(this.#fileSystem, this.#folder),
		));
	}

	async close(): Promise<void> {
		if (this.#closed) {
			return;
		}

		await this.#snapshotQueue;
		await this.#queue;
		this.#closed = true;
		try {
			await this.#current?.close();
		} finally {
			await this.#lock.release();
		}
	}

	/** Runs one operation after the other; the first failure ends them all. */
	async #enqueue<Result>(operation: () => Promise<Result>): Promise<Result> {
		const done = runAfter(this.#queue, async () => this.#attempt(operation));
		this.#queue = ignoreFailure(done);
		return done;
	}

	async #attempt<Result>(operation: () => Promise<Result>): Promise<Result> {
		this.#checkOpen();
		try {
			return await operation();
		} catch (error) {
			if (error instanceof StorageOrderError) {
				throw error;
			}

			this.#failure = error;
			throw new StorageFailedError(`an operation on a file in ${this.#folder} failed: ${describe(error)}`, {cause: error});
		}
	}

	#checkOpen(): void {
		if (this.#closed) {
			throw new StorageFailedError(`the storage in ${this.#folder} is closed`);
		}

		if (this.#failure !== undefined) {
			throw new StorageFailedError(`the storage in ${this.#folder} takes no more writes since one failed: ${describe(this.#failure)}`, {cause: this.#failure});
		}
	}

	async #append(change: LogWrite): Promise<void> {
		const last = this.#lastAfterTruncation(change);
		const restartAfter = this.#checkOrder(change, last);
		await this.#rollIfFull();
		const segment = this.#segments.at(-1);
		if (segment === undefined || this.#current === undefined) {
			throw new StorageFailedError('no segment is open');
		}

		const frame = encodeFrame(encodeBatch({...change, restartAfter}));
		await this.#current.write(segment.size, frame);
		await this.#current.sync();
		this.#loaded = undefined;
		this.#value = change.value ?? this.#value;
		this.#lastIndex = change.records.at(-1)?.index ?? restartAfter ?? last;
		const highestIndex = Math.max(segment.highestIndex, change.records.at(-1)?.index ?? 0);
		this.#segments[this.#segments.length - 1] = {...segment, size: segment.size + frame.byteLength, highestIndex};
	}

	#lastAfterTruncation(change: LogWrite): number | undefined {
		if (change.truncateFrom === undefined || this.#lastIndex === undefined) {
			return this.#lastIndex;
		}

		return Math.min(this.#lastIndex, change.truncateFrom - 1);
	}

	/** Gives the index after which the log restarts, where a snapshot stands in for the records before. */
	#checkOrder(change: LogWrite, last: number | undefined): number | undefined {
		let expected = change.records[0]?.index;
		if (expected === undefined) {
			return undefined;
		}

		const follows = expected === (last ?? 0) + 1;
		if (!follows && expected !== this.#snapshotIndex + 1) {
			throw new StorageOrderError(`record ${expected} follows neither record ${last ?? 0} nor the snapshot at ${this.#snapshotIndex}`);
		}

		const restartAfter = follows ? undefined : expected - 1;
		for (const record of change.records) {
			if (record.index !== expected) {
				throw new StorageOrderError(`record ${record.index} stands where record ${expected} belongs`);
			}

			expected++;
		}

		return restartAfter;
	}

	async #saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
		if (snapshot.lastIndex < this.#snapshotIndex) {
			throw new StorageOrderError(`a snapshot at ${snapshot.lastIndex} can't follow the one at ${this.#snapshotIndex}`);
		}

		await this.#attempt(async () => writeSnapshotAside(this.#fileSystem, this.#folder, snapshot));
		await this.#enqueue(async () => {
			await nameSnapshot(this.#fileSystem, this.#folder, snapshot.lastIndex);
			this.#loaded = undefined;
			this.#snapshotIndex = snapshot.lastIndex;
			await removeOldSnapshots(this.#fileSystem, this.#folder, snapshot.lastIndex);
			await this.#removeOldSegments();
		});
	}

	/** Removes the oldest segments first and syncs after each, so that a crash leaves no gap. */
	async #removeOldSegments(): Promise<void> {
		while (this.#segments.length > 1) {
			const oldest = this.#segments[0];
			if (oldest === undefined || oldest.highestIndex > this.#snapshotIndex) {
				return;
			}

			await this.#fileSystem.remove(oldest.path);
			await this.#fileSystem.syncFolder(this.#folder);
			this.#segments.shift();
		}
	}

	async #rollIfFull(): Promise<void> {
		const segment = this.#segments.at(-1);
		if (segment !== undefined && segment.size >= this.#segmentBytes) {
			await this.#beginSegment();
		}
	}

	/** Each segment begins with the value, so that the ones before it can be removed. */
	async #beginSegment(): Promise<void> {
		const sequence = (this.#segments.at(-1)?.sequence ?? 0) + 1;
		const path = segmentPath(this.#folder, sequence);
		const parts = [fileHeader('log'), encodeFrame(encodeBatch({value: this.#value, records: []}))];
		await writeFile(this.#fileSystem, path, parts);
		await this.#fileSystem.syncFolder(this.#folder);
		const segment: Segment = {
			sequence, path, size: totalLength(parts), highestIndex: 0,
		};
		this.#segments.push(segment);
		await this.#openCurrent(segment);
	}

	async #openCurrent(segment: Segment): Promise<void> {
		await this.#current?.close();
		this.#current = await this.#fileSystem.open(segment.path, 'r+');
	}

	#combine(reading: SegmentsReading, snapshot: StoredSnapshot | undefined): LoadedLog {
		const snapshotIndex = snapshot?.lastIndex ?? 0;
		const records = reading.list.records.filter(record => record.index > snapshotIndex);
		const first = records[0]?.index;
		if (first !== undefined && first !== snapshotIndex + 1) {
			throw new StorageDamagedError(reading.segments[0]?.path ?? this.#folder, 0, `the records from ${snapshotIndex + 1} to ${first - 1} are missing`);
		}

		return {snapshot, records, value: reading.list.value};
	}
}

function totalLength(parts: readonly Uint8Array[]): number {
	let length = 0;
	for (const part of parts) {
		length += part.byteLength;
	}

	return length;
}

async function runAfter<Result>(previous: Promise<unknown>, operation: () => Promise<Result>): Promise<Result> {
	await previous;
	return operation();
}

async function ignoreFailure(done: Promise<unknown>): Promise<void> {
	try {
		await done;
	} catch {}
}

function describe(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
