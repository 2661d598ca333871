/**
Creates clients and servers of remote calls. The credentials select the transport:
frame connections with a fleet token, gRPC with mutual TLS.
*/

import type {Clock} from '@fireflyglade/model';
import {FrameRpcClient} from '../frame-rpc-client/index.js';
import {FrameRpcServer, type FrameRpcServerOptions} from '../frame-rpc-server/index.js';
import {GrpcRpcClient} from '../grpc-rpc-client/index.js';
import {GrpcRpcServer} from '../grpc-rpc-server/index.js';
import type {FleetCredentials, RpcClient, RpcServer} from '../types.js';

/**
Creates a client of remote calls for the given kind of credentials.

@param onMessageError - Called for each malformed message, to log it.
*/
export function createRpcClient(credentials: FleetCredentials, clock: Clock, onMessageError?: (error: Error) => void): RpcClient {
	switch (credentials.kind) {
		case 'token': {
			return new FrameRpcClient(credentials.token, clock, onMessageError);
		}

		case 'mutual-tls': {
			return new GrpcRpcClient(credentials);
		}
	}
}

/**
Creates a server of remote calls for the given kind of credentials.

@param options - Options for connections that aren't under mutual TLS.
*/
export function createRpcServer(credentials: FleetCredentials, clock: Clock, options?: FrameRpcServerOptions): RpcServer {
	switch (credentials.kind) {
		case 'token': {
			return new FrameRpcServer(credentials.token, clock, options);
		}

		case 'mutual-tls': {
			return new GrpcRpcServer(credentials);
		}
	}
}
