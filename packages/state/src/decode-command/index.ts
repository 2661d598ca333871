/**
Decodes commands of the replicated log.
*/

import {decodeValue} from '../_lib/codec.js';
import {StateFormatError} from '../errors/index.js';
import type {Command} from '../types.js';

const commandKinds: ReadonlySet<unknown> = new Set<Command['kind']>(['change', 'replace', 'begin-claim', 'finish-claim', 'record-departure']);

/**
Decodes a command.

@throws {StateFormatError} The bytes are not a command of a known kind and format version.
*/
export function decodeCommand(bytes: Uint8Array): Command {
	const value = decodeValue(bytes);
	if (typeof value !== 'object' || value === null || !('kind' in value)) {
		throw new StateFormatError('the bytes are not a command');
	}

	if (!commandKinds.has(value.kind)) {
		throw new StateFormatError(`unknown command kind ${JSON.stringify(value.kind)}`);
	}

	return value as Command;
}
