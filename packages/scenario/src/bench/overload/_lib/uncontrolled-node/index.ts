/**
The baseline of the bench: a proxy without overload control. It chooses an
upstream at random, retries three times at each hop and does not limit queues.
*/

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {SeededRandom, type Configuration} from '@fireflyglade/model';
import {Agent, request} from 'undici';
import type {VmTarget} from '../vm-messages/index.js';

const retries = 3;
const attemptTimeoutMilliseconds = 1000;
const firstFailureStatus = 500;

/** A proxy without overload control, for callers and for the upstream's outgoing calls. */
export class UncontrolledNode {
	readonly #configuration: Configuration;
	readonly #random: SeededRandom;
	readonly #agent = new Agent({pipelining: 1});
	readonly #server: Server;
	#targets: readonly VmTarget[] = [];

	constructor(configuration: Configuration, seed: number) {
		this.#configuration = configuration;
		this.#random = new SeededRandom(seed);
		this.#server = createServer({keepAliveTimeout: 60_000}, (message, response) => {
			void this.#serve(message, response);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	async stop(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		await this.#agent.destroy();
	}

	setTargets(targets: readonly VmTarget[]): void {
		this.#targets = targets;
	}

	async #serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const callerAbort = new AbortController();
		response.on('error', ignoreBrokenConnection);
		response.once('close', () => {
			callerAbort.abort();
		});
		message.resume();
		for (let attempt = 0; attempt <= retries && !callerAbort.signal.aborted; attempt++) {
			if (await this.#attempt(message, response, callerAbort.signal, attempt === retries)) {
				return;
			}
		}

		response.destroy();
	}

	/** Sends one attempt; returns true if its answer was forwarded to the caller. */
	async #attempt(message: IncomingMessage, response: ServerResponse, callerAbort: AbortSignal, isLast: boolean): Promise<boolean> {
		const target = this.#chooseTarget(message);
		if (target === undefined) {
			return false;
		}

		try {
			const answer = await request(`${target.upstreamUrl}${message.url ?? '/'}`, {
				dispatcher: this.#agent,
				method: message.method as 'GET' | 'POST',
				headers: {'x-job': String(message.headers['x-job'] ?? '')},
				signal: AbortSignal.any([callerAbort, AbortSignal.timeout(attemptTimeoutMilliseconds)]),
			});
			const body = await answer.body.text();
			if (answer.statusCode >= firstFailureStatus && !isLast) {
				return false;
			}

			response.writeHead(answer.statusCode, {'content-type': 'application/json'});
			response.end(body);
			return true;
		} catch {
			return false;
		}
	}

	#chooseTarget(message: IncomingMessage): VmTarget | undefined {
		const service = this.#serviceOf(message.url ?? '/');
		const targets = this.#targets.filter(({target}) => target.service === service && target.available);
		return targets.length === 0 ? undefined : targets[this.#random.nextInteger(targets.length)];
	}

	#serviceOf(path: string): string | undefined {
		for (const route of this.#configuration.routes.values()) {
			if (route.path === path) {
				return route.service;
			}
		}

		return undefined;
	}
}

function ignoreBrokenConnection(): void {
	// The caller has disconnected; the abort signal ends the attempt.
}
