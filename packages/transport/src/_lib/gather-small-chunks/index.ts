/**
Joins the small chunks of a chunked request body before they are buffered.

The HTTP server buffers each chunk as an object of its own, which takes hundreds of
bytes for a chunk of a single one, and counts only the bytes of the chunks against the
limit of its buffer.
*/

import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {bytesInKibibyte} from '@fireflyglade/model';

/** Chunks of at least this length are buffered as they are. */
const largeChunkBytes = 512;
/** Joined chunks are buffered once they have this length, or when the current read has been parsed. */
const maximumJoinedBytes = 4 * bytesInKibibyte;

/** What was parsed of a chunked body. */
export type GatheredChunks = {
	/** Number of chunks, whole or in part. */
	readonly count: number;
};

/** Joins the small chunks of a request from now on. Must be called before any part of its body is parsed. */
export function gatherSmallChunks(request: IncomingMessage): GatheredChunks {
	const chunks = {count: 0};
	const push = request.push.bind(request);
	let gathered: Uint8Array[] = [];
	let gatheredBytes = 0;
	const flush = (): boolean => {
		const [first] = gathered;
		if (first === undefined || request.destroyed) {
			return true;
		}

		const joined = gathered.length === 1 ? first : Buffer.concat(gathered, gatheredBytes);
		gathered = [];
		gatheredBytes = 0;
		return push(joined);
	};

	request.push = (chunk: unknown): boolean => {
		chunks.count += 1;
		if (!(chunk instanceof Uint8Array) || chunk.byteLength >= largeChunkBytes) {
			flush();
			return push(chunk);
		}

		if (gathered.length === 0) {
			process.nextTick(flush);
		}

		gathered.push(chunk);
		gatheredBytes += chunk.byteLength;
		return gatheredBytes < maximumJoinedBytes || flush();
	};

	return chunks;
}
