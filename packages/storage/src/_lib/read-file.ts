/**
Reads and writes whole files.
*/

import type {FileSystem} from '../types.js';

/** Reads the whole content of a file. */
export async function readFile(fileSystem: FileSystem, path: string): Promise<Uint8Array> {
	const handle = await fileSystem.open(path, 'r');
	try {
		return await handle.read(0, await handle.size());
	} finally {
		await handle.close();
	}
}

/** Creates or replaces a file and syncs its content. The caller syncs the folder, so that the name is durable too. */
export async function writeFile(fileSystem: FileSystem, path: string, parts: readonly Uint8Array[]): Promise<void> {
	const handle = await fileSystem.open(path, 'w');
	try {
		let offset = 0;
		for (const part of parts) {
			await handle.write(offset, part);
			offset += part.byteLength;
		}

		await handle.sync();
	} finally {
		await handle.close();
	}
}
