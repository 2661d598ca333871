/**
The only member of a replicated log, for tests with any file system. Consensus, storage
and state machine run sequentially within each call, without timers.
*/

import {
	RaftConsensus, loadStoredState, writePersistAction, type ConsensusAction,
} from '@fireflyglade/consensus';
import type {MemberId} from '@fireflyglade/model';
import {
	ConfigurationStateMachine, decodeCommand, encodeCommand, type Command, type CommandResult,
} from '@fireflyglade/state';
import {openLogStorage, type FileSystem, type LogStorage} from '@fireflyglade/storage';

const member = 'control-1' as MemberId;
const folder = '/data';
const segmentBytes = 2000;
const snapshotInterval = 8;
const electionTimeoutMilliseconds = 10;
/** A process id that does not exist, so that each start finds the lock of a dead process and takes it over. */
const owner = {pid: 2 ** 30, startedAt: 'test'};

/** A member that resolves a command once it is synced and applied. */
export class SingleMember {
	/** Opens the data folder, loads the stored state, and waits until the member is the leader. */
	static async open(fileSystem: FileSystem, randomSeed: number): Promise<SingleMember> {
		const storage = await openLogStorage(folder, {fileSystem, segmentBytes, owner});
		const stored = await loadStoredState(storage);
		const consensus = new RaftConsensus({
			member, stored, initialMembers: {voters: [member], learners: []}, randomSeed, now: 0, electionTimeoutMilliseconds,
		});
		const stateMachine = stored.snapshot === undefined ? new ConfigurationStateMachine() : ConfigurationStateMachine.restore(stored.snapshot.data);
		const single = new SingleMember(storage, consensus, stateMachine);
		single.#snapshotIndex = stored.snapshot?.lastIndex ?? 0;
		await single.#elect();
		return single;
	}

	readonly #storage: LogStorage;
	readonly #consensus: RaftConsensus;
	readonly #stateMachine: ConfigurationStateMachine;
	readonly #resultByIndex = new Map<number, CommandResult>();
	readonly #indexByProposalId = new Map<number, number>();
	#appliedIndex = 0;
	#snapshotIndex = 0;
	#now = 0;

	private constructor(storage: LogStorage, consensus: RaftConsensus, stateMachine: ConfigurationStateMachine) {
		this.#storage = storage;
		this.#consensus = consensus;
		this.#stateMachine = stateMachine;
	}

	/** The state machine with all applied entries. */
	get stateMachine(): ConfigurationStateMachine {
		return this.#stateMachine;
	}

	/** Commits a command; resolves once it is synced and applied. */
	async propose(command: Command): Promise<CommandResult> {
		const proposal = this.#consensus.propose({kind: 'command', command: encodeCommand(command)}, this.#now);
		if (proposal.kind !== 'accepted') {
			throw new TypeError(`the only member did not accept the proposal: ${proposal.kind}`);
		}

		await this.#perform(proposal.actions);
		const result = this.#resultByIndex.get(this.#indexByProposalId.get(proposal.proposalId) ?? 0);
		if (result === undefined) {
			throw new TypeError('the command was not committed');
		}

		await this.#snapshotIfDue();
		return result;
	}

	async #elect(): Promise<void> {
		while (this.#consensus.status().commitIndex < this.#consensus.status().lastIndex || this.#consensus.status().role !== 'leader') {
			this.#now += electionTimeoutMilliseconds;
			await this.#perform(this.#consensus.tick(this.#now));
		}
	}

	async #perform(actions: readonly ConsensusAction[]): Promise<void> {
		for (const action of actions) {
			if (action.kind === 'persist') {
				await writePersistAction(this.#storage, action);
				await this.#perform(this.#consensus.persisted(action.number, this.#now));
			}

			if (action.kind === 'proposal-committed') {
				this.#indexByProposalId.set(action.proposalId, action.index);
			}

			if (action.kind === 'apply') {
				this.#apply(action.entries);
			}
		}
	}

	#apply(entries: Extract<ConsensusAction, {kind: 'apply'}>['entries']): void {
		for (const entry of entries) {
			this.#appliedIndex = entry.index;
			if (entry.payload.kind === 'command') {
				this.#resultByIndex.set(entry.index, this.#stateMachine.apply(decodeCommand(entry.payload.command)));
			}
		}
	}

	async #snapshotIfDue(): Promise<void> {
		if (this.#appliedIndex - this.#snapshotIndex >= snapshotInterval) {
			this.#snapshotIndex = this.#appliedIndex;
			await this.#perform(this.#consensus.compact({lastIndex: this.#appliedIndex, data: this.#stateMachine.save()}, this.#now));
		}
	}
}
