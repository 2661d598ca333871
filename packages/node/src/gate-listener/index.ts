/**
The listener for other nodes' calls to this node's gate. Strangers, who don't
show the fleet's secret, are refused.
*/

import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	InvalidInputError,
	type Clock, type Problem,
} from '@fireflyglade/model';
import {
	ResponseWriter, readWholeBody, selectRequestFields, writeProblem,
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

/** What the gate's listener is given. */
export type GateListenerOptions = {
	readonly gate: Gate;
	readonly credentials: FleetCredentials;
	readonly clock: Clock;
};

/** Serves other nodes' calls. */
export class GateListenerHandler {
	readonly #gate: Gate;
	readonly #clock: Clock;
	/** Absent where certificates have proved the peer already. */
	readonly #check: SecretVerifier | undefined;

	constructor(options: GateListenerOptions) {
		this.#gate = options.gate;
		this.#clock = options.clock;
		this.#check = options.credentials.kind === 'token' ? new SecretVerifier(options.credentials.token) : undefined;
	}

	/** Serves one call. */
	handle(request: IncomingMessage, response: ServerResponse): void {
		response.sendDate = false;
		if (this.#check?.matches(request.headers[fleetTokenField]) === false) {
			response.shouldKeepAlive = false;
			writeProblem(response, {code: 'peer-refused', outcome: 'not-run', detail: 'only nodes of the fleet may call a gate'});
			return;
		}

		const call = readCall(request);
		if (call === undefined) {
			answerProblem(response, {code: 'bad-request', outcome: 'not-run', detail: 'the call of a peer is malformed'}, {retriesLeft: 0});
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

		this.#run(call, request, response, {body: request, length: framing.kind === 'length' ? framing.length : undefined});
	}

	async #runWhole(call: PeerCall, request: IncomingMessage, response: ServerResponse, length: number): Promise<void> {
		let body: Uint8Array;
		try {
			body = await readWholeBody(request, length);
		} catch {
			// The entry node has gone; it asks by RPC what became of the request.
			response.destroy();
			return;
		}

		this.#run(call, request, response, {body, length});
	}

	#run(call: PeerCall, request: IncomingMessage, response: ServerResponse, content: {readonly body: OutgoingBody; readonly length: number | undefined}): void {
		const receiver = new PeerAnswer(response);
		const running = this.#gate.run(this.#gateCall(call, request, content), receiver);
		response.once('close', () => {
			if (!receiver.isEnded) {
				running.cancel();
			}
		});
	}

	#gateCall(call: PeerCall, request: IncomingMessage, content: {readonly body: OutgoingBody; readonly length: number | undefined}): GateCall {
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

/** Passes an answer on to the entry node. */
class PeerAnswer implements CallReceiver {
	readonly #response: ServerResponse;
	readonly #writer: ResponseWriter;
	#isStreamed = false;
	#isEnded = false;

	constructor(response: ServerResponse) {
		this.#response = response;
		this.#writer = new ResponseWriter(response);
	}

	/** True once the gate has nothing more to tell. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	onHead(head: ResponseHead, flow: ResponseFlow, note: GateMetadata): void {
		this.#isStreamed = head.headers['content-length'] === undefined;
		this.#writer.writeHead(head, flow, noteFields(note));
	}

	onData(chunk: Uint8Array): void {
		this.#writer.writeChunk(chunk);
	}

	onEnd(trailers: HeaderFields): void {
		this.#isEnded = true;
		this.#writer.end(trailers, this.#isStreamed ? {[wholeField]: '1'} : undefined);
	}

	onProblem(problem: Problem, note: GateMetadata): void {
		this.#isEnded = true;
		answerProblem(this.#response, problem, note);
	}

	onBroken(): void {
		this.#isEnded = true;
		this.#writer.abort();
	}
}

function noteFields(note: GateMetadata): Record<string, string> {
	const fields: Record<string, string> = {[retriesLeftField]: String(note.retriesLeft)};
	if (note.queuedMilliseconds !== undefined && note.queuedMilliseconds >= 1) {
		fields[queuedField] = String(Math.round(note.queuedMilliseconds));
	}

	if (note.hasArrived === true) {
		fields[arrivedField] = '1';
	}

	if (note.level !== undefined) {
		fields[levelField] = formatGateLoad(note.level);
	}

	return fields;
}

function answerProblem(response: ServerResponse, problem: Problem, note: GateMetadata): void {
	const fields = noteFields(note);
	fields[problemField] = problem.code;
	if (problem.retryAfterMilliseconds !== undefined) {
		fields[retryAfterField] = String(Math.max(0, Math.ceil(problem.retryAfterMilliseconds)));
	}

	writeProblem(response, problem, fields);
}
