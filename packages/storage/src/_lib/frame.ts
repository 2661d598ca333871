/**
Frames: byte strings with checksums, one after the other in a file.

A frame has a header of 12 bytes: the length of its payload, the CRC-32 of the
payload, and the CRC-32 of these eight bytes. The header's own checksum keeps a
damaged length from being taken for a frame that was cut short.
*/

import {crc32} from 'node:zlib';

export const frameHeaderBytes = 12;
/** Disks write whole sectors; a torn write leaves sectors that were never written. */
const sectorBytes = 512;

/** What stands at an offset of a file. */
export type FrameReading =
	| {readonly kind: 'frame'; readonly payload: Uint8Array; readonly next: number}
	| {readonly kind: 'end'}
	/** The rest of the file is a write that was cut short. */
	| {readonly kind: 'torn'}
	| {readonly kind: 'damaged'; readonly reason: string};

/** Puts a header before a payload. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
	const frame = new Uint8Array(frameHeaderBytes + payload.byteLength);
	const view = new DataView(frame.buffer);
	view.setUint32(0, payload.byteLength);
	view.setUint32(4, crc32(payload));
	view.setUint32(8, crc32(frame.subarray(0, 8)));
	frame.set(payload, frameHeaderBytes);
	return frame;
}

/** Reads the frame at an offset of a file's content. */
export function readFrame(content: Uint8Array, offset: number): FrameReading {
	const left = content.byteLength - offset;
	if (left === 0) {
		return {kind: 'end'};
	}

	if (left < frameHeaderBytes || isZero(content.subarray(offset))) {
		return {kind: 'torn'};
	}

	const view = new DataView(content.buffer, content.byteOffset + offset, frameHeaderBytes);
	if (view.getUint32(8) !== crc32(content.subarray(offset, offset + 8))) {
		return isHeaderUnwritten(content, offset) ? {kind: 'torn'} : {kind: 'damaged', reason: 'the checksum of the header does not match'};
	}

	const next = offset + frameHeaderBytes + view.getUint32(0);
	if (next > content.byteLength) {
		return {kind: 'torn'};
	}

	const payload = content.subarray(offset + frameHeaderBytes, next);
	if (view.getUint32(4) !== crc32(payload)) {
		// A bad frame was torn if nothing follows it and one of its sectors was never written.
		const isTorn = next === content.byteLength && hasUnwrittenSector(content, offset, next);
		return isTorn ? {kind: 'torn'} : {kind: 'damaged', reason: 'the checksum of the payload does not match'};
	}

	return {kind: 'frame', payload, next};
}

/** True if a sector in which the header lies was never written. */
function isHeaderUnwritten(content: Uint8Array, start: number): boolean {
	const lastSector = Math.floor((start + frameHeaderBytes - 1) / sectorBytes);
	const end = Math.min(content.byteLength, (lastSector + 1) * sectorBytes);
	return hasUnwrittenSector(content, start, end);
}

function hasUnwrittenSector(content: Uint8Array, start: number, end: number): boolean {
	let position = start;
	while (position < end) {
		const sectorEnd = Math.min(end, (Math.floor(position / sectorBytes) + 1) * sectorBytes);
		if (isZero(content.subarray(position, sectorEnd))) {
			return true;
		}

		position = sectorEnd;
	}

	return false;
}

function isZero(bytes: Uint8Array): boolean {
	for (const byte of bytes) {
		if (byte !== 0) {
			return false;
		}
	}

	return true;
}
