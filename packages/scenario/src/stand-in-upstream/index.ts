/**
A stand-in for an upstream: an HTTP server with slots and a service time, which
announces itself to the node in its VM and records every run.

An answer is JSON with a fresh `run` number, the `service`, the echoed `body`
and every header that was received, so that anyone can see that no key reached
it. Query parameters shape one answer: `delayMs`, `bytes`, `fail=STATUS`,
`break=1` (cuts the answer midway), `call=PATH` (calls another service through
the node's egress listener first and puts its answer into `called`; a failure
there is answered with 503).
*/

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {FireflygladeError} from '@fireflyglade/model';
import {request} from 'undici';

/** Options of a stand-in upstream. */
export type StandInUpstreamOptions = {
	readonly service: string;
	/** Requests that run at once; more wait inside the upstream. Unbounded if absent. */
	readonly slots?: number;
	/** Milliseconds that each request takes in its slot. */
	readonly serviceMilliseconds?: number;
	/** URL of the node's announce listener; the upstream announces nothing if absent. */
	readonly announceUrl?: string;
	/** URL of the node's egress listener, for calls to other services. */
	readonly egressUrl?: string;
	/** Calls that requests to a path make to another service, by path without the query. */
	readonly calls?: ReadonlyMap<string, string>;
	/** Slots to announce; those above if absent. */
	readonly announcedSlots?: number;
};

/** One run of a request at the stand-in. */
export type RecordedRun = {
	readonly run: number;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
	/** Value of the header `x-job` or `idempotency-key`, by which tests count runs. */
	readonly job: string | undefined;
	/** True once the whole answer was handed to the connection. */
	answered: boolean;
	/** True if the caller went away before the answer was whole. */
	cancelled: boolean;
};

const announceIntervalMilliseconds = 1000;
const defaultAnnouncedSlots = 64;
const lowestServerErrorStatus = 500;

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
A stand-in for an upstream.

@example
```ts
const upstream = new StandInUpstream({service: 'orders', announceUrl: 'http://127.0.0.1:9000'});
await upstream.start();
```
*/
export class StandInUpstream {
	readonly runs: RecordedRun[] = [];
	/** Milliseconds that each request takes; may be changed while it serves. */
	serviceMilliseconds: number;
	/** False stops the announcements without a leave notice, as a crash would. */
	isAnnouncing = true;
	readonly #options: StandInUpstreamOptions;
	readonly #server: Server;
	#announceTimer: NodeJS.Timeout | undefined;
	#occupiedSlots = 0;
	readonly #slotQueue: Array<() => void> = [];

	constructor(options: StandInUpstreamOptions) {
		this.#options = options;
		this.serviceMilliseconds = options.serviceMilliseconds ?? 0;
		this.#server = createServer({keepAliveTimeout: 60_000}, (message, response) => {
			void this.#handleRequest(message, response);
		});
	}

	/** Base URL, once started. */
	get url(): string {
		return `http://${this.address}`;
	}

	/** `host:port`, once started. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Starts to listen, on any free port if none is given, and to announce itself. */
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

	/** Tells the node that the upstream leaves; requests still run. */
	async leave(): Promise<void> {
		clearInterval(this.#announceTimer);
		if (this.#options.announceUrl !== undefined) {
			await sendIgnoringErrors(`${this.#options.announceUrl}/announce`, 'DELETE');
		}
	}

	/** Stops at once; connections break. */
	async stop(): Promise<void> {
		clearInterval(this.#announceTimer);
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Number of runs of one job. */
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

	/** Hands the slot to the next request that waits. */
	#releaseSlot(): void {
		const next = this.#slotQueue.shift();
		if (next === undefined) {
			this.#occupiedSlots--;
			return;
		}

		next();
	}
}

/** What the called service answered. */
type CalledAnswer = {
	readonly status: number;
	readonly answer: unknown;
};

/** A caller went away before its request got a slot. */
class CallerGoneError extends FireflygladeError {
	get code(): 'caller-gone' {
		return 'caller-gone';
	}
}

function throwIfDisconnected(response: ServerResponse): void {
	if (response.destroyed) {
		throw new CallerGoneError('the caller went away while its request waited for a slot');
	}
}

/** Waits, and rejects as soon as the caller goes away, as an upstream that accepts cancellation does. */
async function waitUnlessDisconnected(response: ServerResponse, delay: number): Promise<void> {
	const controller = new AbortController();
	const abort = (): void => {
		controller.abort();
	};

	response.once('close', abort);
	await wait(delay, undefined, {signal: controller.signal});
	response.off('close', abort);
}

function ignoreBrokenConnection(): void {
	// The run is recorded as cancelled when its response closes.
}

/** Sends a notice to the node; a node that is away hears the next one. */
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
