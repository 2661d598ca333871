/**
Validates a settings file of a node or a control process.
*/

import {loadControlSettings, loadNodeSettings, SettingsError} from '@fireflyglade/settings';

/** Kind of process that a settings file is for. */
export type SettingsKind = 'node' | 'control';

/** Counts the faults of fields that the file contains, without missing fields. */
function countInvalidFields(error: SettingsError): number {
	return error.faults.filter(fault => fault.found !== 'nothing').length;
}

async function findSettingsError(load: (file: string) => Promise<unknown>, file: string): Promise<SettingsError | undefined> {
	try {
		await load(file);
		return undefined;
	} catch (error) {
		if (error instanceof SettingsError) {
			return error;
		}

		throw error;
	}
}

/**
Validates a settings file and determines the kind of process that it is for.

@param file - Path of the file.
@throws {SettingsError} The file is not valid for either kind. The faults are those for
	the kind with fewer invalid fields.
*/
export async function checkSettings(file: string): Promise<SettingsKind> {
	const nodeError = await findSettingsError(loadNodeSettings, file);
	if (nodeError === undefined) {
		return 'node';
	}

	const controlError = await findSettingsError(loadControlSettings, file);
	if (controlError === undefined) {
		return 'control';
	}

	throw countInvalidFields(controlError) < countInvalidFields(nodeError) ? controlError : nodeError;
}
