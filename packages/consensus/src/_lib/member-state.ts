/**
The state that a member has in every role: its term and vote, its log, and the
commit and applied indexes.
*/

import {
	SeededRandom, type MemberId, type RandomSource,
} from '@fireflyglade/model';
import {ConsensusInvariantError} from '../errors/index.js';
import type {LogEntry, Snapshot, StoredState} from '../types.js';
import {DurableOutbox} from './durable-outbox.js';
import {RaftLog} from './raft-log/index.js';

/** Timeouts and limits of a member. */
export type MemberOptions = {
	/**
	Time without contact with the leader after which an election starts. The actual
	timeout is random between this value and twice this value. The value itself is also
	the time after which a leader without contact with a quorum steps down, a read
	request to the leader fails, and a leadership transfer is abandoned.
	*/
	readonly electionTimeoutMilliseconds: number;
	readonly heartbeatIntervalMilliseconds: number;
	/** Entries that stay in memory when a snapshot covers them, so that slightly lagging followers need no snapshot. */
	readonly retainedEntries: number;
	/** The most bytes of the commands of such entries. */
	readonly retainedBytes: number;
	/** The most entries in one message. */
	readonly maximumEntriesPerMessage: number;
	/** Once the commands in a message reach this many bytes, no further entry is added. */
	readonly maximumBytesPerMessage: number;
	/** The most entries sent to a follower and not yet acknowledged. */
	readonly maximumEntriesInFlight: number;
	/** The most bytes of a snapshot in one message. */
	readonly snapshotChunkBytes: number;
};

const diskIdPartRange = 2 ** 31;

/** The role-independent state of a member. */
export class MemberState {
	readonly options: MemberOptions;
	/** Identifier of this member's disk. */
	readonly disk: string;
	readonly random: RandomSource;
	readonly log: RaftLog;
	readonly outbox: DurableOutbox;
	#now: number;
	#term: number;
	#votedFor: MemberId | undefined;
	#commitIndex: number;
	#appliedIndex: number;
	/** Proposals of this member by the index of their entry. */
	readonly #proposals = new Map<number, number>();
	#nextProposalId = 1;

	constructor(readonly member: MemberId, stored: StoredState, options: MemberOptions & {readonly randomSeed: number; readonly now: number}) {
		this.options = options;
		this.random = new SeededRandom(options.randomSeed);
		const entries = dropStaleEntries(stored);
		this.log = new RaftLog({...stored, entries});
		this.outbox = new DurableOutbox(member, this.log);
		if (entries.length < stored.entries.length) {
			this.outbox.truncate(this.log.lastIndex + 1);
		}

		this.#now = options.now;
		this.#term = Math.max(stored.hardState.term, this.log.lastTerm);
		this.#votedFor = this.#term === stored.hardState.term ? stored.hardState.votedFor : undefined;
		this.#commitIndex = stored.snapshot?.lastIndex ?? 0;
		this.#appliedIndex = this.#commitIndex;
		this.disk = stored.hardState.disk ?? this.#generateDiskId();
		if (stored.hardState.disk === undefined) {
			this.#writeHardState();
		}
	}

	get now(): number {
		return this.#now;
	}

	get term(): number {
		return this.#term;
	}

	get votedFor(): MemberId | undefined {
		return this.#votedFor;
	}

	get commitIndex(): number {
		return this.#commitIndex;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	get isVoter(): boolean {
		return this.log.members.voters.includes(this.member);
	}

	/**
	True if this member may start an election: it is a voter, or its removal is not
	known to be committed, in which case the others may need its log.
	*/
	get canLead(): boolean {
		return this.log.isVoterSince(this.#commitIndex, this.member);
	}

	/** Sets the current time; an earlier time than before is ignored. */
	advanceTime(now: number): void {
		this.#now = Math.max(this.#now, now);
	}

	/** Moves to a higher term, in which this member has not voted yet. */
	advanceTerm(term: number): void {
		this.#term = term;
		this.#votedFor = undefined;
		this.#writeHardState();
	}

	/** Records the vote of this member in the current term. */
	vote(candidate: MemberId): void {
		this.#votedFor = candidate;
		this.#writeHardState();
	}

	/** Appends an entry proposed on this member and returns its proposal id. */
	propose(payload: LogEntry['payload']): number {
		const entry: LogEntry = {index: this.log.lastIndex + 1, term: this.#term, payload};
		this.log.append(entry);
		const proposalId = this.#nextProposalId++;
		this.#proposals.set(entry.index, proposalId);
		return proposalId;
	}

	/** Reports all uncommitted proposals as lost: the next leader decides whether they are committed. */
	abandonProposals(): void {
		for (const proposalId of this.#proposals.values()) {
			this.outbox.push({kind: 'proposal-lost', proposalId});
		}

		this.#proposals.clear();
	}

	/**
	Advances the commit index; it never decreases.

	@throws {ConsensusInvariantError} The index is beyond the end of the log.
	*/
	advanceCommitIndex(index: number): void {
		if (index > this.log.lastIndex) {
			throw new ConsensusInvariantError(`commit index ${index} is beyond the end of the log at index ${this.log.lastIndex}`);
		}

		this.#commitIndex = Math.max(this.#commitIndex, index);
	}

	/**
	Applies the committed entries. They may not be synced on this member yet: a quorum
	has synced them, so a leader whose own disk stalls still answers.
	*/
	applyCommitted(): void {
		const end = this.#commitIndex;
		if (end <= this.#appliedIndex) {
			return;
		}

		const entries = this.log.slice(this.#appliedIndex + 1, end + 1);
		for (const entry of entries) {
			this.#confirmProposal(entry.index);
		}

		this.#appliedIndex = end;
		this.outbox.push({kind: 'apply', entries});
	}

	/**
	Removes the entries from `index` on, which conflict with the leader's log.

	@throws {ConsensusInvariantError} The entry at `index` is committed.
	*/
	truncateFrom(index: number): void {
		if (index <= this.#commitIndex) {
			throw new ConsensusInvariantError(`entry ${index} is committed and can't be truncated`);
		}

		this.log.truncateFrom(index);
		this.outbox.truncate(index);
	}

	/** Replaces the whole log with a snapshot from the leader. */
	restore(snapshot: Snapshot): void {
		this.log.replaceBySnapshot(snapshot);
		this.outbox.recordInstalledSnapshot(snapshot);
		this.#commitIndex = snapshot.lastIndex;
		this.#appliedIndex = snapshot.lastIndex;
		this.outbox.push({kind: 'restore', snapshot});
	}

	#generateDiskId(): string {
		const parts = [this.random.nextInteger(diskIdPartRange), this.random.nextInteger(diskIdPartRange)];
		return parts.map(part => part.toString(36)).join('-');
	}

	#confirmProposal(index: number): void {
		const proposalId = this.#proposals.get(index);
		if (proposalId !== undefined) {
			this.#proposals.delete(index);
			this.outbox.push({kind: 'proposal-committed', proposalId, index});
		}
	}

	#writeHardState(): void {
		this.outbox.setHardState({term: this.#term, votedFor: this.#votedFor, disk: this.disk});
	}
}

/**
Drops the stored entries if the first of them is of an earlier term than the
snapshot. A crash between saving a snapshot from the leader and truncating the log
leaves such entries.
*/
function dropStaleEntries(stored: StoredState): readonly LogEntry[] {
	const first = stored.entries[0];
	const isStale = first !== undefined && stored.snapshot !== undefined && first.term < stored.snapshot.lastTerm;
	return isStale ? [] : stored.entries;
}
