/**
The contract of durable storage: one data folder, one lock, records that count
only once they are synced.
*/

/** One record of the log, addressed by its index. */
export type StoredRecord = {
	/** From 1, without a gap. */
	readonly index: number;
	readonly data: Uint8Array;
};

/** A durable log with a small durable value beside it. */
export type LogStorage = {
	/** Removes the records from `truncateFrom` on, appends `records`, replaces the value, and syncs; resolves when all of it lasts. */
	write(change: LogWrite): Promise<void>;
	/** Writes a snapshot aside, syncs it, renames it, and drops the records up to its index. */
	saveSnapshot(snapshot: StoredSnapshot): Promise<void>;
	/** Reads all that lasts; a torn tail is cut off, any other damage is an error that names file and offset. */
	load(): Promise<LoadedLog>;
	close(): Promise<void>;
};

/** One synced change to a log. */
export type LogWrite = {
	readonly truncateFrom?: number;
	readonly records: readonly StoredRecord[];
	/** A small value that replaces the last one, such as a vote. */
	readonly value?: Uint8Array;
};

/** A snapshot of what the records up to `lastIndex` led to. */
export type StoredSnapshot = {
	readonly lastIndex: number;
	readonly data: Uint8Array;
};

/** What a log holds when it is opened. */
export type LoadedLog = {
	readonly snapshot?: StoredSnapshot;
	readonly records: readonly StoredRecord[];
	readonly value?: Uint8Array;
};

/** The file operations that storage needs; tests put failures in their way. */
export type FileSystem = {
	open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle>;
	rename(from: string, to: string): Promise<void>;
	remove(path: string): Promise<void>;
	list(folder: string): Promise<readonly string[]>;
	makeFolder(path: string): Promise<void>;
	/** Syncs a folder, so that new names in it last. */
	syncFolder(path: string): Promise<void>;
};

/** An open file. */
export type FileHandle = {
	read(offset: number, length: number): Promise<Uint8Array>;
	write(offset: number, data: Uint8Array): Promise<void>;
	truncate(length: number): Promise<void>;
	size(): Promise<number>;
	sync(): Promise<void>;
	close(): Promise<void>;
};
