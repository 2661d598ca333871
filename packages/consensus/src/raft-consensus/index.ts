/**
One member of the replicated log, which implements the Raft algorithm with
pre-vote, a leader that steps down without a quorum, read index, single-step
membership changes and leadership transfer.

The class tracks the role of the member, checks terms, and dispatches each message
to the component that handles it.
*/

import {UnreachableError, type MemberId} from '@fireflyglade/model';
import {Election} from '../_lib/election.js';
import {FollowerReads} from '../_lib/follower-reads.js';
import {FollowerRole} from '../_lib/follower-role.js';
import {Leadership} from '../_lib/leadership.js';
import {MemberState, type MemberOptions} from '../_lib/member-state.js';
import type {AppendPayload, ConsensusPayload, SnapshotChunk} from '../_lib/payload.js';
import type {
	Consensus, ConsensusAction, ConsensusMessage, ConsensusStatus, EntryPayload, MemberSet, ProposalResult, SavedState, StoredState,
} from '../types.js';

/** Options of a member; those with defaults may be omitted. */
export type RaftConsensusOptions = Partial<MemberOptions> & {
	readonly member: MemberId;
	/** The state loaded from the disk of the member. */
	readonly stored: StoredState;
	/**
	The members of a new cluster. It is used only if nothing is stored, and must be
	omitted by a member that joins an existing cluster: such a member waits until the
	leader sends it the log.
	*/
	readonly initialMembers?: MemberSet;
	/** Must differ between members and between starts of one member. */
	readonly randomSeed: number;
	/** The current monotonic time, in milliseconds. */
	readonly now: number;
};

type Role =
	| {readonly kind: 'follower'}
	| {readonly kind: 'candidate'; readonly election: Election}
	| {readonly kind: 'leader'; readonly leadership: Leadership};

type VoteRequest = Extract<ConsensusPayload, {kind: 'vote-request'}>;
type PreVoteRequest = Extract<ConsensusPayload, {kind: 'pre-vote-request'}>;

const defaultOptions: MemberOptions = {
	electionTimeoutMilliseconds: 1000,
	heartbeatIntervalMilliseconds: 100,
	retainedEntries: 1000,
	retainedBytes: 8_388_608,
	maximumEntriesPerMessage: 512,
	maximumBytesPerMessage: 1_048_576,
	maximumEntriesInFlight: 4096,
	snapshotChunkBytes: 262_144,
};

/**
A member of the replicated log.

@example
```ts
const consensus = new RaftConsensus({member, stored, initialMembers, randomSeed, now: clock.now()});
for (const action of consensus.tick(clock.now())) {
	// Perform the action.
}
```
*/
export class RaftConsensus implements Consensus {
	readonly #state: MemberState;
	readonly #followerRole: FollowerRole;
	readonly #reads: FollowerReads;
	#role: Role = {kind: 'follower'};
	#leader: MemberId | undefined;
	/** The leader that was last reported to the caller. */
	#reportedLeader: MemberId | undefined;
	#lastLeaderContactAt = Number.NEGATIVE_INFINITY;
	#lastQuorumContactAt: number | undefined;
	#electionDueAt = 0;
	#hasLostDisk = false;
	/** A snapshot that covers entries that are not synced on this member yet. */
	#waitingCompaction: SavedState | undefined;

	constructor(options: RaftConsensusOptions) {
		const {member, stored, initialMembers} = options;
		this.#state = new MemberState(member, stored, {...defaultOptions, ...options});
		this.#followerRole = new FollowerRole(this.#state);
		this.#reads = new FollowerReads(this.#state);
		const isEmpty = this.#state.log.lastIndex === 0 && this.#state.term === 0;
		if (isEmpty && initialMembers !== undefined) {
			this.#state.advanceTerm(1);
			this.#state.log.append({index: 1, term: 1, payload: {kind: 'members', members: initialMembers}});
		}

		this.#resetElectionTimer();
	}

	receive(message: ConsensusMessage, now: number): readonly ConsensusAction[] {
		this.#state.advanceTime(now);
		this.#handle(message.from, message.payload as ConsensusPayload);
		return this.#finishStep();
	}

