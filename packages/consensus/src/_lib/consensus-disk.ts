/**
The disk as consensus needs it; the log storage of `@fireflyglade/storage` is one.
*/

/** A durable log with a small value beside it. */
export type ConsensusDisk = {
	write(change: {readonly truncateFrom?: number; readonly records: readonly DiskRecord[]; readonly value?: Uint8Array}): Promise<void>;
	saveSnapshot(snapshot: DiskSnapshot): Promise<void>;
	load(): Promise<{readonly snapshot?: DiskSnapshot; readonly records: readonly DiskRecord[]; readonly value?: Uint8Array}>;
};

type DiskRecord = {
	readonly index: number;
	readonly data: Uint8Array;
};

type DiskSnapshot = {
	readonly lastIndex: number;
	readonly data: Uint8Array;
};
