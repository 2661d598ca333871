/**
The in-memory log: the latest snapshot, and the entries after a base index that is
at or before the last index of the snapshot.
*/

import type {MemberId} from '@fireflyglade/model';
import {ConsensusInvariantError} from '../../errors/index.js';
import type {
	LogEntry, MemberSet, SavedState, Snapshot, StoredState,
} from '../../types.js';

/** A member set and the index of the entry that introduced it. */
type IndexedMembers = {
	readonly index: number;
	readonly members: MemberSet;
};

/** The most entries, and bytes of their commands, that stay in memory when a snapshot covers them. */
export type RetainedEntries = {
	readonly entries: number;
	readonly bytes: number;
};

const noMembers: MemberSet = {voters: [], learners: []};

/** The log of one member. */
export class RaftLog {
	#snapshot: Snapshot | undefined;
	#baseIndex: number;
	#baseTerm: number;
	#entries: LogEntry[];
	/** The member sets from the base index on, oldest first. */
	#members: IndexedMembers[];

	constructor(stored: StoredState) {
		this.#snapshot = stored.snapshot;
		this.#baseIndex = stored.snapshot?.lastIndex ?? 0;
		this.#baseTerm = stored.snapshot?.lastTerm ?? 0;
		this.#members = [{index: this.#baseIndex, members: stored.snapshot?.members ?? noMembers}];
		this.#entries = [];
		for (const entry of stored.entries) {
			this.append(entry);
		}
	}

	get snapshot(): Snapshot | undefined {
		return this.#snapshot;
	}

	get lastIndex(): number {
		return this.#baseIndex + this.#entries.length;
	}

	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? this.#baseTerm;
	}

	/** The latest member set, committed or not. */
	get members(): MemberSet {
		return this.#members.at(-1)?.members ?? noMembers;
	}

	/** Index of the entry that introduced the latest member set. */
	get membersIndex(): number {
		return this.#members.at(-1)?.index ?? 0;
	}

	/** The term of the entry at an index; undefined if the entry was compacted or doesn't exist yet. */
	termAt(index: number): number | undefined {
		return index === this.#baseIndex ? this.#baseTerm : this.#entries[index - this.#baseIndex - 1]?.term;
	}

	/** The member set that is in effect at an index. */
	membersAt(index: number): MemberSet {
		let found = noMembers;
		for (const change of this.#members) {
			if (change.index > index) {
				break;
			}

			found = change.members;
		}

		return found;
	}

	/** True if a member is a voter in the member set at an index or in any later one. */
	isVoterSince(index: number, member: MemberId): boolean {
		if (this.membersAt(index).voters.includes(member)) {
			return true;
		}

		for (const change of this.#members) {
			if (change.index > index && change.members.voters.includes(member)) {
				return true;
			}
		}

		return false;
	}

	/** The entries from index `from` (inclusive) to index `to` (exclusive). */
	slice(from: number, to: number): readonly LogEntry[] {
		return this.#entries.slice(Math.max(0, from - this.#baseIndex - 1), Math.max(0, to - this.#baseIndex - 1));
	}

	/**
	Appends an entry.

	@throws {ConsensusInvariantError} The index of the entry is not the next one.
	*/
	append(entry: LogEntry): void {
		if (entry.index !== this.lastIndex + 1) {
			throw new ConsensusInvariantError(`entry ${entry.index} can't be appended after entry ${this.lastIndex}`);
		}

		this.#entries.push(entry);
		if (entry.payload.kind === 'members') {
			this.#members.push({index: entry.index, members: entry.payload.members});
		}
	}

	/** Removes the entries from an index on. */
	truncateFrom(index: number): void {
		this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
		while (this.#members.length > 1 && this.membersIndex >= index) {
			this.#members.pop();
		}
	}

	/**
	Creates a snapshot from a saved state and drops the entries that it covers, except
	for the last of them, up to a number of entries and of bytes of their commands.

	@throws {ConsensusInvariantError} The log has no entry at the index of the saved state.
	*/
	compact(saved: SavedState, retained: RetainedEntries): Snapshot {
		const lastTerm = this.termAt(saved.lastIndex);
		if (lastTerm === undefined) {
			throw new ConsensusInvariantError(`can't create a snapshot at index ${saved.lastIndex}: the log has no such entry`);
		}

		const snapshot: Snapshot = {
			lastIndex: saved.lastIndex, lastTerm, members: this.membersAt(saved.lastIndex), data: saved.data,
		};
		this.#snapshot = snapshot;
		this.#dropUpTo(this.#findRetainedBase(saved.lastIndex, retained));
		return snapshot;
	}

	/** Replaces the whole log with a snapshot. */
	replaceBySnapshot(snapshot: Snapshot): void {
		this.#snapshot = snapshot;
		this.#baseIndex = snapshot.lastIndex;
		this.#baseTerm = snapshot.lastTerm;
		this.#entries = [];
		this.#members = [{index: snapshot.lastIndex, members: snapshot.members}];
	}

	/** The index after which entries are retained if a snapshot covers them up to `lastIndex`. */
	#findRetainedBase(lastIndex: number, {entries, bytes}: RetainedEntries): number {
		const lowest = Math.max(this.#baseIndex, lastIndex - entries);
		let remainingBytes = bytes;
		for (let index = lastIndex; index > lowest; index--) {
			remainingBytes -= commandBytes(this.#entries[index - this.#baseIndex - 1]!);
			if (remainingBytes < 0) {
				return index;
			}
		}

		return lowest;
	}

	#dropUpTo(index: number): void {
		const term = this.termAt(index) ?? this.#baseTerm;
		const members = this.membersAt(index);
		this.#entries = this.#entries.slice(index - this.#baseIndex);
		this.#members = [{index, members}, ...this.#members.filter(change => change.index > index)];
		this.#baseIndex = index;
		this.#baseTerm = term;
	}
}

function commandBytes({payload}: LogEntry): number {
	return payload.kind === 'command' ? payload.command.byteLength : 0;
}
