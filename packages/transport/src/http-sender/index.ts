/**
Sends requests to one origin over kept-alive connections.

The sender reports reliably whether writing a request was ever started. It writes
a request at most once: if the client library starts it again, as it may after a
broken connection, the second start is rejected.
*/

import {Readable} from 'node:stream';
import type {ConnectionOptions} from 'node:tls';
import {FireflygladeError} from '@fireflyglade/model';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {
	ConnectionClient, type ConnectionConsumer, type SendingConnection, type SendOptions,
} from '../_lib/sending-connection.js';
import type {
	ResponseFlow, ResponseReceiver, MutualTlsCredentials, OutgoingRequest, InFlightRequest,
} from '../http-types/index.js';

/** A request was cancelled by its sender. */
export class SendCancelledError extends FireflygladeError {
	get code(): 'send-cancelled' {
		return 'send-cancelled';
	}
}

/** The connection broke in the middle of a response without a length. */
export class AnswerBrokenError extends FireflygladeError {
	get code(): 'answer-broken' {
		return 'answer-broken';
	}
}

/** The client library tried to write a request a second time. */
export class SecondWriteError extends FireflygladeError {
	get code(): 'second-write' {
		return 'second-write';
	}
}

/** A response has a status that HTTP does not define. */
export class InvalidStatusError extends FireflygladeError {
	get code(): 'invalid-status' {
		return 'invalid-status';
	}
}

/** Options of a sender. */
export type HttpSenderOptions = {
	/** Maximum number of simultaneous connections; unlimited if absent. */
	readonly connections?: number;
	/** Milliseconds after which an idle connection is closed. */
	readonly keepAliveTimeoutMilliseconds?: number;
	/** Milliseconds that opening a connection may take. */
	readonly connectTimeoutMilliseconds?: number;
	/** The client certificate and the authority for the server's certificate; plain HTTP if absent. */
	readonly mutualTls?: MutualTlsCredentials;
};

const defaultKeepAliveTimeoutMilliseconds = 4000;
const defaultConnectTimeoutMilliseconds = 2000;
const maximumResponseHeaderBytes = 65_536;
const lowestStatus = 100;
const highestStatus = 599;

/** Sends requests to one origin. */
export class HttpSender {
	readonly #pool: Pool;

	constructor(origin: string, options: HttpSenderOptions = {}) {
		const connector = buildConnector({timeout: options.connectTimeoutMilliseconds ?? defaultConnectTimeoutMilliseconds, ...createTlsOptions(options.mutualTls)});
		this.#pool = new Pool(origin, {
			connections: options.connections ?? null,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxHeaderSize: maximumResponseHeaderBytes,
			keepAliveTimeout: options.keepAliveTimeoutMilliseconds ?? defaultKeepAliveTimeoutMilliseconds,
			factory: (url, clientOptions) => new ConnectionClient(url, clientOptions, connector),
		});
	}

	/** Sends a request and passes its response or failure to `receiver`. */
	send(request: OutgoingRequest, receiver: ResponseReceiver): InFlightRequest {
		const exchange = new Exchange(receiver);
		if (request.body instanceof Readable && request.bodyLength !== undefined) {
			request.headers.push('content-length', String(request.bodyLength));
		}

		const options: SendOptions = {
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body ?? null,
			consumer: exchange,
		};
		try {
			this.#pool.dispatch(options, exchange);
		} catch (error) {
			exchange.onResponseError(undefined, error as Error);
		}

		return exchange;
	}

	/** Waits for running requests to finish, then closes the connections. */
	async close(): Promise<void> {
		await this.#pool.close();
	}

	/** Aborts all requests and closes the connections. */
	async destroy(): Promise<void> {
		await this.#pool.destroy();
	}
}

function createTlsOptions(mutualTls: MutualTlsCredentials | undefined): buildConnector.BuildOptions & Pick<ConnectionOptions, 'ca' | 'cert' | 'key'> {
	if (mutualTls === undefined) {
		return {};
	}

	return {ca: Buffer.from(mutualTls.authority), cert: Buffer.from(mutualTls.certificate), key: Buffer.from(mutualTls.privateKey)};
}

class Exchange implements Dispatcher.DispatchHandler, InFlightRequest, ResponseFlow, ConnectionConsumer {
	readonly #receiver: ResponseReceiver;
	#connection: SendingConnection | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	#isStarted = false;
	#hasResponseHead = false;
	#isDone = false;

	constructor(receiver: ResponseReceiver) {
		this.#receiver = receiver;
	}

	setConnection(connection: SendingConnection): void {
		this.#connection = connection;
	}

	/** Pauses the response. Does nothing after its end, since the connection then serves other requests. */
	pause(): void {
		if (!this.#isDone) {
			this.#connection?.pauseReading();
		}
	}

	resume(): void {
		if (!this.#isDone) {
			this.#connection?.resumeReading();
		}
	}

	cancel(): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		this.#controller?.abort(new SendCancelledError('the request was cancelled'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isDone) {
			controller.abort(new SendCancelledError('the request was cancelled'));
			return;
		}

		if (this.#isStarted) {
			controller.abort(new SecondWriteError('the client library tried to write the request a second time'));
			return;
		}

		this.#controller = controller;
		this.#isStarted = true;
		this.#receiver.onBegin?.();
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		// The parser takes any three digits. A status below 100 is not one of an interim response, and the response would be awaited for ever.
		if (status < lowestStatus || status > highestStatus) {
			controller.abort(new InvalidStatusError(`the response has the status ${status}`));
			return;
		}

		if (status >= 200) {
			this.#connection?.recordResponseStart();
		}

		if (this.#isDone || status < 200) {
			return;
		}

		this.#hasResponseHead = true;
		this.#receiver.onHead({status, headers}, this);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#isDone) {
			this.#connection?.recordBodyBytes(chunk.byteLength);
			this.#receiver.onData(chunk);
		}
	}

	onResponseEnd(_controller: Dispatcher.DispatchController, trailers: Record<string, string | string[] | undefined>): void {
		this.#connection?.recordResponseEnd();
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		if (this.#connection?.isBroken === true) {
			this.#receiver.onFailure({mayHaveBeenSent: true, answered: true, cause: new AnswerBrokenError('the connection broke in the middle of a response without a length')});
			return;
		}

		this.#receiver.onEnd(trailers);
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, cause: Error): void {
		if (!this.#isDone) {
			this.#isDone = true;
			this.#receiver.onFailure({mayHaveBeenSent: this.#isStarted, answered: this.#hasResponseHead, cause});
		}
	}
}
