/**
Makes remote calls over frame connections, with one connection for each address.
Calls that are made at the same time share writes and reads.

If nothing is received on a connection between the start of a call and its timeout,
the connection is closed, since a broken network path does not always reset it. The
next call opens a new connection.
*/

import type {Clock, Timer} from '@fireflyglade/model';
import {frameRpcKinds as kinds, maximumFrameRpcBytes} from '../_lib/frame-rpc-wire.js';
import {methodPath} from '../_lib/rpc-wire.js';
import {FrameConnection, type FrameConnectionOptions} from '../frame-connection/index.js';
import {decodeMessage, encodeMessage} from '../message-codec/index.js';
import {RpcError, type RpcFailure} from '../rpc-error/index.js';
import type {RpcCallOptions, RpcClient, RpcMethod} from '../types.js';

const maximumConnections = 512;

/** A client of remote calls over frame connections that authenticates with the fleet token. */
export class FrameRpcClient implements RpcClient {
	readonly #token: string;
	readonly #clock: Clock;
	readonly #onMessageError: ((error: Error) => void) | undefined;
	/** Connections by address, least recently used first. */
	readonly #connections = new Map<string, RpcConnection>();

	constructor(token: string, clock: Clock, onMessageError?: (error: Error) => void) {
		this.#token = token;
		this.#clock = clock;
		this.#onMessageError = onMessageError;
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, {timeoutMilliseconds}: RpcCallOptions): Promise<Response> {
		const bytes = await this.#getConnection(address).call(methodPath(method as RpcMethod<unknown, unknown>), encodeMessage(request), timeoutMilliseconds);
		return decodeMessage(bytes) as Response;
	}

	close(): void {
		for (const connection of this.#connections.values()) {
			connection.end();
		}

		this.#connections.clear();
	}

	#getConnection(address: string): RpcConnection {
		const known = this.#connections.get(address);
		this.#connections.delete(address);
		if (known === undefined) {
			this.#evictLeastRecentlyUsed();
		}

		const connection = known === undefined || known.isClosed ? new RpcConnection(address, this.#token, this.#createConnectionOptions()) : known;
		this.#connections.set(address, connection);
		return connection;
	}

	#createConnectionOptions(): FrameConnectionOptions {
		return {clock: this.#clock, maximumMessageBytes: maximumFrameRpcBytes, ...(this.#onMessageError === undefined ? {} : {onMessageError: this.#onMessageError})};
	}

	#evictLeastRecentlyUsed(): void {
		const [oldest] = this.#connections;
		if (oldest !== undefined && this.#connections.size >= maximumConnections) {
			const [address, connection] = oldest;
			connection.end();
			this.#connections.delete(address);
		}
	}
}

type PendingCall = {
	readonly sentAt: number;
	readonly timer: Timer;
	readonly resolve: (bytes: Uint8Array) => void;
	readonly reject: (error: RpcError) => void;
};

/** One connection with its pending calls. */
class RpcConnection {
	readonly #connection: FrameConnection;
	readonly #clock: Clock;
	readonly #pendingCalls = new Map<number, PendingCall>();
	#lastCallNumber = 0;
	#lastReceivedAt = Number.NEGATIVE_INFINITY;
	/** True once the server has rejected the fleet token. */
	#isUnauthenticated = false;

	constructor(address: string, token: string, options: FrameConnectionOptions) {
		this.#clock = options.clock;
		this.#connection = FrameConnection.open(address, {
			onMessage: message => {
				this.#handleMessage(message);
			},
			onClosed: error => {
				this.#failAll(this.#isUnauthenticated ? 'unauthenticated' : 'unavailable', error?.message ?? 'the connection was closed');
			},
		}, options);
		this.#connection.send([kinds.hello, token]);
	}

	get isClosed(): boolean {
		return this.#connection.isClosed;
	}

	async call(method: string, bytes: Uint8Array, timeoutMilliseconds: number): Promise<Uint8Array> {
		this.#lastCallNumber++;
		const number = this.#lastCallNumber;
		return new Promise<Uint8Array>((resolve, reject) => {
			const timer = this.#clock.startTimer(timeoutMilliseconds, () => {
				this.#handleTimeout(number);
			});
			this.#pendingCalls.set(number, {
				sentAt: this.#clock.now(), timer, resolve, reject,
			});
			this.#connection.send([kinds.request, number, method, bytes]);
		});
	}

	/** Closes the connection; pending calls fail. */
	end(): void {
		this.#connection.destroy();
	}

	#handleTimeout(number: number): void {
		const call = this.#pendingCalls.get(number);
		this.#fail(number, 'timeout', 'no answer came in time');
		if (call !== undefined && this.#lastReceivedAt < call.sentAt) {
			this.#connection.destroy();
		}
	}

	#handleMessage(message: readonly unknown[]): void {
		this.#lastReceivedAt = this.#clock.now();
		const [kind, number, content, details, code] = message;
		switch (kind) {
			case kinds.answer: {
				this.#remove(number as number)?.resolve(content as Uint8Array);
				return;
			}

			case kinds.failure: {
				this.#fail(number as number, content as RpcFailure, String(details), typeof code === 'string' ? code : undefined);
				return;
			}

			case kinds.unauthenticated: {
				this.#isUnauthenticated = true;
				return;
			}

			default: {
				this.#connection.destroy();
			}
		}
	}

	#remove(number: number): PendingCall | undefined {
		const call = this.#pendingCalls.get(number);
		this.#pendingCalls.delete(number);
		call?.timer.cancel();
		return call;
	}

	#fail(number: number, failure: RpcFailure, details: string, code?: string): void {
		this.#remove(number)?.reject(new RpcError(failure, details, code));
	}

	#failAll(failure: RpcFailure, details: string): void {
		for (const number of this.#pendingCalls.keys()) {
			this.#fail(number, failure, details);
		}
	}
}
