/**
Runs calls at the gates of other nodes over HTTP with keep-alive. If a connection
breaks before the response, the gate is asked for the outcome of the request.
*/

import type {Problem, Target} from '@fireflyglade/model';
import {
	BodyTooLargeError, HttpSender,
	type ResponseFlow, type ResponseHead, type ResponseReceiver, type FleetCredentials, type HeaderFields, type MutualTlsCredentials, type InFlightRequest, type SendFailure,
} from '@fireflyglade/transport';
import {
	reportBrokenCall, reportUnreachableGate, unusedRetries, unreachableGateProblem, type GateInquiryOptions,
} from '../gate-inquiry/index.js';
import {formatGateCall} from '../gate-call/index.js';
import {DiscardedResponse} from '../discarded-response/index.js';
import type {
	CallReceiver, CallRunner, GateCall, GateMetadata, RunningCall,
} from '../call-types.js';
import {
	arrivedField, callField, fleetTokenField, parseGateLoad, parseNumberField, parseProblemCode, queuedField, retriesLeftField, retryAfterField, wholeField,
} from '../peer-fields/index.js';

/** Options of `RemoteGates`. */
export type RemoteGatesOptions = GateInquiryOptions & {
	readonly credentials: FleetCredentials;
};

const keepAliveTimeoutMilliseconds = 60_000;
const connectTimeoutMilliseconds = 1000;
/** Error codes of connections that could not be established. */
const connectFailureCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'UND_ERR_CONNECT_TIMEOUT']);
const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** The gates of other nodes, with a connection pool for each. */
export class RemoteGates {
	readonly #options: RemoteGatesOptions;
	readonly #senders = new Map<string, HttpSender>();

	constructor(options: RemoteGatesOptions) {
		this.#options = options;
	}

	/** Returns the runner for the gate of a target. */
	to(target: Target): CallRunner {
		return {
			run: (call, receiver) => this.#run(target, call, receiver),
		};
	}

	/** Closes the connections to gates that are no longer targets, once their requests have ended. */
	retain(targets: readonly Target[]): void {
		const urls = new Set(targets.map(target => target.gateUrl));
		for (const [url, sender] of this.#senders) {
			if (!urls.has(url)) {
				this.#senders.delete(url);
				void sender.close();
			}
		}
	}

	/** Aborts all requests and closes all connections. */
	async close(): Promise<void> {
		const senders = [...this.#senders.values()];
		this.#senders.clear();
		await Promise.all(senders.map(async sender => sender.destroy()));
	}

	#run(target: Target, call: GateCall, receiver: CallReceiver): RunningCall {
		const exchange = new RemoteExchange(target, call, receiver, this.#options);
		exchange.start(this.#getSender(target.gateUrl));
		return exchange;
	}

	#getSender(url: string): HttpSender {
		let sender = this.#senders.get(url);
		if (sender === undefined) {
			sender = new HttpSender(url, {keepAliveTimeoutMilliseconds, connectTimeoutMilliseconds, ...createTlsOptions(this.#options.credentials)});
			this.#senders.set(url, sender);
		}

		return sender;
	}
}

class RemoteExchange implements RunningCall, ResponseReceiver {
	readonly #target: Target;
	readonly #call: GateCall;
	readonly #receiver: CallReceiver;
	readonly #options: RemoteGatesOptions;
	readonly #startedAt: number;
	#send: InFlightRequest | undefined;
	#isCancelled = false;
	#metadata: GateMetadata = {retriesLeft: 0};
	/** True if the response has a body without a length, so that only the trailer `wholeField` shows that it is complete. */
	#isTrailerRequired = false;
	#problemHead: ResponseHead | undefined;
	readonly #problemBody: Uint8Array[] = [];
	/** Limits how much of the body of a problem is read. The head alone suffices to report the problem. */
	#problemBodyLimit: DiscardedResponse | undefined;

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
				...createCredentialFields(this.#options.credentials),
				callField,
				formatGateCall(this.#call, this.#options.clock.now()),
			],
			body,
			bodyLength,
		}, this);
	}

	cancel(): void {
		this.#isCancelled = true;
		this.#problemBodyLimit?.end();
		this.#send?.cancel();
	}

	onHead(head: ResponseHead, flow: ResponseFlow): void {
		const level = parseGateLoad(head.headers);
		const retriesLeft = parseNumberField(head.headers, retriesLeftField) ?? 0;
		const queuedMilliseconds = parseNumberField(head.headers, queuedField) ?? 0;
		const hasArrived = head.headers[arrivedField] !== undefined;
		this.#metadata = {
			...(level === undefined ? {} : {level}), ...(hasArrived ? {hasArrived} : {}), retriesLeft, queuedMilliseconds,
		};
		if (parseProblemCode(head.headers) !== undefined) {
			this.#problemHead = head;
			this.#problemBodyLimit = new DiscardedResponse(this.#options.clock, () => {
				this.#send?.cancel();
				this.#receiver.onProblem(readProblem(head, Buffer.alloc(0)), this.#metadata);
			});
			return;
		}

