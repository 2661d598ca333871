/**
Sends requests to one origin over kept-alive connections.

The sender tells for certain whether a request ever began to be written. It
writes a request at most once: a second start, as a client library may attempt
after a broken connection, is refused.
*/

import {Readable} from 'node:stream';
import type {ConnectionOptions} from 'node:tls';
import {FireflygladeError} from '@fireflyglade/model';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {
	ConnectionClient, type ConnectionUser, type SendingConnection, type SendOptions,
} from '../_lib/sending-connection.js';
import type {
	AnswerFlow, AnswerReceiver, MutualTlsCredentials, OutgoingRequest, InFlightRequest,
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
	readonly keepAliveTimeoutMilliseconds?: number;
	/** Milliseconds that opening a connection may take. */
	readonly connectTimeoutMilliseconds?: number;
	/** Certificates to show and to check; plain HTTP if absent. */
	readonly mutualTls?: MutualTlsCredentials;
};

const defaultKeepAliveMilliseconds = 4000;
const defaultConnectMilliseconds = 2000;
const maximumAnswerHeaderBytes = 65_536;

/** Sends requests to one origin. */
export class HttpSender {
	readonly #pool: Pool;

	constructor(origin: string, options: HttpSenderOptions = {}) {
		const connector = buildConnector({timeout: options.connectTimeoutMilliseconds ?? defaultConnectMilliseconds, ...secureConnect(options.mutualTls)});
		this.#pool = new Pool(origin, {
			connections: options.connections ?? null,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxHeaderSize: maximumAnswerHeaderBytes,
			keepAliveTimeout: options.keepAliveTimeoutMilliseconds ?? defaultKeepAliveMilliseconds,
			factory: (url, clientOptions) => new ConnectionClient(url, clientOptions, connector),
		});
	}

	/** Sends a request; what comes of it goes to `receiver`. */
	send(request: OutgoingRequest, receiver: AnswerReceiver): InFlightRequest {
		const exchange = new Exchange(receiver);
		if (request.body instanceof Readable && request.bodyLength !== undefined) {
			request.headers.push('content-length', String(request.bodyLength));
		}

		const options: SendOptions = {
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body ?? null,
			user: exchange,
		};
		try {
			this.#pool.dispatch(options, exchange);
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
}

function secureConnect(mutualTls: MutualTlsCredentials | undefined): buildConnector.BuildOptions & Pick<ConnectionOptions, 'ca' | 'cert' | 'key'> {
	if (mutualTls === undefined) {
		return {};
	}

	return {ca: Buffer.from(mutualTls.authority), cert: Buffer.from(mutualTls.certificate), key: Buffer.from(mutualTls.privateKey)};
}

class Exchange implements Dispatcher.DispatchHandler, InFlightRequest, AnswerFlow, ConnectionUser {
	readonly #receiver: AnswerReceiver;
	#connection: SendingConnection | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#begun = false;
	#answered = false;
	#done = false;

	constructor(receiver: AnswerReceiver) {
		this.#receiver = receiver;
	}

	useConnection(connection: SendingConnection): void {
		this.#connection = connection;
	}

	/** Holds the answer back while it has not ended; the connection carries others after it. */
	pause(): void {
		if (!this.#done) {
			this.#connection?.hold();
		}
	}

	resume(): void {
		if (!this.#done) {
			this.#connection?.release();
		}
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

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (this.#done || status < 200) {
			return;
		}

		this.#answered = true;
		this.#receiver.onHead({status, headers}, this);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#done) {
			this.#connection?.recordBody(chunk.byteLength);
			this.#receiver.onData(chunk);
		}
	}

	onResponseEnd(_controller: Dispatcher.DispatchController, trailers: Record<string, string | string[] | undefined>): void {
		this.#connection?.recordEnd();
		if (this.#done) {
			return;
		}

		this.#done = true;
		if (this.#connection?.isBroken === true) {
			this.#receiver.onFailure({mayHaveBeenSent: true, answered: true, cause: new AnswerBrokenError('the connection broke in the middle of an answer without a length')});
			return;
		}

		this.#receiver.onEnd(trailers);
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, cause: Error): void {
		if (!this.#done) {
			this.#done = true;
			this.#receiver.onFailure({mayHaveBeenSent: this.#begun, answered: this.#answered, cause});
		}
	}
}
