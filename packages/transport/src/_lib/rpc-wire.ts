/**
Names and limits that the server and the client of remote calls share.
*/

import {bytesInMebibyte} from '@fireflyglade/model';
import type {RpcMethod} from '../types.js';

/** Metadata key of the fleet token. */
export const fleetTokenHeader = 'fireflyglade-fleet-token';

/** Metadata key of the code of a handler's error. */
export const errorCodeHeader = 'fireflyglade-error-code';

const maximumMessageBytes = 64 * bytesInMebibyte;

/* eslint-disable @typescript-eslint/naming-convention -- gRPC names its options so. */
/** Channel options that both sides set. */
export const messageSizeOptions = {
	'grpc.max_receive_message_length': maximumMessageBytes,
	'grpc.max_send_message_length': maximumMessageBytes,
};

/** Channel options of the client; the library's own retries, proxies and service configuration stay off. */
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

/** Bytes as the gRPC library hands them over. */
export type WireBytes = Buffer; // eslint-disable-line @typescript-eslint/no-restricted-types -- gRPC's codecs ask for it.

/** The gRPC path of a method. */
export function methodPath(method: RpcMethod<unknown, unknown>): string {
	return `/fireflyglade.${method.service}/${method.name}`;
}

/** Passes bytes on unchanged; messages are decoded only once the caller was let in. */
export function passThroughBytes(bytes: WireBytes): WireBytes {
	return bytes;
}
