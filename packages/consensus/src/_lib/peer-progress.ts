/**
What the leader knows about another member.
*/

import type {Snapshot} from '../types.js';

/** How entries are sent to a member. */
export type ReplicationMode =
	/** One message at a time, until the end of the common log is found. */
	| 'probe'
	/** Messages follow one another without waiting for answers. */
	| 'replicate'
	/** A snapshot is under way. */
	| 'snapshot';

/** The progress of one member. */
export type PeerProgress = {
	mode: ReplicationMode;
	/** Entries up to here are synced there. */
	matchIndex: number;
	/** The next entry to send. */
	nextIndex: number;
	/** A probe or a piece of a snapshot is unanswered. */
	isWaiting: boolean;
	/** Bytes of the snapshot that have arrived. */
	snapshotOffset: number;
	/** The snapshot under way; a newer one doesn't take its place, or a slow transfer would never end. */
	snapshot: Snapshot | undefined;
	lastHeardAt: number;
	/** The latest round that the member answered. */
	answeredRound: number;
	/** The disk of the member; undefined until it has accepted something in this term. */
	disk: string | undefined;
};

/** The progress of a member of which nothing is known yet. */
export function startProgress(nextIndex: number, now: number): PeerProgress {
	return {
		mode: 'probe',
		matchIndex: 0,
		nextIndex,
		isWaiting: false,
		snapshotOffset: 0,
		snapshot: undefined,
		lastHeardAt: now,
		answeredRound: 0,
		disk: undefined,
	};
}
