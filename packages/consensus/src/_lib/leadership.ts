/**
The leader role during one term: replication, commitment, heartbeat rounds that
confirm leadership for reads, and leadership transfer.
*/

import type {MemberId} from '@fireflyglade/model';
import type {LogEntry, MembershipChangeRefusal, MemberSet} from '../types.js';
import type {MemberState} from './member-state.js';
import type {AppendResponse, ConsensusPayload} from './payload.js';
import {createPeerProgress, type PeerProgress} from './peer-progress.js';
import {PendingReads, type ConfirmedRead, type ReadOrigin} from './pending-reads.js';
import {
	diskOf, findMembershipChangeRefusal, quorumValue, withDisks,
} from './quorum.js';

type SnapshotResponse = Extract<ConsensusPayload, {kind: 'snapshot-response'}>;

/** A transfer of leadership in progress; it is abandoned at the time `until`. */
type LeadershipTransfer = {
	readonly target: MemberId;
	readonly until: number;
	isElectionRequested: boolean;
};

/** Minimum time between the starts of two heartbeat rounds for reads, as a fraction of the heartbeat interval. Reads that arrive in between share a round. */
const readRoundIntervalRatio = 0.5;
/** A learner that lags by more entries than this can't be promoted to voter. */
const maximumLearnerLagEntries = 64;

/** The state of the leader in one term. */
export class Leadership {
	readonly #state: MemberState;
	readonly #peers = new Map<MemberId, PeerProgress>();
	readonly #reads = new PendingReads();
	/** Index of the entry with which this leader begins its term. */
	readonly #firstIndex: number;
	#round = 0;
	#lastBroadcastAt = Number.NEGATIVE_INFINITY;
	#lastQuorumContactAt: number;
	#transfer: LeadershipTransfer | undefined;

