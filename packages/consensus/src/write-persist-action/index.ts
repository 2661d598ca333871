/**
Performs a `persist` action on the storage of a member.
*/

import {encodeValue} from '../_lib/codec.js';
import type {ConsensusStorage} from '../_lib/consensus-storage.js';
import type {ConsensusAction} from '../types.js';

/** The action that requests a write. */
export type PersistAction = Extract<ConsensusAction, {kind: 'persist'}>;

/**
Writes and syncs the content of the action. Once it resolves, call `persisted` with
the number of the action.

The snapshot is saved before the log is truncated. A crash in between leaves stale
entries, which are dropped at the next start, but never loses acknowledged entries.

@example
```ts
await writePersistAction(storage, action);
consensus.persisted(action.number, clock.now());
```
*/
export async function writePersistAction(storage: ConsensusStorage, action: PersistAction): Promise<void> {
	const {snapshot, hardState, truncateFrom, entries} = action;
	if (snapshot !== undefined) {
		const {lastIndex, lastTerm, members, data} = snapshot;
		await storage.saveSnapshot({lastIndex, data: encodeValue({lastTerm, members, data})});
	}

	if (hardState === undefined && truncateFrom === undefined && entries.length === 0) {
		return;
	}

	await storage.write({
		truncateFrom,
		records: entries.map(({index, term, payload}) => ({index, data: encodeValue({term, payload})})),
		value: hardState === undefined ? undefined : encodeValue(hardState),
	});
}
