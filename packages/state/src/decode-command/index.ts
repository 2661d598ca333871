/**
Reads a command from the replicated log.
*/

import {decodeValue} from '../_lib/codec.js';
import {StateFormatError} from '../errors/index.js';
import type {Command} from '../types.js';

const commandKinds: ReadonlySet<unknown> = new Set<Command['kind']>(['change', 'replace', 'begin-claim', 'finish-claim']);

/**
Reads the binary form of a command.

@throws {StateFormatError} The bytes hold no command of a known version.
*/
export function decodeCommand(bytes: Uint8Array): Command {
	const value = decodeValue(bytes);
	if (typeof value !== 'object' || value === null || !('kind' in value)) {
		throw new StateFormatError('the bytes hold no command');
	}

	if (!commandKinds.has(value.kind)) {
		throw new StateFormatError(`command kind ${JSON.stringify(value.kind)} is not known`);
	}

	return value as Command;
}
