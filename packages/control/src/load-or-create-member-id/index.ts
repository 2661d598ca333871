/**
Stores the member id of a control process on its disk.

A process whose disk was lost gets a new id and joins as a new member, because without
its stored votes and log entries it could contradict what it confirmed before.
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
Reads the member id from the data folder, or writes and syncs a new one.

@param dataFolder - The data folder; it is created if it does not exist.
@param initialMember - The id to use if the folder holds none; `undefined` creates a random one.
@param prefix - Prefix of a random id.
@throws {InvalidInputError} The file holds no valid member id.
*/
export async function loadOrCreateMemberId(dataFolder: string, initialMember: MemberId | undefined, prefix: string): Promise<MemberId> {
	await mkdir(dataFolder, {recursive: true});
	const file = path.join(dataFolder, fileName);
	const stored = await readIfPresent(file);
	if (stored !== undefined) {
		return createMemberId(stored.trim());
	}

	const member = initialMember ?? createMemberId(`${prefix}-${randomBytes(suffixBytes).toString('hex')}`);
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

/** Writes and syncs a temporary file before it is renamed, so that the file is never partly written. */
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
