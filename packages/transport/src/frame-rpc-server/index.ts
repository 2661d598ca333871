/**
Answers remote calls over frame connections. Callers authenticate with the fleet
token; the payload of their calls is decoded only after that.
*/

import {createHash, timingSafeEqual} from 'node:crypto';
import {FireflygladeError, type Clock} from '@fireflyglade/model';
import {frameRpcKinds as kinds, maximumFrameRpcBytes} from '../_lib/frame-rpc-wire.js';
import {methodPath} from '../_lib/rpc-wire.js';
import type {FrameConnection, FrameConnectionHandlers} from '../frame-connection/index.js';
import {FrameListener, type AcceptedPeer} from '../frame-listener/index.js';
import {decodeMessage, encodeMessage} from '../message-codec/index.js';
import type {ProcessResources} from '../process-resources/index.js';
import type {RpcFailure} from '../rpc-error/index.js';
import type {RpcMethod, RpcServer} from '../types.js';

type Handler = (request: unknown) => Promise<unknown>;

const shutdownTimeoutMilliseconds = 1000;
const shutdownPollIntervalMilliseconds = 5;

/** Options of a server of remote calls. */
export type FrameRpcServerOptions = {
	/** Called for each malformed message, to log it. */
	readonly onMessageError?: (error: Error) => void;
	/** What the listeners of the process share; resources of its own if absent. */
	readonly resources?: ProcessResources;
};

/** A server of remote calls over frame connections. */
export class FrameRpcServer implements RpcServer {
	readonly #clock: Clock;
	readonly #tokenDigest: Uint8Array;
	readonly #handlers = new Map<string, Handler>();
	readonly #listener: FrameListener;
	#runningCalls = 0;

	constructor(token: string, clock: Clock, {onMessageError, resources}: FrameRpcServerOptions = {}) {
		this.#clock = clock;
		this.#tokenDigest = digest(token);
		this.#listener = new FrameListener((connection, peer) => this.#accept(connection, peer), {
			clock, mustAuthenticate: true, maximumMessageBytes: maximumFrameRpcBytes, ...(onMessageError === undefined ? {} : {onMessageError}), ...(resources === undefined ? {} : {resources}),
		});
	}

	handle<Request, Response>(method: RpcMethod<Request, Response>, handler: (request: Request) => Promise<Response>): void {
		this.#handlers.set(methodPath(method as RpcMethod<unknown, unknown>), handler as Handler);
	}

	async listen(address: string): Promise<string> {
		return this.#listener.listen(address);
	}

	/** Waits up to a second for running calls, then closes all connections. */
	async close(): Promise<void> {
		const deadline = this.#clock.now() + shutdownTimeoutMilliseconds;
		while (this.#runningCalls > 0 && this.#clock.now() < deadline) {
			await new Promise<void>(resolve => {
				this.#clock.startTimer(shutdownPollIntervalMilliseconds, resolve);
			});
		}

		this.#listener.close();
	}

	#accept(connection: () => FrameConnection, peer: AcceptedPeer): FrameConnectionHandlers {
		let isAuthenticated = false;
		return {
			onMessage: message => {
				if (isAuthenticated) {
					void this.#answer(connection(), message);
					return;
				}

				const [kind, token] = message;
				isAuthenticated = kind === kinds.hello && typeof token === 'string' && timingSafeEqual(digest(token), this.#tokenDigest);
				if (isAuthenticated) {
					peer.trust();
					return;
				}

				connection().send([kinds.unauthenticated]);
				connection().close();
			},
			onClosed() {
				// Running handlers are not cancelled; their responses are discarded.
			},
		};
	}

	async #answer(connection: FrameConnection, message: readonly unknown[]): Promise<void> {
		const [kind, number, method, bytes] = message;
		if (kind !== kinds.request || !(bytes instanceof Uint8Array)) {
			connection.destroy();
			return;
		}

		const handler = this.#handlers.get(String(method));
		if (handler === undefined) {
			connection.send([kinds.failure, number, 'unimplemented' satisfies RpcFailure, `there is no method ${String(method)}`, null]);
			return;
		}

		this.#runningCalls++;
		try {
			connection.send([kinds.answer, number, encodeMessage(await handler(decodeMessage(bytes)))]);
		} catch (error: unknown) {
			const details = error instanceof Error ? error.message : 'the handler failed';
			connection.send([kinds.failure, number, 'remote' satisfies RpcFailure, details, error instanceof FireflygladeError ? error.code : null]);
		}

		this.#runningCalls--;
	}
}

function digest(value: string): Uint8Array {
	return createHash('sha256').update(value).digest();
}
