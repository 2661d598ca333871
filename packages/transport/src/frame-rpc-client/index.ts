/**
Makes remote calls over frame connections, one for each address: a call costs one
part of a write and of a read at each side.

A connection on which nothing was heard for the whole time that a call was given
is ended, as a broken path need not reset it; the next call opens another one.
*/

import type {Clock, Timer} from '@fireflyglade/model';
import {frameRpcKinds as kinds, maximumFrameRpcBytes} from '../_lib/frame-rpc-wire.js';
import {methodPath} from '../_lib/rpc-wire.js';
import {FrameConnection} from '../frame-connection/index.js';
import {decodeMessage, encodeMessage} from '../message-codec/index.js';
import {RpcError, type RpcFailure} from '../rpc-error/index.js';
import type {RpcCallOptions, RpcClient, RpcMethod} from '../types.js';

const maximumConnections = 512;

/** A client of remote calls over frame connections, let in by the fleet token. */
export class FrameRpcClient implements RpcClient {
	readonly #token: string;
	readonly #clock: Clock;
	/** Oldest used first. */
	readonly #links = new Map<string, Link>();

	constructor(token: string, clock: Clock) {
		this.#token = token;
		this.#clock = clock;
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, {timeoutMilliseconds}: RpcCallOptions): Promise<Response> {
		const bytes = await this.#linkTo(address).call(methodPath(method as RpcMethod<unknown, unknown>), encodeMessage(request), timeoutMilliseconds);
		return decodeMessage(bytes) as Response;
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.end();
		}

		this.#links.clear();
	}

	#linkTo(address: string): Link {
		const known = this.#links.get(address);
		this.#links.delete(address);
		if (known === undefined) {
			this.#dropOldest();
		}

		const link = known === undefined || known.isClosed ? new Link(address, this.#token, this.#clock) : known;
		this.#links.set(address, link);
		return link;
	}

	#dropOldest(): void {
		const [oldest] = this.#links;
		if (oldest !== undefined && this.#links.size >= maximumConnections) {
			const [address, link] = oldest;
			link.end();
			this.#links.delete(address);
		}
	}
}

type PendingCall = {
	readonly sentAt: number;
	readonly timer: Timer;
	readonly resolve: (bytes: Uint8Array) => void;
	readonly reject: (error: RpcError) => void;
};

/** One connection and the calls on it. */
class Link {
	readonly #connection: FrameConnection;
	readonly #clock: Clock;
	readonly #pending = new Map<number, PendingCall>();
	#count = 0;
	#heardAt = Number.NEGATIVE_INFINITY;
	/** Set once the server has refused the fleet token. */
	#isRefused = false;

	constructor(address: string, token: string, clock: Clock) {
		this.#clock = clock;
		this.#connection = FrameConnection.open(address, {
			onMessage: message => {
				this.#take(message);
			},
			onClosed: error => {
				this.#failAll(this.#isRefused ? 'unauthenticated' : 'unavailable', error?.message ?? 'the connection was closed');
			},
		}, {clock, maximumMessageBytes: maximumFrameRpcBytes});
		this.#connection.send([kinds.hello, token]);
	}

	get isClosed(): boolean {
		return this.#connection.isClosed;
	}

	async call(method: string, bytes: Uint8Array, timeoutMilliseconds: number): Promise<Uint8Array> {
		this.#count++;
		const number = this.#count;
		return new Promise<Uint8Array>((resolve, reject) => {
			const timer = this.#clock.startTimer(timeoutMilliseconds, () => {
				this.#giveUp(number);
			});
			this.#pending.set(number, {
				sentAt: this.#clock.now(), timer, resolve, reject,
			});
			this.#connection.send([kinds.request, number, method, bytes]);
		});
	}

	/** Ends the connection; what is under way fails. */
	end(): void {
		this.#connection.destroy();
	}

	#giveUp(number: number): void {
		const call = this.#pending.get(number);
		this.#fail(number, 'timeout', 'no answer came in time');
		if (call !== undefined && this.#heardAt < call.sentAt) {
			this.#connection.destroy();
		}
	}

	#take(message: readonly unknown[]): void {
		this.#heardAt = this.#clock.now();
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
				this.#isRefused = true;
				return;
			}

			default: {
				this.#connection.destroy();
			}
		}
	}

	#remove(number: number): PendingCall | undefined {
		const call = this.#pending.get(number);
		this.#pending.delete(number);
		call?.timer.cancel();
		return call;
	}

	#fail(number: number, failure: RpcFailure, details: string, code?: string): void {
		this.#remove(number)?.reject(new RpcError(failure, details, code));
	}

	#failAll(failure: RpcFailure, details: string): void {
		for (const number of this.#pending.keys()) {
			this.#fail(number, failure, details);
		}
	}
}
