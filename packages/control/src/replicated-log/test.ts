import {expect} from 'chai';
import {loadStoredState, RaftConsensus, type StoredState} from '@fireflyglade/consensus';
import {
	createTeamName, SystemClock, type CommandId, type MemberId,
} from '@fireflyglade/model';
import {ConfigurationStateMachine, type Command} from '@fireflyglade/state';
import {MemoryFileSystem, openLogStorage, type LogStorage} from '@fireflyglade/storage';
import {ReplicatedLog} from './index.js';

const member = 'control-1' as MemberId;
const commandBytes = 20_000;
const intervalBytes = 10 * commandBytes;
const storageOptions = {segmentBytes: intervalBytes, hasExclusiveAccess: true};

/** Creates or deletes one team, with a long operator name for its size. */
function createChange(number: number): Command {
	const name = createTeamName('fell-council');
	return {
		kind: 'change',
		commandId: `c${number}` as CommandId,
		operator: 'x'.repeat(commandBytes),
		at: number,
		change: number % 2 === 0 ? {kind: 'create-team', team: {name, ratePerSecond: 1, burst: 1}} : {kind: 'delete-team', name},
	};
}

function bytesOf({entries}: StoredState): number {
	let sum = 0;
	for (const {payload} of entries) {
		sum += payload.kind === 'command' ? payload.command.byteLength : 0;
	}

	return sum;
}

describe('ReplicatedLog', () => {
	async function open(fileSystem: MemoryFileSystem): Promise<{readonly log: ReplicatedLog; readonly storage: LogStorage; readonly stored: StoredState}> {
		const clock = new SystemClock();
		const storage = await openLogStorage('/data', {...storageOptions, fileSystem});
		const stored = await loadStoredState(storage);
		const log = new ReplicatedLog({
			consensus: new RaftConsensus({
				member, stored, initialMembers: {voters: [member], learners: []}, randomSeed: 1, now: clock.now(), electionTimeoutMilliseconds: 10,
			}),
			storage,
			clock,
			stateMachine: stored.snapshot === undefined ? new ConfigurationStateMachine({maximumRetainedChanges: 1}) : ConfigurationStateMachine.restore(stored.snapshot.data, {maximumRetainedChanges: 1}),
			appliedIndex: stored.snapshot?.lastIndex ?? 0,
			snapshotBytes: stored.snapshot?.data.byteLength ?? 0,
			snapshotIntervalBytes: intervalBytes,
			send() {
				throw new TypeError('the only member has no one to send to');
			},
			onStorageFailure(error) {
				throw error;
			},
		});
		log.start();
		return {log, storage, stored};
	}

	async function propose(log: ReplicatedLog, command: Command): Promise<void> {
		for (;;) {
			const outcome = await log.propose(command);
			if (outcome.kind === 'result') {
				return;
			}

			await new Promise<void>(resolve => {
				setTimeout(resolve, 5);
			});
		}
	}

	// Guards against: a control process needs more memory to read its log than it has, after many changes of a large configuration.
	it('reads a log whose size does not depend on the number of changes before', async () => {
		const fileSystem = new MemoryFileSystem();
		const first = await open(fileSystem);
		for (let number = 0; number < 101; number++) {
			await propose(first.log, createChange(number));
		}

		await first.log.close();
		const second = await open(fileSystem);
		expect(bytesOf(second.stored)).to.be.below(2 * intervalBytes);
		expect(second.stored.snapshot?.lastIndex).to.be.above(80);
		await propose(second.log, createChange(101));
		expect(second.log.stateMachine().configuration().revision).to.equal(102);
		await second.log.close();
	});
});