	persisted(number: number, now: number): readonly ConsensusAction[] {
		this.#state.advanceTime(now);
		for (const message of this.#state.outbox.completeWrite(number)) {
			this.#handle(message.from, message.payload as ConsensusPayload);
		}

		if (this.#role.kind === 'leader') {
			this.#role.leadership.advanceCommit();
		}

		this.#compactIfSynced();
		return this.#finishStep();
	}

	tick(now: number): readonly ConsensusAction[] {
		this.#state.advanceTime(now);
		this.#reads.failExpired();
		if (this.#role.kind === 'leader') {
			if (!this.#role.leadership.tick()) {
				this.#becomeFollower(undefined);
			}
		} else if (this.#state.now >= this.#electionDueAt) {
			this.#startElection();
		}

		return this.#finishStep();
	}

	propose(payload: EntryPayload, now: number): ProposalResult {
		this.#state.advanceTime(now);
		if (this.#role.kind !== 'leader' || this.#role.leadership.isTransferring) {
			return {kind: 'not-leader', leader: this.#role.kind === 'leader' ? undefined : this.#leader};
		}

		const {leadership} = this.#role;
		const refusal = payload.kind === 'members' ? leadership.findMembershipChangeRefusal(payload.members) : undefined;
		if (refusal !== undefined) {
			return {kind: 'members-refused', reason: refusal};
		}

		const proposalId = this.#state.propose(payload.kind === 'members' ? {kind: 'members', members: leadership.addKnownDisks(payload.members)} : payload);
		leadership.replicate();
		return {kind: 'accepted', proposalId, actions: this.#finishStep()};
	}

	read(readId: number, now: number): readonly ConsensusAction[] {
		this.#state.advanceTime(now);
		if (this.#role.kind === 'leader') {
			this.#role.leadership.read({kind: 'local', readId});
		} else {
			this.#reads.ask(readId, this.#leader);
		}

		return this.#finishStep();
	}

	compact(saved: SavedState, now: number): readonly ConsensusAction[] {
		this.#state.advanceTime(now);
		if (saved.lastIndex <= this.#state.appliedIndex) {
			this.#waitingCompaction ??= saved;
		}

		this.#compactIfSynced();
		return this.#finishStep();
	}

	transferLeadership(now: number): readonly ConsensusAction[] {
		this.#state.advanceTime(now);
		if (this.#role.kind === 'leader') {
			this.#role.leadership.startTransfer();
		}

		return this.#finishStep();
	}

	status(): ConsensusStatus {
		const leadership = this.#role.kind === 'leader' ? this.#role.leadership : undefined;
		return {
			term: this.#state.term,
			role: this.#role.kind === 'follower' && !this.#state.isVoter ? 'learner' : this.#role.kind,
			leader: this.#leader,
			commitIndex: this.#state.commitIndex,
			lastIndex: this.#state.log.lastIndex,
			members: this.#state.log.members,
			lastQuorumContactAt: leadership?.lastQuorumContactAt ?? this.#lastQuorumContactAt,
			caughtUpLearners: leadership?.caughtUpLearners() ?? [],
			hasLostDisk: this.#hasLostDisk,
		};
	}

	/** Compacts the log once the entries that the snapshot covers are synced, as entries may be applied before; until then a later snapshot is dropped. */
	#compactIfSynced(): void {
		const saved = this.#waitingCompaction;
		const {log, options, outbox} = this.#state;
		if (saved === undefined || saved.lastIndex > outbox.stableIndex) {
			return;
		}

		this.#waitingCompaction = undefined;
		if (saved.lastIndex > (log.snapshot?.lastIndex ?? 0)) {
			outbox.writeCompaction(log.compact(saved, {entries: options.retainedEntries, bytes: options.retainedBytes}));
		}
	}

	#finishStep(): readonly ConsensusAction[] {
		const {outbox} = this.#state;
		this.#state.applyCommitted();
		if (this.#role.kind === 'leader') {
			this.#completeConfirmedReads(this.#role.leadership);
			this.#stepDownIfRemoved();
		}

		this.#reads.completeApplied();
		if (this.#reportedLeader !== this.#leader) {
			this.#reportedLeader = this.#leader;
			outbox.push({kind: 'leadership-changed', leader: this.#leader, isSelf: this.#leader === this.#state.member});
		}

		return outbox.takeActions();
	}

	#completeConfirmedReads(leadership: Leadership): void {
		for (const {origin, index} of leadership.takeConfirmedReads()) {
			if (origin.kind === 'local') {
				this.#reads.confirm(origin.readId, index);
			} else {
				this.#state.outbox.sendImmediately(origin.member, {
					kind: 'read-response', term: this.#state.term, token: origin.token, index,
				});
			}
		}
	}

	/** A leader that was removed as a voter remains the leader until its removal is committed. */
	#stepDownIfRemoved(): void {
		const {log, commitIndex, isVoter} = this.#state;
		if (!isVoter && log.membersIndex <= commitIndex) {
			this.#becomeFollower(undefined);
		}
	}

	#handle(from: MemberId, payload: ConsensusPayload): void {
		this.#hasLostDisk ||= 'toDisk' in payload && payload.toDisk !== undefined && payload.toDisk !== this.#state.disk;
		if (this.#hasLostDisk) {
			return;
		}

		if (payload.kind === 'pre-vote-request') {
			this.#handlePreVoteRequest(from, payload);
			return;
		}

		if (payload.kind === 'pre-vote-response' && payload.granted) {
			this.#handlePreVoteGrant(from, payload);
			return;
		}

		if (payload.kind === 'vote-request' && !payload.isTransfer && this.#hasLiveLeader()) {
			return;
		}

		if (payload.term > this.#state.term) {
			this.#state.advanceTerm(payload.term);
			this.#becomeFollower(undefined);
		}

		if (payload.term < this.#state.term) {
			this.#rejectOldTerm(from, payload);
			return;
		}

		this.#handleInCurrentTerm(from, payload);
	}

	#handleInCurrentTerm(from: MemberId, payload: Exclude<ConsensusPayload, PreVoteRequest>): void {
		const role = this.#role;
		switch (payload.kind) {
			case 'pre-vote-response': {
				// A refusal carries no information beyond its term, which is checked already.
				return;
			}

			case 'vote-request': {
				this.#handleVoteRequest(from, payload);
				return;
			}

			case 'vote-response': {
				if (role.kind === 'candidate' && !role.election.isPreVote && payload.granted) {
					this.#countGrant(role.election, from, payload.disk);
				}

				return;
			}

			case 'append':
			case 'snapshot-chunk': {
				this.#handleFromLeader(from, payload);
				return;
			}

			case 'append-response': {
				if (role.kind === 'leader') {
					role.leadership.handleAppendResponse(from, payload);
				}

				return;
			}

			case 'snapshot-response': {
				if (role.kind === 'leader') {
					role.leadership.handleSnapshotResponse(from, payload);
				}

				return;
			}

			case 'read-request': {
				if (role.kind === 'leader') {
					role.leadership.read({kind: 'remote', member: from, token: payload.token});
				}

				return;
			}

			case 'read-response': {
				this.#reads.handleResponse(payload.token, payload.index);
				return;
			}

			case 'start-election': {
				if (from === this.#leader && this.#state.canLead) {
					this.#startVote(true);
				}

				return;
			}

			default: {
				throw new UnreachableError(payload);
			}
		}
	}

	#handleFromLeader(leader: MemberId, payload: AppendPayload | SnapshotChunk): void {
		this.#becomeFollower(leader);
		this.#lastLeaderContactAt = this.#state.now;
		this.#lastQuorumContactAt = Math.max(this.#lastQuorumContactAt ?? Number.NEGATIVE_INFINITY, this.#state.now - payload.quorumAgeMilliseconds);
		if (payload.kind === 'append') {
			this.#followerRole.handleAppend(leader, payload);
			return;
		}

		this.#followerRole.handleSnapshotChunk(leader, payload);
	}

	#handlePreVoteRequest(from: MemberId, request: PreVoteRequest): void {
		if (this.#hasLiveLeader()) {
			return;
		}

		const {term, disk, outbox} = this.#state;
		const granted = request.term > term && this.#canVoteFor(request);
		outbox.sendImmediately(from, {
			kind: 'pre-vote-response', term, wantedTerm: request.term, granted, disk,
		});
	}

	#handlePreVoteGrant(from: MemberId, response: Extract<ConsensusPayload, {kind: 'pre-vote-response'}>): void {
		const role = this.#role;
		if (role.kind === 'candidate' && role.election.isPreVote && response.wantedTerm === this.#state.term + 1) {
			this.#countGrant(role.election, from, response.disk);
		}
	}

	#handleVoteRequest(from: MemberId, request: VoteRequest): void {
		const {term, votedFor, disk, outbox} = this.#state;
		const granted = (votedFor === undefined || votedFor === from) && this.#canVoteFor(request);
		if (granted) {
			this.#resetElectionTimer();
			if (votedFor === undefined) {
				this.#state.vote(from);
			}
		}

		outbox.sendAfterSync(from, {
			kind: 'vote-response', term, granted, disk,
		});
	}

	#countGrant(election: Election, from: MemberId, disk: string): void {
		election.recordGrant(from, disk);
		if (!election.isWon) {
			return;
		}

		if (election.isPreVote) {
			this.#startVote(false);
			return;
		}

		this.#leader = this.#state.member;
		this.#role = {kind: 'leader', leadership: new Leadership(this.#state, election.disks)};
		this.#role.leadership.advanceCommit();
	}

	/** Tells the sender of a message from an old term that there is a newer term. */
	#rejectOldTerm(from: MemberId, payload: ConsensusPayload): void {
		const {term, disk, outbox} = this.#state;
		if (payload.kind === 'append' || payload.kind === 'snapshot-chunk') {
			outbox.sendAfterSync(from, {
				kind: 'append-response', term, accepted: false, index: 0, hintIndex: 0, hintTerm: 0, round: 0, disk,
			});
		}

		if (payload.kind === 'vote-request') {
			outbox.sendAfterSync(from, {
				kind: 'vote-response', term, granted: false, disk,
			});
		}
	}

	/**
	True if the candidate's log is at least as up to date as this one, and the
	candidate knows the disk identifier of this member. A candidate may lack it only
	in the first election of a new cluster, in which the log of each initial member
	has exactly one entry. A joining member, whose log is empty, can't vote in it.
	*/
	#canVoteFor(candidate: VoteRequest | PreVoteRequest): boolean {
		const {lastIndex, lastTerm} = this.#state.log;
		if (candidate.toDisk === undefined && lastIndex !== 1) {
			return false;
		}

		return candidate.lastTerm === lastTerm ? candidate.lastIndex >= lastIndex : candidate.lastTerm > lastTerm;
	}

	/** True if this member is the leader or had contact with the leader within the election timeout. */
	#hasLiveLeader(): boolean {
		const millisecondsSinceContact = this.#state.now - this.#lastLeaderContactAt;
		return this.#role.kind === 'leader' || (this.#leader !== undefined && millisecondsSinceContact < this.#state.options.electionTimeoutMilliseconds);
	}

	#startElection(): void {
		this.#resetElectionTimer();
		if (!this.#state.canLead || this.#hasLostDisk) {
			return;
		}

		this.#leaveRole();
		this.#leader = undefined;
		const election = Election.startPreVote(this.#state);
		this.#role = {kind: 'candidate', election};
		if (election.isWon) {
			this.#startVote(false);
		}
	}

	#startVote(isTransfer: boolean): void {
		this.#leaveRole();
		this.#leader = undefined;
		this.#resetElectionTimer();
		this.#role = {kind: 'candidate', election: Election.startVote(this.#state, isTransfer)};
	}

	#becomeFollower(leader: MemberId | undefined): void {
		this.#leaveRole();
		this.#role = {kind: 'follower'};
		this.#leader = leader;
		this.#resetElectionTimer();
	}

	/** Fails the local reads and pending proposals of a leader that leaves its role. */
	#leaveRole(): void {
		if (this.#role.kind !== 'leader') {
			return;
		}

		this.#lastQuorumContactAt = this.#role.leadership.lastQuorumContactAt;
		for (const origin of this.#role.leadership.takeAllReads()) {
			if (origin.kind === 'local') {
				this.#state.outbox.push({kind: 'read-failed', readId: origin.readId});
			}
		}

		this.#state.abandonProposals();
	}

	#resetElectionTimer(): void {
		const {now, options, random} = this.#state;
		this.#electionDueAt = now + (options.electionTimeoutMilliseconds * (1 + random.nextFraction()));
	}
}
