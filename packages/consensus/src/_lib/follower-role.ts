/**
The part of a member that follows a leader: it takes entries and snapshots.
*/

import type {MemberId} from '@fireflyglade/model';
import type {LogEntry, Snapshot} from '../types.js';
import type {MemberState} from './member-state.js';
import type {AppendPayload, AppendResponse, SnapshotChunk} from './payload.js';

type IncomingSnapshot = {
	readonly term: number;
	readonly lastIndex: number;
	readonly parts: Uint8Array[];
	size: number;
};

/** Takes what a leader of the present term sends. */
export class FollowerRole {
	readonly #state: MemberState;
	#incoming: IncomingSnapshot | undefined;

	constructor(state: MemberState) {
		this.#state = state;
	}

	/** Takes entries and answers them. */
	takeEntries(leader: MemberId, append: AppendPayload): void {
		const {log, durability, term, commitIndex} = this.#state;
		// All that is committed here is equal to the leader's log.
		const known = Math.max(0, commitIndex - append.previousIndex);
		const entries = append.entries.slice(known);
		const previousIndex = append.previousIndex + known;
		const previousTerm = known === 0 ? append.previousTerm : log.termAt(previousIndex);
		if (log.termAt(previousIndex) !== previousTerm) {
			this.#refuseEntries(leader, append);
			return;
		}

		this.#appendEntries(entries);
		const lastEqualIndex = previousIndex + entries.length;
		this.#state.commitTo(Math.min(append.commitIndex, lastEqualIndex));
		this.#state.applyCommitted();
		const response: AppendResponse = {
			kind: 'append-response', term, accepted: true, index: lastEqualIndex, hintIndex: 0, hintTerm: 0, round: append.round, disk: this.#state.disk,
		};
		if (entries.length > 0) {
			durability.sendDurable(leader, response);
			return;
		}

		// A heartbeat is answered even while the disk is slow, with what is synced by now.
		durability.sendNow(leader, {...response, index: Math.min(lastEqualIndex, durability.stableIndex)});
	}

	/** Takes a piece of a snapshot and answers it. */
	takeSnapshotChunk(leader: MemberId, chunk: SnapshotChunk): void {
		const {log, durability, term, commitIndex} = this.#state;
		if (chunk.lastIndex <= commitIndex || log.termAt(chunk.lastIndex) === chunk.lastTerm) {
			this.#incoming = undefined;
			this.#state.commitTo(Math.max(commitIndex, chunk.lastIndex));
			this.#state.applyCommitted();
			this.#answerSnapshot(leader, chunk);
			return;
		}

		const incoming = this.#incomingFor(chunk);
		if (chunk.offset === incoming.size) {
			incoming.parts.push(chunk.data);
			incoming.size += chunk.data.byteLength;
		}

		const isWhole = chunk.isLast && incoming.size === chunk.offset + chunk.data.byteLength;
		if (!isWhole) {
			durability.sendNow(leader, {
				kind: 'snapshot-response', term, lastIndex: chunk.lastIndex, nextOffset: incoming.size, round: chunk.round,
			});
			return;
		}

		this.#incoming = undefined;
		this.#state.restore(wholeSnapshot(chunk, incoming.parts));
		this.#answerSnapshot(leader, chunk);
	}

	#answerSnapshot(leader: MemberId, chunk: SnapshotChunk): void {
		this.#state.durability.sendDurable(leader, {
			kind: 'append-response', term: this.#state.term, accepted: true, index: chunk.lastIndex, hintIndex: 0, hintTerm: 0, round: chunk.round, disk: this.#state.disk,
		});
	}

	#refuseEntries(leader: MemberId, append: AppendPayload): void {
		const {log, durability, term, commitIndex} = this.#state;
		let hintIndex = Math.min(log.lastIndex, append.previousIndex - 1);
		while (hintIndex > commitIndex && (log.termAt(hintIndex) ?? 0) > append.previousTerm) {
			hintIndex--;
		}

		durability.sendDurable(leader, {
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

	#incomingFor(chunk: SnapshotChunk): IncomingSnapshot {
		if (this.#incoming?.term !== chunk.term || this.#incoming.lastIndex !== chunk.lastIndex) {
			this.#incoming = {
				term: chunk.term, lastIndex: chunk.lastIndex, parts: [], size: 0,
			};
		}

		return this.#incoming;
	}
}

function wholeSnapshot(chunk: SnapshotChunk, parts: readonly Uint8Array[]): Snapshot {
	return {
		lastIndex: chunk.lastIndex, lastTerm: chunk.lastTerm, members: chunk.members, data: new Uint8Array(Buffer.concat(parts)),
	};
}
