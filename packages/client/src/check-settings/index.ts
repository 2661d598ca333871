/**
Checks a settings file of a node or a control process.
*/

import {loadControlSettings, loadNodeSettings, SettingsError} from '@fireflyglade/settings';

/** The program that a settings file is for. */
export type SettingsKind = 'node' | 'control';

/** Counts the faults of what a file holds, not of what it lacks. */
function countInvalidFields(error: SettingsError): number {
	return error.faults.filter(fault => fault.found !== 'nothing').length;
}

async function faultsOf(load: (file: string) => Promise<unknown>, file: string): Promise<SettingsError | undefined> {
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
Checks a settings file and finds out which program it is for.

@throws {SettingsError} The file has faults, named for the program that it fits best.
*/
export async function checkSettings(file: string): Promise<SettingsKind> {
	const nodeError = await faultsOf(loadNodeSettings, file);
	if (nodeError === undefined) {
		return 'node';
	}

	const controlError = await faultsOf(loadControlSettings, file);
	if (controlError === undefined) {
		return 'control';
	}

	throw countInvalidFields(controlError) < countInvalidFields(nodeError) ? controlError : nodeError;
}
