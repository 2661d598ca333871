/**
Handles the calls of other nodes to this node's gate over HTTP. Requests without
the fleet token are refused, unless mutual TLS has authenticated the peer.
*/

import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	InvalidInputError,
	type Clock, type Problem,
} from '@fireflyglade/model';
import type {Fields} from '@fireflyglade/observability';
import {
	findRequestMemory, overloadedProblem, ResponseWriter, readWholeBody, runtimeBufferBytes, selectRequestFields, writeProblem,
	type ResponseFlow, type ResponseHead, type FleetCredentials, type HeaderFields, type OutgoingBody,
} from '@fireflyglade/transport';
import type {Gate} from '../gate/index.js';
import type {
	CallReceiver, GateCall, GateMetadata,
} from '../_lib/call-types.js';
import {createCallContext} from '../_lib/gate-call/index.js';
import {
	arrivedField, callField, fleetTokenField, formatGateLoad, levelField, parsePeerCall, problemField, queuedField, retriesLeftField, retryAfterField, SecretVerifier, wholeField,
	type PeerCall,
} from '../_lib/peer-fields/index.js';
import {readFraming, maximumBufferedBodyBytes} from '../_lib/request-body/index.js';

/** Fields from which an entry node knows that the listener of the gate refused a call, and not the upstream. */
export const peerRefusalFields: Readonly<Record<string, string>> = {
	[problemField]: overloadedProblem.code, [retryAfterField]: String(overloadedProblem.retryAfterMilliseconds),
};

/** Options of the gate listener. */
export type GateListenerOptions = {
	readonly gate: Gate;
	readonly credentials: FleetCredentials;
	readonly clock: Clock;
	/** Called with events for the log. */
	readonly onLogEvent?: (event: string, details: Fields) => void;
};

/** Handles the requests of the gate listener. */
export class GateListenerHandler {
	readonly #gate: Gate;
	readonly #clock: Clock;
	readonly #onLogEvent: GateListenerOptions['onLogEvent'];
	/** Absent with mutual TLS, which authenticates peers by certificate. */
	readonly #secretVerifier: SecretVerifier | undefined;

	constructor(options: GateListenerOptions) {
		this.#gate = options.gate;
		this.#clock = options.clock;
		this.#onLogEvent = options.onLogEvent;
		this.#secretVerifier = options.credentials.kind === 'token' ? new SecretVerifier(options.credentials.token) : undefined;
	}

	/** Handles one call. */
	handle(request: IncomingMessage, response: ServerResponse): void {
		response.sendDate = false;
		if (this.#secretVerifier?.matches(request.headers[fleetTokenField]) === false) {
			response.shouldKeepAlive = false;
			writeProblem(response, {code: 'peer-refused', outcome: 'not-run', detail: 'only nodes of the fleet may call a gate'});
			return;
		}

		const call = readCall(request);
		if (call === undefined) {
			writePeerProblem(response, {code: 'bad-request', outcome: 'not-run', detail: 'the call of a peer is malformed'}, {retriesLeft: 0});
			return;
		}

		const framing = readFraming(request);
		if (framing.kind === 'none') {
			this.#run(call, request, response, {body: undefined, length: undefined});
			return;
		}

		if (framing.kind === 'length' && framing.length <= maximumBufferedBodyBytes) {
			void this.#runWhole(call, request, response, framing.length);
			return;
		}

		findRequestMemory(response)?.hold(runtimeBufferBytes);
		this.#run(call, request, response, {body: request, length: framing.kind === 'length' ? framing.length : undefined});
	}

	async #runWhole(call: PeerCall, request: IncomingMessage, response: ServerResponse, length: number): Promise<void> {
		let body: Uint8Array;
		try {
			body = await readWholeBody(request, {length, memory: findRequestMemory(response)});
		} catch {
			// The entry node has disconnected; it queries the outcome of the request over RPC.
			response.destroy();
			return;
		}

		this.#run(call, request, response, {body, length});
	}

	#run(call: PeerCall, request: IncomingMessage, response: ServerResponse, content: {readonly body: OutgoingBody; readonly length: number | undefined}): void {
		const receiver = new PeerAnswerWriter(response, error => {
			this.#onLogEvent?.('response not written', {reason: error.message, request: call.requestId});
		});
		const running = this.#gate.run(this.#createGateCall(call, request, content), receiver);
		response.once('close', () => {
			if (!receiver.isEnded) {
				running.cancel();
			}
		});
	}

	#createGateCall(call: PeerCall, request: IncomingMessage, content: {readonly body: OutgoingBody; readonly length: number | undefined}): GateCall {
		const {service, idempotent, job} = call;
		return {
			context: createCallContext(call, String(request.headers.traceparent ?? ''), this.#clock.now()),
			service,
			idempotent,
			...(job === undefined ? {} : {job}),
			method: request.method!,
			path: request.url!,
			headers: selectRequestFields(request.rawHeaders, {connection: request.headers.connection}),
			body: content.body,
			bodyLength: content.length,
		};
	}
}

function readCall(request: IncomingMessage): PeerCall | undefined {
	try {
		return parsePeerCall(String(request.headers[callField] ?? ''));
	} catch (error) {
		if (error instanceof InvalidInputError) {
			return undefined;
		}

		throw error;
	}
}

/** Forwards the answer of the gate to the entry node. */
class PeerAnswerWriter implements CallReceiver {
	readonly #response: ServerResponse;
	readonly #writer: ResponseWriter;
	/** True if the response has no content length, so that a trailer field has to mark its complete end. */
	#isStreamed = false;
	#isEnded = false;

	constructor(response: ServerResponse, onWriteError: (error: Error) => void) {
		this.#response = response;
		this.#writer = new ResponseWriter(response, onWriteError);
	}

	/** True once the answer has ended. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	onHead(head: ResponseHead, flow: ResponseFlow, metadata: GateMetadata): void {
		this.#isStreamed = head.headers['content-length'] === undefined;
		this.#writer.writeHead(head, flow, createMetadataFields(metadata));
	}

	onData(chunk: Uint8Array): void {
		this.#writer.writeChunk(chunk);
	}

	onEnd(trailers: HeaderFields): void {
		this.#isEnded = true;
		this.#writer.end(trailers, this.#isStreamed ? {[wholeField]: '1'} : undefined);
	}

	onProblem(problem: Problem, metadata: GateMetadata): void {
		this.#isEnded = true;
		writePeerProblem(this.#response, problem, metadata);
	}

	onBroken(): void {
		this.#isEnded = true;
		this.#writer.abort();
	}
}

function createMetadataFields(metadata: GateMetadata): Record<string, string> {
	const fields: Record<string, string> = {[retriesLeftField]: String(metadata.retriesLeft)};
	if (metadata.queuedMilliseconds !== undefined && metadata.queuedMilliseconds >= 1) {
		fields[queuedField] = String(Math.round(metadata.queuedMilliseconds));
	}

	if (metadata.hasArrived === true) {
		fields[arrivedField] = '1';
	}

	if (metadata.level !== undefined) {
		fields[levelField] = formatGateLoad(metadata.level);
	}

	return fields;
}

function writePeerProblem(response: ServerResponse, problem: Problem, metadata: GateMetadata): void {
	const fields = createMetadataFields(metadata);
	fields[problemField] = problem.code;
	if (problem.retryAfterMilliseconds !== undefined) {
		fields[retryAfterField] = String(Math.max(0, Math.ceil(problem.retryAfterMilliseconds)));
	}

	writeProblem(response, problem, fields);
}
