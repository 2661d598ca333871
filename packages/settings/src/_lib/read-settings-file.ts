/**
Reads a settings file as text.
*/

import {readFile} from 'node:fs/promises';
import {SettingsError} from '../settings-error/index.js';

/**
Reads a settings file.

@param file - Path of the file.
@throws {SettingsError} The file can't be read.
*/
export async function readSettingsFile(file: string): Promise<string> {
	try {
		return await readFile(file, 'utf8');
	} catch (error: unknown) {
		const reason = error instanceof Error ? error.message : 'unknown reason';
		throw new SettingsError(file, [{path: '(the whole file)', found: reason, allowed: 'a file that can be read'}], {cause: error});
	}
}
