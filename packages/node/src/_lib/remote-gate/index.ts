/**
Runs calls at the gates of other nodes, over kept-alive HTTP. When a connection
breaks before an answer, the gate is asked what became of the request.
*/

import type {Problem, Target} from '@fireflyglade/model';
import {
	BodyTooLargeError, HttpSender,
	type AnswerFlow, type AnswerHead, type AnswerReceiver, type FleetCredentials, type HeaderFields, type MutualTlsCredentials, type InFlightRequest, type SendFailure,
} from '@fireflyglade/transport';
import {
	reportBrokenCall, unusedRetries, unreachableGateProblem, type GateInquiryOptions,
} from '../gate-inquiry/index.js';
import {formatGateCall} from '../gate-call/index.js';
import {DiscardedAnswer} from '../discarded-answer/index.js';
import type {
	CallReceiver, CallRunner, GateCall, GateMetadata, RunningCall,
} from '../call-types.js';
import {
	arrivedField, callField, fleetTokenField, parseGateLoad, parseNumberField, parseProblemCode, queuedField, retriesLeftField, retryAfterField, wholeField,
} from '../peer-fields/index.js';

/** What the calls to other gates need. */
export type RemoteGatesOptions = GateInquiryOptions & {
	readonly credentials: FleetCredentials;
};

const keepAliveTimeoutMilliseconds = 60_000;
const connectTimeoutMilliseconds = 1000;
const statusWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** The gates of other nodes, with connections kept for each. */
export class RemoteGates {
	readonly #options: RemoteGatesOptions;
	readonly #gates = new Map<string, HttpSender>();

	constructor(options: RemoteGatesOptions) {
		this.#options = options;
	}

	/** The runner for the gate of a target. */
	to(target: Target): CallRunner {
		return {
			run: (call, receiver) => this.#run(target, call, receiver),
		};
	}

