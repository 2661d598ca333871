/**
The contract of the replicated log: a pure core that takes messages, storage
results and time, and gives back actions. It does no input or output itself.

After an action `persist` the core waits for `persisted` with the same number
before it lets any message go that depends on it. Actions `persist` are carried
out in the order in which they were given; one that holds nothing but a snapshot
may be carried out beside later ones.
*/

import type {MemberId} from '@fireflyglade/model';

/** One entry of the log. */
export type LogEntry = {
	/** From 1, without a gap. */
	readonly index: number;
	readonly term: number;
	readonly payload: EntryPayload;
};

/** What an entry holds. */
export type EntryPayload =
	| {readonly kind: 'empty'}
	/** An encoded command of the state machine. */
	| {readonly kind: 'command'; readonly command: Uint8Array}
	| {readonly kind: 'members'; readonly members: MemberSet};

/** The members of the log; one change adds or removes one voter. */
export type MemberSet = {
	readonly voters: readonly MemberId[];
	/** Members that receive the log but do not vote yet. */
	readonly learners: readonly MemberId[];
	/**
	The disk of each voter, filled in by the leader. A member whose disk is another
	one has lost what it promised, and takes no part.
	*/
	readonly disks?: Readonly<Record<string, string>>;
};

/** The part of the state that must be synced before an answer depends on it. */
export type HardState = {
	readonly term: number;
	readonly votedFor?: MemberId;
	/** Random identity of the disk, drawn when nothing was stored on it. */
	readonly disk?: string;
};

/** A snapshot of the state machine up to an index. */
export type Snapshot = {
	readonly lastIndex: number;
	readonly lastTerm: number;
	readonly members: MemberSet;
	readonly data: Uint8Array;
};

/** A message between members; the payload belongs to the consensus package. */
export type ConsensusMessage = {
	readonly from: MemberId;
	readonly to: MemberId;
	readonly payload: unknown;
};

/** What the shell has to do, in this order. */
export type ConsensusAction =
	/**
	Sync this to disk, then call `persisted(number)`. A snapshot is saved first;
	then, in one write, the log is truncated and the entries and the hard state are
	written.
	*/
	| {readonly kind: 'persist'; readonly number: number; readonly hardState?: HardState; readonly truncateFrom?: number; readonly entries: readonly LogEntry[]; readonly snapshot?: Snapshot}
	| {readonly kind: 'send'; readonly message: ConsensusMessage}
	/** Apply these committed entries to the state machine, in order. */
	| {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
	/** Replace the state machine by this snapshot. */
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	/** The read with this id may be answered from the state as applied up to `index`. */
	| {readonly kind: 'read-ready'; readonly readId: number; readonly index: number}
	| {readonly kind: 'read-failed'; readonly readId: number}
	/** A proposal of this member was superseded: its fate is unknown to the caller, who may resend it. */
	| {readonly kind: 'proposal-lost'; readonly proposalId: number}
	/** A proposal of this member was committed at `index`; the `apply` with the entry at `index` follows. */
	| {readonly kind: 'proposal-committed'; readonly proposalId: number; readonly index: number}
	| {readonly kind: 'leadership-changed'; readonly leader: MemberId | undefined; readonly isSelf: boolean};

/** What became of the wish to propose. */
export type ProposalResult =
	| {readonly kind: 'accepted'; readonly proposalId: number; readonly actions: readonly ConsensusAction[]}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	/** A change of the members was refused; it may be tried again later unless it is no single step. */
	| {readonly kind: 'members-refused'; readonly reason: MembershipChangeRefusal};

/** Why a change of the members was refused. */
export type MembershipChangeRefusal =
	/** Another change is not committed yet. */
	| 'change-pending'
	/** The leader has not yet committed an entry of its own term. */
	| 'leader-not-ready'
	/** The change is more than: add a learner, make a learner a voter, or remove one member. */
	| 'not-one-step'
	/** The learner that is to vote has not caught up with the log. */
	| 'not-caught-up'
	/** No voter would be left. */
	| 'no-voter-left';

/** One member of the replicated log. */
export type Consensus = {
	receive(message: ConsensusMessage, now: number): readonly ConsensusAction[];
	persisted(number: number, now: number): readonly ConsensusAction[];
	/** Called every 10 to 50 ms. */
	tick(now: number): readonly ConsensusAction[];
	propose(payload: EntryPayload, now: number): ProposalResult;
	/** Starts a linearizable read (read index). */
	read(readId: number, now: number): readonly ConsensusAction[];
	/**
	Hands in the state machine as it was saved after the entry at `lastIndex`, which
	was given by `apply`. The core persists it as a snapshot and drops the entries before.
	*/
	compact(saved: SavedState, now: number): readonly ConsensusAction[];
	/** Hands leadership over to the best follower. */
	transferLeadership(now: number): readonly ConsensusAction[];
	status(): ConsensusStatus;
};

/** A state machine as it was saved. */
export type SavedState = {
	readonly lastIndex: number;
	readonly data: Uint8Array;
};

/** The state of a member, for display and for evidence of a quorum. */
export type ConsensusStatus = {
	readonly term: number;
	readonly role: 'leader' | 'candidate' | 'follower' | 'learner';
	readonly leader: MemberId | undefined;
	readonly commitIndex: number;
	readonly lastIndex: number;
	readonly members: MemberSet;
	/** Milliseconds of this member's clock at which a quorum was last known to follow the leader; undefined if never. */
	readonly lastQuorumContactAt: number | undefined;
	/** Learners that may be made voters; known to the leader alone. */
	readonly caughtUpLearners: readonly MemberId[];
	/**
	True if the disk of this member was lost: the others count on promises that it
	can't keep, so it takes no part any more and must be replaced under a new id.
	*/
	readonly hasLostDisk: boolean;
};

/** What a member finds on its disk when it starts. */
export type StoredState = {
	readonly hardState: HardState;
	readonly snapshot?: Snapshot;
	readonly entries: readonly LogEntry[];
};
