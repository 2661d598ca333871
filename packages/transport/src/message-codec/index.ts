/**
The codec of messages between processes: MessagePack, with maps and sets kept.
*/

import {Packr} from 'msgpackr';
import type {WireBytes} from '../_lib/rpc-wire.js';

const packr = new Packr({useRecords: true, moreTypes: true});

/** Encodes a plain value; maps, sets and byte arrays are kept. */
export function encodeMessage(message: unknown): WireBytes {
	return packr.pack(message);
}

/**
Decodes what `encodeMessage` wrote.

@throws {Error} The bytes are not MessagePack.
*/
export function decodeMessage(bytes: Uint8Array): unknown {
	return packr.unpack(bytes) as unknown;
}
