/**
The history of a simulation run and the checks on it: at most one leader per term,
log matching, retention of committed entries, linearizable reads and writes, and
at most one effect per command. The checks are named "one leader a term", "log
matching", "committed entries kept", "linearizable" and "one effect a command".
*/

import type {MemberId} from '@fireflyglade/model';
import type {
	ConsensusStatus, LogEntry, Snapshot, StoredState,
} from '../types.js';

type PendingOperation = {
	/** Highest index of any operation that ended before this one began. */
	readonly precedingIndex: number;
};

/** The events that clients and members have observed. */
export class History {
	/** The first failed check, with details. */
	violation: string | undefined;
	readonly #leaders = new Map<number, MemberId>();
	/** Digests of the committed entries, in the order of their indexes. */
	readonly #committed: string[] = [];
	/** Content of each written entry and the term of the entry before it, by index and term. */
	readonly #written = new Map<string, string>();
	/** The index at which each command took effect. */
	readonly #effects = new Map<string, number>();
	readonly #reads = new Map<number, PendingOperation>();
	readonly #writes = new Map<string, PendingOperation>();
	#highestEndedIndex = 0;
	#endedReads = 0;
	#endedWrites = 0;
	#restoredSnapshots = 0;
	#memberChanges = 0;

	get endedReads(): number {
		return this.#endedReads;
	}

	get endedWrites(): number {
		return this.#endedWrites;
	}

	/** The number of terms that had a leader. */
	get terms(): number {
		return this.#leaders.size;
	}

	/** The number of snapshots that members restored from a leader or from disk. */
	get restoredSnapshots(): number {
		return this.#restoredSnapshots;
	}

	get memberChanges(): number {
		return this.#memberChanges;
	}

	get committedIndex(): number {
		return this.#committed.length;
	}

	/** Records a failed check; only the first one is kept. */
	report(violation: string): void {
		this.violation ??= violation;
	}

	recordLeader(member: MemberId, status: ConsensusStatus): void {
		const other = this.#leaders.get(status.term) ?? member;
		this.#leaders.set(status.term, other);
		if (other !== member) {
			this.report(`one leader a term: ${other} and ${member} both lead term ${status.term}`);
		}

		if (status.lastIndex < this.#committed.length) {
			this.report(`committed entries kept: ${member} leads term ${status.term} with a log that ends at ${status.lastIndex}, but ${this.#committed.length} entries were committed`);
		}
	}

	recordCommitted(member: MemberId, entry: LogEntry): void {
		const digest = digestOf(entry);
		if (entry.payload.kind === 'members' && entry.index > this.#committed.length) {
			this.#memberChanges++;
		}

		const present = this.#committed[entry.index - 1] ?? digest;
		this.#committed[entry.index - 1] = present;
		if (present !== digest) {
			this.report(`committed entries kept: ${member} applies ${digest} at ${entry.index}, but ${present} was committed there`);
		}
	}

	recordSnapshot(member: MemberId, snapshot: Snapshot): void {
		this.#restoredSnapshots++;
		if (snapshot.lastIndex > this.#committed.length) {
			this.report(`committed entries kept: ${member} restores a snapshot at ${snapshot.lastIndex}, but only ${this.#committed.length} entries were committed`);
		}
	}

	/** Checks log matching: entries with the same index and term are identical on all members and follow an entry of the same term. */
	recordWritten(member: MemberId, stored: StoredState): void {
		let previousTerm = stored.snapshot?.lastTerm ?? 0;
		for (const entry of stored.entries) {
			const name = `${entry.index}/${entry.term}`;
			const content = `${digestOf(entry)} after term ${previousTerm}`;
			const present = this.#written.get(name) ?? content;
			this.#written.set(name, present);
			// Stale entries that remain after a snapshot of another leader are dropped at the next start.
			if (present !== content && entry.term >= previousTerm) {
				this.report(`log matching: ${member} writes ${content} at ${name}, but ${present} was written there before`);
			}

			previousTerm = entry.term;
		}
	}

	recordEffect(member: MemberId, commandId: string, index: number): void {
		const present = this.#effects.get(commandId) ?? index;
		this.#effects.set(commandId, present);
		if (present !== index) {
			this.report(`one effect a command: ${member} executes ${commandId} at ${index}, but it was executed at ${present}`);
		}
	}

	beginRead(readId: number): void {
		this.#reads.set(readId, {precedingIndex: this.#highestEndedIndex});
	}

	endRead(readId: number, index: number): void {
		const read = this.#reads.get(readId);
		if (read === undefined) {
			return;
		}

		this.#reads.delete(readId);
		this.#endedReads++;
		if (index < read.precedingIndex) {
			this.report(`linearizable: a read returns the state at entry ${index}, but an operation at entry ${read.precedingIndex} ended before the read began`);
		}

		this.#highestEndedIndex = Math.max(this.#highestEndedIndex, index);
	}

	beginWrite(commandId: string): void {
		if (!this.#writes.has(commandId)) {
			this.#writes.set(commandId, {precedingIndex: this.#highestEndedIndex});
		}
	}

	endWrite(commandId: string, index: number): void {
		this.#endedWrites++;
		const write = this.#writes.get(commandId);
		if (write !== undefined && index <= write.precedingIndex) {
			this.report(`linearizable: a write is committed at index ${index}, but an operation at entry ${write.precedingIndex} ended before the write began`);
		}

		this.#highestEndedIndex = Math.max(this.#highestEndedIndex, index);
	}
}

function digestOf(entry: LogEntry): string {
	const content = entry.payload.kind === 'command' ? Buffer.from(entry.payload.command).toString() : JSON.stringify(entry.payload);
	return `${entry.term}:${content}`;
}
