/**
Types of the durable storage: a log in one data folder, guarded by a lock, whose
records are durable once they are synced.
*/

/** One record of the log. */
export type StoredRecord = {
	/** Starts at 1 and increases without gaps. */
	readonly index: number;
	readonly data: Uint8Array;
};

/** A durable log with snapshots and one small durable value. */
export type LogStorage = {
	/**
	Removes the records from `truncateFrom` on, appends `records` and replaces the value.
	Resolves once all of it is synced to disk.

	@throws {StorageOrderError} The records do not follow the last record or the snapshot.
	@throws {StorageFailedError} A file operation failed in this or an earlier call, or the storage is closed.
	*/
	write(change: LogWrite): Promise<void>;
	/**
	Writes a snapshot to a temporary file, syncs it, renames it, and deletes the segments
	that it makes obsolete.

	@throws {StorageOrderError} A later snapshot is stored already.
	@throws {StorageFailedError} A file operation failed in this or an earlier call, or the storage is closed.
	*/
	saveSnapshot(snapshot: StoredSnapshot): Promise<void>;
	/**
	Reads the durable content. A torn write at the end of the log is truncated; any other
	corruption is an error that names the file and the offset.

	@throws {StorageFailedError} A file operation failed in this or an earlier call, a file is corrupt, or the storage is closed.
	*/
	load(): Promise<LoadedLog>;
	/** Waits for running operations, closes the files and releases the lock. */
	close(): Promise<void>;
};

/** One atomic write to a log. */
export type LogWrite = {
	readonly truncateFrom?: number;
	readonly records: readonly StoredRecord[];
	/** A small value that replaces the previous one, such as a vote. */
	readonly value?: Uint8Array;
};

/** A snapshot of the state after the records up to `lastIndex`. */
export type StoredSnapshot = {
	readonly lastIndex: number;
	readonly data: Uint8Array;
};

/** The content of a log. */
export type LoadedLog = {
	readonly snapshot?: StoredSnapshot;
	readonly records: readonly StoredRecord[];
	readonly value?: Uint8Array;
};

/** The file operations that the storage needs; tests replace them to inject faults. */
export type FileSystem = {
	open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle>;
	rename(from: string, to: string): Promise<void>;
	remove(path: string): Promise<void>;
	list(folder: string): Promise<readonly string[]>;
	makeFolder(path: string): Promise<void>;
	/** Syncs a folder, so that files created, renamed or removed in it are durable. */
	syncFolder(path: string): Promise<void>;
};

/** An open file. */
export type FileHandle = {
	/** Reads up to `length` bytes; fewer bytes mean that the file ends. */
	read(offset: number, length: number): Promise<Uint8Array>;
	write(offset: number, data: Uint8Array): Promise<void>;
	truncate(length: number): Promise<void>;
	size(): Promise<number>;
	sync(): Promise<void>;
	close(): Promise<void>;
};
