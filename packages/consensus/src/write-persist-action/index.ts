/**
Carries out an action `persist` on a disk.
*/

import {encodeValue} from '../_lib/codec.js';
import type {ConsensusStorage} from '../_lib/consensus-storage.js';
import type {ConsensusAction} from '../types.js';

/** The action that asks for a write. */
export type PersistAction = Extract<ConsensusAction, {kind: 'persist'}>;

/**
Writes and syncs what the action holds; afterwards call `persisted` with its number.

The snapshot is saved before the log is truncated: a crash in between leaves
entries that the next start drops, and never a log without what was promised.

@example
```ts
await writePersistAction(storage, action);
consensus.persisted(action.number, clock.now());
```
*/
export async function writePersistAction(disk: ConsensusStorage, action: PersistAction): Promise<void> {
	const {snapshot, hardState, truncateFrom, entries} = action;
	if (snapshot !== undefined) {
		const {lastIndex, lastTerm, members, data} = snapshot;
		await disk.saveSnapshot({lastIndex, data: encodeValue({lastTerm, members, data})});
	}

	if (hardState === undefined && truncateFrom === undefined && entries.length === 0) {
		return;
	}

	await disk.write({
		truncateFrom,
		records: entries.map(({index, term, payload}) => ({index, data: encodeValue({term, payload})})),
		value: hardState === undefined ? undefined : encodeValue(hardState),
	});
}
