/**
A group of control processes in this process, each with an RPC listener on loopback and
a disk in memory, whose processes end and whose disks are lost as a test asks.
*/

import {
	createMemberId, createTeamName, SeededRandom, type JobKey, type MemberId, type RequestId,
} from '@fireflyglade/model';
import {MemoryFileSystem, type FileHandle} from '@fireflyglade/storage';
import {ControlProcess, type ControlProcessOptions} from '../control-process/index.js';

const anyPort = '127.0.0.1:0';
const operatorToken = 'operator-token-of-the-test';
const pollIntervalMilliseconds = 50;

/** How a process ends: after SIGTERM, or without notice, with all that it wrote or only with what it synced. */
export type Ending = 'stopped' | 'killed' | 'power-lost';

/** A disk whose writes and syncs wait while it is stalled, and whose writes fail while it is full. */
class StallingFileSystem extends MemoryFileSystem {
	stall: Promise<void> | undefined;
	isFull = false;

	override async open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle> {
		const file = await super.open(path, flags);
		return {
			...file,
			write: async (offset, data) => {
				await this.stall;
				if (this.isFull) {
					throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
				}

				await file.write(offset, data);
			},
			sync: async () => {
				await this.stall;
				await file.sync();
			},
		};
	}
}

/** A control process of the group, running or ended. */
export type GroupMember = {
	readonly member: MemberId;
	readonly control: ControlProcess;
	readonly disk: MemoryFileSystem;
};

/** Waits until a condition holds; rejects if it doesn't within some seconds. */
export async function waitUntil(condition: () => boolean, what: string, timeoutMilliseconds = 15_000): Promise<void> {
	for (let waited = 0; !condition(); waited += pollIntervalMilliseconds) {
		if (waited >= timeoutMilliseconds) {
			throw new Error(`not in time: ${what}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMilliseconds);
		});
	}
}

/** A group that tolerates the loss of one of three VMs. */
export class ControlGroup {
	/** Starts the first members. */
	static async start(count: number): Promise<ControlGroup> {
		const group = new ControlGroup();
		const founders = Array.from({length: count}, (_, index) => createMemberId(`control-${index + 1}`));
		for (const member of founders) {
			await group.#start(member, new StallingFileSystem(), {members: new Map(founders.map(founder => [founder, anyPort]))});
		}

		await waitUntil(() => group.leader !== undefined, 'a first leader');
		return group;
	}

	#running: readonly GroupMember[] = [];
	#startCount = 0;
	#statementCount = 0;

	get running(): readonly GroupMember[] {
		return this.#running;
	}

	get leader(): GroupMember | undefined {
		return this.#running.find(({control}) => control.log.status().role === 'leader');
	}

	/** RPC addresses of the running processes. */
	get addresses(): readonly string[] {
		return this.#running.map(({control}) => control.rpcAddress);
	}

	/** The member set as the leader sees it. */
	get voters(): readonly MemberId[] {
		return this.leader?.control.log.status().members.voters ?? [];
	}

	/** Starts a process with an empty disk that joins the group. */
	async join(seeds: readonly string[], rpcAddress = anyPort): Promise<GroupMember> {
		return this.#start(createMemberId(`joined-${this.#startCount}`), new StallingFileSystem(), {join: true, seeds, rpcAddress});
	}

	/** Starts an ended process with the disk that is left of it. */
	async restart({member, control, disk}: GroupMember): Promise<GroupMember> {
		return this.#start(member, disk, {join: true, rpcAddress: control.rpcAddress});
	}

	/** Ends a process; returns it with the disk that is left. */
	async end(ended: GroupMember, ending: Ending): Promise<GroupMember> {
		const {control, disk} = ended;
		this.#running = this.#running.filter(other => other !== ended);
		if (ending === 'stopped') {
			await control.close();
			return ended;
		}

		const left = ending === 'killed' ? disk.restartProcess() : disk.crash(new SeededRandom(this.#startCount));
		await failNextWrite(control);
		await closeWithoutDisk(control);
		return {...ended, disk: left};
	}

	/** Makes the disk of a member stall; returns a function that lets it go on. */
	stallDisk({disk}: GroupMember): () => void {
		let resume: () => void = () => undefined;
		const stalling = disk as StallingFileSystem;
		stalling.stall = new Promise(resolve => {
			resume = () => {
				stalling.stall = undefined;
				resolve();
			};
		});
		return resume;
	}

	/** Fills the disk of a member; returns a function that makes space. */
	fillDisk({disk}: GroupMember): () => void {
		const filling = disk as StallingFileSystem;
		filling.isFull = true;
		return () => {
			filling.isFull = false;
		};
	}

	/** Sends a statement to the running processes in turn until it is answered, as the client does. */
	async send(statement: string, to: readonly GroupMember[] = this.#running): Promise<Record<string, unknown>> {
		const commandId = `command-${this.#statementCount++}`;
		for (let attempt = 0; attempt < 20; attempt++) {
			const {control} = to[attempt % to.length]!;
			const response = await fetch(`${control.operatorUrl}/v1/statements`, {
				method: 'POST',
				headers: {authorization: `Bearer ${operatorToken}`, 'content-type': 'application/json'},
				body: JSON.stringify({statement, commandId}),
			});
			const body = await response.json() as Record<string, unknown>;
			if (response.status !== 503) {
				return body;
			}
		}

		throw new Error(`no answer: ${statement}`);
	}

	async close(): Promise<void> {
		await Promise.all(this.#running.map(async ({control}) => control.close()));
	}

	async #start(member: MemberId, disk: MemoryFileSystem, options: Partial<ControlProcessOptions>): Promise<GroupMember> {
		this.#startCount++;
		const control = await ControlProcess.start({
			member,
			dataFolder: '/data',
			hasExclusiveAccess: true,
			fileSystem: disk,
			operatorAddress: anyPort,
			rpcAddress: anyPort,
			members: new Map(),
			seeds: this.addresses,
			toleratedVmFailures: 1,
			operators: [{name: 'anna', role: 'operator', token: operatorToken}],
			credentials: {kind: 'token', token: 'fleet-token-of-the-test'},
			randomSeed: this.#startCount,
			onStorageFailure() {
				// Only a process that a test ends can't write.
			},
			...options,
		});
		const started = {member, control, disk};
		this.#running = [...this.#running, started];
		return started;
	}
}

/** Ends the use of a log whose disk is gone, so that its leader can't hand over its leadership as in a planned stop. */
async function failNextWrite(control: ControlProcess): Promise<void> {
	try {
		await control.log.propose({
			kind: 'finish-claim', team: createTeamName('nobody'), job: 'none' as JobKey, requestId: 'none' as RequestId, at: 0, outcome: {kind: 'not-run'},
		});
	} catch {
		// The disk refuses the write.
	}
}

async function closeWithoutDisk(control: ControlProcess): Promise<void> {
	try {
		await control.close();
	} catch {
		// The data folder can't be closed on a disk that is gone.
	}
}
