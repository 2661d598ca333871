/**
A listener for HTTP with limits that each answer with their own problem, and a
close that lets running exchanges finish.
*/

import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {Server as TcpServer, type Socket} from 'node:net';
import {
	formatProblem, httpStatusByProblemCode, type Problem, type ProblemCode,
} from '@fireflyglade/model';
import {listenOn} from '../_lib/listen-on.js';
import {problemFields, writeProblem} from '../http-answer/index.js';
import type {MutualTlsCredentials} from '../http-types/index.js';

/** Options of a listener. */
export type HttpListenerOptions = {
	readonly maximumHeaderBytes: number;
	readonly maximumConnections: number;
	/** Milliseconds after which an unused connection is closed. */
	readonly keepAliveTimeoutMilliseconds?: number;
	/** Milliseconds that a whole request may take to come, for handlers that act on whole requests alone; its body may take any time if absent. */
	readonly requestTimeoutMilliseconds?: number;
	/** Milliseconds that the rest of a request may take after its answer; a few seconds if absent. */
	readonly remainingBodyTimeoutMilliseconds?: number;
	/** Lets in only those who show a certificate of the fleet's authority; plain HTTP if absent. */
	readonly mutualTls?: MutualTlsCredentials;
};

const defaultKeepAliveMilliseconds = 75_000;
const headersTimeoutMilliseconds = 15_000;
const defaultRestMilliseconds = 5000;
/** Looks for requests that take too long, in each time that one may take. */
const checksPerRequest = 2;
const closePollMilliseconds = 20;

/** Listens for HTTP at one address. */
export class HttpListener {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	/** Exchanges that run on each connection; several where the caller pipelines. */
	readonly #runningOn = new WeakMap<Socket, Set<ServerResponse>>();
	readonly #options: HttpListenerOptions;
	#closing = false;
	#running = 0;

	constructor(handler: RequestListener, options: HttpListenerOptions) {
		this.#options = options;
		const {mutualTls} = options;
		const serverOptions: ServerOptions = {
			maxHeaderSize: options.maximumHeaderBytes,
			keepAliveTimeout: options.keepAliveTimeoutMilliseconds ?? defaultKeepAliveMilliseconds,
			...requestTimes(options.requestTimeoutMilliseconds),
			requireHostHeader: false,
			noDelay: true,
		};
		this.#server = mutualTls === undefined ? createServer(serverOptions) : createSecureServer(serverOptions, mutualTls);
		const handle: RequestListener = (request, response) => {
			this.#handle(request, response, handler);
		};

		this.#server.on('request', handle);
		this.#server.on('checkContinue', handle);
		this.#server.on('checkExpectation', (_request: IncomingMessage, response: ServerResponse) => {
			writeProblem(response, {code: 'expectation-failed', outcome: 'not-run', detail: 'the only expectation that is met is 100-continue'});
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#answerClientError(error, socket);
		});
		this.#server.on('connection', (socket: Socket) => {
			this.#admitConnection(socket);
		});
	}

	/** Number of exchanges that have begun and not ended. */
	get running(): number {
		return this.#running;
	}

	/** Listens on `host:port`, port 0 for any, and returns `host:port`. */
	async listen(address: string): Promise<string> {
		return listenOn(this.#server, address);
	}

	/** From now on each answer ends its connection, so that callers move elsewhere. */
	disableKeepAlive(): void {
		this.#closing = true;
	}

	/**
	Takes no new connections, lets exchanges finish for `timeoutMilliseconds`, then closes what is left.

	Connections without a request stay open for `idleMilliseconds` more: a request
	that crosses the close of its connection would be cut, and each answer ends its
	connection by now. The close of the HTTP server would end them at once, so that
	of the TCP server beneath it is used.
	*/
	async close(timeoutMilliseconds: number, idleMilliseconds = 0): Promise<void> {
		this.#closing = true;
		const closed = new Promise<void>(resolve => {
			TcpServer.prototype.close.call(this.#server, () => {
				resolve();
			});
		});
		const closeIdleFrom = performance.now() + idleMilliseconds;
		const idleCloser = setInterval(() => {
			if (performance.now() >= closeIdleFrom) {
				this.#server.closeIdleConnections();
			}
		}, closePollMilliseconds);
		const forced = setTimeout(() => {
			this.#server.closeAllConnections();
		}, timeoutMilliseconds + idleMilliseconds);
		await closed;
		clearInterval(idleCloser);
		clearTimeout(forced);
		// Ends what the HTTP server keeps for itself.
		this.#server.close();
	}

	#handle(request: IncomingMessage, response: ServerResponse, handler: RequestListener): void {
		this.#running += 1;
		const {socket} = request;
		const responses = this.#runningOn.get(socket) ?? new Set();
		this.#runningOn.set(socket, responses.add(response));
		response.once('close', () => {
			this.#running -= 1;
			responses.delete(response);
			this.#boundRest(request, socket);
		});
		if (this.#closing) {
			response.shouldKeepAlive = false;
		}

		try {
			handler(request, response);
		} catch {
			writeProblem(response, {code: 'internal', outcome: 'unknown', detail: 'the node failed at this request'});
		}
	}

	/** The rest of a request that was answered before its end is read on, so that its connection can be used again, but not for ever. */
	#boundRest(request: IncomingMessage, socket: Socket): void {
		if (request.complete || socket.destroyed) {
			return;
		}

		const timer = setTimeout(() => {
			if (!request.complete) {
				socket.destroy();
			}
		}, this.#options.remainingBodyTimeoutMilliseconds ?? defaultRestMilliseconds);
		request.once('close', () => {
			clearTimeout(timer);
		});
	}

	/**
	Answers bytes that are no request. Requests that came before them on the connection
	are answered first, as a caller takes answers in the order of its requests.
	*/
	#answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		const responses = [...this.#runningOn.get(socket) ?? []];
		const last = responses.at(-1);
		if (last?.req.complete === false && last.headersSent) {
			last.once('close', () => {
				socket.destroy();
			});
			return;
		}

		// Without its own end the last request waits for nothing but these bytes.
		const earlier = last?.req.complete === false ? responses.at(-2) : last;
		const mayHaveRun = last !== earlier;
		if (earlier === undefined || !socket.writable) {
			refuseClient(error, socket, mayHaveRun);
			return;
		}

		earlier.once('close', () => {
			if (!mayHaveRun) {
				refuseClient(error, socket, mayHaveRun);
				return;
			}

			if (responses.at(-1)!.closed) {
				socket.destroy();
				return;
			}

			// The last request may have been answered meanwhile, behind the earlier answer.
			this.#answerClientError(error, socket);
		});
	}

	#admitConnection(socket: Socket): void {
		if (this.#sockets.size >= this.#options.maximumConnections) {
			socket.end(rawProblem({
				code: 'overloaded', outcome: 'not-run', detail: 'too many connections', retryAfterMilliseconds: 1000,
			}));
			socket.destroySoon();
			return;
		}

		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
	}
}

