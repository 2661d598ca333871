/**
The lock of a data folder.

Each process that opens the folder appends a line to the file `lock` and reads the
file back. The lock is held by the first line whose process is running and has not
released it. Lines that several processes append don't interleave, so two processes
that find the same dead owner agree on which of them came first.

A process is identified by its process id and its start time as reported by the
operating system, because process ids are reused.
*/

import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {FolderLockedError} from '../errors/index.js';
import type {FileSystem} from '../types.js';
import {readFile} from './read-file.js';

/** The process that is recorded in a lock. */
export type LockOwner = {
	readonly pid: number;
	/** Start time of the process; empty if the operating system does not report it. */
	readonly startedAt: string;
};

/** One line of the lock file, in JSON. */
type LockRecord =
	| {readonly version: 1; readonly kind: 'taken'; readonly id: string; readonly owner: LockOwner}
	| {readonly version: 1; readonly kind: 'released'; readonly id: string};

const lockFileName = 'lock';
/** Ids of the locks that this process holds. Other lines that name this process as the owner are stale. */
const heldIds = new Set<string>();

/** A held lock. */
export type FolderLock = {
	release(): Promise<void>;
};

/**
Takes the lock of a folder.

@param owner - The process that takes the lock; by default this process.
@throws {FolderLockedError} Another running process, or this one, holds the lock.
*/
export async function lockFolder(fileSystem: FileSystem, folder: string, owner: LockOwner = thisProcess()): Promise<FolderLock> {
	const id = randomUUID();
	const path = join(folder, lockFileName);
	await appendRecord(fileSystem, path, {
		version: 1, kind: 'taken', id, owner,
	});
	heldIds.add(id);
	const holder = findHolder(parseRecords(await readFile(fileSystem, path)));
	if (holder !== undefined && holder.id !== id) {
		await releaseLock(fileSystem, path, id);
		throw new FolderLockedError(`${folder} is in use by process ${holder.owner.pid}`);
	}

	return {
		async release() {
			await releaseLock(fileSystem, path, id);
		},
	};
}

function thisProcess(): LockOwner {
	return {pid: process.pid, startedAt: processStartTime(process.pid)};
}

async function releaseLock(fileSystem: FileSystem, path: string, id: string): Promise<void> {
	heldIds.delete(id);
	await appendRecord(fileSystem, path, {version: 1, kind: 'released', id});
}

async function appendRecord(fileSystem: FileSystem, path: string, record: LockRecord): Promise<void> {
	const handle = await fileSystem.open(path, 'a');
	try {
		// The leading line break separates the line from a preceding one that may be incomplete.
		await handle.write(await handle.size(), Buffer.from(`\n${JSON.stringify(record)}\n`));
	} finally {
		await handle.close();
	}
}

function parseRecords(content: Uint8Array): readonly LockRecord[] {
	const records: LockRecord[] = [];
	for (const text of Buffer.from(content).toString('utf8').split('\n')) {
		const record = parseRecord(text);
		if (record !== undefined) {
			records.push(record);
		}
	}

	return records;
}

/** Parses a line. An incomplete line is ignored: its append was interrupted, so its process does not hold the lock. */
function parseRecord(text: string): LockRecord | undefined {
	try {
		return text === '' ? undefined : JSON.parse(text) as LockRecord;
	} catch {
		return undefined;
	}
}

function findHolder(records: readonly LockRecord[]): Extract<LockRecord, {kind: 'taken'}> | undefined {
	const released = new Set(records.filter(record => record.kind === 'released').map(record => record.id));
	for (const record of records) {
		if (record.kind === 'taken' && !released.has(record.id) && isAlive(record.id, record.owner)) {
			return record;
		}
	}

	return undefined;
}

function isAlive(id: string, owner: LockOwner): boolean {
	if (owner.pid === process.pid && owner.startedAt === processStartTime(process.pid)) {
		return heldIds.has(id);
	}

	return processExists(owner.pid) && (owner.startedAt === '' || owner.startedAt === processStartTime(owner.pid));
}

function processExists(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch (error) {
		return (error as NodeJS.ErrnoException).code === 'EPERM';
	}
}

/** The boot id of the machine and the start time of the process in clock ticks since the boot; empty if unavailable. */
function processStartTime(pid: number): string {
	try {
		const boot = readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim();
		const status = readFileSync(`/proc/${pid}/stat`, 'utf8');
		const startField = status.slice(status.lastIndexOf(')') + 2).split(' ')[19];
		return `${boot} ${startField}`;
	} catch {
		return '';
	}
}
