/**
What an exploration has seen, and the checks on it: one leader a term, log
matching, committed entries kept, linearizable reads and writes, one effect a
command.
*/

import type {MemberId} from '@fireflyglade/model';
import type {
	ConsensusStatus, LogEntry, Snapshot, StoredState,
} from '../types.js';

type Operation = {
	/** Highest index of an operation that had ended before this one began. */
	readonly floor: number;
};

/** All that clients and members have seen. */
export class History {
	/** The first check that failed. */
	violation: string | undefined;
	readonly #leaders = new Map<number, MemberId>();
	readonly #committed: string[] = [];
	readonly #written = new Map<string, string>();
	readonly #effects = new Map<string, number>();
	readonly #reads = new Map<number, Operation>();
	readonly #writes = new Map<string, Operation>();
	#endedIndex = 0;
	#readsEnded = 0;
	#writesEnded = 0;
	#snapshotsTaken = 0;
	#memberChanges = 0;

	get endedReads(): number {
		return this.#readsEnded;
	}

	get endedWrites(): number {
		return this.#writesEnded;
	}

	get terms(): number {
		return this.#leaders.size;
	}

	get snapshotsTaken(): number {
		return this.#snapshotsTaken;
	}

	get memberChanges(): number {
		return this.#memberChanges;
	}

	get committedIndex(): number {
		return this.#committed.length;
	}

	report(violation: string): void {
		this.violation ??= violation;
	}

	noteLeader(member: MemberId, status: ConsensusStatus): void {
		const other = this.#leaders.get(status.term) ?? member;
		this.#leaders.set(status.term, other);
		if (other !== member) {
			this.report(`one leader a term: ${other} and ${member} both lead term ${status.term}`);
		}

		if (status.lastIndex < this.#committed.length) {
			this.report(`committed entries kept: ${member} leads term ${status.term} with ${status.lastIndex} of ${this.#committed.length} committed entries`);
		}
	}

	noteCommitted(member: MemberId, entry: LogEntry): void {
		const digest = digestOf(entry);
		if (entry.payload.kind === 'members' && entry.index > this.#committed.length) {
			this.#memberChanges++;
		}

		const present = this.#committed[entry.index - 1] ?? digest;
		this.#committed[entry.index - 1] = present;
		if (present !== digest) {
			this.report(`committed entries kept: ${member} applies ${digest} at ${entry.index}, where ${present} was committed`);
		}
	}

	noteSnapshot(member: MemberId, snapshot: Snapshot): void {
		this.#snapshotsTaken++;
		if (snapshot.lastIndex > this.#committed.length) {
			this.report(`committed entries kept: ${member} restores a snapshot at ${snapshot.lastIndex}, but only ${this.#committed.length} entries were committed`);
		}
	}

	/** Entries of one index and term must be the same everywhere, and follow the same entry. */
	noteWritten(member: MemberId, stored: StoredState): void {
		let previousTerm = stored.snapshot?.lastTerm ?? 0;
		for (const entry of stored.entries) {
			const name = `${entry.index}/${entry.term}`;
			const content = `${digestOf(entry)} after term ${previousTerm}`;
			const present = this.#written.get(name) ?? content;
			this.#written.set(name, present);
			// What is left behind a snapshot of another leader is dropped at the next start.
			if (present !== content && entry.term >= previousTerm) {
				this.report(`log matching: ${member} writes ${content} at ${name}, where ${present} was written`);
			}

			previousTerm = entry.term;
		}
	}

	noteEffect(member: MemberId, commandId: string, index: number): void {
		const present = this.#effects.get(commandId) ?? index;
		this.#effects.set(commandId, present);
		if (present !== index) {
			this.report(`one effect a command: ${member} runs ${commandId} at ${index}, but it ran at ${present}`);
		}
	}

	beginRead(readId: number): void {
		this.#reads.set(readId, {floor: this.#endedIndex});
	}

	endRead(readId: number, index: number): void {
		const read = this.#reads.get(readId);
		if (read === undefined) {
			return;
		}

		this.#reads.delete(readId);
		this.#readsEnded++;
		if (index < read.floor) {
			this.report(`linearizable: a read sees entry ${index}, although entry ${read.floor} was answered before it began`);
		}

		this.#endedIndex = Math.max(this.#endedIndex, index);
	}

	beginWrite(commandId: string): void {
		if (!this.#writes.has(commandId)) {
			this.#writes.set(commandId, {floor: this.#endedIndex});
		}
	}

	endWrite(commandId: string, index: number): void {
		this.#writesEnded++;
		const write = this.#writes.get(commandId);
		if (write !== undefined && index <= write.floor) {
			this.report(`linearizable: a write takes index ${index}, although entry ${write.floor} was answered before it began`);
		}

		this.#endedIndex = Math.max(this.#endedIndex, index);
	}
}

function digestOf(entry: LogEntry): string {
	const content = entry.payload.kind === 'command' ? Buffer.from(entry.payload.command).toString() : JSON.stringify(entry.payload);
	return `${entry.term}:${content}`;
}
