/**
Loads the state of a member from its storage.
*/

import {decodeObject} from '../_lib/codec.js';
import type {ConsensusStorage} from '../_lib/consensus-storage.js';
import type {
	HardState, LogEntry, Snapshot, StoredState,
} from '../types.js';

/**
Loads the state that `writePersistAction` wrote.

@returns The stored state; on the first start the term is 0 and everything else is empty.
@throws {ConsensusFormatError} A stored value is corrupt or has an unknown format version.
*/
export async function loadStoredState(storage: ConsensusStorage): Promise<StoredState> {
	const {snapshot, records, value} = await storage.load();
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
