/**
Serves the calls of other nodes to the gate over connections that carry many
calls at once.
*/

import {InvalidInputError, type Clock, type Problem} from '@fireflyglade/model';
import {
	FrameConnectionError, FrameListener, selectAnswerFields,
	type AnswerFlow, type AnswerHead, type FrameConnection, type FrameConnectionHandlers, type HeaderFields,
} from '@fireflyglade/transport';
import type {Gate} from '../gate/index.js';
import type {
	CallReceiver, GateNote, RunningCall,
} from '../_lib/call-types.js';
import {contextOf} from '../_lib/gate-call/index.js';
import {SecretCheck} from '../_lib/peer-fields/index.js';
import {
	FieldReader, FieldWriter, peerMessageKinds as kinds, readCall, writeNote, type WireFields,
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
	const check = new SecretCheck(options.token);
	return new FrameListener(connection => new PeerConnection(connection, options, check), options);
}

/** The calls on one connection. */
class PeerConnection implements FrameConnectionHandlers {
	readonly #connection: () => FrameConnection;
	readonly #options: ChannelListenerOptions;
	readonly #secretCheck: SecretCheck;
	readonly #calls = new Map<number, PeerCallAnswer>();
	readonly #reader = new FieldReader();
	readonly #writer = new FieldWriter();
	#isAuthenticated = false;

	constructor(connection: () => FrameConnection, options: ChannelListenerOptions, check: SecretCheck) {
		this.#connection = connection;
		this.#options = options;
		this.#secretCheck = check;
	}

	onMessage(message: readonly unknown[]): void {
		try {
			this.#handleMessage(message);
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

	#handleMessage(message: readonly unknown[]): void {
		const [kind, value] = message;
		if (!this.#isAuthenticated) {
			this.#authenticate(kind === kinds.hello && typeof value === 'string' && this.#secretCheck.matches(value));
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

	#authenticate(isAllowed: boolean): void {
		this.#isAuthenticated = isAllowed;
		if (!isAllowed) {
			this.#connection().destroy(new FrameConnectionError('only nodes of the fleet may call a gate'));
		}
	}

	#run(number: number, message: readonly unknown[]): void {
		const [described, traceparent, method, path, fields, body] = message.slice(2) as [unknown, string, string, string, WireFields, unknown];
		const headers = this.#reader.readList(fields);
		const call = readCall(described);
		const answer = new PeerCallAnswer(number, {connection: this.#connection(), writer: this.#writer}, () => {
			this.#calls.delete(number);
		});
		this.#calls.set(number, answer);
		const {service, idempotent, job} = call;
		const running = this.#options.gate.run({
			context: contextOf(call, traceparent, this.#options.clock.now()),
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
const headOnlyLength = 5;

/** What the answers on one connection share. */
type AnswerChannel = {
	readonly connection: FrameConnection;
	readonly writer: FieldWriter;
};

/** Passes one answer on to the entry node. */
class PeerCallAnswer implements CallReceiver {
	running: RunningCall | undefined;
	#flow: AnswerFlow | undefined;
	readonly #number: number;
	readonly #connection: FrameConnection;
	readonly #writer: FieldWriter;
	readonly #onEnded: () => void;
	/** True while the connection has no room. */
	#isConnectionFull = false;
	/** True while the entry node has no room. */
	#isPausedByEntryNode = false;
	/** The head while it has not left, so that the first bytes and the end can go with it. */
	#head: unknown[] | undefined;
	#headFlush = 0;

	constructor(number: number, {connection, writer}: AnswerChannel, ended: () => void) {
		this.#number = number;
		this.#connection = connection;
		this.#writer = writer;
		this.#onEnded = ended;
	}

	onHead(head: AnswerHead, flow: AnswerFlow, note: GateNote): void {
		this.#flow = flow;
		this.#head = [kinds.head, this.#number, head.status, this.#writer.writeFields(selectAnswerFields(head.headers)), writeNote(note)];
		this.#headFlush = this.#connection.flushes;
		this.#connection.send(this.#head);
	}

	onData(chunk: Uint8Array): void {
		const head = this.#unsentHead();
		if (head?.length === headOnlyLength) {
			head.push(Buffer.from(chunk));
			return;
		}

		this.#head = undefined;
		if (!this.#connection.send([kinds.data, this.#number, Buffer.from(chunk)])) {
			this.#isConnectionFull = true;
			this.#flow?.pause();
		}
	}

	onEnd(trailers: HeaderFields): void {
		const head = this.#unsentHead();
		if (head === undefined || Object.keys(trailers).length > 0) {
			this.#connection.send([kinds.end, this.#number, trailers]);
		} else {
			head.push(...(head.length === headOnlyLength ? [null, 1] : [1]));
		}

		this.#head = undefined;
		this.#onEnded();
	}

	onProblem({code, outcome, detail, retryAfterMilliseconds}: Problem, note: GateNote): void {
		this.#connection.send([kinds.problem, this.#number, code, outcome, detail, retryAfterMilliseconds ?? null, writeNote(note)]);
		this.#onEnded();
	}

	onBroken(): void {
		this.#connection.send([kinds.broken, this.#number]);
		this.#onEnded();
	}

	/** The entry node has no room for more of the answer. */
	pause(): void {
		this.#isPausedByEntryNode = true;
		this.#flow?.pause();
	}

	/** The entry node has room again. */
	resume(): void {
		this.#isPausedByEntryNode = false;
		if (!this.#isConnectionFull) {
			this.#flow?.resume();
		}
	}

	/** The connection has room again. */
	resumeAfterDrain(): void {
		if (!this.#isConnectionFull) {
			return;
		}

		this.#isConnectionFull = false;
		if (!this.#isPausedByEntryNode) {
			this.#flow?.resume();
		}
	}

	/** The head if nothing has left or was sent after it. */
	#unsentHead(): unknown[] | undefined {
		if (this.#head !== undefined && this.#connection.flushes !== this.#headFlush) {
			this.#head = undefined;
		}

		return this.#head;
	}
}
