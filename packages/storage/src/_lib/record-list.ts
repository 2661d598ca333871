/**
The records and the value that result from a sequence of batches.
*/

import {StorageDamagedError} from '../errors/index.js';
import type {StoredRecord} from '../types.js';
import type {Batch} from './batch.js';

/** The result of replaying batches in the order in which they were written. */
export class RecordList {
	#records: StoredRecord[] = [];
	#value: Uint8Array | undefined;
	/** Index of the last record, even if a snapshot replaced it; undefined before the first batch with records. */
	#lastIndex: number | undefined;

	get records(): readonly StoredRecord[] {
		return this.#records;
	}

	get value(): Uint8Array | undefined {
		return this.#value;
	}

	get lastIndex(): number | undefined {
		return this.#lastIndex;
	}

	/**
	Replays one batch.

	@throws {StorageDamagedError} The records of the batch do not follow the previous ones.
	*/
	replay(batch: Batch, file: string, offset: number): void {
		this.#value = batch.value ?? this.#value;
		this.#truncate(batch.truncateFrom);
		if (batch.restartAfter !== undefined) {
			this.#records = [];
			this.#lastIndex = batch.restartAfter;
		}

		for (const record of batch.records) {
			if (this.#lastIndex !== undefined && record.index !== this.#lastIndex + 1) {
				throw new StorageDamagedError(file, offset, `record ${record.index} follows record ${this.#lastIndex}`);
			}

			this.#records.push(record);
			this.#lastIndex = record.index;
		}
	}

	#truncate(from: number | undefined): void {
		if (from === undefined || this.#lastIndex === undefined || from > this.#lastIndex) {
			return;
		}

		const first = this.#records[0]?.index ?? this.#lastIndex + 1;
		this.#records.length = Math.max(0, from - first);
		this.#lastIndex = from - 1;
	}
}
