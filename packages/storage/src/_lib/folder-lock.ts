/**
The lock of a data folder.

Each process that opens the folder appends a line to the file `lock`, and reads
the file back: the folder belongs to the first line whose process lives and has
not released it. An append is atomic, so two processes that find the same dead
owner agree on which of them came first.

A process is known by its number together with the time at which it started, as
the machine tells it, since numbers are used again.
*/

import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {FolderLockedError} from '../errors/index.js';
import type {FileSystem} from '../types.js';
import {readFile} from './read-file.js';

/** A process as a lock names it. */
export type LockOwner = {
	readonly pid: number;
	/** Empty where the machine doesn't tell. */
	readonly startedAt: string;
};

type LockLine =
	| {readonly version: 1; readonly kind: 'taken'; readonly id: string; readonly owner: LockOwner}
	| {readonly version: 1; readonly kind: 'released'; readonly id: string};

const lockName = 'lock';
/** Locks that this process holds: its own earlier lines are dead unless they stand here. */
const heldIds = new Set<string>();

/** A lock that is held. */
export type FolderLock = {
	release(): Promise<void>;
};

/**
Takes the lock of a folder.

@param owner - The process that takes it; this one, but for tests.
@throws {FolderLockedError} A living process holds it.
*/
export async function lockFolder(fileSystem: FileSystem, folder: string, owner: LockOwner = thisProcess()): Promise<FolderLock> {
	const id = randomUUID();
	const path = join(folder, lockName);
	await appendLine(fileSystem, path, {
		version: 1, kind: 'taken', id, owner,
	});
	heldIds.add(id);
	const holder = findHolder(parseLines(await readFile(fileSystem, path)));
	if (holder !== undefined && holder.id !== id) {
		await release(fileSystem, path, id);
		throw new FolderLockedError(`${folder} is open in process ${holder.owner.pid}`);
	}

	return {
		async release() {
			await release(fileSystem, path, id);
		},
	};
}

function thisProcess(): LockOwner {
	return {pid: process.pid, startedAt: processStart(process.pid)};
}

async function release(fileSystem: FileSystem, path: string, id: string): Promise<void> {
	heldIds.delete(id);
	await appendLine(fileSystem, path, {version: 1, kind: 'released', id});
}

async function appendLine(fileSystem: FileSystem, path: string, line: LockLine): Promise<void> {
	const handle = await fileSystem.open(path, 'a');
	try {
		// The line break before it keeps the line apart from one that was cut short.
		await handle.write(await handle.size(), Buffer.from(`\n${JSON.stringify(line)}\n`));
	} finally {
		await handle.close();
	}
}

function parseLines(content: Uint8Array): readonly LockLine[] {
	const lines: LockLine[] = [];
	for (const text of Buffer.from(content).toString('utf8').split('\n')) {
		const line = parseLine(text);
		if (line !== undefined) {
			lines.push(line);
		}
	}

	return lines;
}

/** A line that was cut short belongs to a process that died with the machine. */
function parseLine(text: string): LockLine | undefined {
	try {
		return text === '' ? undefined : JSON.parse(text) as LockLine;
	} catch {
		return undefined;
	}
}

function findHolder(lines: readonly LockLine[]): Extract<LockLine, {kind: 'taken'}> | undefined {
	const released = new Set(lines.filter(line => line.kind === 'released').map(line => line.id));
	for (const line of lines) {
		if (line.kind === 'taken' && !released.has(line.id) && isAlive(line.id, line.owner)) {
			return line;
		}
	}

	return undefined;
}

function isAlive(id: string, owner: LockOwner): boolean {
	if (owner.pid === process.pid && owner.startedAt === processStart(process.pid)) {
		return heldIds.has(id);
	}

	return processExists(owner.pid) && (owner.startedAt === '' || owner.startedAt === processStart(owner.pid));
}

function processExists(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch (error) {
		return (error as NodeJS.ErrnoException).code === 'EPERM';
	}
}

/** The boot of the machine and the start of the process within it, in clock ticks. */
function processStart(pid: number): string {
	try {
		const boot = readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim();
		const status = readFileSync(`/proc/${pid}/stat`, 'utf8');
		const startField = status.slice(status.lastIndexOf(')') + 2).split(' ')[19];
		return `${boot} ${startField}`;
	} catch {
		return '';
	}
}
