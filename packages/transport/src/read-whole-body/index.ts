/**
Reads a body into memory.

The bytes are counted as they arrive. Small chunks are copied into blocks, since a chunk
of a few bytes is an object that takes many times its length.
*/

import type {Readable} from 'node:stream';
import {bytesInKibibyte} from '@fireflyglade/model';
import {BodyBrokenError, BodyTooLargeError} from '../http-body/index.js';

/** Counts the memory of a body. */
export type BodyMemory = {
	/** Counts bytes that are held from now on. Returns false if no more should be read until `whenRelieved` calls back. */
	hold(bytes: number): boolean;
	/** Calls back once more may be read. Returns a function that cancels this. */
	whenRelieved(resume: () => void): () => void;
};

/** What is expected of a body. */
export type WholeBodyOptions = {
	/** Length in bytes, if it is known before the body is read. */
	readonly length: number | undefined;
	/** Maximum length in bytes; unlimited if absent. */
	readonly maximumBytes?: number;
	/** Counts the memory of the body; not counted if absent. */
	readonly memory?: BodyMemory | undefined;
};

/** Chunks of at least this length are kept as they are. */
const largeChunkBytes = 4 * bytesInKibibyte;
const blockBytes = 16 * bytesInKibibyte;

/**
Reads a body into memory. If it is longer than the limit, the rest of the source is not read.

@throws {BodyTooLargeError} The body is longer than `maximumBytes`.
@throws {BodyBrokenError} The source ended with a length other than `length`, or was closed before its end.
*/
export async function readWholeBody(source: Readable, options: WholeBodyOptions): Promise<Uint8Array> {
	const {length, maximumBytes} = options;
	if (length !== undefined && maximumBytes !== undefined && length > maximumBytes) {
		throw createTooLargeError(maximumBytes);
	}

	return new Promise((resolve, reject) => {
		new WholeBodyReader(source, options, {resolve, reject}).start();
	});
}

/** Where the result of a read goes. */
type ReadResult = {
	readonly resolve: (body: Uint8Array) => void;
	readonly reject: (error: Error) => void;
};

/** One read of a body. */
class WholeBodyReader {
	readonly #source: Readable;
	readonly #options: WholeBodyOptions;
	readonly #result: ReadResult;
	readonly #chunks: ChunkList;
	/** Ends the wait for memory; set while the source is not read. */
	#cancelWait: (() => void) | undefined;

	constructor(source: Readable, options: WholeBodyOptions, result: ReadResult) {
		this.#source = source;
		this.#options = options;
		this.#result = result;
		this.#chunks = new ChunkList(options.length);
	}

	start(): void {
		this.#source.on('data', this.#take);
		this.#source.once('end', () => {
			this.#end();
		});
		this.#source.once('error', () => {
			this.#fail();
		});
		this.#source.once('close', () => {
			this.#fail();
		});
	}

	readonly #take = (chunk: Uint8Array): void => {
		const {maximumBytes = Number.POSITIVE_INFINITY, memory} = this.#options;
		if (this.#chunks.bytes + chunk.byteLength > maximumBytes) {
			this.#source.removeListener('data', this.#take);
			this.#source.pause();
			this.#result.reject(createTooLargeError(maximumBytes));
			return;
		}

		const occupiedBytes = this.#chunks.add(chunk);
		if (memory?.hold(occupiedBytes) === false) {
			this.#waitForMemory(memory);
		}
	};

	#waitForMemory(memory: BodyMemory): void {
		this.#source.pause();
		this.#cancelWait = memory.whenRelieved(() => {
			this.#source.resume();
		});
	}

	#end(): void {
		const {length} = this.#options;
		if (length === undefined || this.#chunks.bytes === length) {
			this.#result.resolve(this.#chunks.concatenate());
			return;
		}

		this.#result.reject(new BodyBrokenError('the body ended before its stated length'));
	}

	#fail(): void {
		this.#cancelWait?.();
		if (!this.#source.readableEnded) {
			this.#result.reject(new BodyBrokenError('the caller disconnected in the middle of the body'));
		}
	}
}

function createTooLargeError(maximumBytes: number): BodyTooLargeError {
	return new BodyTooLargeError(`the body is larger than ${maximumBytes} bytes`);
}

/** Chunks of a body, the small ones joined. */
class ChunkList {
	/** Bytes of all chunks. */
	bytes = 0;
	readonly #chunks: Uint8Array[] = [];
	readonly #expectedBytes: number;
	#block: Uint8Array | undefined;
	#blockLength = 0;

	constructor(expectedBytes = Number.POSITIVE_INFINITY) {
		this.#expectedBytes = expectedBytes;
	}

	/** Adds a chunk and returns the bytes that the list occupies in addition. */
	add(chunk: Uint8Array): number {
		const isFirst = this.bytes === 0;
		this.bytes += chunk.byteLength;
		if (isFirst || chunk.byteLength >= largeChunkBytes) {
			this.#endBlock();
			this.#chunks.push(chunk);
			return chunk.byteLength;
		}

		return this.#copy(chunk);
	}

	/** Returns all bytes as one chunk. */
	concatenate(): Uint8Array {
		this.#endBlock();
		return this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
	}

	#copy(chunk: Uint8Array): number {
		let occupied = 0;
		if (this.#block === undefined || this.#blockLength + chunk.byteLength > this.#block.byteLength) {
			this.#endBlock();
			const missingBytes = this.#expectedBytes - this.bytes + chunk.byteLength;
			occupied = Math.max(chunk.byteLength, Math.min(blockBytes, missingBytes));
			this.#block = Buffer.allocUnsafeSlow(occupied);
		}

		this.#block.set(chunk, this.#blockLength);
		this.#blockLength += chunk.byteLength;
		return occupied;
	}

	#endBlock(): void {
		if (this.#block !== undefined) {
			this.#chunks.push(this.#block.subarray(0, this.#blockLength));
			this.#block = undefined;
			this.#blockLength = 0;
		}
	}
}
