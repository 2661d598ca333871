/**
A file system whose writes wait for space while the disk is full.

A write that fails for lack of space has synced nothing, and writing the same bytes at
the same offset again is harmless. So a process with a full disk need not end: to the
others it is a process with a slow disk, which acknowledges nothing, and it takes part
again once there is space.
*/

import {FireflygladeError, type Clock} from '@fireflyglade/model';
import type {FileHandle, FileSystem} from '../types.js';

/** The disk is full, and the process stops waiting for space because it shuts down. */
export class DiskFullError extends FireflygladeError {
	get code(): 'disk-full' {
		return 'disk-full';
	}
}

/** Options of a file system that waits for space. */
export type SpaceWaitingOptions = {
	readonly clock: Clock;
	/** Called with true when the first write starts to wait, and with false once a write succeeds again. */
	readonly onDiskFull?: (isFull: boolean) => void;
};

const retryIntervalMilliseconds = 100;
/** System error codes of a full disk and of an exhausted quota. */
const fullDiskCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/** Wraps a file system. */
export class SpaceWaitingFileSystem implements FileSystem {
	readonly #fileSystem: FileSystem;
	readonly #options: SpaceWaitingOptions;
	#isFull = false;
	#isStopped = false;

	constructor(fileSystem: FileSystem, options: SpaceWaitingOptions) {
		this.#fileSystem = fileSystem;
		this.#options = options;
	}

	/** Ends the waits: writes that find no space fail from now on. */
	stopWaiting(): void {
		this.#isStopped = true;
	}

	async open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle> {
		const file = await this.#retryWhileFull(async () => this.#fileSystem.open(path, flags));
		return {
			read: async (offset, length) => file.read(offset, length),
			write: async (offset, data) => this.#retryWhileFull(async () => file.write(offset, data)),
			truncate: async length => file.truncate(length),
			size: async () => file.size(),
			sync: async () => file.sync(),
			close: async () => file.close(),
		};
	}

	async rename(from: string, to: string): Promise<void> {
		return this.#retryWhileFull(async () => this.#fileSystem.rename(from, to));
	}

	async remove(path: string): Promise<void> {
		return this.#fileSystem.remove(path);
	}

	async list(folder: string): Promise<readonly string[]> {
		return this.#fileSystem.list(folder);
	}

	async makeFolder(path: string): Promise<void> {
		return this.#fileSystem.makeFolder(path);
	}

	async syncFolder(path: string): Promise<void> {
		return this.#fileSystem.syncFolder(path);
	}

	async #retryWhileFull<Result>(operation: () => Promise<Result>): Promise<Result> {
		for (;;) {
			try {
				const result = await operation();
				this.#setFull(false);
				return result;
			} catch (error: unknown) {
				if (!isFullDiskError(error)) {
					throw error;
				}

				this.#setFull(true);
				if (this.#isStopped) {
					throw new DiskFullError('the disk is full', {cause: error});
				}
			}

			await this.#pause();
		}
	}

	#setFull(isFull: boolean): void {
		if (this.#isFull !== isFull) {
			this.#isFull = isFull;
			this.#options.onDiskFull?.(isFull);
		}
	}

	async #pause(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.startTimer(retryIntervalMilliseconds, resolve);
		});
	}
}

function isFullDiskError(error: unknown): boolean {
	return error instanceof Error && fullDiskCodes.has((error as NodeJS.ErrnoException).code ?? '');
}
