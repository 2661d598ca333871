/**
Sends requests to one origin over kept-alive connections.

The sender tells for certain whether a request ever began to be written. It
writes a request at most once: a second start, as a client library may attempt
after a broken connection, is refused.
*/

import {Readable} from 'node:stream';
import type {Socket} from 'node:net';
import {TLSSocket, type ConnectionOptions} from 'node:tls';
import {FireflygladeError} from '@fireflyglade/model';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import type {
	AnswerReceiver, MutualTlsCredentials, OutgoingRequest, RunningSend,
} from '../http-types/index.js';

/** A request was given up by its sender. */
export class SendCancelledError extends FireflygladeError {
	get code(): 'send-cancelled' {
		return 'send-cancelled';
	}
}

/** An answer without a length ended with a broken connection. */
export class AnswerBrokenError extends FireflygladeError {
	get code(): 'answer-broken' {
		return 'answer-broken';
	}
}

/** A client library tried to write a request again. */
export class SecondWriteError extends FireflygladeError {
	get code(): 'second-write' {
		return 'second-write';
	}
}

/** Options of a sender. */
export type HttpSenderOptions = {
	/** Most connections at once; no bound if absent. */
	readonly connections?: number;
	/** Milliseconds after which an unused connection is closed. */
	readonly keepAliveMilliseconds?: number;
	/** Milliseconds that opening a connection may take. */
	readonly connectMilliseconds?: number;
	/** Certificates to show and to check; plain HTTP if absent. */
	readonly mutualTls?: MutualTlsCredentials;
};

const defaultKeepAliveMilliseconds = 4000;
const defaultConnectMilliseconds = 2000;
const maximumAnswerHeaderBytes = 65_536;

/** Sends requests to one origin. */
export class HttpSender {
	readonly #pool: Pool;
	/** True while a connection tells that it broke. */
	#isBreaking = false;

	constructor(origin: string, options: HttpSenderOptions = {}) {
		this.#pool = new Pool(origin, {
			connections: options.connections ?? null,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxHeaderSize: maximumAnswerHeaderBytes,
			keepAliveTimeout: options.keepAliveMilliseconds ?? defaultKeepAliveMilliseconds,
			connect: this.#watchConnections(buildConnector({timeout: options.connectMilliseconds ?? defaultConnectMilliseconds, ...secureConnect(options.mutualTls)})),
		});
	}

	/** Sends a request; what comes of it goes to `receiver`. */
	send(request: OutgoingRequest, receiver: AnswerReceiver): RunningSend {
		const exchange = new Exchange(receiver, () => this.#isBreaking);
		if (request.body instanceof Readable && request.bodyLength !== undefined) {
			request.headers.push('content-length', String(request.bodyLength));
		}

		try {
			this.#pool.dispatch({
				method: request.method,
				path: request.path,
				headers: request.headers,

				body: (request.body ?? null),
			}, exchange);
		} catch (error) {
			exchange.onResponseError(undefined, error as Error);
		}

		return exchange;
	}

	/** Lets requests that run finish, then closes the connections. */
	async close(): Promise<void> {
		await this.#pool.close();
	}

	/** Breaks off all requests and closes the connections. */
	async destroy(): Promise<void> {
		await this.#pool.destroy();
	}

	#noteBreak(): void {
		this.#isBreaking = true;
		process.nextTick(() => {
			this.#isBreaking = false;
		});
	}

	/**
	Notes when a connection breaks, before the client library hears of it: the library
	takes a reset for the end of an answer that has no length.
	*/
	#watchConnections(connector: buildConnector.connector): buildConnector.connector {
		return (options, callback) => {
			connector(options, (...result) => {
				const [error, socket] = result;
				if (error === null) {
					socket.on('error', () => {
						this.#noteBreak();
					});
					socket.prependListener('end', () => {
						if (wasReset(socket)) {
							this.#noteBreak();
						}
					});
				}

				callback(...result);
			});
		};
	}
}

const nothing = Buffer.alloc(0);

/**
Tells whether a connection that seems to have ended was reset in truth: a reset that
comes together with the last bytes is read as an end. A write of no bytes asks the
operating system, which holds the reset back for the next use of the connection. Where
the request itself is still being written, an end is none.
*/
function wasReset(socket: Socket): boolean {
	if (socket instanceof TLSSocket) {
		return false;
	}

	if (socket.writableLength > 0) {
		return true;
	}

	socket.write(nothing);
	return socket.errored !== null;
}

function secureConnect(mutualTls: MutualTlsCredentials | undefined): buildConnector.BuildOptions & Pick<ConnectionOptions, 'ca' | 'cert' | 'key'> {
	if (mutualTls === undefined) {
		return {};
	}

	return {ca: Buffer.from(mutualTls.authority), cert: Buffer.from(mutualTls.certificate), key: Buffer.from(mutualTls.privateKey)};
}

class Exchange implements Dispatcher.DispatchHandler, RunningSend {
	readonly #receiver: AnswerReceiver;
	readonly #isConnectionBreaking: () => boolean;
	#controller: Dispatcher.DispatchController | undefined;
	#begun = false;
	#answered = false;
	#done = false;

	constructor(receiver: AnswerReceiver, isConnectionBreaking: () => boolean) {
		this.#receiver = receiver;
		this.#isConnectionBreaking = isConnectionBreaking;
	}

	cancel(): void {
		if (this.#done) {
			return;
		}

		this.#done = true;
		this.#controller?.abort(new SendCancelledError('the request was cancelled'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#done) {
			controller.abort(new SendCancelledError('the request was cancelled'));
			return;
		}

		if (this.#begun) {
			controller.abort(new SecondWriteError('a request is written once'));
			return;
		}

		this.#controller = controller;
		this.#begun = true;
		this.#receiver.onBegin?.();
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (this.#done || status < 200) {
			return;
		}

		this.#answered = true;
		this.#receiver.onHead({status, headers}, controller);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#done) {
			this.#receiver.onData(chunk);
		}
	}

	onResponseEnd(_controller: Dispatcher.DispatchController, trailers: Record<string, string | string[] | undefined>): void {
		if (this.#done) {
			return;
		}

		this.#done = true;
		if (this.#isConnectionBreaking()) {
			this.#receiver.onFailure({begun: true, answered: true, cause: new AnswerBrokenError('the connection broke in the middle of an answer without a length')});
			return;
		}

		this.#receiver.onEnd(trailers);
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, cause: Error): void {
		if (!this.#done) {
			this.#done = true;
			this.#receiver.onFailure({begun: this.#begun, answered: this.#answered, cause});
		}
	}
}
