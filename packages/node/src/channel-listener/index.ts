/**
Serves the calls of other nodes to this node's gate over channels: connections
that multiplex many concurrent calls as frames.
*/

import {bytesInKibibyte, type Clock, type Problem} from '@fireflyglade/model';
import {
	FrameConnectionError, FrameListener, overloadedProblem, selectResponseFields,
	type AcceptedPeer, type ResponseFlow, type ResponseHead, type FrameConnection, type FrameConnectionHandlers, type HeaderFields, type ProcessResources,
} from '@fireflyglade/transport';
import type {Gate} from '../gate/index.js';
import type {
	CallReceiver, GateCall, GateMetadata, RunningCall,
} from '../_lib/call-types.js';
import {createCallContext} from '../_lib/gate-call/index.js';
import {SecretVerifier} from '../_lib/peer-fields/index.js';
import {
	FieldDecoder, FieldEncoder, peerMessageKinds as kinds, decodeCall, encodeGateMetadata, type EncodedFields,
} from '../_lib/peer-messages/index.js';

/** Options of the channel listener. */
export type ChannelListenerOptions = {
	readonly gate: Gate;
	/** The shared token of the fleet, which other nodes must send first. */
	readonly token: string;
	readonly clock: Clock;
	/** What the listeners of the process share; the listener has resources of its own if absent. */
	readonly resources?: ProcessResources;
	/** Called for each malformed message, to log it. */
	readonly onMessageError?: (error: Error) => void;
};

/** A connection, which may be read only after its handlers were created, and what the listener knows of it. */
type AcceptedConnection = {
	readonly connection: () => FrameConnection;
	readonly peer: AcceptedPeer;
};

/** Creates the listener for other nodes' calls over channels. */
export function createChannelListener(options: ChannelListenerOptions): FrameListener {
	const secretVerifier = new SecretVerifier(options.token);
	return new FrameListener((connection, peer) => new PeerConnection({connection, peer}, options, secretVerifier), {...options, mustAuthenticate: true});
}

/** Serves the calls on one connection of an entry node, which must authenticate with its first message. */
class PeerConnection implements FrameConnectionHandlers {
	readonly #connection: () => FrameConnection;
	readonly #peer: AcceptedPeer;
	readonly #options: ChannelListenerOptions;
	readonly #secretVerifier: SecretVerifier;
	readonly #calls = new Map<number, PeerCallAnswer>();
	readonly #decoder = new FieldDecoder();
	readonly #encoder = new FieldEncoder();
	#isAuthenticated = false;
	/** Bytes of a response that the entry node takes before it says that it has passed them on. */
	#windowBytes = Number.POSITIVE_INFINITY;

	constructor({connection, peer}: AcceptedConnection, options: ChannelListenerOptions, secretVerifier: SecretVerifier) {
		this.#connection = connection;
		this.#peer = peer;
		this.#options = options;
		this.#secretVerifier = secretVerifier;
	}

	onMessage(message: readonly unknown[]): void {
		const [kind, value] = message;
		if (!this.#isAuthenticated) {
			this.#windowBytes = typeof message[2] === 'number' ? message[2] : Number.POSITIVE_INFINITY;
			this.#authenticate(kind === kinds.hello && typeof value === 'string' && this.#secretVerifier.matches(value));
			return;
		}

		const callNumber = value as number;
		switch (kind) {
			case kinds.request: {
				this.#run(callNumber, message);
				return;
			}

			case kinds.cancel: {
				const call = this.#calls.get(callNumber);
				this.#forget(callNumber);
				call?.running?.cancel();
				return;
			}

			case kinds.pause: {
				this.#calls.get(callNumber)?.pause();
				return;
			}

			case kinds.resume: {
				this.#calls.get(callNumber)?.resume();
				return;
			}

			default: {
				this.#connection().destroy(new FrameConnectionError(`unknown message kind ${String(kind)}`));
			}
		}
	}

	onDrain(): void {
		for (const call of this.#calls.values()) {
			call.resumeAfterDrain();
		}
	}

	/** Cancels all calls of a closed connection. The entry node queries their outcomes over RPC. */
	onClosed(): void {
		const calls = [...this.#calls.values()];
		this.#calls.clear();
		for (const call of calls) {
			call.running?.cancel();
		}
	}

	#authenticate(isAllowed: boolean): void {
		this.#isAuthenticated = isAllowed;
		if (isAllowed) {
			this.#peer.trust();
			return;
		}

		this.#connection().destroy(new FrameConnectionError('only nodes of the fleet may call a gate'));
	}

