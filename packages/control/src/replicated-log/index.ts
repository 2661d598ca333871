/**
Executes the actions of the consensus algorithm: writes its state to stable storage,
sends its messages, applies committed entries to the state machine, and resolves
pending proposals and reads.
*/

import {
	writePersistAction, type Consensus, type ConsensusAction, type ConsensusMessage, type ConsensusStatus, type LogEntry, type MemberSet,
	type MembershipChangeRefusal, type PersistAction, type SavedState, type Snapshot,
} from '@fireflyglade/consensus';
import {
	bytesInMebibyte, type FireflygladeError, UnreachableError, type Clock, type MemberId, type Timer,
} from '@fireflyglade/model';
import {
	ConfigurationStateMachine, decodeCommand, encodeCommand, type Command, type CommandResult,
} from '@fireflyglade/state';
import type {LogStorage} from '@fireflyglade/storage';
import {PendingAnswers} from '../_lib/pending-answers/index.js';
import {
	NoQuorumError, ShuttingDownError, StorageFailedError, UnexpectedRefusalError,
} from '../errors/index.js';

/** Dependencies and settings of the replicated log. */
export type ReplicatedLogOptions = {
	readonly consensus: Consensus;
	readonly storage: LogStorage;
	readonly clock: Clock;
	readonly stateMachine: ConfigurationStateMachine;
	/** Index of the last log entry that `stateMachine` has applied. */
	readonly appliedIndex: number;
	readonly send: (message: ConsensusMessage) => void;
	/** Called once if the storage fails; the process must then exit. */
	readonly onStorageFailure: (error: StorageFailedError) => void;
	/** Number of applied entries between two snapshots, at most. */
	readonly snapshotInterval?: number;
	/** Bytes of applied commands between two snapshots, at most; the size of the last snapshot if that is larger. */
	readonly snapshotIntervalBytes?: number;
	/** Size in bytes of the snapshot from which `stateMachine` was restored; 0 if there was none. */
	readonly snapshotBytes?: number;
};

/** Outcome of a command proposed to this member. */
export type ProposeOutcome =
	| {readonly kind: 'result'; readonly result: CommandResult}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined};

/** Outcome of a proposed member set. */
export type MembershipOutcome =
	| {readonly kind: 'committed'}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'members-refused'; readonly reason: MembershipChangeRefusal};

const tickIntervalMilliseconds = 20;
const proposalTimeoutMilliseconds = 3000;
const readTimeoutMilliseconds = 3000;
const defaultSnapshotInterval = 2000;
const defaultSnapshotIntervalBytes = 8 * bytesInMebibyte;

/** The replicated log of a control process. */
export class ReplicatedLog {
	readonly #options: ReplicatedLogOptions;
	#stateMachine: ConfigurationStateMachine;
	#appliedIndex: number;
	#snapshotIndex: number;
	#snapshotBytes: number;
	/** Bytes of the commands that were applied since the last snapshot. */
	#bytesSinceSnapshot = 0;
	#lastPersist: Promise<void> = Promise.resolve();
	#tickTimer: Timer | undefined;
	#isClosed = false;
	#nextReadId = 1;
	readonly #proposals: PendingAnswers<CommandResult>;
	readonly #memberChanges: PendingAnswers<void>;
	readonly #reads: PendingAnswers<void>;
	/** Ids of the proposals that are committed but not yet applied, by log index. */
	readonly #proposalIdByIndex = new Map<number, number>();
	readonly #appliedListeners = new Set<() => void>();

	constructor(options: ReplicatedLogOptions) {
		this.#options = options;
		this.#proposals = new PendingAnswers(options.clock);
		this.#memberChanges = new PendingAnswers(options.clock);
		this.#reads = new PendingAnswers(options.clock);
		this.#stateMachine = options.stateMachine;
		this.#appliedIndex = options.appliedIndex;
		this.#snapshotIndex = options.appliedIndex;
		this.#snapshotBytes = options.snapshotBytes ?? 0;
	}

	/** Starts the periodic ticks of the consensus algorithm. */
	start(): void {
		this.#tick();
	}

	/** The state machine with all entries that this member has applied. A restored snapshot replaces it, so callers must not keep it. */
	stateMachine(): ConfigurationStateMachine {
		return this.#stateMachine;
	}