		this.#isTrailerRequired = head.headers['content-length'] === undefined
			&& this.#call.method !== 'HEAD'
			&& !statusesWithoutBody.has(head.status);
		this.#receiver.onHead(head, flow, this.#metadata);
	}

	onData(chunk: Uint8Array): void {
		if (this.#problemHead === undefined) {
			this.#receiver.onData(chunk);
			return;
		}

		this.#problemBody.push(Uint8Array.from(chunk));
		this.#problemBodyLimit?.addBytes(chunk.byteLength);
	}

	onEnd(trailers: HeaderFields): void {
		this.#problemBodyLimit?.end();
		if (this.#problemHead !== undefined) {
			this.#receiver.onProblem(readProblem(this.#problemHead, Buffer.concat(this.#problemBody)), this.#metadata);
			return;
		}

		if (this.#isTrailerRequired && trailers[wholeField] === undefined) {
			this.#receiver.onBroken();
			return;
		}

		this.#receiver.onEnd(trailers);
	}

	onFailure(failure: SendFailure): void {
		this.#problemBodyLimit?.end();
		if (failure.answered && this.#problemHead === undefined) {
			this.#receiver.onBroken();
			return;
		}

		if (this.#problemHead !== undefined) {
			this.#receiver.onProblem(readProblem(this.#problemHead, Buffer.alloc(0)), this.#metadata);
			return;
		}

		if (!failure.mayHaveBeenSent) {
			this.#reportNotSent(failure.cause);
			return;
		}

		if (failure.cause instanceof BodyTooLargeError) {
			this.#receiver.onProblem({code: 'body-too-large', outcome: 'unknown', detail: failure.cause.message}, {retriesLeft: 0});
			return;
		}

		void reportBrokenCall({
			target: this.#target, call: this.#call, sentAt: this.#startedAt, receiver: this.#receiver, isCancelled: () => this.#isCancelled,
		}, this.#options);
	}

	/** Reports a request that was not sent. Only a failure to connect shows that the gate can't be reached: the request itself may be invalid. */
	#reportNotSent(cause: Error): void {
		if (isConnectFailure(cause)) {
			reportUnreachableGate(this.#call, this.#receiver);
			return;
		}

		this.#receiver.onProblem(unreachableGateProblem, {retriesLeft: unusedRetries(this.#call)});
	}
}

function isConnectFailure(error: Error): boolean {
	return 'code' in error && connectFailureCodes.has(error.code as string);
}

function createTlsOptions(credentials: FleetCredentials): {readonly mutualTls?: MutualTlsCredentials} {
	return credentials.kind === 'mutual-tls' ? {mutualTls: credentials} : {};
}

function createCredentialFields(credentials: FleetCredentials): readonly string[] {
	return credentials.kind === 'token' ? [fleetTokenField, credentials.token] : [];
}

function readProblem(head: ResponseHead, body: Uint8Array): Problem {
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
