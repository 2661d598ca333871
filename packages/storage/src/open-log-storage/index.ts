/**
A durable log in one folder, which holds segment files of checksummed writes, the
latest snapshot and a lock file.

A write is durable once it is synced. If a file operation fails, the state on disk is
unknown, so the storage refuses all further operations until it is opened again and
has read back what is durable.
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
	readSegments, segmentPath, type Segment, type SegmentsContent,
} from '../_lib/segment-files.js';
import {
	commitSnapshot, readSnapshot, removeOldSnapshots, removePartialSnapshot, writePartialSnapshot,
} from '../_lib/snapshot-file.js';
import {NodeFileSystem} from '../node-file-system/index.js';
import {DiskFullError} from '../space-waiting-file-system/index.js';
import type {
	FileHandle, FileSystem, LoadedLog, LogStorage, LogWrite, StoredSnapshot,
} from '../types.js';

/** Options of a log storage; all of them may be omitted. */
export type LogStorageOptions = {
	readonly fileSystem: FileSystem;
	/** Size in bytes at which a segment is full and the next one is started. */
	readonly segmentBytes: number;
	/** The process recorded in the lock; by default this process. Tests set it to simulate a restart. */
	readonly owner?: LockOwner;
	/** True if the environment guarantees that no other process uses the folder; no lock is taken then. */
	readonly hasExclusiveAccess?: boolean;
};

const defaultSegmentBytes = 4_194_304;

const noLock: FolderLock = {
	async release() {
		// No lock was taken.
	},
};