	/** Closes the connections to gates that are no longer targets. */
	retain(targets: readonly Target[]): void {
		const urls = new Set(targets.map(target => target.gateUrl));
		for (const [url, sender] of this.#gates) {
			if (!urls.has(url)) {
				this.#gates.delete(url);
				void sender.close();
			}
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		const senders = [...this.#gates.values()];
		this.#gates.clear();
		await Promise.all(senders.map(async sender => sender.destroy()));
	}

	#run(target: Target, call: GateCall, receiver: CallReceiver): RunningCall {
		const exchange = new RemoteExchange(target, call, receiver, this.#options);
		exchange.start(this.#senderTo(target.gateUrl));
		return exchange;
	}

	#senderTo(url: string): HttpSender {
		let sender = this.#gates.get(url);
		if (sender === undefined) {
			sender = new HttpSender(url, {keepAliveTimeoutMilliseconds, connectTimeoutMilliseconds, ...tlsOptions(this.#options.credentials)});
			this.#gates.set(url, sender);
		}

		return sender;
	}
}

class RemoteExchange implements RunningCall, AnswerReceiver {
	readonly #target: Target;
	readonly #call: GateCall;
	readonly #receiver: CallReceiver;
	readonly #options: RemoteGatesOptions;
	readonly #startedAt: number;
	#send: InFlightRequest | undefined;
	#cancelled = false;
	#note: GateMetadata = {retriesLeft: 0};
	#isWholeMarked = false;
	#problemHead: AnswerHead | undefined;
	readonly #problemBody: Uint8Array[] = [];
	/** Bounds the body of a problem, which says no more than its head. */
	#problemRest: DiscardedAnswer | undefined;

	constructor(target: Target, call: GateCall, receiver: CallReceiver, options: RemoteGatesOptions) {
		this.#target = target;
		this.#call = call;
		this.#receiver = receiver;
		this.#options = options;
		this.#startedAt = options.clock.now();
	}

	start(sender: HttpSender): void {
		const {
			method, path, body, bodyLength, context,
		} = this.#call;
		this.#send = sender.send({
			method,
			path,
			headers: [
				...this.#call.headers,
				'traceparent',
				context.traceparent,
				...credentialFields(this.#options.credentials),
				callField,
				formatGateCall(this.#call, this.#options.clock.now()),
			],
			body,
			bodyLength,
		}, this);
	}

	cancel(): void {
		this.#cancelled = true;
		this.#problemRest?.end();
		this.#send?.cancel();
	}

	onHead(head: AnswerHead, flow: AnswerFlow): void {
		const level = parseGateLoad(head.headers);
		const retriesLeft = parseNumberField(head.headers, retriesLeftField) ?? 0;
		const queuedMilliseconds = parseNumberField(head.headers, queuedField) ?? 0;
		const hasArrived = head.headers[arrivedField] !== undefined;
		this.#note = {
			...(level === undefined ? {} : {level}), ...(hasArrived ? {hasArrived} : {}), retriesLeft, queuedMilliseconds,
		};
		if (parseProblemCode(head.headers) !== undefined) {
			this.#problemHead = head;
			this.#problemRest = new DiscardedAnswer(this.#options.clock, () => {
				this.#send?.cancel();
				this.#receiver.onProblem(readProblem(head, Buffer.alloc(0)), this.#note);
			});
			return;
		}

		this.#isWholeMarked = head.headers['content-length'] === undefined
			&& this.#call.method !== 'HEAD'
			&& !statusWithoutBody.has(head.status);
		this.#receiver.onHead(head, flow, this.#note);
	}

	onData(chunk: Uint8Array): void {
		if (this.#problemHead === undefined) {
			this.#receiver.onData(chunk);
			return;
		}

		this.#problemBody.push(Uint8Array.from(chunk));
		this.#problemRest?.addBytes(chunk.byteLength);
	}

	onEnd(trailers: HeaderFields): void {
		this.#problemRest?.end();
		if (this.#problemHead !== undefined) {
			this.#receiver.onProblem(readProblem(this.#problemHead, Buffer.concat(this.#problemBody)), this.#note);
			return;
		}

		if (this.#isWholeMarked && trailers[wholeField] === undefined) {
			this.#receiver.onBroken();
			return;
		}

		this.#receiver.onEnd(trailers);
	}

	onFailure(failure: SendFailure): void {
		this.#problemRest?.end();
		if (failure.answered && this.#problemHead === undefined) {
			this.#receiver.onBroken();
			return;
		}

		if (this.#problemHead !== undefined) {
			this.#receiver.onProblem(readProblem(this.#problemHead, Buffer.alloc(0)), this.#note);
			return;
		}

		if (!failure.mayHaveBeenSent) {
			this.#receiver.onProblem(unreachableGateProblem, {retriesLeft: unusedRetries(this.#call)});
			return;
		}

		if (failure.cause instanceof BodyTooLargeError) {
			this.#receiver.onProblem({code: 'body-too-large', outcome: 'unknown', detail: failure.cause.message}, {retriesLeft: 0});
			return;
		}

		void reportBrokenCall({
			target: this.#target, call: this.#call, sentAt: this.#startedAt, receiver: this.#receiver, isCancelled: () => this.#cancelled,
		}, this.#options);
	}
}

function tlsOptions(credentials: FleetCredentials): {readonly mutualTls?: MutualTlsCredentials} {
	return credentials.kind === 'mutual-tls' ? {mutualTls: credentials} : {};
}

function credentialFields(credentials: FleetCredentials): readonly string[] {
	return credentials.kind === 'token' ? [fleetTokenField, credentials.token] : [];
}

function readProblem(head: AnswerHead, body: Uint8Array): Problem {
	const code = parseProblemCode(head.headers)!;
	const outcome = head.headers['fireflyglade-outcome'] === 'not-run' ? 'not-run' : 'unknown';
	const retryAfterMilliseconds = parseNumberField(head.headers, retryAfterField);
	return {
		code, outcome, detail: readDetail(body), ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
	};
}

function readDetail(body: Uint8Array): string {
	try {
		const parsed = JSON.parse(Buffer.from(body).toString()) as {detail?: unknown};
		return typeof parsed.detail === 'string' ? parsed.detail : 'the gate refused the request';
	} catch {
		return 'the gate refused the request';
	}
}
