/**
The file system of the machine.
*/

import {
	mkdir, open, readdir, rename, rm, type FileHandle as NodeFileHandle,
} from 'node:fs/promises';
import {FireflygladeError} from '@fireflyglade/model';
import type {FileHandle, FileSystem} from '../types.js';

/** A write came to an end before all bytes were taken. */
export class ShortWriteError extends FireflygladeError {
	get code(): 'short-write' {
		return 'short-write';
	}
}

/** File operations by `node:fs`. */
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

	/** Fewer bytes than `length` mean the end of the file. */
	async read(offset: number, length: number): Promise<Uint8Array> {
		const data = new Uint8Array(length);
		let done = 0;
		while (done < length) {
			const {bytesRead} = await this.#handle.read(data, done, length - done, offset + done);
			if (bytesRead === 0) {
				break;
			}

			done += bytesRead;
		}

		return data.subarray(0, done);
	}

	async write(offset: number, data: Uint8Array): Promise<void> {
		let done = 0;
		while (done < data.byteLength) {
			const {bytesWritten} = await this.#handle.write(data, done, data.byteLength - done, offset + done);
			if (bytesWritten === 0) {
				throw new ShortWriteError(`only ${done} of ${data.byteLength} bytes were written`);
			}

			done += bytesWritten;
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
