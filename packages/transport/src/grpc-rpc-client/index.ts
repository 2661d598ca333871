/**
Makes remote calls over gRPC. One connection is kept for each address.

Retries belong to the callers, who know what may run twice; the library's own
are switched off.
*/

import {
	Client, credentials as grpcCredentials, Metadata, status, type ChannelCredentials, type ServiceError,
} from '@grpc/grpc-js';
import {
	clientChannelOptions, errorCodeHeader, fleetTokenHeader, methodPath, passBytes, type WireBytes,
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
A client of remote calls.

@example
```ts
const client = new GrpcRpcClient({kind: 'token', token});
const answer = await client.call(reportMethod, '127.0.0.1:7000', report, {timeoutMilliseconds: 500});
```
*/
export class GrpcRpcClient implements RpcClient {
	readonly #channelCredentials: ChannelCredentials;
	readonly #metadata = new Metadata();
	/** Oldest used first. */
	readonly #clients = new Map<string, Client>();

	constructor(credentials: FleetCredentials) {
		this.#channelCredentials = createChannelCredentials(credentials);
		if (credentials.kind === 'token') {
			this.#metadata.set(fleetTokenHeader, credentials.token);
		}
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, options: RpcCallOptions): Promise<Response> {
		const client = this.#clientFor(address);
		const bytes = await new Promise<WireBytes>((resolve, reject) => {
			client.makeUnaryRequest(
				methodPath(method as RpcMethod<unknown, unknown>),
				passBytes,
				passBytes,
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

	#clientFor(address: string): Client {
		const known = this.#clients.get(address);
		if (known !== undefined) {
			this.#clients.delete(address);
			this.#clients.set(address, known);
			return known;
		}

		this.#dropOldest();
		const client = new Client(address, this.#channelCredentials, clientChannelOptions);
		this.#clients.set(address, client);
		return client;
	}

	#dropOldest(): void {
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
