/**
The loopback listener at which the upstream in the same VM announces itself.

An upstream posts its service, address, slots and connections, and repeats this
every second. It is removed after a leave notice, or if its announcements stop.
*/

import type {RequestListener} from 'node:http';
import {H3, HTTPError, type H3Event} from 'h3';
import {toNodeHandler} from 'h3/node';
import {
	announcementTimeoutMilliseconds, createServiceName, InvalidInputError,
	type Clock, type Timer,
} from '@fireflyglade/model';
import {BodyTooLargeError, parseAddress, readCallBody} from '@fireflyglade/transport';
import type {AnnouncedUpstream} from '../gate/index.js';

/** Handlers of announcements. */
export type AnnouncementHandlers = {
	/** Called for each announcement. */
	announced(upstream: AnnouncedUpstream): void;
	/** Called when the upstream has left or its announcements have stopped. */
	left(): void;
};

const maximumAnnouncementBytes = 65_536;
const maximumCount = 100_000;
const badRequestStatus = 400;
const bodyTooLargeStatus = 413;

/** Accepts announcements and removes the upstream after a timeout. */
export class AnnounceListener {
	readonly listener: RequestListener;
	readonly #clock: Clock;
	readonly #handlers: AnnouncementHandlers;
	readonly #timeoutMilliseconds: number;
	#expiryTimer: Timer | undefined;

	constructor(clock: Clock, handlers: AnnouncementHandlers, timeoutMilliseconds = announcementTimeoutMilliseconds) {
		this.#clock = clock;
		this.#handlers = handlers;
		this.#timeoutMilliseconds = timeoutMilliseconds;
		const router = new H3({silent: true});
		router.post('/announce', async event => this.#announce(event));
		router.delete('/announce', () => this.#leave());
		this.listener = toNodeHandler(router);
	}

	/** Cancels the announcement timeout. */
	close(): void {
		this.#expiryTimer?.cancel();
	}

	/** Accepts an announcement and restarts the timeout. */
	accept(announced: AnnouncedUpstream): void {
		this.#expiryTimer?.cancel();
		this.#expiryTimer = this.#clock.startTimer(this.#timeoutMilliseconds, () => {
			this.#handlers.left();
		});
		this.#handlers.announced(announced);
	}

	/** Removes the upstream, which takes no new requests from now on. */
	leave(): void {
		this.#expiryTimer?.cancel();
		this.#handlers.left();
	}

	async #announce(event: H3Event): Promise<{readonly accepted: true}> {
		this.accept(await readAnnouncement(event));
		return {accepted: true};
	}

	#leave(): {readonly accepted: true} {
		this.leave();
		return {accepted: true};
	}
}

async function readAnnouncement(event: H3Event): Promise<AnnouncedUpstream> {
	try {
		const body = await readCallBody(event, maximumAnnouncementBytes);
		return parseAnnouncement(JSON.parse(Buffer.from(body).toString()));
	} catch (error) {
		if (error instanceof BodyTooLargeError) {
			throw new HTTPError({status: bodyTooLargeStatus, message: error.message, body: {code: error.code, detail: error.message}});
		}

		const message = error instanceof InvalidInputError ? error.message : 'the announcement is not JSON';
		throw new HTTPError({status: badRequestStatus, message, body: {code: 'bad-request', detail: message}});
	}
}

/**
Parses and validates an announcement.

@throws {InvalidInputError} The value is not a valid announcement.
*/
export function parseAnnouncement(value: unknown): AnnouncedUpstream {
	if (typeof value !== 'object' || value === null) {
		throw new InvalidInputError('an announcement is an object with service, address, slots and connections');
	}

	const {service, address, slots, connections} = value as Record<string, unknown>;
	if (typeof service !== 'string' || typeof address !== 'string') {
		throw new InvalidInputError('service and address must be strings');
	}

	const {port} = parseAddress(address);
	if (port === 0) {
		throw new InvalidInputError('address must name a port');
	}

	return {
		service: createServiceName(service),
		address,
		slots: parseCount('slots', slots),
		connections: parseCount('connections', connections),
	};
}

function parseCount(name: string, value: unknown): number {
	if (typeof value !== 'number' || !Number.isInteger(value) || value < 1 || value > maximumCount) {
		throw new InvalidInputError(`${name} must be a whole number from 1 to ${maximumCount}`);
	}

	return value;
}
