/**
One member in an exploration: the core, a disk that loses what was not synced,
and a state machine that counts the effects of commands.
*/

import {UnreachableError, type MemberId, type SeededRandom} from '@fireflyglade/model';
import {RaftConsensus} from '../raft-consensus/index.js';
import type {
	ConsensusAction, ConsensusMessage, LogEntry, MemberSet, Snapshot, StoredState,
} from '../types.js';
import type {PersistAction} from '../write-persist-action/index.js';
import type {History} from './history.js';

/** A mechanism that a test breaks on purpose, to see the checks fail. */
export type Sabotage = 'none' | 'confirm-before-sync' | 'grant-all-votes' | 'answer-reads-at-once' | 'forget-effects' | 'hide-disks' | 'change-entries';

/** The state machine: the commands that took effect, in order. */
type MachineState = {
	readonly effects: Map<string, number>;
};

const emptyState: StoredState = {hardState: {term: 0}, entries: []};

/** One member. */
export class SimulatedMember {
	readonly isFirstMember: boolean;
	readonly #history: History;
	readonly #sabotage: Sabotage;
	#initialMembers: MemberSet | undefined;
	#disk: StoredState = emptyState;
	#core: RaftConsensus | undefined;
	#writes: PersistAction[] = [];
	#outbox: ConsensusMessage[] = [];
	#machine: MachineState = {effects: new Map()};
	#appliedIndex = 0;
	/** Differs from the common clock by jumps. */
	#clockOffset = 0;
	readonly #proposals = new Map<number, string>();
	readonly #confirmed = new WeakSet<PersistAction>();

	constructor(readonly member: MemberId, history: History, options: {readonly sabotage: Sabotage; readonly initialMembers: MemberSet | undefined}) {
		this.#history = history;
		this.#sabotage = options.sabotage;
		this.#initialMembers = options.initialMembers;
		this.isFirstMember = options.initialMembers !== undefined;
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

	/** The last entry on the disk. */
	get writtenIndex(): number {
		return this.#disk.entries.at(-1)?.index ?? this.#disk.snapshot?.lastIndex ?? 0;
	}

	start(randomSeed: number, time: number): void {
		this.#machine = {effects: new Map()};
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

	/** Stops at once; of the writes that were not confirmed, the first few may have reached the disk. */
	crash(random: SeededRandom): void {
		const landed = random.nextInteger(this.#writes.length + 1);
		for (const write of this.#writes.slice(0, landed)) {
			this.#land(write);
		}

		this.#core = undefined;
		this.#writes = [];
		this.#outbox = [];
		this.#proposals.clear();
	}

	/** The disk is replaced by an empty one; the member is started as one that joins, or as before. */
	wipe(asJoining: boolean): void {
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

	/** Ends the oldest write. */
	finishWrite(time: number): void {
		const write = this.#writes.shift();
		if (write === undefined) {
			return;
		}

		this.#land(write);
		if (this.#sabotage !== 'confirm-before-sync') {
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
		if (this.#sabotage === 'answer-reads-at-once') {
			this.#history.endRead(readId, this.#appliedIndex);
			return;
		}

		this.#perform(this.#core.read(readId, time + this.#clockOffset));
	}

	transfer(time: number): void {
		this.#perform(this.#core?.transferLeadership(time + this.#clockOffset));
	}

	compact(time: number): void {
		const data = Buffer.from(JSON.stringify([...this.#machine.effects]));
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

		const early = this.#sabotage === 'confirm-before-sync' ? this.#writes.filter(write => !this.#confirmed.has(write)) : [];
		for (const write of early) {
			this.#confirmed.add(write);
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
				this.#outbox.push(this.#distort(action.message));
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
					this.#history.report(`${this.member} answers a read at ${action.index} while it has applied ${this.#appliedIndex}`);
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
				this.#noteLeadership(action.isSelf);
				return;
			}

			case 'read-failed':
			case 'proposal-lost': {
				// The fate stays open.
				return;
			}

			default: {
				throw new UnreachableError(action);
			}
		}
	}

	#noteLeadership(isSelf: boolean): void {
		const status = this.#core?.status();
		if (isSelf && status !== undefined) {
			this.#history.noteLeader(this.member, status);
		}
	}

	#apply(entry: LogEntry): void {
		if (entry.index !== this.#appliedIndex + 1) {
			this.#history.report(`${this.member} applies entry ${entry.index} after entry ${this.#appliedIndex}`);
		}

		this.#appliedIndex = entry.index;
		this.#history.noteCommitted(this.member, entry);
		if (entry.payload.kind !== 'command') {
			return;
		}

		const commandId = Buffer.from(entry.payload.command).toString();
		if (!this.#machine.effects.has(commandId)) {
			this.#machine.effects.set(commandId, entry.index);
			this.#history.noteEffect(this.member, commandId, entry.index);
		}
	}

	#restore(snapshot: Snapshot): void {
		const effects = JSON.parse(Buffer.from(snapshot.data).toString()) as Array<[string, number]>;
		this.#machine = {effects: new Map(this.#sabotage === 'forget-effects' ? [] : effects)};
		this.#appliedIndex = snapshot.lastIndex;
		this.#history.noteSnapshot(this.member, snapshot);
	}

	#land(write: PersistAction): void {
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
		this.#history.noteWritten(this.member, this.#disk);
	}

	#distort(message: ConsensusMessage): ConsensusMessage {
		const payload = message.payload as Record<string, unknown>;
		if (this.#sabotage === 'hide-disks' && 'toDisk' in payload) {
			return {...message, payload: {...payload, toDisk: undefined}};
		}

		if (this.#sabotage === 'grant-all-votes' && payload.kind === 'vote-response') {
			return {...message, payload: {...payload, granted: true}};
		}

		const {entries} = payload as {entries?: readonly LogEntry[]};
		if (this.#sabotage === 'change-entries' && entries !== undefined && message.to.endsWith('2')) {
			return {...message, payload: {...payload, entries: entries.map(entry => changeCommand(entry))}};
		}

		return message;
	}
}

function changeCommand(entry: LogEntry): LogEntry {
	return entry.payload.kind === 'command' ? {...entry, payload: {kind: 'command', command: Buffer.from('changed')}} : entry;
}
