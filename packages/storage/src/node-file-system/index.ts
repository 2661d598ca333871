/**
The file system of the operating system.
*/

import {
	mkdir, open, readdir, rename, rm, type FileHandle as NodeFileHandle,
} from 'node:fs/promises';
import {FireflygladeError} from '@fireflyglade/model';
import type {FileHandle, FileSystem} from '../types.js';

/** The operating system wrote fewer bytes than requested. */
export class ShortWriteError extends FireflygladeError {
	get code(): 'short-write' {
		return 'short-write';
	}
}

/** A file system that uses `node:fs`. */
export class NodeFileSystem implements FileSystem {
	async open(path: string, flags: 'r' | 'r+' | 'w' | 'a' | 'wx'): Promise<FileHandle> {
		return new OpenFile(await open(path, flags));
	}

	async rename(from: string, to: string): Promise<void> {
		await rename(from, to);
	}

	async remove(path: string): Promise<void> {
		await rm(path);
	}

	async list(folder: string): Promise<readonly string[]> {
		return readdir(folder);
	}

	async makeFolder(path: string): Promise<void> {
		await mkdir(path, {recursive: true});
	}

	async syncFolder(path: string): Promise<void> {
		const folder = await open(path, 'r');
		try {
			await folder.sync();
		} finally {
			await folder.close();
		}
	}
}

class OpenFile implements FileHandle {
	readonly #handle: NodeFileHandle;

	constructor(handle: NodeFileHandle) {
		this.#handle = handle;
	}

	/** Returns fewer bytes than `length` at the end of the file. */
	async read(offset: number, length: number): Promise<Uint8Array> {
		const data = new Uint8Array(length);
		let completed = 0;
		while (completed < length) {
			const {bytesRead} = await this.#handle.read(data, completed, length - completed, offset + completed);
			if (bytesRead === 0) {
				break;
			}

			completed += bytesRead;
		}

		return data.subarray(0, completed);
	}

	async write(offset: number, data: Uint8Array): Promise<void> {
		let completed = 0;
		while (completed < data.byteLength) {
			const {bytesWritten} = await this.#handle.write(data, completed, data.byteLength - completed, offset + completed);
			if (bytesWritten === 0) {
				throw new ShortWriteError(`only ${completed} of ${data.byteLength} bytes were written`);
			}

			completed += bytesWritten;
		}
	}

	async truncate(length: number): Promise<void> {
		await this.#handle.truncate(length);
	}

	async size(): Promise<number> {
		const {size} = await this.#handle.stat();
		return size;
	}

	async sync(): Promise<void> {
		await this.#handle.sync();
	}

	async close(): Promise<void> {
		await this.#handle.close();
	}
}
