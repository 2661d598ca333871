/**
A simulated member: the consensus core, a disk that may lose unsynced writes in a
crash, and a state machine that records the effects of commands.
*/

import {UnreachableError, type MemberId, type SeededRandom} from '@fireflyglade/model';
import {RaftConsensus} from '../raft-consensus/index.js';
import type {
	ConsensusAction, ConsensusMessage, LogEntry, MemberSet, Snapshot, StoredState,
} from '../types.js';
import type {PersistAction} from '../write-persist-action/index.js';
import type {History} from './history.js';

/**
A deliberate bug that a test injects to prove that a check detects it:

- `none`: no bug.
- `confirm-before-sync`: writes are confirmed before they are on the disk.
- `grant-all-votes`: refused votes are sent as granted ones.
- `answer-reads-at-once`: reads are served from the local state without a read index.
- `forget-effects`: a restored snapshot lacks the effects of earlier commands.
- `hide-disks`: messages lack the disk identifier recorded for the receiver.
- `change-entries`: commands change on the way to members whose id ends with 2.
*/
export type InjectedFault = 'none' | 'confirm-before-sync' | 'grant-all-votes' | 'answer-reads-at-once' | 'forget-effects' | 'hide-disks' | 'change-entries';

/** The state machine: the index at which each command took effect. */
type AppliedCommands = {
	readonly effects: Map<string, number>;
};

const emptyState: StoredState = {hardState: {term: 0}, entries: []};

/** A member of a simulated cluster. */
export class SimulatedMember {
	readonly isInitialMember: boolean;
	readonly #history: History;
	readonly #injectedFault: InjectedFault;
	#initialMembers: MemberSet | undefined;
	#disk: StoredState = emptyState;
	#core: RaftConsensus | undefined;
	#writes: PersistAction[] = [];
	#outbox: ConsensusMessage[] = [];
	#applied: AppliedCommands = {effects: new Map()};
	#appliedIndex = 0;
	/** Offset of this member's clock from the clock of the cluster, in milliseconds. */
	#clockOffset = 0;
	readonly #proposals = new Map<number, string>();
	readonly #confirmedEarly = new WeakSet<PersistAction>();

	constructor(readonly member: MemberId, history: History, options: {readonly injectedFault: InjectedFault; readonly initialMembers: MemberSet | undefined}) {
		this.#history = history;
		this.#injectedFault = options.injectedFault;
		this.#initialMembers = options.initialMembers;
		this.isInitialMember = options.initialMembers !== undefined;
	}

	get isUp(): boolean {
		return this.#core !== undefined;
	}

	get core(): RaftConsensus | undefined {
		return this.#core;
	}

	get appliedIndex(): number {
		return this.#appliedIndex;
	}

	/** Index of the last entry on the disk. */
	get writtenIndex(): number {
		return this.#disk.entries.at(-1)?.index ?? this.#disk.snapshot?.lastIndex ?? 0;
	}

