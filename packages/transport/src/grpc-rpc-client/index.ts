/**
Makes remote calls over gRPC, with one connection for each address.

The library's retries are disabled: callers retry themselves, since they know which
calls may run twice.
*/

import {
	Client, credentials as grpcCredentials, Metadata, status, type ChannelCredentials, type ServiceError,
} from '@grpc/grpc-js';
import {
	clientChannelOptions, errorCodeHeader, fleetTokenHeader, methodPath, passThroughBytes, type WireBytes,
} from '../_lib/rpc-wire.js';
import {decodeMessage, encodeMessage} from '../message-codec/index.js';
import {RpcError, type RpcFailure} from '../rpc-error/index.js';
import type {
	FleetCredentials, RpcCallOptions, RpcClient, RpcMethod,
} from '../types.js';

const maximumConnections = 512;

function createChannelCredentials(credentials: FleetCredentials): ChannelCredentials {
	switch (credentials.kind) {
		case 'token': {
			return grpcCredentials.createInsecure();
		}

		case 'mutual-tls': {
			return grpcCredentials.createSsl(Buffer.from(credentials.authority), Buffer.from(credentials.privateKey), Buffer.from(credentials.certificate));
		}
	}
}

function classifyFailure(code: status): RpcFailure {
	switch (code) { // eslint-disable-line @typescript-eslint/switch-exhaustiveness-check
		case status.DEADLINE_EXCEEDED: {
			return 'timeout';
		}

		case status.UNAUTHENTICATED: {
			return 'unauthenticated';
		}

		case status.UNIMPLEMENTED: {
			return 'unimplemented';
		}

		case status.INTERNAL: {
			return 'remote';
		}

		default: {
			return 'unavailable';
		}
	}
}

function toRpcError(error: ServiceError): RpcError {
	const [remoteCode] = error.metadata.get(errorCodeHeader);
	return new RpcError(classifyFailure(error.code), error.details, typeof remoteCode === 'string' ? remoteCode : undefined);
}

/**
A client of remote calls over gRPC.

@example
```ts
const client = new GrpcRpcClient({kind: 'token', token});
const response = await client.call(reportMethod, '127.0.0.1:7000', report, {timeoutMilliseconds: 500});
```
*/
export class GrpcRpcClient implements RpcClient {
	readonly #channelCredentials: ChannelCredentials;
	readonly #metadata = new Metadata();
	/** Clients by address, least recently used first. */
	readonly #clients = new Map<string, Client>();

	constructor(credentials: FleetCredentials) {
		this.#channelCredentials = createChannelCredentials(credentials);
		if (credentials.kind === 'token') {
			this.#metadata.set(fleetTokenHeader, credentials.token);
		}
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, options: RpcCallOptions): Promise<Response> {
		const client = this.#getClient(address);
		const bytes = await new Promise<WireBytes>((resolve, reject) => {
			client.makeUnaryRequest(
				methodPath(method as RpcMethod<unknown, unknown>),
				passThroughBytes,
				passThroughBytes,
				encodeMessage(request),
				this.#metadata,
				{deadline: Date.now() + options.timeoutMilliseconds},
				(error, answer) => {
					if (error) {
						reject(toRpcError(error));
						return;
					}

					resolve(answer ?? Buffer.alloc(0));
				},
			);
		});
		return decodeMessage(bytes) as Response;
	}

	close(): void {
		for (const client of this.#clients.values()) {
			client.close();
		}

		this.#clients.clear();
	}

	#getClient(address: string): Client {
		const known = this.#clients.get(address);
		if (known !== undefined) {
			this.#clients.delete(address);
			this.#clients.set(address, known);
			return known;
		}

		this.#evictLeastRecentlyUsed();
		const client = new Client(address, this.#channelCredentials, clientChannelOptions);
		this.#clients.set(address, client);
		return client;
	}

	#evictLeastRecentlyUsed(): void {
		if (this.#clients.size < maximumConnections) {
			return;
		}

		const [oldest] = this.#clients;
		if (oldest !== undefined) {
			const [address, client] = oldest;
			client.close();
			this.#clients.delete(address);
		}
	}
}
