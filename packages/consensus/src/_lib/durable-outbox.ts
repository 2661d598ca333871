/**
Collects the actions of a member, and holds back messages until the state that
they depend on is synced to disk.

At most one write to the log is in progress. Changes made in the meantime are
batched into the next write, so that many entries share one sync.
*/

import type {MemberId} from '@fireflyglade/model';
import type {
	ConsensusAction, ConsensusMessage, HardState, Snapshot,
} from '../types.js';
import type {ConsensusPayload} from './payload.js';
import type {RaftLog} from './raft-log/index.js';

type CurrentWrite = {
	readonly number: number;
	lastIndex: number;
};

/** An outbox that sends a message only after the writes that it depends on. */
export class DurableOutbox {
	readonly #member: MemberId;
	readonly #log: RaftLog;
	#actions: ConsensusAction[] = [];
	#nextNumber = 1;
	#currentWrite: CurrentWrite | undefined;
	#hardState: HardState | undefined;
	#truncateFrom: number | undefined;
	#snapshot: Snapshot | undefined;
	/** Index of the first entry that is not part of any write yet. */
	#firstUnwrittenIndex: number;
	#stableIndex: number;
	#messagesAfterCurrentWrite: ConsensusMessage[] = [];
	#messagesAfterNextWrite: ConsensusMessage[] = [];

	constructor(member: MemberId, log: RaftLog) {
		this.#member = member;
		this.#log = log;
		this.#stableIndex = log.lastIndex;
		this.#firstUnwrittenIndex = log.lastIndex + 1;
	}

	/** Index of the last entry that is synced to disk. */
	get stableIndex(): number {
		return this.#stableIndex;
	}

	/** Adds an action that does not wait for a write. */
	push(action: ConsensusAction): void {
		this.#actions.push(action);
	}

	/** Returns the actions collected since the last call, including a write if one is due. */
	takeActions(): readonly ConsensusAction[] {
		this.#startWrite();
		const actions = this.#actions;
		this.#actions = [];
		return actions;
	}

	/** Sends a message that does not depend on unsynced state. */
	sendImmediately(to: MemberId, payload: ConsensusPayload): void {
		this.push({kind: 'send', message: {from: this.#member, to, payload}});
	}

	/** Sends a message once all changes made before this call are synced. */
	sendAfterSync(to: MemberId, payload: ConsensusPayload): void {
		const message: ConsensusMessage = {from: this.#member, to, payload};
		if (this.#hasUnwrittenChanges()) {
			this.#messagesAfterNextWrite.push(message);
			return;
		}

		if (this.#currentWrite !== undefined) {
			this.#messagesAfterCurrentWrite.push(message);
			return;
		}

		this.push({kind: 'send', message});
	}

	setHardState(hardState: HardState): void {
		this.#hardState = hardState;
	}

	/** Records that the log was truncated: the entries from `index` on were removed. */
	truncate(index: number): void {
		this.#truncateFrom = Math.min(this.#truncateFrom ?? index, index);
		this.#firstUnwrittenIndex = Math.min(this.#firstUnwrittenIndex, index);
		this.#stableIndex = Math.min(this.#stableIndex, index - 1);
		if (this.#currentWrite !== undefined) {
			this.#currentWrite.lastIndex = Math.min(this.#currentWrite.lastIndex, index - 1);
		}
	}

	/** Records that the whole log was replaced by a snapshot. */
	recordInstalledSnapshot(snapshot: Snapshot): void {
		const next = snapshot.lastIndex + 1;
		this.#snapshot = snapshot;
		this.#truncateFrom = next;
		this.#firstUnwrittenIndex = next;
		this.#stableIndex = Math.min(this.#stableIndex, snapshot.lastIndex);
		if (this.#currentWrite !== undefined) {
			this.#currentWrite.lastIndex = 0;
		}
	}

	/** Persists a snapshot of entries that are already synced; no message waits for it. */
	writeCompaction(snapshot: Snapshot): void {
		this.push({
			kind: 'persist', number: this.#nextNumber++, entries: [], snapshot,
		});
	}

	/**
	Completes a write and sends the messages that waited for it.

	@returns The messages among them that are addressed to this member itself.
	*/
	completeWrite(number: number): readonly ConsensusMessage[] {
		if (this.#currentWrite?.number !== number) {
			return [];
		}

		this.#stableIndex = Math.max(this.#stableIndex, this.#currentWrite.lastIndex);
		this.#currentWrite = undefined;
		const due = this.#messagesAfterCurrentWrite;
		this.#messagesAfterCurrentWrite = [];
		const toSelf: ConsensusMessage[] = [];
		for (const message of due) {
			if (message.to === this.#member) {
				toSelf.push(message);
			} else {
				this.push({kind: 'send', message});
			}
		}

		return toSelf;
	}

	#hasUnwrittenChanges(): boolean {
		return this.#hardState !== undefined || this.#truncateFrom !== undefined || this.#snapshot !== undefined || this.#firstUnwrittenIndex <= this.#log.lastIndex;
	}

	#startWrite(): void {
		if (this.#currentWrite !== undefined || !this.#hasUnwrittenChanges()) {
			return;
		}

		const number = this.#nextNumber++;
		this.push({
			kind: 'persist',
			number,
			hardState: this.#hardState,
			truncateFrom: this.#truncateFrom,
			entries: this.#log.slice(this.#firstUnwrittenIndex, this.#log.lastIndex + 1),
			snapshot: this.#snapshot,
		});
		this.#currentWrite = {number, lastIndex: this.#log.lastIndex};
		this.#firstUnwrittenIndex = this.#log.lastIndex + 1;
		this.#hardState = undefined;
		this.#truncateFrom = undefined;
		this.#snapshot = undefined;
		this.#messagesAfterCurrentWrite = this.#messagesAfterNextWrite;
		this.#messagesAfterNextWrite = [];
	}
}
