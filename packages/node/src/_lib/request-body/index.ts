/**
Receives the body of a request: short bodies of known length are buffered, others
are streamed.
*/

import type {IncomingMessage} from 'node:http';
import {bytesInKibibyte} from '@fireflyglade/model';
import {
	BufferedBody, readWholeBody, StreamedBody,
	type RequestBody, type RequestMemory,
} from '@fireflyglade/transport';

/** Bodies up to this length are buffered before an attempt is sent. */
export const maximumBufferedBodyBytes = 64 * bytesInKibibyte;
/** Bytes of a streamed body that are kept so that another attempt can be sent. */
const maximumReplayBytes = 64 * bytesInKibibyte;

/** How the body of a request is framed. */
export type BodyFraming =
	| {readonly kind: 'none'}
	| {readonly kind: 'length'; readonly length: number}
	| {readonly kind: 'chunked'};

/** Determines how the body of a request is framed. */
export function readFraming(request: IncomingMessage): BodyFraming {
	if (request.headers['transfer-encoding'] !== undefined) {
		return {kind: 'chunked'};
	}

	const length = Number(request.headers['content-length'] ?? 0);
	return length === 0 ? {kind: 'none'} : {kind: 'length', length};
}

/** The body of a request that has none. */
export const emptyBody: RequestBody = new BufferedBody(undefined);

/** Creates the body of a request: buffered once it is complete, or streamed. */
export async function createRequestBody(request: IncomingMessage, framing: BodyFraming, options: RequestBodyOptions): Promise<RequestBody> {
	if (framing.kind === 'none') {
		return emptyBody;
	}

	if (framing.kind === 'length' && framing.length <= (options.maximumBufferedBytes ?? maximumBufferedBodyBytes)) {
		return new BufferedBody(await readWholeBody(request, {length: framing.length, memory: options.memory}));
	}

	return new StreamedBody(request, {
		length: framing.kind === 'length' ? framing.length : undefined,
		maximumReplayBytes,
		maximumBytes: options.maximumBytes,
		isWhole: () => request.complete,
		memory: options.memory,
	});
}

/** Options of `createRequestBody`. */
export type RequestBodyOptions = {
	readonly maximumBytes: number;
	/** Bodies up to this length are buffered. Defaults to `maximumBufferedBodyBytes`. */
	readonly maximumBufferedBytes?: number;
	/** Counts the memory of the body; not counted if absent. */
	readonly memory?: RequestMemory | undefined;
};
