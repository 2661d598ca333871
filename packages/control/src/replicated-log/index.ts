/**
The shell around the consensus core: it syncs what the core asks to persist,
sends its messages, applies committed entries to the state machine and answers
those who proposed.
*/

import {
	writePersistAction, type Consensus, type ConsensusAction, type ConsensusMessage, type ConsensusStatus, type LogEntry, type MemberSet, type MembersRefusal, type PersistAction, type Snapshot,
} from '@fireflyglade/consensus';
import {
	type FireflygladeError, UnreachableError, type Clock, type MemberId, type Timer,
} from '@fireflyglade/model';
import {
	ConfigurationStateMachine, decodeCommand, encodeCommand, type Command, type CommandResult,
} from '@fireflyglade/state';
import type {LogStorage} from '@fireflyglade/storage';
import {
	NoQuorumError, ShuttingDownError, StorageFailedError, UnexpectedRefusalError,
} from '../errors/index.js';

/** What the replicated log needs. */
export type ReplicatedLogOptions = {
	readonly consensus: Consensus;
	readonly storage: LogStorage;
	readonly clock: Clock;
	readonly machine: ConfigurationStateMachine;
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
export type MembersOutcome =
	| {readonly kind: 'committed'}
	| {readonly kind: 'not-leader'; readonly leader: MemberId | undefined}
	| {readonly kind: 'members-refused'; readonly reason: MembersRefusal};

type Waiter = {
	readonly resolve: (result: CommandResult) => void;
	readonly reject: (error: FireflygladeError) => void;
};

const tickIntervalMilliseconds = 10;
const proposalTimeoutMilliseconds = 3000;
const readTimeoutMilliseconds = 3000;
const defaultSnapshotInterval = 2000;

/** The replicated log of a control process. */
export class ReplicatedLog {
	readonly #options: ReplicatedLogOptions;
	#machine: ConfigurationStateMachine;
	#appliedIndex: number;
	#snapshotIndex: number;
	#persisting: Promise<void> = Promise.resolve();
	#tickTimer: Timer | undefined;
	#isClosed = false;
	#nextReadId = 1;
	readonly #proposals = new Map<number, Waiter>();
	readonly #reads = new Map<number, {readonly resolve: () => void; readonly reject: (error: FireflygladeError) => void}>();
	readonly #memberChanges = new Map<number, {readonly resolve: () => void; readonly reject: (error: FireflygladeError) => void}>();
	readonly #resultsByIndex = new Map<number, Waiter>();
	readonly #unclaimedResults = new Map<number, CommandResult>();
	readonly #appliedListeners = new Set<() => void>();

	constructor(options: ReplicatedLogOptions) {
		this.#options = options;
		this.#machine = options.machine;
		this.#appliedIndex = options.appliedIndex;
		this.#snapshotIndex = options.appliedIndex;
	}

	/** Starts the ticks of the core. */
	start(): void {
		this.#tick();
	}

	/** The state machine as applied here. */
	machine(): ConfigurationStateMachine {
		return this.#machine;
	}

	status(): ConsensusStatus {
		return this.#options.consensus.status();
	}

	/** Takes a message of another member. */
	receive(message: ConsensusMessage): void {
		if (!this.#isClosed) {
			this.#run(this.#options.consensus.receive(message, this.#options.clock.now()));
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

		const result = this.#awaitProposal(proposal.proposalId);
		this.#run(proposal.actions);
		return {kind: 'result', result: await result};
	}

	/**
	Proposes one step of a change of the members if this member leads.

	@throws {NoQuorumError} The change was not committed in time; it may still be.
	*/
	async proposeMembers(members: MemberSet): Promise<MembersOutcome> {
		const proposal = this.#options.consensus.propose({kind: 'members', members}, this.#options.clock.now());
		if (proposal.kind !== 'accepted') {
			return proposal;
		}

		const committed = this.#withTimeout<void>(proposalTimeoutMilliseconds, this.#memberChanges, proposal.proposalId);
		this.#run(proposal.actions);
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
		const ready = this.#withTimeout<void>(readTimeoutMilliseconds, this.#reads, readId);
		this.#run(this.#options.consensus.read(readId, this.#options.clock.now()));
		await ready;
	}

	/** Hands leadership over, waits for what is being synced, and stops. */
	async close(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#run(this.#options.consensus.transferLeadership(this.#options.clock.now()));
		this.#isClosed = true;
		this.#tickTimer?.cancel();
		const error = new ShuttingDownError('the control process shuts down');
		this.#rejectAll(error);

		await this.#persisting;
		await this.#options.storage.close();
	}

	async #awaitProposal(proposalId: number): Promise<CommandResult> {
		return this.#withTimeout<CommandResult>(proposalTimeoutMilliseconds, this.#proposals, proposalId);
	}

	/** Waits for an answer under `id` in `waiters`, at most `timeout` milliseconds. */
	async #withTimeout<Value>(
		timeout: number,
		waiters: Map<number, {readonly resolve: (value: Value) => void; readonly reject: (error: FireflygladeError) => void}>,
		id: number,
	): Promise<Value> {
		return new Promise<Value>((resolve, reject) => {
			const timer = this.#options.clock.startTimer(timeout, () => {
				waiters.delete(id);
				reject(new NoQuorumError('no quorum of the control processes confirmed in time'));
			});
			waiters.set(id, {
				resolve(value) {
					timer.cancel();
					resolve(value);
				},
				reject(error) {
					timer.cancel();
					reject(error);
				},
			});
		});
	}

	#tick(): void {
		if (this.#isClosed) {
			return;
		}

		this.#tickTimer = this.#options.clock.startTimer(tickIntervalMilliseconds, () => {
			this.#tick();
		});
		this.#run(this.#options.consensus.tick(this.#options.clock.now()));
	}

	#run(actions: readonly ConsensusAction[]): void {
		for (const action of actions) {
			this.#runOne(action);
		}
	}

	#runOne(action: ConsensusAction): void {
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
				this.#reads.get(action.readId)?.resolve();
				this.#reads.delete(action.readId);
				return;
			}

			case 'read-failed': {
				this.#reads.get(action.readId)?.reject(new NoQuorumError('no quorum confirmed the read'));
				this.#reads.delete(action.readId);
				return;
			}

			case 'proposal-lost': {
				this.#loseProposal(action.proposalId);
				return;
			}

			case 'proposal-committed': {
				this.#claimResult(action.proposalId, action.index);
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
		const previous = this.#persisting;
		this.#persisting = this.#persistAfter(previous, action);
	}

	async #persistAfter(previous: Promise<void>, action: PersistAction): Promise<void> {
		await previous;
		try {
			await writePersistAction(this.#options.storage, action);
		} catch (error: unknown) {
			this.#fail(error);
			return;
		}

		if (!this.#isClosed) {
			this.#run(this.#options.consensus.persisted(action.number, this.#options.clock.now()));
		}
	}

	#fail(cause: unknown): void {
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
		const waiters = [...this.#proposals.values(), ...this.#memberChanges.values(), ...this.#resultsByIndex.values(), ...this.#reads.values()];
		for (const waiter of waiters) {
			waiter.reject(error);
		}
	}

	#apply(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#applyOne(entry);
			this.#appliedIndex = entry.index;
		}

		for (const listener of this.#appliedListeners) {
			listener();
		}

		this.#snapshotIfDue();
	}

	#applyOne(entry: LogEntry): void {
		switch (entry.payload.kind) {
			case 'empty':
			case 'members': {
				return;
			}

			case 'command': {
				const result = this.#machine.apply(decodeCommand(entry.payload.command));
				this.#offerResult(entry.index, result);
				return;
			}

			default: {
				throw new UnreachableError(entry.payload);
			}
		}
	}

	/** A result may come before or after the word that its proposal was committed. */
	#offerResult(index: number, result: CommandResult): void {
		const waiter = this.#resultsByIndex.get(index);
		if (waiter !== undefined) {
			this.#resultsByIndex.delete(index);
			waiter.resolve(result);
			return;
		}

		if (this.#proposals.size > 0) {
			this.#unclaimedResults.set(index, result);
		} else {
			this.#unclaimedResults.clear();
		}
	}

	#loseProposal(proposalId: number): void {
		const waiter = this.#proposals.get(proposalId) ?? this.#memberChanges.get(proposalId);
		this.#proposals.delete(proposalId);
		this.#memberChanges.delete(proposalId);
		waiter?.reject(new NoQuorumError('leadership was lost before the proposal was committed'));
	}

	#claimResult(proposalId: number, index: number): void {
		const change = this.#memberChanges.get(proposalId);
		if (change !== undefined) {
			this.#memberChanges.delete(proposalId);
			change.resolve();
			return;
		}

		const waiter = this.#proposals.get(proposalId);
		this.#proposals.delete(proposalId);
		if (waiter === undefined) {
			return;
		}

		const result = this.#unclaimedResults.get(index);
		if (result === undefined) {
			this.#resultsByIndex.set(index, waiter);
			return;
		}

		this.#unclaimedResults.delete(index);
		waiter.resolve(result);
	}

	#restore(snapshot: Snapshot): void {
		this.#machine = ConfigurationStateMachine.restore(snapshot.data);
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
		const saved = {lastIndex: this.#appliedIndex, data: this.#machine.save()};
		this.#run(this.#options.consensus.compact(saved, this.#options.clock.now()));
	}
}
