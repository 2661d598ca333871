/**
Payloads of the messages between members.

`toDisk` is the disk identifier that the sender has recorded for the receiver. A
receiver whose disk has another identifier has lost its disk.
*/

import type {LogEntry, MemberSet} from '../types.js';

/** The payload of a message from one member to another. */
export type ConsensusPayload =
	/** Asks whether the receiver would vote for the sender in `term`; the response is not binding. */
	| {readonly kind: 'pre-vote-request'; readonly toDisk: string | undefined; readonly term: number; readonly lastIndex: number; readonly lastTerm: number}
	| {readonly kind: 'pre-vote-response'; readonly term: number; readonly wantedTerm: number; readonly granted: boolean; readonly disk: string}
	/** `isTransfer` is true if the leader requested the election to transfer its leadership. */
	| {readonly kind: 'vote-request'; readonly toDisk: string | undefined; readonly term: number; readonly lastIndex: number; readonly lastTerm: number; readonly isTransfer: boolean}
	| {readonly kind: 'vote-response'; readonly term: number; readonly granted: boolean; readonly disk: string}
	| AppendPayload
	| AppendResponse
	| SnapshotChunk
	/** `nextOffset` is the byte offset of the next chunk that the receiver expects. */
	| {readonly kind: 'snapshot-response'; readonly term: number; readonly lastIndex: number; readonly nextOffset: number; readonly round: number}
	| {readonly kind: 'read-request'; readonly term: number; readonly token: number}
	| {readonly kind: 'read-response'; readonly term: number; readonly token: number; readonly index: number}
	/** Asks the receiver to start an election immediately, without a pre-vote. */
	| {readonly kind: 'start-election'; readonly toDisk: string | undefined; readonly term: number};

/** Entries from the leader; a message without entries is a heartbeat. */
export type AppendPayload = {
	readonly kind: 'append';
	readonly toDisk: string | undefined;
	readonly term: number;
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
	/** Number of the leader's heartbeat round; the response repeats it. */
	readonly round: number;
	/** Milliseconds since the leader was last known to have contact with a quorum. */
	readonly quorumAgeMilliseconds: number;
};

/** The response to an append message or to a completed snapshot. */
export type AppendResponse = {
	readonly kind: 'append-response';
	readonly term: number;
	readonly accepted: boolean;
	/** If accepted: all entries up to this index are synced and match the leader's log. Otherwise: the `previousIndex` that was rejected. */
	readonly index: number;
	/** If rejected: index and term of the last entry that may match the leader's log. */
	readonly hintIndex: number;
	readonly hintTerm: number;
	readonly round: number;
	/** Identifier of the disk that holds the accepted entries. */
	readonly disk: string;
};

/** A chunk of a snapshot. */
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
