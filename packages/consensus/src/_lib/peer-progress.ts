/**
The leader's view of the replication progress of another member.
*/

import type {Snapshot} from '../types.js';

/** How entries are sent to a peer. */
export type ReplicationMode =
	/** One message at a time, until the last matching entry is found. */
	| 'probe'
	/** Messages are pipelined without waiting for responses. */
	| 'replicate'
	/** A snapshot is being transferred. */
	| 'snapshot';

/** The replication progress of one peer. */
export type PeerProgress = {
	mode: ReplicationMode;
	/** Index of the last entry that is known to be synced on the peer. */
	matchIndex: number;
	/** Index of the next entry to send. */
	nextIndex: number;
	/** True while a probe or a snapshot chunk is unacknowledged. */
	isAwaitingResponse: boolean;
	/** Bytes of the snapshot that the peer has acknowledged. */
	snapshotOffset: number;
	/** The snapshot being transferred. A newer snapshot does not replace it, because a slow transfer would then never finish. */
	snapshot: Snapshot | undefined;
	/** Time of the last response, or of the start of the tracking if there was none, in milliseconds. */
	lastContactAt: number;
	/** The latest heartbeat round that the peer answered. */
	answeredRound: number;
	/** Disk identifier of the peer; undefined until it has accepted entries in this term. */
	disk: string | undefined;
};

/** Creates the progress of a peer whose log is not known yet. */
export function createPeerProgress(nextIndex: number, now: number): PeerProgress {
	return {
		mode: 'probe',
		matchIndex: 0,
		nextIndex,
		isAwaitingResponse: false,
		snapshotOffset: 0,
		snapshot: undefined,
		lastContactAt: now,
		answeredRound: 0,
		disk: undefined,
	};
}
