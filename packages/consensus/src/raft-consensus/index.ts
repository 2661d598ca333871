/**
One member of the replicated log, after the Raft algorithm: pre-vote, a leader
that steps down without a quorum, read index, single-step changes of the members
and transfer of leadership.

The class is the switchboard: it keeps the role of the member, checks terms, and
hands each message to the part that it concerns.
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

/** Options of a member. */
export type RaftConsensusOptions = Partial<MemberOptions> & {
	readonly member: MemberId;
	/** What the member found on its disk. */
	readonly stored: StoredState;
	/**
	The members with which a fresh set begins. It is used only if nothing is stored,
	and left out by a member that joins an existing set: that one waits until the
	leader sends it the log.
	*/
	readonly initialMembers?: MemberSet;
	/** Differs between members and from start to start. */
	readonly randomSeed: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

type Role =
	| {readonly kind: 'follower'}
	| {readonly kind: 'candidate'; readonly election: Election}
	| {readonly kind: 'leader'; readonly leadership: Leadership};

type Vote = Extract<ConsensusPayload, {kind: 'vote-request'}>;
type PreVote = Extract<ConsensusPayload, {kind: 'pre-vote-request'}>;

const defaultOptions: MemberOptions = {
	electionTimeoutMilliseconds: 1000,
	heartbeatIntervalMilliseconds: 100,
	retainedEntries: 1000,
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
	// carry out the action
}
```
*/
export class RaftConsensus implements Consensus {
	readonly #state: MemberState;
	readonly #follower: FollowerRole;
	readonly #reads: FollowerReads;
	#role: Role = {kind: 'follower'};
	#leader: MemberId | undefined;
	/** The leader as it was last told to the shell. */
	#toldLeader: MemberId | undefined;
	#leaderHeardAt = Number.NEGATIVE_INFINITY;
	#quorumHeardAt: number | undefined;
	#electionDueAt = 0;
	#diskLost = false;

	constructor(options: RaftConsensusOptions) {
		const {member, stored, initialMembers} = options;
		this.#state = new MemberState(member, stored, {...defaultOptions, ...options});
		this.#follower = new FollowerRole(this.#state);
		this.#reads = new FollowerReads(this.#state);
		const isEmpty = this.#state.log.lastIndex === 0 && this.#state.term === 0;
		if (isEmpty && initialMembers !== undefined) {
			this.#state.raiseTerm(1);
			this.#state.log.append({index: 1, term: 1, payload: {kind: 'members', members: initialMembers}});
		}

		this.#resetElectionTimer();
	}

	receive(message: ConsensusMessage, now: number): readonly ConsensusAction[] {
		this.#state.moveTime(now);
		this.#take(message.from, message.payload as ConsensusPayload);
		return this.#finish();
	}

	persisted(number: number, now: number): readonly ConsensusAction[] {
		this.#state.moveTime(now);
		for (const message of this.#state.durability.persisted(number)) {
			this.#take(message.from, message.payload as ConsensusPayload);
		}

		if (this.#role.kind === 'leader') {
			this.#role.leadership.advanceCommit();
		}

		return this.#finish();
	}

	tick(now: number): readonly ConsensusAction[] {
		this.#state.moveTime(now);
		this.#reads.expire();
		if (this.#role.kind === 'leader') {
			if (!this.#role.leadership.tick()) {
				this.#follow(undefined);
			}
		} else if (this.#state.now >= this.#electionDueAt) {
			this.#startElection();
		}

		return this.#finish();
	}

	propose(payload: EntryPayload, now: number): ProposalResult {
		this.#state.moveTime(now);
		if (this.#role.kind !== 'leader' || this.#role.leadership.isTransferring) {
			return {kind: 'not-leader', leader: this.#role.kind === 'leader' ? undefined : this.#leader};
		}

		const {leadership} = this.#role;
		const fault = payload.kind === 'members' ? leadership.findMembersFault(payload.members) : undefined;
		if (fault !== undefined) {
			return {kind: 'members-refused', reason: fault};
		}

		const proposalId = this.#state.propose(payload.kind === 'members' ? {kind: 'members', members: leadership.completeMembers(payload.members)} : payload);
		leadership.replicate();
		return {kind: 'accepted', proposalId, actions: this.#finish()};
	}

	read(readId: number, now: number): readonly ConsensusAction[] {
		this.#state.moveTime(now);
		if (this.#role.kind === 'leader') {
			this.#role.leadership.read({kind: 'local', readId});
		} else {
			this.#reads.ask(readId, this.#leader);
		}

		return this.#finish();
	}

	compact(saved: SavedState, now: number): readonly ConsensusAction[] {
		this.#state.moveTime(now);
		const {log, appliedIndex, options} = this.#state;
		if (saved.lastIndex <= appliedIndex && saved.lastIndex > (log.snapshot?.lastIndex ?? 0)) {
			this.#state.durability.writeCompaction(log.compact(saved, options.retainedEntries));
		}

		return this.#finish();
	}

	transferLeadership(now: number): readonly ConsensusAction[] {
		this.#state.moveTime(now);
		if (this.#role.kind === 'leader') {
			this.#role.leadership.transfer();
		}

		return this.#finish();
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
			lastQuorumContactAt: leadership?.quorumHeardAt ?? this.#quorumHeardAt,
			caughtUpLearners: leadership?.caughtUpLearners() ?? [],
			hasLostDisk: this.#diskLost,
		};
	}

	#finish(): readonly ConsensusAction[] {
		const {durability} = this.#state;
		this.#state.applyCommitted();
		if (this.#role.kind === 'leader') {
			this.#answerReads(this.#role.leadership);
			this.#stepDownIfRemoved();
		}

		this.#reads.answerReady();
		if (this.#toldLeader !== this.#leader) {
			this.#toldLeader = this.#leader;
			durability.push({kind: 'leadership-changed', leader: this.#leader, isSelf: this.#leader === this.#state.member});
		}

		return durability.takeActions();
	}

	#answerReads(leadership: Leadership): void {
		for (const {origin, index} of leadership.takeConfirmedReads()) {
			if (origin.kind === 'local') {
				this.#reads.confirm(origin.readId, index);
			} else {
				this.#state.durability.sendNow(origin.member, {
					kind: 'read-response', term: this.#state.term, token: origin.token, index,
				});
			}
		}
	}

	/** A leader that is no member any more leads until its removal is committed. */
	#stepDownIfRemoved(): void {
		const {log, commitIndex, isVoter} = this.#state;
		if (!isVoter && log.membersIndex <= commitIndex) {
			this.#follow(undefined);
		}
	}

	#take(from: MemberId, payload: ConsensusPayload): void {
		this.#diskLost ||= 'toDisk' in payload && payload.toDisk !== undefined && payload.toDisk !== this.#state.disk;
		if (this.#diskLost) {
			return;
		}

		if (payload.kind === 'pre-vote-request') {
			this.#takePreVote(from, payload);
			return;
		}

		if (payload.kind === 'pre-vote-response' && payload.granted) {
			this.#takePreVoteGrant(from, payload);
			return;
		}

		if (payload.kind === 'vote-request' && !payload.isTransfer && this.#hasLeader()) {
			return;
		}

		if (payload.term > this.#state.term) {
			this.#state.raiseTerm(payload.term);
			this.#follow(undefined);
		}

		if (payload.term < this.#state.term) {
			this.#refuseOldTerm(from, payload);
			return;
		}

		this.#takeInTerm(from, payload);
	}

	#takeInTerm(from: MemberId, payload: Exclude<ConsensusPayload, PreVote>): void {
		const role = this.#role;
		switch (payload.kind) {
			case 'pre-vote-response': {
				// A refusal tells nothing but the term.
				return;
			}

			case 'vote-request': {
				this.#takeVoteRequest(from, payload);
				return;
			}

			case 'vote-response': {
				if (role.kind === 'candidate' && !role.election.isPreVote && payload.granted) {
					this.#takeGrant(role.election, from, payload.disk);
				}

				return;
			}

			case 'append':
			case 'snapshot-chunk': {
				this.#takeFromLeader(from, payload);
				return;
			}

			case 'append-response': {
				if (role.kind === 'leader') {
					role.leadership.takeAppendResponse(from, payload);
				}

				return;
			}

			case 'snapshot-response': {
				if (role.kind === 'leader') {
					role.leadership.takeSnapshotResponse(from, payload);
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
				this.#reads.takeResponse(payload.token, payload.index);
				return;
			}

			case 'start-election': {
				if (from === this.#leader && this.#state.mayLead) {
					this.#startVote(true);
				}

				return;
			}

			default: {
				throw new UnreachableError(payload);
			}
		}
	}

	#takeFromLeader(leader: MemberId, payload: AppendPayload | SnapshotChunk): void {
		this.#follow(leader);
		this.#leaderHeardAt = this.#state.now;
		this.#quorumHeardAt = Math.max(this.#quorumHeardAt ?? Number.NEGATIVE_INFINITY, this.#state.now - payload.quorumAgeMilliseconds);
		if (payload.kind === 'append') {
			this.#follower.takeEntries(leader, payload);
			return;
		}

		this.#follower.takeSnapshotChunk(leader, payload);
	}

	#takePreVote(from: MemberId, request: PreVote): void {
		if (this.#hasLeader()) {
			return;
		}

		const {term, disk, durability} = this.#state;
		const granted = request.term > term && this.#mayVoteFor(request);
		durability.sendNow(from, {
			kind: 'pre-vote-response', term, wantedTerm: request.term, granted, disk,
		});
	}

	#takePreVoteGrant(from: MemberId, response: Extract<ConsensusPayload, {kind: 'pre-vote-response'}>): void {
		const role = this.#role;
		if (role.kind === 'candidate' && role.election.isPreVote && response.wantedTerm === this.#state.term + 1) {
			this.#takeGrant(role.election, from, response.disk);
		}
	}

	#takeVoteRequest(from: MemberId, request: Vote): void {
		const {term, votedFor, disk, durability} = this.#state;
		const granted = (votedFor === undefined || votedFor === from) && this.#mayVoteFor(request);
		if (granted) {
			this.#resetElectionTimer();
			if (votedFor === undefined) {
				this.#state.vote(from);
			}
		}

		durability.sendDurable(from, {
			kind: 'vote-response', term, granted, disk,
		});
	}

	#takeGrant(election: Election, from: MemberId, disk: string): void {
		election.takeGrant(from, disk);
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

	/** Tells the sender of an old term that there is a newer one. */
	#refuseOldTerm(from: MemberId, payload: ConsensusPayload): void {
		const {term, disk, durability} = this.#state;
		if (payload.kind === 'append' || payload.kind === 'snapshot-chunk') {
			durability.sendDurable(from, {
				kind: 'append-response', term, accepted: false, index: 0, hintIndex: 0, hintTerm: 0, round: 0, disk,
			});
		}

		if (payload.kind === 'vote-request') {
			durability.sendDurable(from, {
				kind: 'vote-response', term, granted: false, disk,
			});
		}
	}

	/**
	True if a candidate has all that is committed, and counts on this very disk. Only
	before the first election are the disks not recorded; a member that joins has no
	log then, and no vote.
	*/
	#mayVoteFor(candidate: Vote | PreVote): boolean {
		const {lastIndex, lastTerm} = this.#state.log;
		if (candidate.toDisk === undefined && lastIndex !== 1) {
			return false;
		}

		return candidate.lastTerm === lastTerm ? candidate.lastIndex >= lastIndex : candidate.lastTerm > lastTerm;
	}

	/** True if this member leads or heard from the leader so lately that no election is called for. */
	#hasLeader(): boolean {
		const silence = this.#state.now - this.#leaderHeardAt;
		return this.#role.kind === 'leader' || (this.#leader !== undefined && silence < this.#state.options.electionTimeoutMilliseconds);
	}

	#startElection(): void {
		this.#resetElectionTimer();
		if (!this.#state.mayLead || this.#diskLost) {
			return;
		}

		this.#leave();
		this.#leader = undefined;
		const election = Election.startPreVote(this.#state);
		this.#role = {kind: 'candidate', election};
		if (election.isWon) {
			this.#startVote(false);
		}
	}

	#startVote(isTransfer: boolean): void {
		this.#leave();
		this.#leader = undefined;
		this.#resetElectionTimer();
		this.#role = {kind: 'candidate', election: Election.startVote(this.#state, isTransfer)};
	}

	#follow(leader: MemberId | undefined): void {
		this.#leave();
		this.#role = {kind: 'follower'};
		this.#leader = leader;
		this.#resetElectionTimer();
	}

	/** Gives up what belongs to the present role. */
	#leave(): void {
		if (this.#role.kind !== 'leader') {
			return;
		}

		this.#quorumHeardAt = this.#role.leadership.quorumHeardAt;
		for (const origin of this.#role.leadership.takeAllReads()) {
			if (origin.kind === 'local') {
				this.#state.durability.push({kind: 'read-failed', readId: origin.readId});
			}
		}

		this.#state.loseProposals();
	}

	#resetElectionTimer(): void {
		const {now, options, random} = this.#state;
		this.#electionDueAt = now + (options.electionTimeoutMilliseconds * (1 + random.nextFraction()));
	}
}