	/** The status of the consensus algorithm. */
	status(): ConsensusStatus {
		return this.#options.consensus.status();
	}

	/** Handles a message from another member. */
	receive(message: ConsensusMessage): void {
		if (!this.#isClosed) {
			this.#runActions(this.#options.consensus.receive(message, this.#options.clock.now()));
		}
	}

	/** Calls `listener` whenever entries were applied or a snapshot was restored; returns a function that removes the listener. */
	onApplied(listener: () => void): () => void {
		this.#appliedListeners.add(listener);
		return () => {
			this.#appliedListeners.delete(listener);
		};
	}

	/**
	Proposes a command if this member is the leader, and waits until it is applied.

	@throws {NoQuorumError} The command was not committed in time, or this member lost leadership; it may still be committed later.
	@throws {ShuttingDownError} The log is closed.
	@throws {StorageFailedError} The storage failed before the command was applied.
	*/
	async propose(command: Command): Promise<ProposeOutcome> {
		if (this.#isClosed) {
			throw new ShuttingDownError('the control process shuts down');
		}

		const proposal = this.#options.consensus.propose({kind: 'command', command: encodeCommand(command)}, this.#options.clock.now());
		if (proposal.kind === 'members-refused') {
			throw new UnexpectedRefusalError(`the replicated log refused a command: ${proposal.reason}`);
		}

		if (proposal.kind === 'not-leader') {
			return proposal;
		}

		const result = this.#proposals.wait(proposal.proposalId, proposalTimeoutMilliseconds);
		this.#runActions(proposal.actions);
		return {kind: 'result', result: await result};
	}

	/**
	Proposes a member set if this member is the leader, and waits until it is committed.

	@throws {NoQuorumError} The change was not committed in time, or this member lost leadership; it may still be committed later.
	@throws {ShuttingDownError} The log was closed before the change was committed.
	@throws {StorageFailedError} The storage failed before the change was committed.
	*/
	async proposeMembership(members: MemberSet): Promise<MembershipOutcome> {
		const proposal = this.#options.consensus.propose({kind: 'members', members}, this.#options.clock.now());
		if (proposal.kind !== 'accepted') {
			return proposal;
		}

		const committed = this.#memberChanges.wait(proposal.proposalId, proposalTimeoutMilliseconds);
		this.#runActions(proposal.actions);
		await committed;
		return {kind: 'committed'};
	}

	/**
	Waits until the state machine reflects all entries committed before the call (a linearizable read).

	@throws {NoQuorumError} No quorum confirmed the read in time.
	@throws {ShuttingDownError} The log was closed before the read was confirmed.
	@throws {StorageFailedError} The storage failed before the read was confirmed.
	*/
	async read(): Promise<void> {
		const readId = this.#nextReadId;
		this.#nextReadId++;
		const ready = this.#reads.wait(readId, readTimeoutMilliseconds);
		this.#runActions(this.#options.consensus.read(readId, this.#options.clock.now()));
		await ready;
	}

