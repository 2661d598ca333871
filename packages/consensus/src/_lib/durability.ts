/**
What must be synced, and the messages that wait for it.

At most one write of the log is under way. What changes in the meantime is
gathered into the next write, so that many entries share one sync.
*/

import type {MemberId} from '@fireflyglade/model';
import type {
	ConsensusAction, ConsensusMessage, HardState, Snapshot,
} from '../types.js';
import type {ConsensusPayload} from './payload.js';
import type {RaftLog} from './raft-log.js';

type WriteUnderWay = {
	readonly number: number;
	lastIndex: number;
};

/** Orders writes before the messages that depend on them. */
export class Durability {
	readonly #member: MemberId;
	readonly #log: RaftLog;
	#actions: ConsensusAction[] = [];
	#nextNumber = 1;
	#underWay: WriteUnderWay | undefined;
	#hardState: HardState | undefined;
	#truncateFrom: number | undefined;
	#snapshot: Snapshot | undefined;
	/** Entries from here on are in no write yet. */
	#unwrittenFrom: number;
	#stableIndex: number;
	#waitForUnderWay: ConsensusMessage[] = [];
	#waitForNext: ConsensusMessage[] = [];

	constructor(member: MemberId, log: RaftLog) {
		this.#member = member;
		this.#log = log;
		this.#stableIndex = log.lastIndex;
		this.#unwrittenFrom = log.lastIndex + 1;
	}

	/** Entries up to here are synced. */
	get stableIndex(): number {
		return this.#stableIndex;
	}

	push(action: ConsensusAction): void {
		this.#actions.push(action);
	}

	/** Gives the actions gathered since the last time, with a write if one is due. */
	takeActions(): readonly ConsensusAction[] {
		this.#startWrite();
		const actions = this.#actions;
		this.#actions = [];
		return actions;
	}

	/** Sends a message that promises nothing. */
	sendNow(to: MemberId, payload: ConsensusPayload): void {
		this.push({kind: 'send', message: {from: this.#member, to, payload}});
	}

	/** Sends a message once all that changed before it is synced. */
	sendDurable(to: MemberId, payload: ConsensusPayload): void {
		const message: ConsensusMessage = {from: this.#member, to, payload};
		if (this.#hasUnwritten()) {
			this.#waitForNext.push(message);
			return;
		}

		if (this.#underWay !== undefined) {
			this.#waitForUnderWay.push(message);
			return;
		}

		this.push({kind: 'send', message});
	}

	setHardState(hardState: HardState): void {
		this.#hardState = hardState;
	}

	/** Notes that the log was truncated: the entries from `index` on are others now. */
	truncate(index: number): void {
		this.#truncateFrom = Math.min(this.#truncateFrom ?? index, index);
		this.#unwrittenFrom = Math.min(this.#unwrittenFrom, index);
		this.#stableIndex = Math.min(this.#stableIndex, index - 1);
		if (this.#underWay !== undefined) {
			this.#underWay.lastIndex = Math.min(this.#underWay.lastIndex, index - 1);
		}
	}

	/** Notes that the log was replaced by a snapshot. */
	replaceBySnapshot(snapshot: Snapshot): void {
		const next = snapshot.lastIndex + 1;
		this.#snapshot = snapshot;
		this.#truncateFrom = next;
		this.#unwrittenFrom = next;
		this.#stableIndex = Math.min(this.#stableIndex, snapshot.lastIndex);
		if (this.#underWay !== undefined) {
			this.#underWay.lastIndex = 0;
		}
	}

	/** Persists a snapshot of entries that are synced already; nothing waits for it. */
	writeCompaction(snapshot: Snapshot): void {
		this.push({
			kind: 'persist', number: this.#nextNumber++, entries: [], snapshot,
		});
	}

	/** Takes the end of a write; gives the messages to this member itself that have become due. */
	persisted(number: number): readonly ConsensusMessage[] {
		if (this.#underWay?.number !== number) {
			return [];
		}

		this.#stableIndex = Math.max(this.#stableIndex, this.#underWay.lastIndex);
		this.#underWay = undefined;
		const due = this.#waitForUnderWay;
		this.#waitForUnderWay = [];
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

	#hasUnwritten(): boolean {
		return this.#hardState !== undefined || this.#truncateFrom !== undefined || this.#snapshot !== undefined || this.#unwrittenFrom <= this.#log.lastIndex;
	}

	#startWrite(): void {
		if (this.#underWay !== undefined || !this.#hasUnwritten()) {
			return;
		}

		const number = this.#nextNumber++;
		this.push({
			kind: 'persist',
			number,
			hardState: this.#hardState,
			truncateFrom: this.#truncateFrom,
			entries: this.#log.slice(this.#unwrittenFrom, this.#log.lastIndex + 1),
			snapshot: this.#snapshot,
		});
		this.#underWay = {number, lastIndex: this.#log.lastIndex};
		this.#unwrittenFrom = this.#log.lastIndex + 1;
		this.#hardState = undefined;
		this.#truncateFrom = undefined;
		this.#snapshot = undefined;
		this.#waitForUnderWay = this.#waitForNext;
		this.#waitForNext = [];
	}
}