	/** @param disks - The disk identifiers of the members that voted for this leader. */
	constructor(state: MemberState, disks: ReadonlyMap<MemberId, string>) {
		this.#state = state;
		this.#lastQuorumContactAt = state.now;
		this.#firstIndex = state.log.lastIndex + 1;
		state.log.append({index: this.#firstIndex, term: state.term, payload: firstEntryPayload(state.log.members, disks)});
		this.#updatePeers();
		this.broadcast();
	}

	/** Time, in milliseconds, at which this leader was last known to have contact with a quorum. */
	get lastQuorumContactAt(): number {
		return this.#lastQuorumContactAt;
	}

	get isTransferring(): boolean {
		return this.#transfer !== undefined;
	}

	caughtUpLearners(): readonly MemberId[] {
		return this.#state.log.members.learners.filter(learner => this.#isCaughtUp(learner));
	}

	/** The reason why this member set can't be proposed now; undefined if it can. */
	findMembershipChangeRefusal(members: MemberSet): MembershipChangeRefusal | undefined {
		const {log, commitIndex} = this.#state;
		if (commitIndex < this.#firstIndex) {
			return 'leader-not-ready';
		}

		if (log.membersIndex > commitIndex) {
			return 'change-pending';
		}

		return findMembershipChangeRefusal(log.members, members, learner => this.#isCaughtUp(learner));
	}

	/** Adds the known disk identifiers of the voters to a member set that is to be proposed. */
	addKnownDisks(members: MemberSet): MemberSet {
		const peerDisks = new Map<MemberId, string>();
		for (const [peer, progress] of this.#peers) {
			if (progress.disk !== undefined) {
				peerDisks.set(peer, progress.disk);
			}
		}

		return withDisks(members, this.#state.log.members, peerDisks);
	}

	/** Sends newly appended entries to all peers. */
	replicate(): void {
		this.#updatePeers();
		for (const [peer, progress] of this.#peers) {
			this.#sendEntries(peer, progress);
		}

		this.advanceCommit();
	}

	/** Starts a new heartbeat round: sends an append message to every peer, with entries if there are any. */
	broadcast(): void {
		this.#round++;
		this.#lastBroadcastAt = this.#state.now;
		for (const [peer, progress] of this.#peers) {
			this.#sendAppend(peer, progress);
		}

		this.#updateQuorumContact();
	}

	/**
	Runs the timers.

	@returns False if the leader has had no contact with a quorum for the election timeout, and must step down.
	*/
	tick(): boolean {
		const {now, options} = this.#state;
		if (this.#transfer !== undefined && now >= this.#transfer.until) {
			this.#transfer = undefined;
		}

		if (now - this.#lastBroadcastAt >= options.heartbeatIntervalMilliseconds) {
			this.broadcast();
		}

		this.#startReadRoundIfDue();

		return now - this.#lastQuorumContactAt < options.electionTimeoutMilliseconds;
	}

	/** Queues a linearizable read until a quorum has answered a heartbeat round that starts after the read. */
	read(origin: ReadOrigin): void {
		if (this.#state.commitIndex < this.#firstIndex) {
			this.#reads.defer(origin);
			return;
		}

		// A round in progress started before this read, so it can't confirm it.
		this.#reads.add(origin, this.#state.commitIndex, this.#round + 1);
		this.#startReadRoundIfDue();
	}

	/** Removes and returns the reads that a quorum has confirmed. */
	takeConfirmedReads(): readonly ConfirmedRead[] {
		const round = this.#quorumAnsweredRound();
		const confirmed = this.#reads.takeConfirmed(round);
		this.#startReadRoundIfDue();
		return confirmed;
	}

	/** Removes and returns all reads, because the leader steps down. */
	takeAllReads(): readonly ReadOrigin[] {
		return this.#reads.takeAll();
	}

	handleAppendResponse(from: MemberId, response: AppendResponse): void {
		const progress = this.#recordContact(from, response.round);
		if (progress === undefined) {
			return;
		}

		if (response.accepted) {
			progress.disk = response.disk;
			this.#advanceMatchIndex(progress, response.index);
		} else {
			this.#moveNextIndexBack(progress, response);
		}

		this.#sendEntries(from, progress);
		this.advanceCommit();
		this.#requestElectionOfTarget();
	}

	handleSnapshotResponse(from: MemberId, response: SnapshotResponse): void {
		const progress = this.#recordContact(from, response.round);
		if (progress?.mode !== 'snapshot' || response.lastIndex !== progress.snapshot?.lastIndex) {
			return;
		}

		progress.snapshotOffset = response.nextOffset;
		progress.isAwaitingResponse = false;
		this.#sendEntries(from, progress);
	}

	/** Commits the entries that a majority has synced, provided that the last of them is of this term, and broadcasts the new commit index. */
	advanceCommit(): void {
		const {log, term, commitIndex, outbox, member} = this.#state;
		const reached = quorumValue(log.members, voter => (voter === member ? outbox.stableIndex : this.#peers.get(voter)?.matchIndex ?? 0));
		if (reached <= commitIndex || log.termAt(reached) !== term) {
			return;
		}

		this.#state.advanceCommitIndex(reached);
		for (const origin of this.#reads.takeDeferred()) {
			this.read(origin);
		}

		this.broadcast();
	}

	/** Starts a leadership transfer to the reachable voter with the most complete log. */
	startTransfer(): void {
		let best: {readonly peer: MemberId; readonly matchIndex: number} | undefined;
		const {now, options} = this.#state;
		for (const [peer, progress] of this.#peers) {
			const isReachable = progress.disk !== undefined && now - progress.lastContactAt < options.electionTimeoutMilliseconds;
			if (isReachable && this.#state.log.members.voters.includes(peer) && progress.matchIndex > (best?.matchIndex ?? -1)) {
				best = {peer, matchIndex: progress.matchIndex};
			}
		}

		if (best !== undefined) {
			this.#transfer = {target: best.peer, until: now + options.electionTimeoutMilliseconds, isElectionRequested: false};
			this.#requestElectionOfTarget();
		}
	}

	/** Tells the transfer target to start an election once it has the whole log. */
	#requestElectionOfTarget(): void {
		const transfer = this.#transfer;
		if (transfer === undefined || transfer.isElectionRequested || this.#peers.get(transfer.target)?.matchIndex !== this.#state.log.lastIndex) {
			return;
		}

		transfer.isElectionRequested = true;
		this.#state.outbox.sendImmediately(transfer.target, {
			kind: 'start-election', toDisk: this.#diskOf(transfer.target), term: this.#state.term,
		});
	}

	/** Starts a heartbeat round if reads wait for one, no round is in progress and the last one began long enough ago. */
	#startReadRoundIfDue(): void {
		const {now, options} = this.#state;
		const isRoundInProgress = this.#round > this.#quorumAnsweredRound();
		const isTooEarly = this.#peers.size > 0 && now - this.#lastBroadcastAt < options.heartbeatIntervalMilliseconds * readRoundIntervalRatio;
		if (this.#reads.latestRound > this.#round && !isRoundInProgress && !isTooEarly) {
			this.broadcast();
		}
	}

	#diskOf(peer: MemberId): string | undefined {
		return diskOf(this.#state.log.members, peer);
	}

	#isCaughtUp(learner: MemberId): boolean {
		const progress = this.#peers.get(learner);
		return progress?.disk !== undefined && progress.matchIndex + maximumLearnerLagEntries >= this.#state.log.lastIndex;
	}

	/** Starts to track the progress of members that were added, and stops to track members that were removed. */
	#updatePeers(): void {
		const {log, member, now} = this.#state;
		const others = new Set([...log.members.voters, ...log.members.learners]);
		others.delete(member);
		for (const peer of this.#peers.keys()) {
			if (!others.has(peer)) {
				this.#peers.delete(peer);
			}
		}

		for (const peer of others) {
			if (!this.#peers.has(peer)) {
				this.#peers.set(peer, createPeerProgress(log.lastIndex, now));
			}
		}
	}