	/** Starts the member with the content of its disk. */
	start(randomSeed: number, time: number): void {
		this.#applied = {effects: new Map()};
		this.#appliedIndex = 0;
		if (this.#disk.snapshot !== undefined) {
			this.#restore(this.#disk.snapshot);
		}

		this.#core = new RaftConsensus({
			member: this.member,
			stored: this.#disk,
			initialMembers: this.#initialMembers,
			randomSeed,
			now: time + this.#clockOffset,
			electionTimeoutMilliseconds: 500,
			heartbeatIntervalMilliseconds: 50,
			retainedEntries: 3,
			maximumEntriesPerMessage: 4,
			maximumEntriesInFlight: 12,
			snapshotChunkBytes: 40,
		});
	}

	/** Stops the member. A random number of the unconfirmed writes, oldest first, have reached the disk. */
	crash(random: SeededRandom): void {
		const writtenCount = random.nextInteger(this.#writes.length + 1);
		for (const write of this.#writes.slice(0, writtenCount)) {
			this.#writeToDisk(write);
		}

		this.#core = undefined;
		this.#writes = [];
		this.#outbox = [];
		this.#proposals.clear();
	}

	/** Replaces the disk with an empty one. At its next start the member is a joining member, or an initial member as before. */
	replaceDisk(asJoining: boolean): void {
		this.#disk = emptyState;
		this.#initialMembers = asJoining ? undefined : this.#initialMembers;
	}

	jumpClock(milliseconds: number): void {
		this.#clockOffset += milliseconds;
	}

	tick(time: number): void {
		const core = this.#core;
		this.#perform(core?.tick(time + this.#clockOffset));
	}

	receive(message: ConsensusMessage, time: number): void {
		const core = this.#core;
		this.#perform(core?.receive(message, time + this.#clockOffset));
	}

	/** Completes the oldest write. */
	finishWrite(time: number): void {
		const write = this.#writes.shift();
		if (write === undefined) {
			return;
		}

		this.#writeToDisk(write);
		if (this.#injectedFault !== 'confirm-before-sync') {
			this.#perform(this.#core?.persisted(write.number, time + this.#clockOffset));
		}
	}

	propose(commandId: string, time: number): void {
		const result = this.#core?.propose({kind: 'command', command: Buffer.from(commandId)}, time + this.#clockOffset);
		if (result?.kind === 'accepted') {
			this.#proposals.set(result.proposalId, commandId);
			this.#perform(result.actions);
		}
	}

	proposeMembers(members: MemberSet, time: number): void {
		const result = this.#core?.propose({kind: 'members', members}, time + this.#clockOffset);
		if (result?.kind === 'accepted') {
			this.#perform(result.actions);
		}
	}

	read(readId: number, time: number): void {
		if (this.#core === undefined) {
			return;
		}

		this.#history.beginRead(readId);
		if (this.#injectedFault === 'answer-reads-at-once') {
			this.#history.endRead(readId, this.#appliedIndex);
			return;
		}

		this.#perform(this.#core.read(readId, time + this.#clockOffset));
	}

	transfer(time: number): void {
		this.#perform(this.#core?.transferLeadership(time + this.#clockOffset));
	}

	compact(time: number): void {
		const data = Buffer.from(JSON.stringify([...this.#applied.effects]));
		this.#perform(this.#core?.compact({lastIndex: this.#appliedIndex, data}, time + this.#clockOffset));
	}

	takeMessages(): readonly ConsensusMessage[] {
		const messages = this.#outbox;
		this.#outbox = [];
		return messages;
	}

	#perform(actions: readonly ConsensusAction[] | undefined): void {
		for (const action of actions ?? []) {
			this.#performOne(action);
		}

		const early = this.#injectedFault === 'confirm-before-sync' ? this.#writes.filter(write => !this.#confirmedEarly.has(write)) : [];
		for (const write of early) {
			this.#confirmedEarly.add(write);
			this.#perform(this.#core?.persisted(write.number, 0));
		}
	}

	#performOne(action: ConsensusAction): void {
		switch (action.kind) {
			case 'persist': {
				this.#writes.push(action);
				return;
			}

			case 'send': {
				this.#outbox.push(this.#corruptIfInjected(action.message));
				return;
			}

			case 'apply': {
				for (const entry of action.entries) {
					this.#apply(entry);
				}

				return;
			}

			case 'restore': {
				this.#restore(action.snapshot);
				return;
			}

			case 'read-ready': {
				if (action.index > this.#appliedIndex) {
					this.#history.report(`${this.member} serves a read at index ${action.index}, but has applied only entries up to ${this.#appliedIndex}`);
				}

				this.#history.endRead(action.readId, action.index);
				return;
			}

			case 'proposal-committed': {
				const commandId = this.#proposals.get(action.proposalId);
				if (commandId !== undefined) {
					this.#history.endWrite(commandId, action.index);
				}

				return;
			}

			case 'leadership-changed': {
				this.#recordLeadership(action.isSelf);
				return;
			}

			case 'read-failed':
			case 'proposal-lost': {
				// The outcome is unknown to the client, so there is nothing to check.
				return;
			}

			default: {
				throw new UnreachableError(action);
			}
		}
	}

	#recordLeadership(isSelf: boolean): void {
		const status = this.#core?.status();
		if (isSelf && status !== undefined) {
			this.#history.recordLeader(this.member, status);
		}
	}

	#apply(entry: LogEntry): void {
		if (entry.index !== this.#appliedIndex + 1) {
			this.#history.report(`${this.member} applies entry ${entry.index} after entry ${this.#appliedIndex}`);
		}

		this.#appliedIndex = entry.index;
		this.#history.recordCommitted(this.member, entry);
		if (entry.payload.kind !== 'command') {
			return;
		}

		const commandId = Buffer.from(entry.payload.command).toString();
		if (!this.#applied.effects.has(commandId)) {
			this.#applied.effects.set(commandId, entry.index);
			this.#history.recordEffect(this.member, commandId, entry.index);
		}
	}

	#restore(snapshot: Snapshot): void {
		const effects = JSON.parse(Buffer.from(snapshot.data).toString()) as Array<[string, number]>;
		this.#applied = {effects: new Map(this.#injectedFault === 'forget-effects' ? [] : effects)};
		this.#appliedIndex = snapshot.lastIndex;
		this.#history.recordSnapshot(this.member, snapshot);
	}

	#writeToDisk(write: PersistAction): void {
		const snapshot = write.snapshot ?? this.#disk.snapshot;
		const snapshotIndex = snapshot?.lastIndex ?? 0;
		const entries = this.#disk.entries.filter(entry => entry.index > snapshotIndex && entry.index < (write.truncateFrom ?? Number.POSITIVE_INFINITY));
		const last = entries.at(-1)?.index ?? snapshotIndex;
		const first = write.entries[0];
		if (first !== undefined && first.index !== last + 1) {
			this.#history.report(`${this.member} writes entry ${first.index} after entry ${last}`);
		}

		this.#disk = {
			hardState: write.hardState ?? this.#disk.hardState,
			snapshot,
			entries: [...entries, ...write.entries],
		};
		this.#history.recordWritten(this.member, this.#disk);
	}

	#corruptIfInjected(message: ConsensusMessage): ConsensusMessage {
		const payload = message.payload as Record<string, unknown>;
		if (this.#injectedFault === 'hide-disks' && 'toDisk' in payload) {
			return {...message, payload: {...payload, toDisk: undefined}};
		}

		if (this.#injectedFault === 'grant-all-votes' && payload.kind === 'vote-response') {
			return {...message, payload: {...payload, granted: true}};
		}

		const {entries} = payload as {entries?: readonly LogEntry[]};
		if (this.#injectedFault === 'change-entries' && entries !== undefined && message.to.endsWith('2')) {
			return {...message, payload: {...payload, entries: entries.map(entry => changeCommand(entry))}};
		}

		return message;
	}
}

function changeCommand(entry: LogEntry): LogEntry {
	return entry.payload.kind === 'command' ? {...entry, payload: {kind: 'command', command: Buffer.from('changed')}} : entry;
}
