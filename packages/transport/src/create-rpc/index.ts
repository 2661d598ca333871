/**
Makes the two ends of remote calls: over frame connections where the fleet token
lets processes in, over gRPC where mutual TLS does.
*/

import type {Clock} from '@fireflyglade/model';
import {FrameRpcClient} from '../frame-rpc-client/index.js';
import {FrameRpcServer} from '../frame-rpc-server/index.js';
import {GrpcRpcClient} from '../grpc-rpc-client/index.js';
import {GrpcRpcServer} from '../grpc-rpc-server/index.js';
import type {FleetCredentials, RpcClient, RpcServer} from '../types.js';

/** Makes a client of remote calls. */
export function createRpcClient(credentials: FleetCredentials, clock: Clock): RpcClient {
	switch (credentials.kind) {
		case 'token': {
			return new FrameRpcClient(credentials.token, clock);
		}

		case 'mutual-tls': {
			return new GrpcRpcClient(credentials);
		}
	}
}

/** Makes a server of remote calls. */
export function createRpcServer(credentials: FleetCredentials, clock: Clock): RpcServer {
	switch (credentials.kind) {
		case 'token': {
			return new FrameRpcServer(credentials.token, clock);
		}

		case 'mutual-tls': {
			return new GrpcRpcServer(credentials);
		}
	}
}
