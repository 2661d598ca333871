/**
Encoding of one write to the log. A write is one frame, so that after a crash either
all of it is present or none of it.
*/

import type {StoredRecord} from '../types.js';

/** One write to the log. */
export type Batch = {
	readonly truncateFrom?: number;
	/** If present, a snapshot replaces all records up to this index, and the log continues after it. */
	readonly restartAfter?: number;
	readonly value?: Uint8Array;
	readonly records: readonly StoredRecord[];
};

const truncateFlag = 1;
const restartFlag = 2;
const valueFlag = 4;
const recordsFlag = 8;
const indexBytes = 8;
const lengthBytes = 4;

/** Encodes a batch. The indexes of its records must be consecutive. */
export function encodeBatch(batch: Batch): Uint8Array {
	const bytes = Buffer.allocUnsafe(batchSize(batch));
	let offset = bytes.writeUInt8(flagsOf(batch), 0);
	for (const index of [batch.truncateFrom, batch.restartAfter, batch.records[0]?.index]) {
		if (index !== undefined) {
			offset = bytes.writeBigUInt64BE(BigInt(index), offset);
		}
	}

	const parts = batch.records.map(record => record.data);
	for (const part of batch.value === undefined ? parts : [batch.value, ...parts]) {
		offset = bytes.writeUInt32BE(part.byteLength, offset);
		bytes.set(part, offset);
		offset += part.byteLength;
	}

	return bytes;
}

/** Decodes a batch whose checksum is already verified. */
export function decodeBatch(payload: Uint8Array): Batch {
	const reader = new BatchReader(payload);
	const flags = reader.readFlags();
	const truncateFrom = hasFlag(flags, truncateFlag) ? reader.readIndex() : undefined;
	const restartAfter = hasFlag(flags, restartFlag) ? reader.readIndex() : undefined;
	const firstIndex = hasFlag(flags, recordsFlag) ? reader.readIndex() : 0;
	const value = hasFlag(flags, valueFlag) ? reader.readPart() : undefined;
	const records: StoredRecord[] = [];
	while (!reader.isAtEnd) {
		records.push({index: firstIndex + records.length, data: reader.readPart()});
	}

	return {
		truncateFrom, restartAfter, value, records,
	};
}

class BatchReader {
	readonly #bytes: Uint8Array;
	readonly #view: DataView;
	#offset = 0;

	constructor(payload: Uint8Array) {
		this.#bytes = payload;
		this.#view = new DataView(payload.buffer, payload.byteOffset, payload.byteLength);
	}

	get isAtEnd(): boolean {
		return this.#offset >= this.#bytes.byteLength;
	}

	readFlags(): number {
		const flags = this.#view.getUint8(this.#offset);
		this.#offset += 1;
		return flags;
	}

	readIndex(): number {
		const index = this.#view.getBigUint64(this.#offset);
		this.#offset += indexBytes;
		return Number(index);
	}

	readPart(): Uint8Array {
		const length = this.#view.getUint32(this.#offset);
		const start = this.#offset + lengthBytes;
		this.#offset = start + length;
		return this.#bytes.slice(start, this.#offset);
	}
}

function batchSize(batch: Batch): number {
	let size = 1;
	for (const index of [batch.truncateFrom, batch.restartAfter, batch.records[0]]) {
		size += index === undefined ? 0 : indexBytes;
	}

	size += batch.value === undefined ? 0 : lengthBytes + batch.value.byteLength;
	for (const record of batch.records) {
		size += lengthBytes + record.data.byteLength;
	}

	return size;
}

function flagsOf(batch: Batch): number {
	return (batch.truncateFrom === undefined ? 0 : truncateFlag)
		+ (batch.restartAfter === undefined ? 0 : restartFlag)
		+ (batch.value === undefined ? 0 : valueFlag)
		+ (batch.records.length === 0 ? 0 : recordsFlag);
}

function hasFlag(flags: number, flag: number): boolean {
	return Math.floor(flags / flag) % 2 === 1;
}
