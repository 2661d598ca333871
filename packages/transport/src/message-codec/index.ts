/**
The codec of messages between processes: MessagePack with support for maps and sets.
*/

import {Packr} from 'msgpackr';
import type {WireBytes} from '../_lib/rpc-wire.js';

const packr = new Packr({useRecords: true, moreTypes: true});

/** Encodes a plain value, including maps, sets and byte arrays. */
export function encodeMessage(message: unknown): WireBytes {
	return packr.pack(message);
}

/**
Decodes a message that `encodeMessage` encoded.

@throws {Error} The bytes are not valid MessagePack.
*/
export function decodeMessage(bytes: Uint8Array): unknown {
	return packr.unpack(bytes) as unknown;
}
