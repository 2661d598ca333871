/**
Serves the calls of other nodes to the gate over connections that carry many
calls at once.
*/

import {InvalidInputError, type Clock, type Problem} from '@fireflyglade/model';
import {
	FrameConnectionError, FrameListener, selectResponseFields,
	type ResponseFlow, type ResponseHead, type FrameConnection, type FrameConnectionHandlers, type HeaderFields,
} from '@fireflyglade/transport';
import type {Gate} from '../gate/index.js';
import type {
	CallReceiver, GateMetadata, RunningCall,
} from '../_lib/call-types.js';
import {createCallContext} from '../_lib/gate-call/index.js';
import {SecretVerifier} from '../_lib/peer-fields/index.js';
import {
	FieldDecoder, FieldEncoder, peerMessageKinds as kinds, decodeCall, encodeGateMetadata, type EncodedFields,
} from '../_lib/peer-messages/index.js';

/** What the listener is given. */
export type ChannelListenerOptions = {
	readonly gate: Gate;
	/** The fleet's secret. */
	readonly token: string;
	readonly clock: Clock;
};

/** Makes the listener for other nodes' calls. */
export function createChannelListener(options: ChannelListenerOptions): FrameListener {
	const check = new SecretVerifier(options.token);
	return new FrameListener(connection => new PeerConnection(connection, options, check), options);
}

/** The calls on one connection. */
class PeerConnection implements FrameConnectionHandlers {
	readonly #connection: () => FrameConnection;
	readonly #options: ChannelListenerOptions;
	readonly #check: SecretVerifier;
	readonly #calls = new Map<number, PeerCallAnswer>();
	readonly #reader = new FieldDecoder();
	readonly #writer = new FieldEncoder();
	#isLetIn = false;

	constructor(connection: () => FrameConnection, options: ChannelListenerOptions, check: SecretVerifier) {
		this.#connection = connection;
		this.#options = options;
		this.#check = check;
	}

	onMessage(message: readonly unknown[]): void {
		try {
			this.#take(message);
		} catch (error) {
			if (!(error instanceof InvalidInputError)) {
				throw error;
			}

			this.#connection().destroy(error);
		}
	}

	onDrain(): void {
		for (const call of this.#calls.values()) {
			call.resumeAfterDrain();
		}
	}

	/** The entry node has gone; it asks by RPC what became of its calls. */
	onClosed(): void {
		const calls = [...this.#calls.values()];
		this.#calls.clear();
		for (const call of calls) {
			call.running?.cancel();
		}
	}

	#take(message: readonly unknown[]): void {
		const [kind, value] = message;
		if (!this.#isLetIn) {
			this.#letIn(kind === kinds.hello && typeof value === 'string' && this.#check.matches(value));
			return;
		}

		const number = value as number;
		switch (kind) {
			case kinds.request: {
				this.#run(number, message);
				return;
			}

			case kinds.cancel: {
				const call = this.#calls.get(number);
				this.#calls.delete(number);
				call?.running?.cancel();
				return;
			}

			case kinds.pause: {
				this.#calls.get(number)?.pause();
				return;
			}

			case kinds.resume: {
				this.#calls.get(number)?.resume();
				return;
			}

			default: {
				this.#connection().destroy(new FrameConnectionError(`a message of kind ${String(kind)} is not known`));
			}
		}
	}

	#letIn(isAllowed: boolean): void {
		this.#isLetIn = isAllowed;
		if (!isAllowed) {
			this.#connection().destroy(new FrameConnectionError('only nodes of the fleet may call a gate'));
		}
	}

	#run(number: number, message: readonly unknown[]): void {
		const [described, traceparent, method, path, fields, body] = message.slice(2) as [unknown, string, string, string, EncodedFields, unknown];
		const headers = this.#reader.decodeList(fields);
		const call = decodeCall(described);
		const answer = new PeerCallAnswer(number, {connection: this.#connection(), writer: this.#writer}, () => {
			this.#calls.delete(number);
		});
		this.#calls.set(number, answer);
		const {service, idempotent, job} = call;
		const running = this.#options.gate.run({
			context: createCallContext(call, traceparent, this.#options.clock.now()),
			service,
			idempotent,
			job,
			method,
			path,
			headers,
			body: body instanceof Uint8Array ? body : undefined,
			bodyLength: body instanceof Uint8Array ? body.length : undefined,
		}, answer);
		answer.running = running;
	}
}