function requestTimes(requestMilliseconds: number | undefined): ServerOptions {
	return requestMilliseconds === undefined
		? {headersTimeout: headersTimeoutMilliseconds, requestTimeout: 0}
		: {
			headersTimeout: Math.min(headersTimeoutMilliseconds, requestMilliseconds),
			requestTimeout: requestMilliseconds,
			connectionsCheckingInterval: requestMilliseconds / checksPerRequest,
		};
}

function createSecureServer(options: ServerOptions, {authority, certificate, privateKey}: MutualTlsCredentials): Server {
	return createTlsServer({
		...options,
		ca: Buffer.from(authority),
		cert: Buffer.from(certificate),
		key: Buffer.from(privateKey),
		requestCert: true,
		rejectUnauthorized: true,
	});
}

function refuseClient(error: NodeJS.ErrnoException, socket: Socket, mayHaveRun: boolean): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	socket.end(rawProblem(clientProblem(error.code, mayHaveRun)));
}

function clientProblem(code: string | undefined, mayHaveRun: boolean): Problem {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return {code: 'header-too-large', outcome: 'not-run', detail: 'the header fields are too large'};
	}

	if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		return {code: 'request-timeout', outcome: 'not-run', detail: 'the request did not come whole in time'};
	}

	return {code: 'bad-request', outcome: mayHaveRun ? 'unknown' : 'not-run', detail: 'the request is not well-formed HTTP'};
}

const statusText: Partial<Record<ProblemCode, string>> = {
	'header-too-large': 'Request Header Fields Too Large',
	'bad-request': 'Bad Request',
	'request-timeout': 'Request Timeout',
	overloaded: 'Service Unavailable',
};

function rawProblem(problem: Problem): string {
	const body = formatProblem(problem);
	const fields = {...problemFields(problem), 'content-length': String(Buffer.byteLength(body)), connection: 'close'};
	const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${httpStatusByProblemCode[problem.code]} ${statusText[problem.code] ?? 'Error'}\r\n${lines.join('')}\r\n${body}`;
}
