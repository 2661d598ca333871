/**
Message kinds and limits that the client and server of remote calls over frame
connections share. The payload of a call is encoded separately, so that it is decoded
only after the caller has been authenticated.
*/

import {bytesInMebibyte} from '@fireflyglade/model';

/** Kinds of messages, the first element of each; kinds 0 and 1 are reserved for the connection's probes. */
export const frameRpcKinds = {
	/** From the client: the fleet token. */
	hello: 2,
	/** From the client: call number, method, encoded request. */
	request: 3,
	/** From the server: call number, encoded response. */
	answer: 4,
	/** From the server: call number, failure, details, code of the handler's error or null. */
	failure: 5,
	/** From the server, before it closes the connection: the fleet token is missing or wrong. */
	unauthenticated: 6,
} as const;

/** Maximum size of a message in either direction. */
export const maximumFrameRpcBytes = 64 * bytesInMebibyte;
