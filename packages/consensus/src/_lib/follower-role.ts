/**
The role of a member that follows a leader: it accepts entries and snapshots.
*/

import type {MemberId} from '@fireflyglade/model';
import type {LogEntry, Snapshot} from '../types.js';
import type {MemberState} from './member-state.js';
import type {AppendPayload, AppendResponse, SnapshotChunk} from './payload.js';

/** A snapshot that is being received in chunks. */
type IncomingSnapshot = {
	readonly term: number;
	readonly lastIndex: number;
	readonly parts: Uint8Array[];
	size: number;
};

/** Handles the messages of the leader of the current term. */
export class FollowerRole {
	readonly #state: MemberState;
	#incomingSnapshot: IncomingSnapshot | undefined;

	constructor(state: MemberState) {
		this.#state = state;
	}

	/** Appends the entries of the leader and responds. */
	handleAppend(leader: MemberId, append: AppendPayload): void {
		const {log, outbox, term, commitIndex} = this.#state;
		// Committed entries are identical to those of the leader, so they are skipped.
		const committedCount = Math.max(0, commitIndex - append.previousIndex);
		const entries = append.entries.slice(committedCount);
		const previousIndex = append.previousIndex + committedCount;
		const previousTerm = committedCount === 0 ? append.previousTerm : log.termAt(previousIndex);
		if (log.termAt(previousIndex) !== previousTerm) {
			this.#rejectAppend(leader, append);
			return;
		}

		this.#appendEntries(entries);
		const lastMatchingIndex = previousIndex + entries.length;
		this.#state.advanceCommitIndex(Math.min(append.commitIndex, lastMatchingIndex));
		this.#state.applyCommitted();
		const response: AppendResponse = {
			kind: 'append-response', term, accepted: true, index: lastMatchingIndex, hintIndex: 0, hintTerm: 0, round: append.round, disk: this.#state.disk,
		};
		if (entries.length > 0) {
			outbox.sendAfterSync(leader, response);
			return;
		}

		// A heartbeat is acknowledged without waiting for a slow disk, up to the last synced entry.
		outbox.sendImmediately(leader, {...response, index: Math.min(lastMatchingIndex, outbox.stableIndex)});
	}

	/**
	Collects a chunk of a snapshot and responds; the last chunk installs the snapshot.
	A snapshot whose entries this member already has is acknowledged immediately.
	*/
	handleSnapshotChunk(leader: MemberId, chunk: SnapshotChunk): void {
		const {log, outbox, term, commitIndex} = this.#state;
		if (chunk.lastIndex <= commitIndex || log.termAt(chunk.lastIndex) === chunk.lastTerm) {
			this.#incomingSnapshot = undefined;
			this.#state.advanceCommitIndex(Math.max(commitIndex, chunk.lastIndex));
			this.#state.applyCommitted();
			this.#acknowledgeSnapshot(leader, chunk);
			return;
		}

		const incoming = this.#findOrStartIncomingSnapshot(chunk);
		if (chunk.offset === incoming.size) {
			incoming.parts.push(chunk.data);
			incoming.size += chunk.data.byteLength;
		}

		const isComplete = chunk.isLast && incoming.size === chunk.offset + chunk.data.byteLength;
		if (!isComplete) {
			outbox.sendImmediately(leader, {
				kind: 'snapshot-response', term, lastIndex: chunk.lastIndex, nextOffset: incoming.size, round: chunk.round,
			});
			return;
		}

		this.#incomingSnapshot = undefined;
		this.#state.restore(assembleSnapshot(chunk, incoming.parts));
		this.#acknowledgeSnapshot(leader, chunk);
	}

	#acknowledgeSnapshot(leader: MemberId, chunk: SnapshotChunk): void {
		this.#state.outbox.sendAfterSync(leader, {
			kind: 'append-response', term: this.#state.term, accepted: true, index: chunk.lastIndex, hintIndex: 0, hintTerm: 0, round: chunk.round, disk: this.#state.disk,
		});
	}

	#rejectAppend(leader: MemberId, append: AppendPayload): void {
		const {log, outbox, term, commitIndex} = this.#state;
		let hintIndex = Math.min(log.lastIndex, append.previousIndex - 1);
		while (hintIndex > commitIndex && (log.termAt(hintIndex) ?? 0) > append.previousTerm) {
			hintIndex--;
		}

		outbox.sendAfterSync(leader, {
			kind: 'append-response',
			term,
			accepted: false,
			index: append.previousIndex,
			hintIndex,
			hintTerm: log.termAt(hintIndex) ?? 0,
			round: append.round,
			disk: this.#state.disk,
		});
	}

	#appendEntries(entries: readonly LogEntry[]): void {
		const {log} = this.#state;
		for (const entry of entries) {
			const term = log.termAt(entry.index);
			if (term === entry.term) {
				continue;
			}

			if (term !== undefined) {
				this.#state.truncateFrom(entry.index);
			}

			log.append(entry);
		}
	}

	#findOrStartIncomingSnapshot(chunk: SnapshotChunk): IncomingSnapshot {
		if (this.#incomingSnapshot?.term !== chunk.term || this.#incomingSnapshot.lastIndex !== chunk.lastIndex) {
			this.#incomingSnapshot = {
				term: chunk.term, lastIndex: chunk.lastIndex, parts: [], size: 0,
			};
		}

		return this.#incomingSnapshot;
	}
}

function assembleSnapshot(chunk: SnapshotChunk, parts: readonly Uint8Array[]): Snapshot {
	return {
		lastIndex: chunk.lastIndex, lastTerm: chunk.lastTerm, members: chunk.members, data: new Uint8Array(Buffer.concat(parts)),
	};
}
