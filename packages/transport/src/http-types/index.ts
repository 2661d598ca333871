/**
Types of HTTP messages as they pass through a process: pushed, so that a chunk
goes from one connection to the next without a stream between them.
*/

import type {Readable} from 'node:stream';
import type {FleetCredentials} from '../types.js';

/** Certificates by which processes of the fleet know each other, in PEM. */
export type MutualTlsCredentials = Omit<Extract<FleetCredentials, {readonly kind: 'mutual-tls'}>, 'kind'>;

/** Header fields by lower-case name. */
export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Status and header fields of an answer. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: HeaderFields;
};

/** Stops and restarts the source of an answer. */
export type AnswerFlow = {
	pause(): void;
	resume(): void;
};

/** How sending a request failed. */
export type SendFailure = {
	/** False only if no byte of the request was ever handed to a connection. */
	readonly mayHaveBeenSent: boolean;
	/** True if the head of an answer had been passed on. */
	readonly answered: boolean;
	readonly cause: Error;
};

/** Takes an answer as it arrives. Either `onEnd` or `onFailure` is called once, as the last of all. */
export type AnswerReceiver = {
	/** The request begins to be written. */
	onBegin?(): void;
	onHead(head: AnswerHead, flow: AnswerFlow): void;
	onData(chunk: Uint8Array): void;
	onEnd(trailers: HeaderFields): void;
	onFailure(failure: SendFailure): void;
};

/** The body of a request: whole in memory, or a stream. */
export type OutgoingBody = Uint8Array | Readable | undefined;

/** A request to be sent. */
export type OutgoingRequest = {
	readonly method: string;
	/** Path with the query. */
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: string[];
	readonly body: OutgoingBody;
	/** Length of a streamed body, if it is known. */
	readonly bodyLength?: number | undefined;
};

/** A request on its way. */
export type InFlightRequest = {
	/** Gives the request up and closes its connection; nothing is reported afterwards. */
	cancel(): void;
};
