/**
The messages between members.

`toDisk` is the disk that the sender knows as the receiver's; a receiver with
another disk has lost its own.
*/

import type {LogEntry, MemberSet} from '../types.js';

/** What a member tells another one. */
export type ConsensusPayload =
	/** Asks whether a vote in `term` could be won; nothing is promised by the answer. */
	| {readonly kind: 'pre-vote-request'; readonly toDisk: string | undefined; readonly term: number; readonly lastIndex: number; readonly lastTerm: number}
	| {readonly kind: 'pre-vote-response'; readonly term: number; readonly wantedTerm: number; readonly granted: boolean; readonly disk: string}
	/** `isTransfer` is set if the leader itself asked for the election. */
	| {readonly kind: 'vote-request'; readonly toDisk: string | undefined; readonly term: number; readonly lastIndex: number; readonly lastTerm: number; readonly isTransfer: boolean}
	| {readonly kind: 'vote-response'; readonly term: number; readonly granted: boolean; readonly disk: string}
	| AppendPayload
	| AppendResponse
	| SnapshotChunk
	/** `nextOffset` is where the receiver wants the transfer to go on. */
	| {readonly kind: 'snapshot-response'; readonly term: number; readonly lastIndex: number; readonly nextOffset: number; readonly round: number}
	| {readonly kind: 'read-request'; readonly term: number; readonly token: number}
	| {readonly kind: 'read-response'; readonly term: number; readonly token: number; readonly index: number}
	/** Asks the receiver to start an election at once. */
	| {readonly kind: 'start-election'; readonly toDisk: string | undefined; readonly term: number};

/** Entries from the leader; without entries it is a heartbeat. */
export type AppendPayload = {
	readonly kind: 'append';
	readonly toDisk: string | undefined;
	readonly term: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
	/** Number of the leader's round; the answer repeats it. */
	readonly round: number;
	/** Milliseconds since a quorum was last known to follow the leader. */
	readonly quorumAgeMilliseconds: number;
};

/** The answer to entries or a whole snapshot. */
export type AppendResponse = {
	readonly kind: 'append-response';
	readonly term: number;
	readonly accepted: boolean;
	/** If accepted: all up to here is synced and equal to the leader's log. Otherwise: the `previousIndex` that was refused. */
	readonly index: number;
	/** If refused: the highest entry that may be equal, with its term. */
	readonly hintIndex: number;
	readonly hintTerm: number;
	readonly round: number;
	/** The disk that holds what was accepted. */
	readonly disk: string;
};

/** A piece of a snapshot. */
export type SnapshotChunk = {
	readonly kind: 'snapshot-chunk';
	readonly toDisk: string | undefined;
	readonly term: number;
	readonly lastIndex: number;
	readonly lastTerm: number;
	readonly members: MemberSet;
	readonly offset: number;
	readonly data: Uint8Array;
	readonly isLast: boolean;
	readonly round: number;
	readonly quorumAgeMilliseconds: number;
};