/**
Opens the log in a folder and takes its lock. The folder is created if it does not exist.

@throws {FolderLockedError} Another running process, or this one, has the folder open.
@throws {StorageDamagedError} A file is corrupt; the error names the file and the offset.
@throws {StorageVersionError} A file has an unsupported format version.

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
	#currentFile: FileHandle | undefined;
	/** The content that `recover` read, for the first `load` alone, so that it isn't held twice; a later one reads the files again. */
	#recovered: LoadedLog | undefined;
	#value: Uint8Array | undefined;
	/** Index of the last record, as a replay of the segment files finds it; undefined if there are no records. */
	#lastIndex: number | undefined;
	#snapshotIndex = 0;
	/** The first error of a file operation; undefined while the storage is usable. */
	#failure: unknown;
	#isClosed = false;
	#operationQueue: Promise<unknown> = Promise.resolve();
	#snapshotQueue: Promise<unknown> = Promise.resolve();

	constructor(folder: string, lock: FolderLock, options: LogStorageOptions) {
		this.#folder = folder;
		this.#lock = lock;
		this.#fileSystem = options.fileSystem;
		this.#segmentBytes = options.segmentBytes;
	}

	/** Reads the content of the folder and opens the last segment for writing. */
	async recover(): Promise<void> {
		const content = await readSegments(this.#fileSystem, this.#folder);
		const snapshot = await readSnapshot(this.#fileSystem, this.#folder);
		this.#recovered = this.#combine(content, snapshot);
		this.#segments = [...content.segments];
		this.#value = content.list.value;
		this.#lastIndex = content.list.lastIndex;
		this.#snapshotIndex = snapshot?.lastIndex ?? 0;
		const last = this.#segments.at(-1);
		if (last === undefined) {
			await this.#beginSegment();
			return;
		}

		await this.#openCurrentFile(last);
		// The content may come from a write that a killed process did not sync.
		await this.#currentFile?.sync();
		await this.#fileSystem.syncFolder(this.#folder);
	}

	async write(change: LogWrite): Promise<void> {
		return this.#enqueue(async () => this.#append(change));
	}

	async saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
		const completion = runAfter(this.#snapshotQueue, async () => this.#saveSnapshot(snapshot));
		this.#snapshotQueue = settle(completion);
		return completion;
	}

	async load(): Promise<LoadedLog> {
		return this.#enqueue(async () => {
			const recovered = this.#recovered;
			this.#recovered = undefined;
			return recovered ?? this.#combine(
				await readSegments(this.#fileSystem, this.#folder),
				await readSnapshot(this.#fileSystem, this.#folder),
			);
		});
	}

	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		await this.#snapshotQueue;
		await this.#operationQueue;
		this.#isClosed = true;
		try {
			await this.#currentFile?.close();
		} finally {
			await this.#releaseLock();
		}
	}

	/** Releases the lock. Its release is a write, so on a full disk it stays; the next process finds that its owner has ended, and takes it over. */
	async #releaseLock(): Promise<void> {
		try {
			await this.#lock.release();
		} catch (error: unknown) {
			if (!(error instanceof DiskFullError)) {
				throw error;
			}
		}
	}

	/** Runs operations one after another. After the first failed file operation, all later ones are refused. */
	async #enqueue<Result>(operation: () => Promise<Result>): Promise<Result> {
		const completion = runAfter(this.#operationQueue, async () => this.#attempt(operation));
		this.#operationQueue = settle(completion);
		return completion;
	}

	async #attempt<Result>(operation: () => Promise<Result>): Promise<Result> {
		this.#assertUsable();
		try {
			return await operation();
		} catch (error) {
			if (error instanceof StorageOrderError) {
				throw error;
			}

			this.#failure = error;
			throw new StorageFailedError(`a file operation in ${this.#folder} failed: ${describe(error)}`, {cause: error});
		}
	}

	#assertUsable(): void {
		if (this.#isClosed) {
			throw new StorageFailedError(`the storage in ${this.#folder} is closed`);
		}

		if (this.#failure !== undefined) {
			throw new StorageFailedError(`the storage in ${this.#folder} accepts no operations after a failed one: ${describe(this.#failure)}`, {cause: this.#failure});
		}
	}

	async #append(change: LogWrite): Promise<void> {
		const last = this.#lastIndexAfterTruncation(change);
		const restartAfter = this.#findRestartIndex(change, last);
		await this.#rollSegmentIfFull();
		const segment = this.#segments.at(-1);
		if (segment === undefined || this.#currentFile === undefined) {
			throw new StorageFailedError('no segment file is open');
		}

		const frame = encodeFrame(encodeBatch({...change, restartAfter}));
		await this.#currentFile.write(segment.size, frame);
		await this.#currentFile.sync();
		this.#recovered = undefined;
		this.#value = change.value ?? this.#value;
		this.#lastIndex = change.records.at(-1)?.index ?? restartAfter ?? last;
		const highestIndex = Math.max(segment.highestIndex, change.records.at(-1)?.index ?? 0);
		this.#segments[this.#segments.length - 1] = {...segment, size: segment.size + frame.byteLength, highestIndex};
	}

	#lastIndexAfterTruncation(change: LogWrite): number | undefined {
		if (change.truncateFrom === undefined || this.#lastIndex === undefined) {
			return this.#lastIndex;
		}

		return Math.min(this.#lastIndex, change.truncateFrom - 1);
	}

	/**
	Checks that the records follow the last record or the snapshot.

	@returns The index after which the log restarts, if a snapshot replaces the records before; otherwise undefined.
	@throws {StorageOrderError} The records leave a gap.
	*/
	#findRestartIndex(change: LogWrite, last: number | undefined): number | undefined {
		let expected = change.records[0]?.index;
		if (expected === undefined) {
			return undefined;
		}

		const follows = expected === (last ?? 0) + 1;
		if (!follows && expected !== this.#snapshotIndex + 1) {
			throw new StorageOrderError(`record ${expected} follows neither record ${last ?? 0} nor the snapshot at index ${this.#snapshotIndex}`);
		}

		const restartAfter = follows ? undefined : expected - 1;
		for (const record of change.records) {
			if (record.index !== expected) {
				throw new StorageOrderError(`found record ${record.index} where record ${expected} is expected`);
			}

			expected++;
		}

		return restartAfter;
	}

	async #saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
		if (snapshot.lastIndex < this.#snapshotIndex) {
			throw new StorageOrderError(`a snapshot at index ${snapshot.lastIndex} can't replace the one at index ${this.#snapshotIndex}`);
		}

		await this.#attempt(async () => writePartialSnapshot(this.#fileSystem, this.#folder, snapshot));
		await this.#enqueue(async () => {
			await commitSnapshot(this.#fileSystem, this.#folder, snapshot.lastIndex);
			this.#recovered = undefined;
			this.#snapshotIndex = snapshot.lastIndex;
			await removeOldSnapshots(this.#fileSystem, this.#folder, snapshot.lastIndex);
			await this.#removeOldSegments();
		});
	}

	/** Removes segments that the snapshot covers, oldest first, with a sync after each, so that a crash leaves no gap. */
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

	async #rollSegmentIfFull(): Promise<void> {
		const segment = this.#segments.at(-1);
		if (segment !== undefined && segment.size >= this.#segmentBytes) {
			await this.#beginSegment();
		}
	}

	/** Starts a new segment. It begins with the current value, so that earlier segments can be removed. */
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
		await this.#openCurrentFile(segment);
	}

	async #openCurrentFile(segment: Segment): Promise<void> {
		await this.#currentFile?.close();
		this.#currentFile = await this.#fileSystem.open(segment.path, 'r+');
	}

	#combine(content: SegmentsContent, snapshot: StoredSnapshot | undefined): LoadedLog {
		const snapshotIndex = snapshot?.lastIndex ?? 0;
		const records = content.list.records.filter(record => record.index > snapshotIndex);
		const first = records[0]?.index;
		if (first !== undefined && first !== snapshotIndex + 1) {
			throw new StorageDamagedError(content.segments[0]?.path ?? this.#folder, 0, `the records from ${snapshotIndex + 1} to ${first - 1} are missing`);
		}

		return {snapshot, records, value: content.list.value};
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

/** Resolves once the promise settles, whether or not it is rejected. */
async function settle(completion: Promise<unknown>): Promise<void> {
	try {
		await completion;
	} catch {}
}

function describe(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
