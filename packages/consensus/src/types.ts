/**
Types of the replicated log. The core is pure: it takes messages, completed
writes and the current time, and returns actions for the caller to perform. It
does no input or output itself.

After a `persist` action the core sends no message that depends on it until
`persisted` is called with the same number. The caller performs `persist` actions
in the order in which they were returned; an action that holds only a snapshot
may run concurrently with later ones.
*/

import type {MemberId} from '@fireflyglade/model';

/** One entry of the log. */
export type LogEntry = {
	/** Starts at 1 and increases without gaps. */
	readonly index: number;
	readonly term: number;
	readonly payload: EntryPayload;
};

/** The content of an entry. */
export type EntryPayload =
	/** Appended by a new leader, so that it can commit entries of earlier terms. */
	| {readonly kind: 'empty'}
	/** An encoded command of the state machine. */
	| {readonly kind: 'command'; readonly command: Uint8Array}
	| {readonly kind: 'members'; readonly members: MemberSet};

/** The members of the replicated log. One change adds or removes at most one voter. */
export type MemberSet = {
	readonly voters: readonly MemberId[];
	/** Members that receive the log but do not vote. */
	readonly learners: readonly MemberId[];
	/**
	Identifier of each voter's disk, filled in by the leader. A member that runs on
	a different disk has lost its vote and its acknowledged entries, so it does not
	participate.
	*/
	readonly disks?: Readonly<Record<string, string>>;
};

/** The state that must be synced to disk before a response that depends on it is sent. */
export type HardState = {
	readonly term: number;
	readonly votedFor?: MemberId;
	/** Random identifier of the disk, generated when the disk is empty. */
	readonly disk?: string;
};

/** A snapshot of the state machine up to an index. */
export type Snapshot = {
	readonly lastIndex: number;
	readonly lastTerm: number;
	readonly members: MemberSet;
	readonly data: Uint8Array;
};

/** A message between members. Only this package interprets the payload. */
export type ConsensusMessage = {
	readonly from: MemberId;
	readonly to: MemberId;
	readonly payload: unknown;
};

/** An action for the caller to perform. Actions are performed in the order in which they were returned. */
export type ConsensusAction =
	/**
	Sync this to disk, then call `persisted(number)`. The snapshot is saved first;
	then a single write truncates the log and stores the entries and the hard state.
	*/
	| {readonly kind: 'persist'; readonly number: number; readonly hardState?: HardState; readonly truncateFrom?: number; readonly entries: readonly LogEntry[]; readonly snapshot?: Snapshot}
	| {readonly kind: 'send'; readonly message: ConsensusMessage}
	/** Apply these committed entries to the state machine, in order. */
	| {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
	/** Replace the state of the state machine with this snapshot. */
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	/** The read with this id may be served from the state machine, which has applied all entries up to `index`. */
	| {readonly kind: 'read-ready'; readonly readId: number; readonly index: number}
	/** The read with this id can't be confirmed; the caller may retry it. */
	| {readonly kind: 'read-failed'; readonly readId: number}
	/** This member lost leadership before the proposal was committed. The entry may or may not be committed later; the caller may resend it. */
	| {readonly kind: 'proposal-lost'; readonly proposalId: number}
	/** A proposal of this member was committed at `index`; an `apply` action with that entry follows. */
	| {readonly kind: 'proposal-committed'; readonly proposalId: number; readonly index: number}
	| {readonly kind: 'leadership-changed'; readonly leader: MemberId | undefined; readonly isSelf: boolean};

/** The result of `propose`. */
export type ProposalResult =
	| {readonly kind: 'accepted'; readonly proposalId: number; readonly actions: readonly ConsensusAction[]}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	/** A membership change was refused. It may be retried later, unless the reason is `not-one-step` or `no-voter-left`. */
	| {readonly kind: 'members-refused'; readonly reason: MembershipChangeRefusal};

/** Why a membership change was refused. */
export type MembershipChangeRefusal =
	/** An earlier membership change is not committed yet. */
	| 'change-pending'
	/** The leader has not yet committed an entry of its own term. */
	| 'leader-not-ready'
	/** The change is not exactly one of: add a learner, promote a learner to voter, remove one member. */
	| 'not-one-step'
	/** The learner to be promoted has not caught up with the log. */
	| 'not-caught-up'
	/** The change would leave no voter. */
	| 'no-voter-left';

/** One member of the replicated log. */
export type Consensus = {
	/** Handles a message from another member. */
	receive(message: ConsensusMessage, now: number): readonly ConsensusAction[];
	/** Reports that the `persist` action with this number is synced to disk. */
	persisted(number: number, now: number): readonly ConsensusAction[];
	/** Runs the timers; to be called every 10 to 50 ms. */
	tick(now: number): readonly ConsensusAction[];
	/** Appends an entry to the log if this member is the leader. */
	propose(payload: EntryPayload, now: number): ProposalResult;
	/** Starts a linearizable read (read index). It ends with a `read-ready` or a `read-failed` action. */
	read(readId: number, now: number): readonly ConsensusAction[];
	/**
	Compacts the log. `saved` is the state machine after the entry at `lastIndex`,
	which must have been applied. Once these entries are synced, the core persists it as
	a snapshot and drops the entries that it covers, except for the most recent ones.
	*/
	compact(saved: SavedState, now: number): readonly ConsensusAction[];
	/** Starts to transfer leadership to the reachable voter with the most complete log; does nothing if this member is not the leader. */
	transferLeadership(now: number): readonly ConsensusAction[];
	status(): ConsensusStatus;
};

/** The serialized state machine after the entry at `lastIndex`. */
export type SavedState = {
	readonly lastIndex: number;
	readonly data: Uint8Array;
};

/** The state of a member, for display and for checks that a quorum is reachable. */
export type ConsensusStatus = {
	readonly term: number;
	readonly role: 'leader' | 'candidate' | 'follower' | 'learner';
	readonly leader: MemberId | undefined;
	readonly commitIndex: number;
	readonly lastIndex: number;
	readonly members: MemberSet;
	/** Time, in milliseconds of this member's clock, at which the leader was last known to have contact with a quorum; undefined if never. */
	readonly lastQuorumContactAt: number | undefined;
	/** Learners that may be promoted to voters; empty unless this member is the leader. */
	readonly caughtUpLearners: readonly MemberId[];
	/**
	True if this member lost its disk, and with it votes and entries that it had
	acknowledged. It no longer participates and must be replaced under a new id.
	*/
	readonly hasLostDisk: boolean;
};

/** The state that a member loads from its disk when it starts. */
export type StoredState = {
	readonly hardState: HardState;
	readonly snapshot?: Snapshot;
	readonly entries: readonly LogEntry[];
};
