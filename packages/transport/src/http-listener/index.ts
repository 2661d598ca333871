/**
An HTTP listener with limits, each answered with its own problem when it is
exceeded, and a graceful shutdown that lets running exchanges finish.
*/

import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {Server as TcpServer, Socket} from 'node:net';
import process from 'node:process';
import type {Problem} from '@fireflyglade/model';
import type {RequestBacklogLimits} from '@fireflyglade/settings';
import {listenOn} from '../_lib/listen-on.js';
import {AcceptedConnections} from '../_lib/accepted-connections/index.js';
import {ConnectionBacklog} from '../_lib/connection-backlog/index.js';
import {createClientProblem, formatRawProblem} from '../_lib/raw-problem/index.js';
import {RequestBacklog} from '../_lib/request-backlog/index.js';
import {writeProblem} from '../http-response/index.js';
import type {MutualTlsCredentials} from '../http-types/index.js';
import {createProcessResources, type ProcessResources} from '../process-resources/index.js';

/** Options of a listener. */
export type HttpListenerOptions = {
	readonly maximumHeaderBytes: number;
	readonly maximumConnections: number;
	/** Milliseconds after which an idle connection is closed. */
	readonly keepAliveTimeoutMilliseconds?: number;
	/** Milliseconds within which a request must arrive completely, for handlers that need the complete request; if absent, the body has no time limit. */
	readonly requestTimeoutMilliseconds?: number;
	/** Milliseconds that the remaining body of a request may take after its response; 5 seconds if absent. */
	readonly remainingBodyTimeoutMilliseconds?: number;
	/** Accepts only clients with a certificate of the fleet's authority; plain HTTP if absent. */
	readonly mutualTls?: MutualTlsCredentials;
	/** Header fields that a refusal has beside those of its problem. */
	readonly refusalFields?: Readonly<Record<string, string>>;
	/** What all listeners of the process share; the listener has resources of its own if absent. */
	readonly resources?: ProcessResources;
} & Partial<RequestBacklogLimits>;

const defaultKeepAliveTimeoutMilliseconds = 75_000;
const headersTimeoutMilliseconds = 15_000;
const defaultRemainingBodyTimeoutMilliseconds = 5000;
/** Number of checks for timed-out requests within the time limit of a request. */
const checksPerRequestTimeout = 2;
const closePollIntervalMilliseconds = 20;
/** Refuses a request that was not sent to a target, because the process lacks memory for it. */
export const overloadedProblem: Problem = {
	code: 'overloaded', outcome: 'not-run', detail: 'the process lacks memory for the request', retryAfterMilliseconds: 1000,
};

/** Listens for HTTP requests at one address. */
export class HttpListener {
	readonly #server: Server;
	readonly #backlog: RequestBacklog;
	readonly #connections: AcceptedConnections;
	/** Requests in progress on each connection; more than one if the caller uses pipelining. */
	readonly #backlogs = new WeakMap<Socket, ConnectionBacklog>();
	/** Responses that close their connection only because the listener closes. */
	readonly #lastResponses = new WeakSet<ServerResponse>();
	readonly #handler: RequestListener;
	readonly #options: HttpListenerOptions;
	#isClosing = false;
	#runningExchanges = 0;

