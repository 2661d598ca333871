/**
Reads the body of a call that an `h3` router handles, up to a limit.

The router's own limit is not used. It reads the body through a web stream, which it
cancels at the limit; the next chunk of the request then fails in a socket event handler,
which ends the process.
*/

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {H3Event} from 'h3';
import {findRequestMemory} from '../_lib/connection-backlog/index.js';
import {BodyTooLargeError} from '../http-body/index.js';
import {readWholeBody} from '../read-whole-body/index.js';

/**
Reads the whole body of a call into memory. A body that is announced as longer than
`maximumBytes` is not read at all, and the rest of one that turns out to be longer isn't
read; the connection of either closes after the response.

@throws {BodyTooLargeError} The body is longer than `maximumBytes`.
@throws {BodyBrokenError} The caller disconnected in the middle of the body.
*/
export async function readCallBody(event: H3Event, maximumBytes: number): Promise<Uint8Array> {
	const {req: request, res: response} = event.runtime!.node! as unknown as {readonly req: IncomingMessage; readonly res: ServerResponse};
	try {
		return await readWholeBody(request, {maximumBytes, length: readLength(request), memory: findRequestMemory(response)});
	} catch (error) {
		if (error instanceof BodyTooLargeError) {
			response.shouldKeepAlive = false;
		}

		throw error;
	}
}

function readLength({headers}: IncomingMessage): number | undefined {
	const length = headers['content-length'];
	return length === undefined ? undefined : Number(length);
}
