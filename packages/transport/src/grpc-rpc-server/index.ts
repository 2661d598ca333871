/**
Answers remote calls over gRPC.

A caller is let in by mutual TLS or by the fleet token, and its message is
decoded only after that.
*/

import {createHash, timingSafeEqual} from 'node:crypto';
import {
	Metadata, Server, ServerCredentials, status, type handleUnaryCall, type sendUnaryData, type ServiceDefinition, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {FireflygladeError} from '@fireflyglade/model';
import {
	errorCodeHeader, fleetTokenHeader, messageSizeOptions, methodPath, passBytes, type WireBytes,
} from '../_lib/rpc-wire.js';
import {decodeMessage, encodeMessage} from '../message-codec/index.js';
import type {FleetCredentials, RpcMethod, RpcServer} from '../types.js';

/** The address can't be listened on. */
export class ListenError extends FireflygladeError {
	get code(): 'listen-failed' {
		return 'listen-failed';
	}
}

type Handler = (request: unknown) => Promise<unknown>;

const shutdownTimeoutMilliseconds = 1000;

function digest(value: string): Uint8Array {
	return createHash('sha256').update(value).digest();
}

function createServerCredentials(credentials: FleetCredentials): ServerCredentials {
	switch (credentials.kind) {
		case 'token': {
			return ServerCredentials.createInsecure();
		}

		case 'mutual-tls': {
			const pair = {private_key: Buffer.from(credentials.privateKey), cert_chain: Buffer.from(credentials.certificate)}; // eslint-disable-line @typescript-eslint/naming-convention
			return ServerCredentials.createSsl(Buffer.from(credentials.authority), [pair], true);
		}
	}
}

/**
A server of remote calls.

@example
```ts
const server = new GrpcRpcServer({kind: 'token', token});
server.handle(reportMethod, async report => answer(report));
const address = await server.listen('127.0.0.1:0');
```
*/
export class GrpcRpcServer implements RpcServer {
	readonly #server = new Server(messageSizeOptions);
	readonly #handlers = new Map<string, {readonly method: RpcMethod<unknown, unknown>; readonly handler: Handler}>();
	readonly #credentials: FleetCredentials;
	readonly #tokenDigest: Uint8Array | undefined;

	constructor(credentials: FleetCredentials) {
		this.#credentials = credentials;
		this.#tokenDigest = credentials.kind === 'token' ? digest(credentials.token) : undefined;
	}

	handle<Request, Response>(method: RpcMethod<Request, Response>, handler: (request: Request) => Promise<Response>): void {
		this.#handlers.set(methodPath(method as RpcMethod<unknown, unknown>), {
			method: method as RpcMethod<unknown, unknown>,
			handler: handler as Handler,
		});
	}

	async listen(address: string): Promise<string> {
		this.#addServices();
		const port = await new Promise<number>((resolve, reject) => {
			this.#server.bindAsync(address, createServerCredentials(this.#credentials), (error, boundPort) => {
				if (error) {
					reject(new ListenError(`can't listen on ${address}: ${error.message}`, {cause: error}));
					return;
				}

				resolve(boundPort);
			});
		});
		return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
	}

	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#server.forceShutdown();
				resolve();
			}, shutdownTimeoutMilliseconds);
			this.#server.tryShutdown(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	#addServices(): void {
		const definition: Record<string, ServiceDefinition[string]> = {};
		const implementation: UntypedServiceImplementation = {};
		for (const [path, {handler}] of this.#handlers) {
			definition[path] = {
				path,
				requestStream: false,
				responseStream: false,
				requestSerialize: passBytes,
				requestDeserialize: passBytes,
				responseSerialize: passBytes,
				responseDeserialize: passBytes,
			};
			implementation[path] = this.#answerCalls(handler);
		}

		this.#server.addService(definition, implementation);
	}

	#answerCalls(handler: Handler): handleUnaryCall<WireBytes, WireBytes> {
		return (call, callback) => {
			if (!this.#isLetIn(call.metadata)) {
				callback({code: status.UNAUTHENTICATED, details: 'the fleet token is missing or wrong'});
				return;
			}

			void this.#run(handler, call.request, callback);
		};
	}

	async #run(handler: Handler, bytes: WireBytes, callback: sendUnaryData<WireBytes>): Promise<void> {
		try {
			const answer = await handler(decodeMessage(bytes));
			callback(null, encodeMessage(answer));
		} catch (error: unknown) {
			callback(describeFailure(error));
		}
	}

	#isLetIn(metadata: Metadata): boolean {
		if (this.#tokenDigest === undefined) {
			return true;
		}

		const [token] = metadata.get(fleetTokenHeader);
		return typeof token === 'string' && timingSafeEqual(digest(token), this.#tokenDigest);
	}
}

function describeFailure(error: unknown): {code: status; details: string; metadata: Metadata} {
	const metadata = new Metadata();
	if (error instanceof FireflygladeError) {
		metadata.set(errorCodeHeader, error.code);
	}

	const details = error instanceof Error ? error.message : 'the handler failed';
	return {code: status.INTERNAL, details, metadata};
}
