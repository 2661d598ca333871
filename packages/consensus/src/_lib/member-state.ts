/**
The state that a member has in every role: its term and vote, its log, and how
far the log is committed and applied.
*/

import {
	SeededRandom, type MemberId, type RandomSource,
} from '@fireflyglade/model';
import {ConsensusInvariantError} from '../errors/index.js';
import type {LogEntry, Snapshot, StoredState} from '../types.js';
import {Durability} from './durability.js';
import {RaftLog} from './raft-log.js';

/** Times and bounds of a member. */
export type MemberOptions = {
	/** Silence of the leader after which an election may start; the wait is drawn between this and twice this. */
	readonly electionTimeoutMilliseconds: number;
	readonly heartbeatIntervalMilliseconds: number;
	/** Entries kept in memory before a snapshot, for followers that lag a little. */
	readonly retainedEntries: number;
	/** Entries in one message. */
	readonly maximumEntriesPerMessage: number;
	/** Bytes of commands after which a message takes no further entry. */
	readonly maximumBytesPerMessage: number;
	/** Entries sent to a follower and not yet answered. */
	readonly maximumEntriesInFlight: number;
	/** Bytes of a snapshot in one message. */
	readonly snapshotChunkBytes: number;
};

const diskPartRange = 2 ** 31;

/** A member's part of the log. */
export class MemberState {
	readonly options: MemberOptions;
	/** Identity of this member's disk. */
	readonly disk: string;
	readonly random: RandomSource;
	readonly log: RaftLog;
	readonly durability: Durability;
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
		const entries = dropOrphans(stored);
		this.log = new RaftLog({...stored, entries});
		this.durability = new Durability(member, this.log);
		if (entries.length < stored.entries.length) {
			this.durability.truncate(this.log.lastIndex + 1);
		}

		this.#now = options.now;
		this.#term = Math.max(stored.hardState.term, this.log.lastTerm);
		this.#votedFor = this.#term === stored.hardState.term ? stored.hardState.votedFor : undefined;
		this.#commitIndex = stored.snapshot?.lastIndex ?? 0;
		this.#appliedIndex = this.#commitIndex;
		this.disk = stored.hardState.disk ?? this.#drawDisk();
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
	True if this member may stand for election: it is a voter, or its removal is not
	known to be committed, and then the others may need its log.
	*/
	get mayLead(): boolean {
		return this.log.isVoterSince(this.#commitIndex, this.member);
	}

	/** Time never runs back. */
	moveTime(now: number): void {
		this.#now = Math.max(this.#now, now);
	}

	/** Goes on to a higher term, in which no vote was given yet. */
	raiseTerm(term: number): void {
		this.#term = term;
		this.#votedFor = undefined;
		this.#writeHardState();
	}

	vote(candidate: MemberId): void {
		this.#votedFor = candidate;
		this.#writeHardState();
	}

	/** Appends an entry of this member, and gives its proposal id. */
	propose(payload: LogEntry['payload']): number {
		const entry: LogEntry = {index: this.log.lastIndex + 1, term: this.#term, payload};
		this.log.append(entry);
		const proposalId = this.#nextProposalId++;
		this.#proposals.set(entry.index, proposalId);
		return proposalId;
	}

	/** Gives up all proposals that are not committed: another leader decides on them. */
	loseProposals(): void {
		for (const proposalId of this.#proposals.values()) {
			this.durability.push({kind: 'proposal-lost', proposalId});
		}

		this.#proposals.clear();
	}

	/** Takes a committed index, which never falls. */
	commitTo(index: number): void {
		if (index > this.log.lastIndex) {
			throw new ConsensusInvariantError(`entry ${index} is said to be committed, but the log ends at ${this.log.lastIndex}`);
		}

		this.#commitIndex = Math.max(this.#commitIndex, index);
	}

	/** Has the committed entries applied that are synced here. */
	applyCommitted(): void {
		const end = Math.min(this.#commitIndex, this.durability.stableIndex);
		if (end <= this.#appliedIndex) {
			return;
		}

		const entries = this.log.slice(this.#appliedIndex + 1, end + 1);
		for (const entry of entries) {
			this.#confirmProposal(entry.index);
		}

		this.#appliedIndex = end;
		this.durability.push({kind: 'apply', entries});
	}

	/** Removes the entries from `index` on, which the leader doesn't have. */
	truncateFrom(index: number): void {
		if (index <= this.#commitIndex) {
			throw new ConsensusInvariantError(`entry ${index} is committed and can't be replaced`);
		}

		this.log.truncateFrom(index);
		this.durability.truncate(index);
	}

	/** Takes over a snapshot of the leader in place of the whole log. */
	restore(snapshot: Snapshot): void {
		this.log.reset(snapshot);
		this.durability.replaceBySnapshot(snapshot);
		this.#commitIndex = snapshot.lastIndex;
		this.#appliedIndex = snapshot.lastIndex;
		this.durability.push({kind: 'restore', snapshot});
	}

	#drawDisk(): string {
		const parts = [this.random.nextInteger(diskPartRange), this.random.nextInteger(diskPartRange)];
		return parts.map(part => part.toString(36)).join('-');
	}

	#confirmProposal(index: number): void {
		const proposalId = this.#proposals.get(index);
		if (proposalId !== undefined) {
			this.#proposals.delete(index);
			this.durability.push({kind: 'proposal-committed', proposalId, index});
		}
	}

	#writeHardState(): void {
		this.durability.setHardState({term: this.#term, votedFor: this.#votedFor, disk: this.disk});
	}
}

/** Entries left from before a snapshot of another leader was taken over don't follow it. */
function dropOrphans(stored: StoredState): readonly LogEntry[] {
	const first = stored.entries[0];
	const isOrphan = first !== undefined && stored.snapshot !== undefined && first.term < stored.snapshot.lastTerm;
	return isOrphan ? [] : stored.entries;
}