	/** Starts a leadership transfer, rejects pending proposals and reads, waits for running writes, and closes the storage. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#runActions(this.#options.consensus.transferLeadership(this.#options.clock.now()));
		this.#isClosed = true;
		this.#tickTimer?.cancel();
		const error = new ShuttingDownError('the control process shuts down');
		this.#rejectAll(error);

		await this.#lastPersist;
		await this.#options.storage.close();
	}

	#tick(): void {
		if (this.#isClosed) {
			return;
		}

		this.#tickTimer = this.#options.clock.startTimer(tickIntervalMilliseconds, () => {
			this.#tick();
		});
		this.#runActions(this.#options.consensus.tick(this.#options.clock.now()));
	}

	#runActions(actions: readonly ConsensusAction[]): void {
		for (const action of actions) {
			this.#runAction(action);
		}
	}

	#runAction(action: ConsensusAction): void {
		switch (action.kind) {
			case 'persist': {
				this.#persist(action);
				return;
			}

			case 'send': {
				this.#options.send(action.message);
				return;
			}

			case 'apply': {
				this.#apply(action.entries);
				return;
			}

			case 'restore': {
				this.#restore(action.snapshot);
				return;
			}

			case 'read-ready': {
				this.#reads.resolve(action.readId, undefined);
				return;
			}

			case 'read-failed': {
				this.#reads.reject(action.readId, new NoQuorumError('no quorum confirmed the read'));
				return;
			}

			case 'proposal-lost': {
				this.#rejectLostProposal(action.proposalId);
				return;
			}

			case 'proposal-committed': {
				this.#recordCommit(action.proposalId, action.index);
				return;
			}

			case 'leadership-changed': {
				return;
			}

			default: {
				throw new UnreachableError(action);
			}
		}
	}

	#persist(action: PersistAction): void {
		const previous = this.#lastPersist;
		this.#lastPersist = this.#persistAfter(previous, action);
	}

	async #persistAfter(previous: Promise<void>, action: PersistAction): Promise<void> {
		await previous;
		try {
			await writePersistAction(this.#options.storage, action);
		} catch (error: unknown) {
			this.#handleStorageFailure(error);
			return;
		}

		if (!this.#isClosed) {
			this.#runActions(this.#options.consensus.persisted(action.number, this.#options.clock.now()));
		}
	}

	#handleStorageFailure(cause: unknown): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#tickTimer?.cancel();
		const reason = cause instanceof Error ? cause.message : 'unknown reason';
		const error = new StorageFailedError(`the data folder could not be written: ${reason}`, {cause});
		this.#rejectAll(error);

		this.#options.onStorageFailure(error);
	}

	#rejectAll(error: FireflygladeError): void {
		this.#proposals.rejectAll(error);
		this.#memberChanges.rejectAll(error);
		this.#reads.rejectAll(error);
	}

	#apply(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#applyEntry(entry);
			this.#appliedIndex = entry.index;
		}

		for (const listener of this.#appliedListeners) {
			listener();
		}

		this.#snapshotIfDue();
	}

	#applyEntry(entry: LogEntry): void {
		switch (entry.payload.kind) {
			case 'empty':
			case 'members': {
				return;
			}

			case 'command': {
				this.#bytesSinceSnapshot += entry.payload.command.byteLength;
				const result = this.#stateMachine.apply(decodeCommand(entry.payload.command));
				this.#resolveProposal(entry.index, result);
				return;
			}

			default: {
				throw new UnreachableError(entry.payload);
			}
		}
	}

	#rejectLostProposal(proposalId: number): void {
		const error = new NoQuorumError('leadership was lost before the proposal was committed');
		this.#proposals.reject(proposalId, error);
		this.#memberChanges.reject(proposalId, error);
	}

	/** Resolves a membership change, which is complete once it is committed. A command is resolved later, when it is applied. */
	#recordCommit(proposalId: number, index: number): void {
		if (!this.#memberChanges.resolve(proposalId, undefined) && this.#proposals.has(proposalId)) {
			this.#proposalIdByIndex.set(index, proposalId);
		}
	}

	#resolveProposal(index: number, result: CommandResult): void {
		const proposalId = this.#proposalIdByIndex.get(index);
		if (proposalId !== undefined) {
			this.#proposalIdByIndex.delete(index);
			this.#proposals.resolve(proposalId, result);
		}
	}

	#restore(snapshot: Snapshot): void {
		this.#stateMachine = ConfigurationStateMachine.restore(snapshot.data);
		this.#appliedIndex = snapshot.lastIndex;
		this.#recordSnapshot(snapshot);
		for (const listener of this.#appliedListeners) {
			listener();
		}
	}

	#recordSnapshot({lastIndex, data}: SavedState): void {
		this.#snapshotIndex = lastIndex;
		this.#snapshotBytes = data.byteLength;
		this.#bytesSinceSnapshot = 0;
	}

	/** A snapshot is due after a number of entries or of bytes, as the log is kept in memory and read at the start as a whole. */
	#isSnapshotDue(): boolean {
		const {snapshotInterval, snapshotIntervalBytes} = this.#options;
		return this.#appliedIndex - this.#snapshotIndex >= (snapshotInterval ?? defaultSnapshotInterval)
			|| this.#bytesSinceSnapshot >= Math.max(snapshotIntervalBytes ?? defaultSnapshotIntervalBytes, this.#snapshotBytes);
	}

	#snapshotIfDue(): void {
		if (!this.#isSnapshotDue()) {
			return;
		}

		const snapshot = {lastIndex: this.#appliedIndex, data: this.#stateMachine.save()};
		this.#recordSnapshot(snapshot);
		this.#runActions(this.#options.consensus.compact(snapshot, this.#options.clock.now()));
	}
}
