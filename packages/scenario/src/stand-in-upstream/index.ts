/**
A stand-in for an upstream: an HTTP server with a limited number of slots and a
service time. It announces itself to the node in its VM and records every run.

An answer is a JSON object with a unique `run` number, the `service`, the echoed
`body` and all received headers, so that tests can check that no key reaches the
upstream. Query parameters control a single answer:

- `delayMs`: additional service time in milliseconds
- `bytes`: length of the padding in the answer
- `fail=STATUS`: status of the answer
- `break=1`: closes the connection after half of the answer
- `endless=1`: a status line and header fields without end, until the caller closes
- `call=PATH`: first calls another service through the egress listener of the node and
  adds its answer as `called`; if that call fails, the answer has status 503
*/

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {FireflygladeError} from '@fireflyglade/model';
import {request} from 'undici';

/** Options of a stand-in upstream. */
export type StandInUpstreamOptions = {
	readonly service: string;
	/** Maximum number of concurrent requests; further ones queue inside the upstream. Unlimited if absent. */
	readonly slots?: number;
	/** Time for which each request occupies its slot. */
	readonly serviceMilliseconds?: number;
	/** URL of the announce listener of the node; the upstream does not announce itself if absent. */
	readonly announceUrl?: string;
	/** URL of the egress listener of the node, for calls to other services. */
	readonly egressUrl?: string;
	/** Paths to call at another service, by the path of the request without its query. */
	readonly calls?: ReadonlyMap<string, string>;
	/** Number of slots to announce; `slots` if absent. */
	readonly announcedSlots?: number;
};

/** One run of a request at the stand-in upstream. */
export type RecordedRun = {
	/** Number of the run, from 1. */
	readonly run: number;
	readonly method: string;
	/** Path with the query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
	/** Value of the header `x-job` or else `idempotency-key`; tests count runs by it. */
	readonly job: string | undefined;
	/** True once the complete answer has been written to the connection. */
	answered: boolean;
	/** True if the caller disconnected before the answer was complete. */
	cancelled: boolean;
};

const announceIntervalMilliseconds = 1000;
const defaultAnnouncedSlots = 64;
const lowestServerErrorStatus = 500;
const endlessPieceFields = 10_000;

function firstHeader(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value[0] : value;
}

async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/**
An HTTP server that stands in for an upstream.

@example
```ts
const upstream = new StandInUpstream({service: 'orders', announceUrl: 'http://127.0.0.1:9000'});
await upstream.start();
```
*/
export class StandInUpstream {
	readonly runs: RecordedRun[] = [];
	/** Time for which each request occupies its slot; may be changed while the server runs. */
	serviceMilliseconds: number;
	/** If set to false, the announcements stop without a leave notice, as after a crash. */
	isAnnouncing = true;
	readonly #options: StandInUpstreamOptions;
	readonly #server: Server;
	#announceTimer: NodeJS.Timeout | undefined;
	#occupiedSlots = 0;
	/** Requests that wait for a slot, in order of arrival. */
	readonly #slotQueue: Array<() => void> = [];