	#recordContact(from: MemberId, round: number): PeerProgress | undefined {
		const progress = this.#peers.get(from);
		if (progress !== undefined) {
			progress.lastContactAt = this.#state.now;
			progress.answeredRound = Math.max(progress.answeredRound, round);
			this.#updateQuorumContact();
		}

		return progress;
	}

	#updateQuorumContact(): void {
		const {log, member, now} = this.#state;
		const contactAt = quorumValue(log.members, voter => (voter === member ? now : this.#peers.get(voter)?.lastContactAt ?? Number.NEGATIVE_INFINITY));
		this.#lastQuorumContactAt = Math.max(this.#lastQuorumContactAt, contactAt);
	}

	/** The latest round that a quorum has answered. */
	#quorumAnsweredRound(): number {
		const {log, member} = this.#state;
		return quorumValue(log.members, voter => (voter === member ? this.#round : this.#peers.get(voter)?.answeredRound ?? 0));
	}

	#advanceMatchIndex(progress: PeerProgress, index: number): void {
		progress.matchIndex = Math.max(progress.matchIndex, index);
		if (progress.matchIndex < (progress.snapshot?.lastIndex ?? 0)) {
			return;
		}

		if (progress.mode !== 'replicate') {
			progress.mode = 'replicate';
			progress.snapshot = undefined;
			progress.nextIndex = progress.matchIndex + 1;
		}

		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		progress.isAwaitingResponse = false;
	}

	/** After a rejection, moves the next index back past all entries that can't match the follower's log. */
	#moveNextIndexBack(progress: PeerProgress, response: AppendResponse): void {
		if (progress.mode === 'snapshot' || response.index <= progress.matchIndex || response.index >= progress.nextIndex) {
			return;
		}

		const {log} = this.#state;
		let index = Math.min(response.hintIndex, response.index - 1);
		while (index > progress.matchIndex && (log.termAt(index) ?? 0) > response.hintTerm) {
			index--;
		}

		progress.mode = 'probe';
		progress.nextIndex = Math.max(index, progress.matchIndex) + 1;
		progress.isAwaitingResponse = false;
	}

	/** Sends entries if the peer is behind and its in-flight limit is not reached. */
	#sendEntries(peer: MemberId, progress: PeerProgress): void {
		const {log, options} = this.#state;
		if (progress.isAwaitingResponse) {
			return;
		}

		const isBehind = progress.mode !== 'replicate' || progress.nextIndex <= log.lastIndex;
		const inFlight = progress.nextIndex - progress.matchIndex - 1;
		if (isBehind && (progress.mode !== 'replicate' || inFlight < options.maximumEntriesInFlight)) {
			this.#sendAppend(peer, progress);
		}
	}

	#sendAppend(peer: MemberId, progress: PeerProgress): void {
		const {log, term, commitIndex, now} = this.#state;
		const previousIndex = progress.nextIndex - 1;
		const previousTerm = log.termAt(previousIndex);
		if (progress.mode === 'snapshot' || previousTerm === undefined) {
			this.#sendSnapshotChunk(peer, progress);
			return;
		}

		const entries = this.#selectEntries(progress);
		this.#state.outbox.sendImmediately(peer, {
			kind: 'append', toDisk: this.#diskOf(peer), term, previousIndex, previousTerm, entries, commitIndex, round: this.#round, quorumAgeMilliseconds: now - this.#lastQuorumContactAt,
		});
		if (progress.mode === 'replicate') {
			progress.nextIndex += entries.length;
			return;
		}

		progress.isAwaitingResponse = true;
	}

	#selectEntries(progress: PeerProgress): readonly LogEntry[] {
		const {log, options} = this.#state;
		const inFlight = progress.nextIndex - progress.matchIndex - 1;
		const available = progress.mode === 'replicate' ? options.maximumEntriesInFlight - inFlight : 1;
		const count = Math.max(0, Math.min(available, options.maximumEntriesPerMessage));
		const entries: LogEntry[] = [];
		let bytes = 0;
		for (const entry of log.slice(progress.nextIndex, progress.nextIndex + count)) {
			entries.push(entry);
			bytes += entry.payload.kind === 'command' ? entry.payload.command.byteLength : 0;
			if (bytes >= options.maximumBytesPerMessage) {
				break;
			}
		}

		return entries;
	}

	#sendSnapshotChunk(peer: MemberId, progress: PeerProgress): void {
		const {log, term, options, now} = this.#state;
		const snapshot = progress.snapshot ?? log.snapshot;
		if (snapshot === undefined) {
			return;
		}

		if (progress.snapshot === undefined) {
			progress.mode = 'snapshot';
			progress.snapshot = snapshot;
			progress.snapshotOffset = 0;
		}

		const offset = Math.min(progress.snapshotOffset, snapshot.data.byteLength);
		const data = snapshot.data.subarray(offset, offset + options.snapshotChunkBytes);
		progress.isAwaitingResponse = true;
		this.#state.outbox.sendImmediately(peer, {
			kind: 'snapshot-chunk',
			toDisk: this.#diskOf(peer),
			term,
			lastIndex: snapshot.lastIndex,
			lastTerm: snapshot.lastTerm,
			members: snapshot.members,
			offset,
			data,
			isLast: offset + data.byteLength === snapshot.data.byteLength,
			round: this.#round,
			quorumAgeMilliseconds: now - this.#lastQuorumContactAt,
		});
	}
}

/** Returns a member set with the disks of the voters for the first leader of a new cluster, and an empty entry for a later leader. */
function firstEntryPayload(members: MemberSet, disks: ReadonlyMap<MemberId, string>): LogEntry['payload'] {
	return members.disks === undefined ? {kind: 'members', members: withDisks(members, members, disks)} : {kind: 'empty'};
}
