/**
Frames: byte sequences with checksums, stored consecutively in a file.

A frame has a header of 12 bytes: the length of its payload, the CRC-32 of the
payload, and the CRC-32 of these eight bytes. Because of the checksum of the header,
a corrupt length is not mistaken for a torn frame.
*/

import {crc32} from 'node:zlib';

export const frameHeaderBytes = 12;
/** Disks write whole sectors, so a torn write leaves some sectors unwritten, which read as zeros. */
const sectorBytes = 512;

/** The result of reading a frame at an offset of a file. */
export type FrameResult =
	| {readonly kind: 'frame'; readonly payload: Uint8Array; readonly next: number}
	| {readonly kind: 'end'}
	/** The rest of the file is an incomplete write. */
	| {readonly kind: 'torn'}
	| {readonly kind: 'damaged'; readonly reason: string};

/** Prepends a frame header to a payload. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
	const frame = new Uint8Array(frameHeaderBytes + payload.byteLength);
	const view = new DataView(frame.buffer);
	view.setUint32(0, payload.byteLength);
	view.setUint32(4, crc32(payload));
	view.setUint32(8, crc32(frame.subarray(0, 8)));
	frame.set(payload, frameHeaderBytes);
	return frame;
}

/** Reads the frame at an offset. */
export function readFrame(content: Uint8Array, offset: number): FrameResult {
	const remaining = content.byteLength - offset;
	if (remaining === 0) {
		return {kind: 'end'};
	}

	if (remaining < frameHeaderBytes || isZero(content.subarray(offset))) {
		return {kind: 'torn'};
	}

	const view = new DataView(content.buffer, content.byteOffset + offset, frameHeaderBytes);
	if (view.getUint32(8) !== crc32(content.subarray(offset, offset + 8))) {
		return isHeaderUnwritten(content, offset) ? {kind: 'torn'} : {kind: 'damaged', reason: 'the header checksum does not match'};
	}

	const next = offset + frameHeaderBytes + view.getUint32(0);
	if (next > content.byteLength) {
		return {kind: 'torn'};
	}

	const payload = content.subarray(offset + frameHeaderBytes, next);
	if (view.getUint32(4) !== crc32(payload)) {
		// A frame with a wrong checksum is torn if it is the last one and one of its sectors was never written.
		const isTorn = next === content.byteLength && hasUnwrittenSector(content, offset, next);
		return isTorn ? {kind: 'torn'} : {kind: 'damaged', reason: 'the payload checksum does not match'};
	}

	return {kind: 'frame', payload, next};
}

/** True if a sector that contains part of the header was never written. */
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