	constructor(options: StandInUpstreamOptions) {
		this.#options = options;
		this.serviceMilliseconds = options.serviceMilliseconds ?? 0;
		this.#server = createServer({keepAliveTimeout: 60_000}, (message, response) => {
			void this.#handleRequest(message, response);
		});
	}

	/** Base URL. Available after `start`. */
	get url(): string {
		return `http://${this.address}`;
	}

	/** Address in the form `host:port`. Available after `start`. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Starts the server and the announcements. Port 0 selects any free port. */
	async start(port = 0): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		if (this.#options.announceUrl !== undefined) {
			await this.#announce();
			this.#announceTimer = setInterval(() => {
				void this.#announce();
			}, announceIntervalMilliseconds);
		}
	}

	/** Sends a leave notice to the node and stops the announcements; the server continues to handle requests. */
	async leave(): Promise<void> {
		clearInterval(this.#announceTimer);
		if (this.#options.announceUrl !== undefined) {
			await sendIgnoringErrors(`${this.#options.announceUrl}/announce`, 'DELETE');
		}
	}

	/** Stops the server at once and closes all connections. */
	async stop(): Promise<void> {
		clearInterval(this.#announceTimer);
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Returns the number of runs of a job. */
	countRuns(job: string): number {
		return this.runs.filter(run => run.job === job).length;
	}

	async #announce(): Promise<void> {
		if (!this.isAnnouncing) {
			return;
		}

		const {service, slots, announceUrl, announcedSlots} = this.#options;
		await sendIgnoringErrors(`${announceUrl ?? ''}/announce`, 'POST', {
			service,
			address: this.address,
			slots: announcedSlots ?? slots ?? defaultAnnouncedSlots,
			connections: defaultAnnouncedSlots,
		});
	}

	async #handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const run = this.#recordRun(message, response);
		message.on('error', ignoreBrokenConnection);
		response.on('error', ignoreBrokenConnection);
		try {
			const body = await readBody(message);
			await this.#acquireSlot();
			try {
				throwIfDisconnected(response);
				await this.#answer(message, response, run, body);
			} finally {
				this.#releaseSlot();
			}
		} catch {
			run.cancelled = true;
			response.destroy();
		}
	}

	#recordRun(message: IncomingMessage, response: ServerResponse): RecordedRun {
		const run: RecordedRun = {
			run: this.runs.length + 1,
			method: message.method ?? '',
			path: message.url ?? '',
			headers: message.headers,
			job: firstHeader(message.headers['x-job']) ?? firstHeader(message.headers['idempotency-key']),
			answered: false,
			cancelled: false,
		};
		this.runs.push(run);
		response.on('close', () => {
			run.answered = response.writableFinished;
			run.cancelled ||= !response.writableFinished;
		});
		return run;
	}

	async #answer(message: IncomingMessage, response: ServerResponse, run: RecordedRun, body: string): Promise<void> {
		const url = new URL(message.url ?? '/', this.url);
		const query = url.searchParams;
		const delay = this.serviceMilliseconds + Number(query.get('delayMs') ?? 0);
		if (delay > 0) {
			await waitUnlessDisconnected(response, delay);
		}

		if (query.get('endless') === '1') {
			await sendEndlessFields(message.socket);
			throw new CallerGoneError('the caller closed the connection of an endless answer');
		}

		const called = await this.#callOtherService(message, query.get('call') ?? this.#options.calls?.get(url.pathname));
		const answer = JSON.stringify({
			run: run.run, service: this.#options.service, body, headers: message.headers, called: called?.answer, padding: 'x'.repeat(Number(query.get('bytes') ?? 0)),
		});
		const status = Number(query.get('fail') ?? (called === undefined || called.status < lowestServerErrorStatus ? 200 : 503));
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(answer)});
		if (query.get('break') === '1') {
			response.write(answer.slice(0, Math.floor(answer.length / 2)));
			await wait(1);
			response.destroy();
			return;
		}

		response.end(answer);
	}

	async #callOtherService(message: IncomingMessage, path: string | undefined): Promise<CalledAnswer | undefined> {
		if (path === undefined || this.#options.egressUrl === undefined) {
			return undefined;
		}

		const context = firstHeader(message.headers['fireflyglade-context']);
		const answer = await request(`${this.#options.egressUrl}${path}`, {
			headers: context === undefined ? {} : {'fireflyglade-context': context},
		});
		return {status: answer.statusCode, answer: await answer.body.json()};
	}

	async #acquireSlot(): Promise<void> {
		if (this.#options.slots !== undefined && this.#occupiedSlots >= this.#options.slots) {
			await new Promise<void>(resolve => {
				this.#slotQueue.push(resolve);
			});
			return;
		}

		this.#occupiedSlots++;
	}

	/** Passes the slot to the first queued request, or frees it if none is queued. */
	#releaseSlot(): void {
		const next = this.#slotQueue.shift();
		if (next === undefined) {
			this.#occupiedSlots--;
			return;
		}

		next();
	}
}

/** The answer of the called service. */
type CalledAnswer = {
	readonly status: number;
	readonly answer: unknown;
};

/** Thrown if the caller disconnects before its request gets a slot. */
class CallerGoneError extends FireflygladeError {
	get code(): 'caller-gone' {
		return 'caller-gone';
	}
}

function throwIfDisconnected(response: ServerResponse): void {
	if (response.destroyed) {
		throw new CallerGoneError('the caller disconnected while its request waited for a slot');
	}
}

/** Waits for the delay; rejects as soon as the caller disconnects, like an upstream that supports cancellation. */
async function waitUnlessDisconnected(response: ServerResponse, delay: number): Promise<void> {
	const controller = new AbortController();
	const abort = (): void => {
		controller.abort();
	};

	response.once('close', abort);
	await wait(delay, undefined, {signal: controller.signal});
	response.off('close', abort);
}

/** Sends header fields as fast as the connection takes them, until it has closed. */
async function sendEndlessFields(socket: Socket): Promise<void> {
	const piece = 'y: b\r\n'.repeat(endlessPieceFields);
	socket.write('HTTP/1.1 200 OK\r\n');
	while (!socket.destroyed) {
		await new Promise<void>(resolve => {
			socket.write(piece, () => {
				resolve();
			});
		});
	}
}

function ignoreBrokenConnection(): void {
	// The run is recorded as cancelled when its response closes.
}

/** Sends a notice to the node and ignores errors, because announcements are repeated. */
async function sendIgnoringErrors(url: string, method: 'POST' | 'DELETE', body?: unknown): Promise<void> {
	try {
		const answer = await request(url, {
			method,
			headers: {'content-type': 'application/json'},
			...(body === undefined ? {} : {body: JSON.stringify(body)}),
		});
		await answer.body.dump();
	} catch {
		// The next announcement follows within a second.
	}
}