/** Parts of a message with the head alone. */
const headLength = 5;

/** What the answers on one connection share. */
type PeerConnectionEnd = {
	readonly connection: FrameConnection;
	readonly writer: FieldEncoder;
};

/** Passes one answer on to the entry node. */
class PeerCallAnswer implements CallReceiver {
	running: RunningCall | undefined;
	#flow: ResponseFlow | undefined;
	readonly #number: number;
	readonly #connection: FrameConnection;
	readonly #writer: FieldEncoder;
	readonly #ended: () => void;
	/** True while the connection has no room. */
	#isHeldBack = false;
	/** True while the entry node has no room. */
	#isPaused = false;
	/** The head while it has not left, so that the first bytes and the end can go with it. */
	#head: unknown[] | undefined;
	#headFlush = 0;

	constructor(number: number, {connection, writer}: PeerConnectionEnd, ended: () => void) {
		this.#number = number;
		this.#connection = connection;
		this.#writer = writer;
		this.#ended = ended;
	}

	onHead(head: ResponseHead, flow: ResponseFlow, note: GateMetadata): void {
		this.#flow = flow;
		this.#head = [kinds.head, this.#number, head.status, this.#writer.encodeFields(selectResponseFields(head.headers)), encodeGateMetadata(note)];
		this.#headFlush = this.#connection.flushCount;
		this.#connection.send(this.#head);
	}

	onData(chunk: Uint8Array): void {
		const head = this.#unsentHead();
		if (head?.length === headLength) {
			head.push(Buffer.from(chunk));
			return;
		}

		this.#head = undefined;
		if (!this.#connection.send([kinds.data, this.#number, Buffer.from(chunk)])) {
			this.#isHeldBack = true;
			this.#flow?.pause();
		}
	}

	onEnd(trailers: HeaderFields): void {
		const head = this.#unsentHead();
		if (head === undefined || Object.keys(trailers).length > 0) {
			this.#connection.send([kinds.end, this.#number, trailers]);
		} else {
			head.push(...(head.length === headLength ? [null, 1] : [1]));
		}

		this.#head = undefined;
		this.#ended();
	}

	onProblem({code, outcome, detail, retryAfterMilliseconds}: Problem, note: GateMetadata): void {
		this.#connection.send([kinds.problem, this.#number, code, outcome, detail, retryAfterMilliseconds ?? null, encodeGateMetadata(note)]);
		this.#ended();
	}

	onBroken(): void {
		this.#connection.send([kinds.broken, this.#number]);
		this.#ended();
	}

	/** The entry node has no room for more of the answer. */
	pause(): void {
		this.#isPaused = true;
		this.#flow?.pause();
	}

	/** The entry node has room again. */
	resume(): void {
		this.#isPaused = false;
		if (!this.#isHeldBack) {
			this.#flow?.resume();
		}
	}

	/** The connection has room again. */
	resumeAfterDrain(): void {
		if (!this.#isHeldBack) {
			return;
		}

		this.#isHeldBack = false;
		if (!this.#isPaused) {
			this.#flow?.resume();
		}
	}

	/** The head if nothing has left or was sent after it. */
	#unsentHead(): unknown[] | undefined {
		if (this.#head !== undefined && this.#connection.flushCount !== this.#headFlush) {
			this.#head = undefined;
		}

		return this.#head;
	}
}
