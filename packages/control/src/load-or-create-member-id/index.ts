/**
The name under which a control process takes part in the replicated log, kept on
its disk.

A disk that was lost takes the name with it: the process comes back as a new
member and can't break the promises of its predecessor.
*/

import {randomBytes} from 'node:crypto';
import {
	mkdir, open, readFile, rename,
} from 'node:fs/promises';
import path from 'node:path';
import {createMemberId, type MemberId} from '@fireflyglade/model';

const fileName = 'member-id';
const suffixBytes = 4;

/**
Reads the name on the disk, or makes one and syncs it.

@param dataFolder - The data folder.
@param first - The name to take on an empty disk; a new one if absent.
@param prefix - Beginning of a new name.
@throws {InvalidInputError} The file on the disk holds no name.
*/
export async function loadOrCreateMemberId(dataFolder: string, first: MemberId | undefined, prefix: string): Promise<MemberId> {
	await mkdir(dataFolder, {recursive: true});
	const file = path.join(dataFolder, fileName);
	const kept = await readIfPresent(file);
	if (kept !== undefined) {
		return createMemberId(kept.trim());
	}

	const member = first ?? createMemberId(`${prefix}-${randomBytes(suffixBytes).toString('hex')}`);
	await writeAtomically(file, member);
	await syncFolder(dataFolder);
	return member;
}

async function readIfPresent(file: string): Promise<string | undefined> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw error;
	}
}

/** The name stands under its own file name only once it is synced, so that it is never half written. */
async function writeAtomically(file: string, text: string): Promise<void> {
	const temporary = `${file}.new`;
	const handle = await open(temporary, 'w');
	try {
		await handle.writeFile(text);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await rename(temporary, file);
}

async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}
