/**
The disk as consensus needs it; the log storage of `@fireflyglade/storage` is one.
*/

/** A durable log with a small value beside it. */
export type ConsensusStorage = {
	write(change: {readonly truncateFrom?: number; readonly records: readonly StorageRecord[]; readonly value?: Uint8Array}): Promise<void>;
	saveSnapshot(snapshot: StorageSnapshot): Promise<void>;
	load(): Promise<{readonly snapshot?: StorageSnapshot; readonly records: readonly StorageRecord[]; readonly value?: Uint8Array}>;
};

type StorageRecord = {
	readonly index: number;
	readonly data: Uint8Array;
};

type StorageSnapshot = {
	readonly lastIndex: number;
	readonly data: Uint8Array;
};
