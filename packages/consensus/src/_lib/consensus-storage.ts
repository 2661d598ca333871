/**
The storage interface that consensus needs. `LogStorage` of `@fireflyglade/storage` implements it.
*/

/** A durable log with snapshots and one small durable value, which holds the hard state. */
export type ConsensusStorage = {
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
