/**
Types of HTTP messages that a process forwards. Responses are delivered through
callbacks, so that a chunk passes from one connection to the next without an
intermediate stream.
*/

import type {Readable} from 'node:stream';
import type {FleetCredentials} from '../types.js';

/** Certificates with which processes of the fleet authenticate each other, in PEM. */
export type MutualTlsCredentials = Omit<Extract<FleetCredentials, {readonly kind: 'mutual-tls'}>, 'kind'>;

/** Header fields by lower-case name. */
export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Status and header fields of a response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: HeaderFields;
};

/** Pauses and resumes the source of a response (backpressure). */
export type ResponseFlow = {
	pause(): void;
	resume(): void;
};

/** Describes why a request failed. */
export type SendFailure = {
	/** False only if no byte of the request was ever passed to a connection. */
	readonly mayHaveBeenSent: boolean;
	/** True if the head of a response had been delivered. */
	readonly answered: boolean;
	readonly cause: Error;
};

/** Receives a response as it arrives. Exactly one of `onEnd` and `onFailure` is called, once and as the last callback; neither is called if the request is cancelled. */
export type ResponseReceiver = {
	/** Called when writing the request starts. */
	onBegin?(): void;
	onHead(head: ResponseHead, flow: ResponseFlow): void;
	onData(chunk: Uint8Array): void;
	onEnd(trailers: HeaderFields): void;
	onFailure(failure: SendFailure): void;
};

/** The body of a request: buffered in memory, or a stream. */
export type OutgoingBody = Uint8Array | Readable | undefined;

/** A request to be sent. */
export type OutgoingRequest = {
	readonly method: string;
	/** Path with the query. */
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: OutgoingBody;
	/** Length of a streamed body in bytes, if it is known. */
	readonly bodyLength?: number | undefined;
};

/** A request that has been started and not finished. */
export type InFlightRequest = {
	/** Aborts the request and closes its connection; no callback is called afterwards. */
	cancel(): void;
};
