/**
A file system in memory for tests of failures: it loses what was not synced, and
puts failures in the way of chosen operations.

Content lasts after `sync` of its file, names last after `syncFolder`. A crash
keeps a random part of what was not synced: bytes of a write up to a random
length or with sectors missing, and name changes up to a random one.
*/

import {FireflygladeError, type RandomSource} from '@fireflyglade/model';
import type {FileHandle, FileSystem} from '../types.js';

/** The operations in whose way a test can put a failure. */
export type FileOperation = 'open' | 'rename' | 'remove' | 'list' | 'make-folder' | 'sync-folder' | 'read' | 'write' | 'truncate' | 'size' | 'sync' | 'close';

/** What happens to an operation. */
export type FileFault =
	/** Nothing is done and the operation fails with this system code, such as `EIO`. */
	| {readonly kind: 'error'; readonly systemCode: string}
	/** Half of the bytes are written, then the operation fails. */
	| {readonly kind: 'short-write'; readonly systemCode: string}
	/** The process dies before the operation; every later operation fails too. */
	| {readonly kind: 'crash'};

/** A failure that a test put in the way. */
export class InjectedFileError extends FireflygladeError {
	readonly systemCode: string;

	constructor(systemCode: string) {
		super(`injected ${systemCode}`);
		this.systemCode = systemCode;
	}

	get code(): 'injected-file-error' {
		return 'injected-file-error';
	}
}

/** Decides on a failure for each operation, numbered from 1. */
export type FaultInjector = (number: number, operation: FileOperation, path: string) => FileFault | undefined;

type File = {
	content: Uint8Array;
	synced: Uint8Array;
};

type Names = ReadonlyMap<string, File>;

const sectorBytes = 512;

/** The file system; `crash` gives what a restart would find. */
export class MemoryFileSystem implements FileSystem {
	readonly #faults: FaultInjector;
	readonly #names: Map<string, File>;
	/** The names as they would be found after a crash, the last synced state first. */
	#nameHistory: Names[];
	#operations = 0;
	#dead = false;

	constructor(faults: FaultInjector = () => undefined, names: Names = new Map()) {
		this.#faults = faults;
		this.#names = new Map(names);
		this.#nameHistory = [new Map(names)];
	}

	/** Paths of all files. */
	get paths(): readonly string[] {
		return [...this.#names.keys()];
	}

	/** Operations that were begun. */
	get operationCount(): number {
		return this.#operations;
	}

	/** What a restart finds if the machine stops now. */
	crash(random: RandomSource, faults?: FaultInjector): MemoryFileSystem {
		const names = this.#nameHistory[random.nextInteger(this.#nameHistory.length)] ?? new Map<string, File>();
		const kept = new Map<string, File>();
		for (const [path, file] of names) {
			const content = survivingContent(file, random);
			kept.set(path, {content, synced: content});
		}

		this.#dead = true;
		return new MemoryFileSystem(faults, kept);
	}

	/** What a restart of the process alone finds: all of it, synced or not. */
	restartProcess(faults?: FaultInjector): MemoryFileSystem {
		const restarted = new MemoryFileSystem(faults, this.#names);
		restarted.#nameHistory = [...this.#nameHistory];
		this.#dead = true;
		return restarted;
	}

	/** Content of a file, for tests that damage it. */
	content(path: string): Uint8Array {
		return this.#find(path).content;
	}

	/** Replaces the content of a file as damage to the disk would. */
	replaceContent(path: string, content: Uint8Array): void {
		this.#names.set(path, {content, synced: content});
		this.#nameHistory = [new Map(this.#names)];
	}

	async open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle> {
		this.#begin('open', path);
		const present = this.#names.get(path);
		if (present === undefined && flags.startsWith('r')) {
			throw new InjectedFileError('ENOENT');
		}

		if (present !== undefined && flags === 'wx') {
			throw new InjectedFileError('EEXIST');
		}

		const file = present ?? {content: new Uint8Array(), synced: new Uint8Array()};
		if (present === undefined) {
			this.#changeNames(names => names.set(path, file));
		}

		if (flags === 'w') {
			file.content = new Uint8Array();
		}

		return this.#handle(path, file, flags === 'a');
	}

	async rename(from: string, to: string): Promise<void> {
		this.#begin('rename', from);
		const file = this.#find(from);
		this.#changeNames(names => {
			names.delete(from);
			names.set(to, file);
		});
	}