	#run(number: number, message: readonly unknown[]): void {
		const [encodedCall, traceparent, method, path, fields, body] = message.slice(2) as [unknown, string, string, string, EncodedFields, unknown];
		const headers = this.#decoder.decodeList(fields);
		const call = decodeCall(encodedCall);
		const heldBytes = measureCall(path, headers, body);
		const channel = {
			connection: this.#connection(), encoder: this.#encoder, heldBytes, windowBytes: this.#windowBytes,
		};
		const answer = new PeerCallAnswer(number, channel, () => {
			this.#forget(number);
		});
		this.#calls.set(number, answer);
		this.#peer.memory.add(heldBytes);
		const {service, idempotent, job} = call;
		const gateCall: GateCall = {
			context: createCallContext(call, traceparent, this.#options.clock.now()),
			service,
			idempotent,
			job,
			method,
			path,
			headers,
			body: body instanceof Uint8Array ? body : undefined,
			bodyLength: body instanceof Uint8Array ? body.length : undefined,
		};
		if (this.#peer.hasRoom()) {
			answer.running = this.#options.gate.run(gateCall, answer);
			return;
		}

		this.#options.gate.refuse(gateCall, answer, overloadedProblem);
	}

	#forget(number: number): void {
		this.#peer.memory.add(-(this.#calls.get(number)?.heldBytes ?? 0));
		this.#calls.delete(number);
	}
}

/** Returns the bytes that a received call occupies. */
function measureCall(path: string, headers: readonly string[], body: unknown): number {
	let bytes = callObjectBytes + path.length + (body instanceof Uint8Array ? body.byteLength : 0);
	for (const text of headers) {
		bytes += text.length;
	}

	return bytes;
}

/** Memory of the objects that the gate creates for a call. */
const callObjectBytes = 2 * bytesInKibibyte;

/** Number of elements of a head message that contains no data and no end marker. */
const headOnlyLength = 5;

/** The connection and the field encoder that the answers on one connection share, and the limits of one answer. */
type AnswerChannel = {
	readonly connection: FrameConnection;
	readonly encoder: FieldEncoder;
	/** Bytes that the call occupies. */
	readonly heldBytes: number;
	/** Bytes of the response that may be sent before the entry node resumes it. */
	readonly windowBytes: number;
};

/** Forwards the answer to one call to the entry node. */
class PeerCallAnswer implements CallReceiver {
	running: RunningCall | undefined;
	readonly heldBytes: number;
	#flow: ResponseFlow | undefined;
	readonly #number: number;
	readonly #connection: FrameConnection;
	readonly #encoder: FieldEncoder;
	readonly #onEnded: () => void;
	/** True while the send buffer of the connection is full. */
	#isConnectionFull = false;
	/** True while the entry node has paused this answer. */
	#isPausedByEntryNode = false;
	readonly #windowBytes: number;
	/** Bytes that were sent since the entry node last resumed this answer. */
	#sentBytes = 0;
	/** The head message, as long as the first data and the end can be added to it before it is flushed. */
	#head: unknown[] | undefined;
	/** The flush count of the connection when the head was sent. */
	#flushCountAtHead = 0;

	constructor(number: number, channel: AnswerChannel, onEnded: () => void) {
		this.#number = number;
		this.#connection = channel.connection;
		this.#encoder = channel.encoder;
		this.heldBytes = channel.heldBytes;
		this.#windowBytes = channel.windowBytes;
		this.#onEnded = onEnded;
	}

	onHead(head: ResponseHead, flow: ResponseFlow, metadata: GateMetadata): void {
		this.#flow = flow;
		this.#head = [kinds.head, this.#number, head.status, this.#encoder.encodeFields(selectResponseFields(head.headers)), encodeGateMetadata(metadata)];
		this.#flushCountAtHead = this.#connection.flushCount;
		this.#connection.send(this.#head);
	}

	onData(chunk: Uint8Array): void {
		this.#sentBytes += chunk.byteLength;
		if (this.#isWindowFull()) {
			this.#flow?.pause();
		}

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

	onProblem({code, outcome, detail, retryAfterMilliseconds}: Problem, metadata: GateMetadata): void {
		this.#connection.send([kinds.problem, this.#number, code, outcome, detail, retryAfterMilliseconds ?? null, encodeGateMetadata(metadata)]);
		this.#onEnded();
	}

	onBroken(): void {
		this.#connection.send([kinds.broken, this.#number]);
		this.#onEnded();
	}

	/** Pauses the answer at the request of the entry node, whose buffer is full. */
	pause(): void {
		this.#isPausedByEntryNode = true;
		this.#flow?.pause();
	}

	/** Resumes the answer at the request of the entry node. */
	resume(): void {
		this.#isPausedByEntryNode = false;
		this.#sentBytes = 0;
		if (!this.#isConnectionFull) {
			this.#flow?.resume();
		}
	}

	/** Resumes the answer after the send buffer of the connection has drained. */
	resumeAfterDrain(): void {
		if (!this.#isConnectionFull) {
			return;
		}

		this.#isConnectionFull = false;
		if (!this.#isPausedByEntryNode && !this.#isWindowFull()) {
			this.#flow?.resume();
		}
	}

	#isWindowFull(): boolean {
		return this.#sentBytes >= this.#windowBytes;
	}

	/** Returns the head message if it has not been flushed and no later message was sent. */
	#unsentHead(): unknown[] | undefined {
		if (this.#head !== undefined && this.#connection.flushCount !== this.#flushCountAtHead) {
			this.#head = undefined;
		}

		return this.#head;
	}
}