	constructor(handler: RequestListener, options: HttpListenerOptions) {
		this.#handler = handler;
		this.#options = options;
		const {memory, connections} = options.resources ?? createProcessResources();
		this.#backlog = new RequestBacklog(options, memory);
		this.#connections = new AcceptedConnections({
			budget: connections, maximum: options.maximumConnections, getUse: socket => this.#backlogs.get(socket),
		});
		const {mutualTls} = options;
		const serverOptions: ServerOptions = {
			maxHeaderSize: options.maximumHeaderBytes,
			keepAliveTimeout: options.keepAliveTimeoutMilliseconds ?? defaultKeepAliveTimeoutMilliseconds,
			...createTimeoutOptions(options.requestTimeoutMilliseconds),
			requireHostHeader: false,
			noDelay: true,
		};
		this.#server = mutualTls === undefined ? createServer(serverOptions) : createSecureServer(serverOptions, mutualTls);
		const handle: RequestListener = (request, response) => {
			this.#handle(request, response);
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
		this.#server.on(mutualTls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
			this.#trackRequests(socket);
		});
	}

	/** Number of exchanges that have started and not ended. */
	get running(): number {
		return this.#runningExchanges;
	}

	/** Listens on `host:port` and returns the bound `host:port`; port 0 selects a free port. */
	async listen(address: string): Promise<string> {
		return listenOn(this.#server, address);
	}

	/** Makes each later response close its connection, so that callers move to other nodes. Requests that were sent behind one another are answered first. */
	disableKeepAlive(): void {
		this.#isClosing = true;
	}

	/**
	Stops accepting connections, lets exchanges finish for `timeoutMilliseconds` plus `idleMilliseconds`, then closes the remaining connections.

	Idle connections stay open for `idleMilliseconds` first, since a request that
	arrives while its connection is closed would be lost; each response closes its
	connection from now on. The HTTP server's `close` closes idle connections at
	once, so the `close` of the underlying TCP server is called instead.
	*/
	async close(timeoutMilliseconds: number, idleMilliseconds = 0): Promise<void> {
		this.#isClosing = true;
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
		}, closePollIntervalMilliseconds);
		const forced = setTimeout(() => {
			this.#server.closeAllConnections();
		}, timeoutMilliseconds + idleMilliseconds);
		await closed;
		clearInterval(idleCloser);
		clearTimeout(forced);
		// Stops the HTTP server's internal timers.
		this.#server.close();
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const backlog = this.#backlogs.get(socket)!;
		if (socket.destroyed) {
			return;
		}

		if (!this.#keepOpenAfter(backlog.responses)) {
			// The close of the connection was announced before this request, so that the caller knows it as not read.
			backlog.discard();
			return;
		}

		const decision = backlog.add(request, response);
		if (decision === 'closed') {
			return;
		}

		this.#runningExchanges += 1;
		response.once('close', () => {
			this.#runningExchanges -= 1;
			backlog.remove(response);
			this.#limitRemainingBody(request, socket);
		});
		if (this.#isClosing) {
			response.shouldKeepAlive = false;
			this.#lastResponses.add(response);
		}

		if (decision === 'run') {
			this.#run(request, response);
		} else if (decision === 'refuse') {
			response.shouldKeepAlive = false;
			writeProblem(response, {...overloadedProblem, detail: 'too many bodies of requests are in progress'}, this.#options.refusalFields);
		}
	}

	#run(request: IncomingMessage, response: ServerResponse): void {
		try {
			this.#handler(request, response);
		} catch {
			writeProblem(response, {code: 'internal', outcome: 'unknown', detail: 'the node failed at this request'});
		}
	}

	/** Runs a request that has waited, unless the close of its connection was announced with an earlier response. */
	#runAfterWait(request: IncomingMessage, response: ServerResponse): void {
		for (const earlier of this.#backlogs.get(request.socket)!.responses) {
			if (earlier === response) {
				break;
			}

			if (!earlier.shouldKeepAlive && !this.#lastResponses.has(earlier)) {
				return;
			}
		}

		if (request.socket.writable) {
			this.#run(request, response);
		}
	}

	/** Tracks the requests of a connection. Those that wait behind others when it closes get the 'close' event of their response here, as the HTTP server emits none for them. */
	#trackRequests(socket: Socket): void {
		if (socket.destroyed) {
			return;
		}

		const backlog = new ConnectionBacklog(socket, this.#backlog, {
			run: (request, response) => {
				this.#runAfterWait(request, response);
			},
			refuse() {
				socket.end(formatRawProblem(overloadedProblem));
				backlog.linger();
			},
		});
		this.#backlogs.set(socket, backlog);
		socket.destroySoon = () => {
			closeAfterResponse(socket, backlog);
		};

		if (socket.writableEnded) {
			// The connection was refused. A request on it must not run, since the caller is told so.
			backlog.discard();
		}

		socket.once('close', () => {
			process.nextTick(() => {
				for (const response of backlog.responses) {
					response.destroy();
					response.emit('close');
				}
			});
		});
	}

	/** Keeps a connection open after the responses that would close it for the listener's sake, since another one follows. Returns false if one of them closes it all the same. */
	#keepOpenAfter(responses: Iterable<ServerResponse>): boolean {
		for (const response of responses) {
			if (response.shouldKeepAlive) {
				continue;
			}

			if (response.headersSent || !this.#lastResponses.has(response)) {
				return false;
			}

			response.shouldKeepAlive = true;
		}

		return true;
	}

	/** Limits the time for the rest of a request that was answered before its end. The rest is read so that the connection can be reused. */
	#limitRemainingBody(request: IncomingMessage, socket: Socket): void {
		if (request.complete || socket.destroyed) {
			return;
		}

		const timer = setTimeout(() => {
			if (!request.complete) {
				socket.destroy();
			}
		}, this.#options.remainingBodyTimeoutMilliseconds ?? defaultRemainingBodyTimeoutMilliseconds);
		request.once('close', () => {
			clearTimeout(timer);
		});
	}

	/**
	Answers bytes that are not a valid request. Earlier requests on the connection
	are answered first, since a caller matches answers to its requests by their order.
	*/
	#answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		const backlog = this.#backlogs.get(socket);
		backlog?.discard();
		const responses = [...backlog?.responses ?? []];
		const last = responses.at(-1);
		if (last?.req.complete === false && last.headersSent) {
			last.once('close', () => {
				socket.destroy();
			});
			return;
		}

		// An incomplete last request can't complete after these bytes, so that it is answered with the error; only the one before it is awaited.
		const earlier = last?.req.complete === false ? responses.at(-2) : last;
		const mayHaveRun = last !== earlier;
		if (earlier === undefined || !socket.writable) {
			sendProblemAndClose(error, {socket, backlog, mayHaveRun});
			return;
		}

		earlier.once('close', () => {
			if (!mayHaveRun) {
				sendProblemAndClose(error, {socket, backlog, mayHaveRun});
				return;
			}

			if (responses.at(-1)!.closed) {
				socket.destroy();
				return;
			}

			// The response to the last request may have started in the meantime.
			this.#answerClientError(error, socket);
		});
	}

	#admitConnection(socket: Socket): void {
		if (!this.#connections.admit(socket)) {
			endWithProblem(socket, {...overloadedProblem, detail: 'too many connections'});
		}
	}
}

