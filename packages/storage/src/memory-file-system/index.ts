/**
An in-memory file system for fault tests: it loses unsynced data in a crash and
injects faults into chosen operations.

The content of a file is durable after `sync` of the file; the names in a folder are
durable after `syncFolder`. After a crash, a random part of the unsynced changes
remains: written bytes up to a random length, possibly with one sector of zeros, and
the changes of names up to a randomly chosen one.
*/

import {FireflygladeError, type RandomSource} from '@fireflyglade/model';
import type {FileHandle, FileSystem} from '../types.js';

/** The operations into which a test can inject a fault. */
export type FileOperation = 'open' | 'rename' | 'remove' | 'list' | 'make-folder' | 'sync-folder' | 'read' | 'write' | 'truncate' | 'size' | 'sync' | 'close';

/** A fault that is injected into an operation. */
export type FileFault =
	/** The operation does nothing and fails with this system error code, such as `EIO`. */
	| {readonly kind: 'error'; readonly systemCode: string}
	/** A write stores half of the bytes and then fails; other operations are not affected. */
	| {readonly kind: 'short-write'; readonly systemCode: string}
	/** The process crashes before the operation; all later operations fail too. */
	| {readonly kind: 'crash'};

/** The error of an operation that failed by an injected fault, after a crash, or because a file exists or is missing. */
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

/** Decides for each operation, numbered from 1, which fault is injected; undefined injects none. */
export type FaultInjector = (number: number, operation: FileOperation, path: string) => FileFault | undefined;

type MemoryFile = {
	content: Uint8Array;
	synced: Uint8Array;
};

type FilesByPath = ReadonlyMap<string, MemoryFile>;

const sectorBytes = 512;

/** An in-memory file system. `crash` returns the file system that remains after a crash. */
export class MemoryFileSystem implements FileSystem {
	readonly #injectFault: FaultInjector;
	readonly #files: Map<string, MemoryFile>;
	/** The states of the directory that may remain after a crash; the last synced state comes first. */
	#directoryStates: FilesByPath[];
	#operationCount = 0;
	#hasCrashed = false;

	constructor(injectFault: FaultInjector = () => undefined, files: FilesByPath = new Map()) {
		this.#injectFault = injectFault;
		this.#files = new Map(files);
		this.#directoryStates = [new Map(files)];
	}

	/** The paths of all files. */
	get paths(): readonly string[] {
		return [...this.#files.keys()];
	}

	/** The number of operations started. */
	get operationCount(): number {
		return this.#operationCount;
	}

	/** Returns the file system that remains if the machine crashes now; this one fails all further operations. */
	crash(random: RandomSource, injectFault?: FaultInjector): MemoryFileSystem {
		const files = this.#directoryStates[random.nextInteger(this.#directoryStates.length)] ?? new Map<string, MemoryFile>();
		const surviving = new Map<string, MemoryFile>();
		for (const [path, file] of files) {
			const content = survivingContent(file, random);
			surviving.set(path, {content, synced: content});
		}

		this.#hasCrashed = true;
		return new MemoryFileSystem(injectFault, surviving);
	}

	/** Returns the file system that remains if only the process restarts: all changes, synced or not. */
	restartProcess(injectFault?: FaultInjector): MemoryFileSystem {
		const restarted = new MemoryFileSystem(injectFault, this.#files);
		restarted.#directoryStates = [...this.#directoryStates];
		this.#hasCrashed = true;
		return restarted;
	}

	/** The content of a file, for tests that corrupt it. */
	content(path: string): Uint8Array {
		return this.#find(path).content;
	}

	/** Replaces the content of a file, to simulate corruption on disk. It also makes all earlier changes of names durable. */
	replaceContent(path: string, content: Uint8Array): void {
		this.#files.set(path, {content, synced: content});
		this.#directoryStates = [new Map(this.#files)];
	}

	async open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle> {
		this.#beginOperation('open', path);
		const present = this.#files.get(path);
		if (present === undefined && flags.startsWith('r')) {
			throw new InjectedFileError('ENOENT');
		}

		if (present !== undefined && flags === 'wx') {
			throw new InjectedFileError('EEXIST');
		}

		const file = present ?? {content: new Uint8Array(), synced: new Uint8Array()};
		if (present === undefined) {
			this.#changeDirectory(files => files.set(path, file));
		}

		if (flags === 'w') {
			file.content = new Uint8Array();
		}

		return this.#createHandle(path, file, flags === 'a');
	}

	async rename(from: string, to: string): Promise<void> {
		this.#beginOperation('rename', from);
		const file = this.#find(from);
		this.#changeDirectory(files => {
			files.delete(from);
			files.set(to, file);
		});
	}

	async remove(path: string): Promise<void> {
		this.#beginOperation('remove', path);
		this.#find(path);
		this.#changeDirectory(files => files.delete(path));
	}

	async list(folder: string): Promise<readonly string[]> {
		this.#beginOperation('list', folder);
		const prefix = `${folder}/`;
		return [...this.#files.keys()].filter(path => path.startsWith(prefix)).map(path => path.slice(prefix.length));
	}

	async makeFolder(path: string): Promise<void> {
		this.#beginOperation('make-folder', path);
	}

	async syncFolder(path: string): Promise<void> {
		this.#beginOperation('sync-folder', path);
		this.#directoryStates = [new Map(this.#files)];
	}

	#find(path: string): MemoryFile {
		const file = this.#files.get(path);
		if (file === undefined) {
			throw new InjectedFileError('ENOENT');
		}

		return file;
	}

	#changeDirectory(change: (files: Map<string, MemoryFile>) => unknown): void {
		change(this.#files);
		this.#directoryStates.push(new Map(this.#files));
	}

	#beginOperation(operation: FileOperation, path: string): FileFault | undefined {
		this.#operationCount++;
		if (this.#hasCrashed) {
			throw new InjectedFileError('EDEAD');
		}

		const fault = this.#injectFault(this.#operationCount, operation, path);
		if (fault?.kind === 'crash') {
			this.#hasCrashed = true;
			throw new InjectedFileError('EDEAD');
		}

		if (fault?.kind === 'error') {
			throw new InjectedFileError(fault.systemCode);
		}

		return fault;
	}

	#createHandle(path: string, file: MemoryFile, isAppendMode: boolean): FileHandle {
		return {
			read: async (offset, length) => {
				this.#beginOperation('read', path);
				return file.content.slice(offset, offset + length);
			},
			write: async (offset, data) => {
				const fault = this.#beginOperation('write', path);
				const start = isAppendMode ? file.content.byteLength : offset;
				const written = fault === undefined ? data : data.subarray(0, data.byteLength / 2);
				file.content = overwrite(file.content, start, written);
				if (fault?.kind === 'short-write') {
					throw new InjectedFileError(fault.systemCode);
				}
			},
			truncate: async length => {
				this.#beginOperation('truncate', path);
				file.content = file.content.slice(0, length);
			},
			size: async () => {
				this.#beginOperation('size', path);
				return file.content.byteLength;
			},
			sync: async () => {
				this.#beginOperation('sync', path);
				file.synced = file.content;
			},
			close: async () => {
				this.#beginOperation('close', path);
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

/** The content that remains after a crash: the synced bytes, followed by a random part of the unsynced ones. */
function survivingContent(file: MemoryFile, random: RandomSource): Uint8Array {
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
