/**
The messages of remote calls over frame connections, which the server and the
client share. What a call carries is packed on its own, so that it is read only
once the caller was let in.
*/

import {bytesInMebibyte} from '@fireflyglade/model';

/** Kinds of messages, the first part of each; kinds 0 and 1 are the connection's own. */
export const frameRpcKinds = {
	/** From the client: the fleet token. */
	hello: 2,
	/** From the client: number, method, packed message. */
	request: 3,
	/** From the server: number, packed message. */
	answer: 4,
	/** From the server: number, failure, details, code of the handler's error or null. */
	failure: 5,
	/** From the server, before it ends the connection: the fleet token is missing or wrong. */
	unauthenticated: 6,
} as const;

export const maximumFrameRpcBytes = 64 * bytesInMebibyte;