function createTimeoutOptions(requestTimeoutMilliseconds: number | undefined): ServerOptions {
	return requestTimeoutMilliseconds === undefined
		? {headersTimeout: headersTimeoutMilliseconds, requestTimeout: 0}
		: {
			headersTimeout: Math.min(headersTimeoutMilliseconds, requestTimeoutMilliseconds),
			requestTimeout: requestTimeoutMilliseconds,
			connectionsCheckingInterval: requestTimeoutMilliseconds / checksPerRequestTimeout,
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

/** Closes a connection once its last response is sent. If its caller still sends a request, the close waits until the caller can have read the response. */
function closeAfterResponse(socket: Socket, backlog: ConnectionBacklog): void {
	if (backlog.hasUnreadBody) {
		backlog.linger();
		return;
	}

	Socket.prototype.destroySoon.call(socket);
}

/** Sends a problem on a connection that has no request, and closes it. */
function endWithProblem(socket: Socket, problem: Problem): void {
	socket.end(formatRawProblem(problem));
	socket.destroySoon();
}

function sendProblemAndClose(error: NodeJS.ErrnoException, {socket, backlog, mayHaveRun}: RefusedRequest): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	socket.end(formatRawProblem(createClientProblem(error.code, mayHaveRun)));
	backlog?.linger();
}

/** A request that is not well-formed, on its connection. */
type RefusedRequest = {
	readonly socket: Socket;
	readonly backlog: ConnectionBacklog | undefined;
	readonly mayHaveRun: boolean;
};
