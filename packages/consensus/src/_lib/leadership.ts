/**
The work of a leader during one term: replication, commitment, rounds that
confirm its leadership, and the transfer of it.
*/

import type {MemberId} from '@fireflyglade/model';
import type {LogEntry, MembershipChangeRefusal, MemberSet} from '../types.js';
import type {MemberState} from './member-state.js';
import type {AppendResponse, ConsensusPayload} from './payload.js';
import {startProgress, type PeerProgress} from './peer-progress.js';
import {PendingReads, type ConfirmedRead, type ReadOrigin} from './pending-reads.js';
import {
	diskOf, findStepFault, quorumValue, withDisks,
} from './quorum.js';

type SnapshotResponse = Extract<ConsensusPayload, {kind: 'snapshot-response'}>;

type Transfer = {
	readonly target: MemberId;
	readonly until: number;
	isAsked: boolean;
};

/** The most entries by which a learner that is to vote may lag. */
const maximumLearnerLag = 64;

/** A leader in one term. */
export class Leadership {
	readonly #state: MemberState;
	readonly #peers = new Map<MemberId, PeerProgress>();
	readonly #reads = new PendingReads();
	/** Index of the first entry of this term. */
	readonly #firstIndex: number;
	#round = 0;
	#broadcastAt = Number.NEGATIVE_INFINITY;
	#quorumHeardAt: number;
	#transfer: Transfer | undefined;

