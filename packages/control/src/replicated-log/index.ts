/**
The shell around the consensus core: it syncs what the core asks to persist,
sends its messages, applies committed entries to the state machine and answers
those who proposed.
*/

import {
	writePersistAction, type Consensus, type ConsensusAction, type ConsensusMessage, type ConsensusStatus, type LogEntry, type MemberSet, type MembershipChangeRefusal, type PersistAction, type Snapshot,
} from '@fireflyglade/consensus';
import {
	type FireflygladeError, UnreachableError, type Clock, type MemberId, type Timer,
} from '@fireflyglade/model';
import {
	ConfigurationStateMachine, decodeCommand, encodeCommand, type Command, type CommandResult,
} from '@fireflyglade/state';
import type {LogStorage} from '@fireflyglade/storage';
import {PendingAnswers} from '../_lib/pending-answers/index.js';
import {
	NoQuorumError, ShuttingDownError, StorageFailedError, UnexpectedRefusalError,
} from '../errors/index.js';

/** What the replicated log needs. */
export type ReplicatedLogOptions = {
	readonly consensus: Consensus;
	readonly storage: LogStorage;
	readonly clock: Clock;
	readonly stateMachine: ConfigurationStateMachine;
	/** Index up to which `machine` has applied the log. */
	readonly appliedIndex: number;
	readonly send: (message: ConsensusMessage) => void;
	/** Called once if the disk fails; the process must end. */
	readonly onStorageFailure: (error: StorageFailedError) => void;
	/** Entries between two snapshots. */
	readonly snapshotInterval?: number;
};

/** What became of a command that was proposed here. */
export type ProposeOutcome =
	| {readonly kind: 'result'; readonly result: CommandResult}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined};

/** What became of one step of a change of the members. */
export type MembershipOutcome =
	| {readonly kind: 'committed'}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'members-refused'; readonly reason: MembershipChangeRefusal};

const tickIntervalMilliseconds = 20;
const proposalTimeoutMilliseconds = 3000;
const readTimeoutMilliseconds = 3000;
const defaultSnapshotInterval = 2000;

/** The replicated log of a control process. */
export class ReplicatedLog {
	readonly #options: ReplicatedLogOptions;
	#stateMachine: ConfigurationStateMachine;
	#appliedIndex: number;
	#snapshotIndex: number;
	#lastPersist: Promise<void> = Promise.resolve();
	#tickTimer: Timer | undefined;
	#isClosed = false;
	#nextReadId = 1;
	readonly #proposals: PendingAnswers<CommandResult>;
	readonly #memberChanges: PendingAnswers<void>;
	readonly #reads: PendingAnswers<void>;
	/** Proposals that are committed and not applied yet. */
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
	}

	/** Starts the ticks of the core. */
	start(): void {
		this.#tick();
	}

	/** The state machine as applied here. */
	stateMachine(): ConfigurationStateMachine {
		return this.#stateMachine;
	}

	status(): ConsensusStatus {
		return this.#options.consensus.status();
	}

	/** Takes a message of another member. */
	receive(message: ConsensusMessage): void {
		if (!this.#isClosed) {
			this.#runActions(this.#options.consensus.receive(message, this.#options.clock.now()));
		}
	}

	/** Calls `listener` whenever entries were applied; returns a function that ends this. */
	onApplied(listener: () => void): () => void {
		this.#appliedListeners.add(listener);
		return () => {
			this.#appliedListeners.delete(listener);
		};
	}

	/**
	Proposes a command if this member leads.

	@throws {NoQuorumError} The command was not committed in time; it may still be.
	@throws {ShuttingDownError} The log was closed.
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
	Proposes one step of a change of the members if this member leads.

	@throws {NoQuorumError} The change was not committed in time; it may still be.
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
	Waits until the state machine holds all that was committed before the call (a linearizable read).

	@throws {NoQuorumError} No quorum confirmed in time.
	*/
	async read(): Promise<void> {
		const readId = this.#nextReadId;
		this.#nextReadId++;
		const ready = this.#reads.wait(readId, readTimeoutMilliseconds);
		this.#runActions(this.#options.consensus.read(readId, this.#options.clock.now()));
		await ready;
	}

	/** Hands leadership over, waits for what is being synced, and stops. */
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

	/** A change of the members is done once it is committed; a command has its result once it is applied. */
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
		this.#snapshotIndex = snapshot.lastIndex;
		for (const listener of this.#appliedListeners) {
			listener();
		}
	}

	#snapshotIfDue(): void {
		if (this.#appliedIndex - this.#snapshotIndex < (this.#options.snapshotInterval ?? defaultSnapshotInterval)) {
			return;
		}

		this.#snapshotIndex = this.#appliedIndex;
		const saved = {lastIndex: this.#appliedIndex, data: this.#stateMachine.save()};
		this.#runActions(this.#options.consensus.compact(saved, this.#options.clock.now()));
	}
}
