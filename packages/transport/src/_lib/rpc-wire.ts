/**
Names and limits that the client and server of remote calls over gRPC share.
*/

import {bytesInMebibyte} from '@fireflyglade/model';
import type {RpcMethod} from '../types.js';

/** Metadata key of the fleet token. */
export const fleetTokenHeader = 'fireflyglade-fleet-token';

/** Metadata key of the code of a handler's error. */
export const errorCodeHeader = 'fireflyglade-error-code';

const maximumMessageBytes = 64 * bytesInMebibyte;

/* eslint-disable @typescript-eslint/naming-convention -- gRPC defines these option names. */
/** Channel options of both the client and the server. */
export const messageSizeOptions = {
	'grpc.max_receive_message_length': maximumMessageBytes,
	'grpc.max_send_message_length': maximumMessageBytes,
};

/** Channel options of the client; the library's retries, proxies and service configuration are disabled. */
export const clientChannelOptions = {
	...messageSizeOptions,
	'grpc.enable_retries': 0,
	'grpc.enable_http_proxy': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.min_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
	'grpc.keepalive_time_ms': 5000,
	'grpc.keepalive_timeout_ms': 2000,
};
/* eslint-enable @typescript-eslint/naming-convention */

/** Byte buffer type of the gRPC library. */
export type WireBytes = Buffer; // eslint-disable-line @typescript-eslint/no-restricted-types -- gRPC's codecs require it.

/** Returns the gRPC path of a method, which also names it on frame connections. */
export function methodPath(method: RpcMethod<unknown, unknown>): string {
	return `/fireflyglade.${method.service}/${method.name}`;
}

/** A codec that returns its input; messages are decoded only after the caller has been authenticated. */
export function passThroughBytes(bytes: WireBytes): WireBytes {
	return bytes;
}