	/** @param disks - The disks of those who voted for this leader. */
	constructor(state: MemberState, disks: ReadonlyMap<MemberId, string>) {
		this.#state = state;
		this.#quorumHeardAt = state.now;
		this.#firstIndex = state.log.lastIndex + 1;
		state.log.append({index: this.#firstIndex, term: state.term, payload: firstPayload(state.log.members, disks)});
		this.#followMembers();
		this.broadcast();
	}

	/** The time at which a quorum was last known to follow. */
	get quorumHeardAt(): number {
		return this.#quorumHeardAt;
	}

	get isTransferring(): boolean {
		return this.#transfer !== undefined;
	}

	caughtUpLearners(): readonly MemberId[] {
		return this.#state.log.members.learners.filter(learner => this.#isCaughtUp(learner));
	}

	/** Why a member set can't be proposed now; undefined if it can. */
	findMembersFault(members: MemberSet): MembershipChangeRefusal | undefined {
		const {log, commitIndex} = this.#state;
		if (commitIndex < this.#firstIndex) {
			return 'leader-not-ready';
		}

		if (log.membersIndex > commitIndex) {
			return 'change-pending';
		}

		return findStepFault(log.members, members, learner => this.#isCaughtUp(learner));
	}

	/** The member set with the disks of its voters, as it is to be proposed. */
	completeMembers(members: MemberSet): MemberSet {
		const learned = new Map<MemberId, string>();
		for (const [peer, progress] of this.#peers) {
			if (progress.disk !== undefined) {
				learned.set(peer, progress.disk);
			}
		}

		return withDisks(members, this.#state.log.members, learned);
	}

	/** Sends what was appended. */
	replicate(): void {
		this.#followMembers();
		for (const [peer, progress] of this.#peers) {
			this.#sendEntries(peer, progress);
		}

		this.advanceCommit();
	}

	/** Begins a new round: something is sent to every member, entries or not. */
	broadcast(): void {
		this.#round++;
		this.#broadcastAt = this.#state.now;
		for (const [peer, progress] of this.#peers) {
			this.#sendAppend(peer, progress);
		}

		this.#noteQuorum();
	}

	/**
	Does what the time asks for.

	@returns False if a quorum was silent for too long, so that the leader must step down.
	*/
	tick(): boolean {
		const {now, options} = this.#state;
		if (this.#transfer !== undefined && now >= this.#transfer.until) {
			this.#transfer = undefined;
		}

		if (now - this.#broadcastAt >= options.heartbeatIntervalMilliseconds) {
			this.broadcast();
		}

		return now - this.#quorumHeardAt < options.electionTimeoutMilliseconds;
	}

	read(origin: ReadOrigin): void {
		if (this.#state.commitIndex < this.#firstIndex) {
			this.#reads.addEarly(origin);
			return;
		}

		// A round under way began before this read and can't confirm it.
		const isRoundUnderWay = this.#reads.latestRound >= this.#round && this.#round > this.#answeredRound();
		this.#reads.add(origin, this.#state.commitIndex, this.#round + 1);
		if (!isRoundUnderWay) {
			this.broadcast();
		}
	}

	takeConfirmedReads(): readonly ConfirmedRead[] {
		const round = this.#answeredRound();
		const confirmed = this.#reads.takeConfirmed(round);
		if (this.#reads.latestRound > this.#round && round >= this.#round) {
			this.broadcast();
		}

		return confirmed;
	}

	takeAllReads(): readonly ReadOrigin[] {
		return this.#reads.takeAll();
	}

	takeAppendResponse(from: MemberId, response: AppendResponse): void {
		const progress = this.#hear(from, response.round);
		if (progress === undefined) {
			return;
		}

		if (response.accepted) {
			progress.disk = response.disk;
			this.#accept(progress, response.index);
		} else {
			this.#searchBack(progress, response);
		}

		this.#sendEntries(from, progress);
		this.advanceCommit();
		this.#askTransferTarget();
	}

	takeSnapshotResponse(from: MemberId, response: SnapshotResponse): void {
		const progress = this.#hear(from, response.round);
		if (progress?.mode !== 'snapshot' || response.lastIndex !== progress.snapshot?.lastIndex) {
			return;
		}

		progress.snapshotOffset = response.nextOffset;
		progress.isWaiting = false;
		this.#sendEntries(from, progress);
	}

	/** Commits what a majority has synced, and tells the others. */
	advanceCommit(): void {
		const {log, term, commitIndex, durability, member} = this.#state;
		const reached = quorumValue(log.members, voter => (voter === member ? durability.stableIndex : this.#peers.get(voter)?.matchIndex ?? 0));
		if (reached <= commitIndex || log.termAt(reached) !== term) {
			return;
		}

		this.#state.commitTo(reached);
		for (const origin of this.#reads.takeEarly()) {
			this.read(origin);
		}

		this.broadcast();
	}

	/** Hands over to the voter that has most of the log. */
	transfer(): void {
		let best: {readonly peer: MemberId; readonly matchIndex: number} | undefined;
		const {now, options} = this.#state;
		for (const [peer, progress] of this.#peers) {
			const isAlive = progress.disk !== undefined && now - progress.lastHeardAt < options.electionTimeoutMilliseconds;
			if (isAlive && this.#state.log.members.voters.includes(peer) && progress.matchIndex > (best?.matchIndex ?? -1)) {
				best = {peer, matchIndex: progress.matchIndex};
			}
		}

		if (best !== undefined) {
			this.#transfer = {target: best.peer, until: now + options.electionTimeoutMilliseconds, isAsked: false};
			this.#askTransferTarget();
		}
	}

	#askTransferTarget(): void {
		const transfer = this.#transfer;
		if (transfer === undefined || transfer.isAsked || this.#peers.get(transfer.target)?.matchIndex !== this.#state.log.lastIndex) {
			return;
		}

		transfer.isAsked = true;
		this.#state.durability.sendNow(transfer.target, {
			kind: 'start-election', toDisk: this.#diskOf(transfer.target), term: this.#state.term,
		});
	}

	#diskOf(peer: MemberId): string | undefined {
		return diskOf(this.#state.log.members, peer);
	}

	#isCaughtUp(learner: MemberId): boolean {
		const progress = this.#peers.get(learner);
		return progress?.disk !== undefined && progress.matchIndex + maximumLearnerLag >= this.#state.log.lastIndex;
	}

	/** Keeps the progress of exactly the other members. */
	#followMembers(): void {
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
				this.#peers.set(peer, startProgress(log.lastIndex, now));
			}
		}
	}

	#hear(from: MemberId, round: number): PeerProgress | undefined {
		const progress = this.#peers.get(from);
		if (progress !== undefined) {
			progress.lastHeardAt = this.#state.now;
			progress.answeredRound = Math.max(progress.answeredRound, round);
			this.#noteQuorum();
		}

		return progress;
	}

	#noteQuorum(): void {
		const {log, member, now} = this.#state;
		const heardAt = quorumValue(log.members, voter => (voter === member ? now : this.#peers.get(voter)?.lastHeardAt ?? Number.NEGATIVE_INFINITY));
		this.#quorumHeardAt = Math.max(this.#quorumHeardAt, heardAt);
	}

	#answeredRound(): number {
		const {log, member} = this.#state;
		return quorumValue(log.members, voter => (voter === member ? this.#round : this.#peers.get(voter)?.answeredRound ?? 0));
	}

	#accept(progress: PeerProgress, index: number): void {
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
		progress.isWaiting = false;
	}

	/** Looks for the end of the common log, past all entries that can't be equal. */
	#searchBack(progress: PeerProgress, response: AppendResponse): void {
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
		progress.isWaiting = false;
	}

	/** Sends entries if there are any and the member can take more. */
	#sendEntries(peer: MemberId, progress: PeerProgress): void {
		const {log, options} = this.#state;
		if (progress.isWaiting) {
			return;
		}

		const isBehind = progress.mode !== 'replicate' || progress.nextIndex <= log.lastIndex;
		const unanswered = progress.nextIndex - progress.matchIndex - 1;
		if (isBehind && (progress.mode !== 'replicate' || unanswered < options.maximumEntriesInFlight)) {
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

		const entries = this.#nextEntries(progress);
		this.#state.durability.sendNow(peer, {
			kind: 'append', toDisk: this.#diskOf(peer), term, previousIndex, previousTerm, entries, commitIndex, round: this.#round, quorumAgeMilliseconds: now - this.#quorumHeardAt,
		});
		if (progress.mode === 'replicate') {
			progress.nextIndex += entries.length;
			return;
		}

		progress.isWaiting = true;
	}

	#nextEntries(progress: PeerProgress): readonly LogEntry[] {
		const {log, options} = this.#state;
		const unanswered = progress.nextIndex - progress.matchIndex - 1;
		const room = progress.mode === 'replicate' ? options.maximumEntriesInFlight - unanswered : 1;
		const count = Math.max(0, Math.min(room, options.maximumEntriesPerMessage));
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
		progress.isWaiting = true;
		this.#state.durability.sendNow(peer, {
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
			quorumAgeMilliseconds: now - this.#quorumHeardAt,
		});
	}
}

/** The first leader of a fresh set records the disks of the voters. */
function firstPayload(members: MemberSet, disks: ReadonlyMap<MemberId, string>): LogEntry['payload'] {
	return members.disks === undefined ? {kind: 'members', members: withDisks(members, members, disks)} : {kind: 'empty'};
}
