/**
How entries, votes and snapshots of the replicated log stand on disk.
*/

import type {
	EntryPayload, HardState, LogEntry, MemberSet, Snapshot, StoredState,
} from '@fireflyglade/consensus';
import type {LoadedLog, StoredRecord, StoredSnapshot} from '@fireflyglade/storage';
import {decodeMessage, encodeMessage} from '@fireflyglade/transport';

type EntryOnDisk = {readonly term: number; readonly payload: EntryPayload};
type SnapshotOnDisk = {readonly lastTerm: number; readonly members: MemberSet; readonly data: Uint8Array};

/** Encodes an entry as a record. */
export function encodeEntry(entry: LogEntry): StoredRecord {
	const onDisk: EntryOnDisk = {term: entry.term, payload: entry.payload};
	return {index: entry.index, data: encodeMessage(onDisk)};
}

/** Encodes a vote. */
export function encodeHardState(hardState: HardState): Uint8Array {
	return encodeMessage(hardState);
}

/** Encodes a snapshot. */
export function encodeSnapshot(snapshot: Snapshot): StoredSnapshot {
	const onDisk: SnapshotOnDisk = {lastTerm: snapshot.lastTerm, members: snapshot.members, data: snapshot.data};
	return {lastIndex: snapshot.lastIndex, data: encodeMessage(onDisk)};
}

function decodeSnapshot(stored: StoredSnapshot): Snapshot {
	return {lastIndex: stored.lastIndex, ...decodeMessage(stored.data) as SnapshotOnDisk};
}

function decodeEntry(record: StoredRecord): LogEntry {
	return {index: record.index, ...decodeMessage(record.data) as EntryOnDisk};
}

/** Decodes what a member finds on its disk. */
export function decodeStoredState(loaded: LoadedLog): StoredState {
	const hardState = loaded.value === undefined ? {term: 0} : decodeMessage(loaded.value) as HardState;
	return {
		hardState,
		entries: loaded.records.map(record => decodeEntry(record)),
		...(loaded.snapshot === undefined ? {} : {snapshot: decodeSnapshot(loaded.snapshot)}),
	};
}
