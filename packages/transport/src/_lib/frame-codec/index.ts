/**
Encodes and decodes the messages of a frame connection: MessagePack values with a length
prefix.
*/

import {Packr} from 'msgpackr';

/** Length of the prefix that states the length of a message. */
export const lengthPrefixBytes = 4;

const packr = new Packr({useRecords: false, copyBuffers: true});

/** Reads the length of a message from its prefix. */
export function readLength(bytes: Uint8Array): number {
	return (((((bytes[0]! * 256) + bytes[1]!) * 256) + bytes[2]!) * 256) + bytes[3]!;
}

/** Encodes messages, each with a length prefix, into one buffer. */
export function encodeFrames(messages: ReadonlyArray<readonly unknown[]>): Uint8Array {
	const parts: Uint8Array[] = [];
	for (const message of messages) {
		const packed = packr.pack(message);
		const length = Buffer.allocUnsafe(lengthPrefixBytes);
		length.writeUInt32BE(packed.length);
		parts.push(length, packed);
	}

	return Buffer.concat(parts);
}

/** Decodes a message without its prefix; undefined if it is not a valid MessagePack array. */
export function decodeFrame(bytes: Uint8Array): readonly unknown[] | undefined {
	try {
		const value = packr.unpack(bytes) as unknown;
		return Array.isArray(value) ? value as readonly unknown[] : undefined;
	} catch {
		// The caller closes the connection with an error.
		return undefined;
	}
}
