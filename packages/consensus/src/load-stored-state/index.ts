/**
Reads what a member left on its disk.
*/

import {decodeObject} from '../_lib/codec.js';
import type {ConsensusStorage} from '../_lib/consensus-storage.js';
import type {
	HardState, LogEntry, Snapshot, StoredState,
} from '../types.js';

/**
Reads the state that `writePersistAction` wrote.

@returns The stored state; at the first start the term is 0 and the rest is empty.
@throws {ConsensusFormatError} A record is of an unknown form.
*/
export async function loadStoredState(disk: ConsensusStorage): Promise<StoredState> {
	const {snapshot, records, value} = await disk.load();
	const stored: StoredState = {
		hardState: value === undefined ? {term: 0} : decodeObject(value, 'term') as HardState,
		entries: records.map(record => decodeEntry(record.index, record.data)),
	};
	if (snapshot === undefined) {
		return stored;
	}

	const decoded = decodeObject(snapshot.data, 'lastTerm') as Snapshot;
	return {...stored, snapshot: {...decoded, lastIndex: snapshot.lastIndex}};
}

function decodeEntry(index: number, data: Uint8Array): LogEntry {
	const decoded = decodeObject(data, 'payload') as LogEntry;
	return {...decoded, index};
}