	async remove(path: string): Promise<void> {
		this.#begin('remove', path);
		this.#find(path);
		this.#changeNames(names => names.delete(path));
	}

	async list(folder: string): Promise<readonly string[]> {
		this.#begin('list', folder);
		const prefix = `${folder}/`;
		return [...this.#names.keys()].filter(path => path.startsWith(prefix)).map(path => path.slice(prefix.length));
	}

	async makeFolder(path: string): Promise<void> {
		this.#begin('make-folder', path);
	}

	async syncFolder(path: string): Promise<void> {
		this.#begin('sync-folder', path);
		this.#nameHistory = [new Map(this.#names)];
	}

	#find(path: string): File {
		const file = this.#names.get(path);
		if (file === undefined) {
			throw new InjectedFileError('ENOENT');
		}

		return file;
	}

	#changeNames(change: (names: Map<string, File>) => unknown): void {
		change(this.#names);
		this.#nameHistory.push(new Map(this.#names));
	}

	#begin(operation: FileOperation, path: string): FileFault | undefined {
		this.#operations++;
		if (this.#dead) {
			throw new InjectedFileError('EDEAD');
		}

		const fault = this.#faults(this.#operations, operation, path);
		if (fault?.kind === 'crash') {
			this.#dead = true;
			throw new InjectedFileError('EDEAD');
		}

		if (fault?.kind === 'error') {
			throw new InjectedFileError(fault.systemCode);
		}

		return fault;
	}

	#handle(path: string, file: File, appends: boolean): FileHandle {
		return {
			read: async (offset, length) => {
				this.#begin('read', path);
				return file.content.slice(offset, offset + length);
			},
			write: async (offset, data) => {
				const fault = this.#begin('write', path);
				const start = appends ? file.content.byteLength : offset;
				const taken = fault === undefined ? data : data.subarray(0, data.byteLength / 2);
				file.content = overwrite(file.content, start, taken);
				if (fault?.kind === 'short-write') {
					throw new InjectedFileError(fault.systemCode);
				}
			},
			truncate: async length => {
				this.#begin('truncate', path);
				file.content = file.content.slice(0, length);
			},
			size: async () => {
				this.#begin('size', path);
				return file.content.byteLength;
			},
			sync: async () => {
				this.#begin('sync', path);
				file.synced = file.content;
			},
			close: async () => {
				this.#begin('close', path);
			},
		};
	}
}

function overwrite(content: Uint8Array, offset: number, data: Uint8Array): Uint8Array {
	const changed = new Uint8Array(Math.max(content.byteLength, offset + data.byteLength));
	changed.set(content);
	changed.set(data, offset);
	return changed;
}

/** The synced bytes, and after them a random part of those that were not synced. */
function survivingContent(file: File, random: RandomSource): Uint8Array {
	const {content, synced} = file;
	const shared = Math.min(content.byteLength, synced.byteLength);
	if (random.nextInteger(3) === 0 || Buffer.compare(content.subarray(0, shared), synced.subarray(0, shared)) !== 0) {
		return synced;
	}

	const length = synced.byteLength + random.nextInteger(Math.max(1, content.byteLength - synced.byteLength + 1));
	const kept = overwrite(content.slice(0, Math.max(length, shared)), 0, synced);
	const from = (Math.floor(synced.byteLength / sectorBytes) + 1) * sectorBytes;
	if (random.nextInteger(2) === 0 && from + sectorBytes <= kept.byteLength) {
		kept.fill(0, from, from + sectorBytes);
	}

	return kept;
}
