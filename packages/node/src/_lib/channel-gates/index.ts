/**
Runs calls at the gates of other nodes over one connection to each, that carries
many calls at once. A call whose body is a stream goes by HTTP, which brings its
own flow of the request.

Answers the load of a deep call graph: most calls are small, and a hop costs one
part of a write and of a read in place of an HTTP exchange.
*/

import {
	InvalidInputError,
	type Problem, type ProblemCode, type ProblemOutcome, type Target,
} from '@fireflyglade/model';
import {
	FrameConnection,
	type AnswerFlow, type HeaderFields,
} from '@fireflyglade/transport';
import type {
	CallReceiver, CallRunner, GateCall, RunningCall,
} from '../call-types.js';
import {toPeerCall} from '../gate-call/index.js';
import {
	reportBrokenCall, unusedRetries, unreachableGateProblem, type BrokenCall, type GateInquiryOptions,
} from '../gate-inquiry/index.js';
import {
	FieldDecoder, FieldEncoder, peerMessageKinds as kinds, decodeGateMetadata, encodeCall, type EncodedFields,
} from '../peer-messages/index.js';

/** What the calls over shared connections need. */
export type ChannelGatesOptions = GateInquiryOptions & {
	/** The fleet's secret. */
	readonly token: string;
	/** Takes the calls that shared connections don't carry. */
	readonly fallback: (target: Target) => CallRunner;
};

/** The gates of other nodes, with one connection to each. */
export class ChannelGates {
	readonly #options: ChannelGatesOptions;
	readonly #channels = new Map<string, Channel>();

	constructor(options: ChannelGatesOptions) {
		this.#options = options;
	}

	/** The runner for the gate of a target. */
	to(target: Target): CallRunner {
		return {
			run: (call, receiver) => {
				const {channelAddress} = target;
				const isWhole = call.body === undefined || call.body instanceof Uint8Array;
				return channelAddress === undefined || !isWhole
					? this.#options.fallback(target).run(call, receiver)
					: this.#channelTo(channelAddress).run(target, call, receiver);
			},
		};
	}

	/** Closes the connections to gates that are no longer targets, once nothing is under way there. */
	retain(targets: readonly Target[]): void {
		const addresses = new Set(targets.map(target => target.channelAddress));
		for (const [address, channel] of this.#channels) {
			if (!addresses.has(address) && channel.isIdle) {
				this.#channels.delete(address);
				channel.close();
			}
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const channel of this.#channels.values()) {
			channel.close();
		}

		this.#channels.clear();
	}

	#channelTo(address: string): Channel {
		let channel = this.#channels.get(address);
		if (channel === undefined || channel.isClosed) {
			channel = new Channel(address, this.#options);
			this.#channels.set(address, channel);
		}

		return channel;
	}
}

/** One connection to a gate. */
class Channel {
	readonly #options: ChannelGatesOptions;
	readonly #connection: FrameConnection;
	readonly #calls = new Map<number, ChannelCall>();
	readonly #writer = new FieldEncoder();
	readonly #reader = new FieldDecoder();
	#count = 0;

	constructor(address: string, options: ChannelGatesOptions) {
		this.#options = options;
		this.#connection = FrameConnection.open(address, {
			onMessage: message => {
				this.#take(message);
			},
			onClosed: () => {
				this.#endAll();
			},
		}, options);
		this.#connection.send([kinds.hello, options.token]);
	}

	get isClosed(): boolean {
		return this.#connection.isClosed;
	}

	get isIdle(): boolean {
		return this.#calls.size === 0;
	}

	run(target: Target, call: GateCall, receiver: CallReceiver): RunningCall {
		const {clock} = this.#options;
		this.#count++;
		const number = this.#count;
		const running = new ChannelCall({
			target, call, receiver, sentAt: clock.now(),
		}, this.#flowOf(number), this.#reader);
		this.#calls.set(number, running);
		const {method, path, headers, body, context} = call;
		this.#connection.send([kinds.request, number, encodeCall(toPeerCall(call, clock.now())), context.traceparent, method, path, this.#writer.encodeList(headers), body ?? null]);
		this.#connection.monitorLiveness(() => this.#calls.size > 0);
		return {
			cancel: () => {
				if (this.#calls.delete(number)) {
					running.isCancelled = true;
					this.#connection.send([kinds.cancel, number]);
				}
			},
		};
	}

	close(): void {
		this.#connection.close();
	}

	#flowOf(number: number): AnswerFlow {
		return {
			pause: () => {
				this.#connection.send([kinds.pause, number]);
			},
			resume: () => {
				this.#connection.send([kinds.resume, number]);
			},
		};
	}

	#take(message: readonly unknown[]): void {
		const number = message[1] as number;
		const call = this.#calls.get(number);
		try {
			if (call === undefined) {
				this.#passOver(message);
			} else if (call.take(message)) {
				this.#calls.delete(number);
			}
		} catch (error) {
			if (!(error instanceof InvalidInputError)) {
				throw error;
			}

			this.#connection.destroy(error);
		}
	}

	/** The names of an answer that nobody waits for any more are remembered all the same. */
	#passOver(message: readonly unknown[]): void {
		if (message[0] === kinds.head) {
			this.#reader.decodeFields(message[3] as EncodedFields);
		}
	}

	#endAll(): void {
		const calls = [...this.#calls.values()];
		this.#calls.clear();
		for (const call of calls) {
			call.lose(this.#connection.wasConnected, this.#options);
		}
	}
}

type SentCall = Omit<BrokenCall, 'isCancelled'>;

/** One call on a connection. */
class ChannelCall implements AnswerFlow {
	isCancelled = false;
	readonly #sent: SentCall;
	readonly #receiver: CallReceiver;
	readonly #flow: AnswerFlow;
	readonly #reader: FieldDecoder;
	#isAnswered = false;
	#isPaused = false;

	constructor(sent: SentCall, flow: AnswerFlow, reader: FieldDecoder) {
		this.#reader = reader;
		this.#sent = sent;
		this.#receiver = sent.receiver;
		this.#flow = flow;
	}

	/** Takes a message of the gate; returns true if it is the last one. */
	take(message: readonly unknown[]): boolean {
		const [kind] = message;
		switch (kind) {
			case kinds.head: {
				return this.#takeHead(message);
			}

			case kinds.data: {
				this.#receiver.onData(message[2] as Uint8Array);
				return false;
			}

			case kinds.end: {
				this.#receiver.onEnd(message[2] as HeaderFields);
				return true;
			}

			case kinds.problem: {
				const [code, outcome, detail, wait, note] = message.slice(2) as [ProblemCode, ProblemOutcome, string, number | undefined, unknown];
				const problem: Problem = {
					code, outcome, detail, ...(wait === null ? {} : {retryAfterMilliseconds: wait}),
				};
				this.#receiver.onProblem(problem, decodeGateMetadata(note));
				return true;
			}

			case kinds.broken: {
				this.#receiver.onBroken();
				return true;
			}

			default: {
				return false;
			}
		}
	}

	pause(): void {
		this.#isPaused = true;
		this.#flow.pause();
	}

	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#flow.resume();
		}
	}

	/** The connection was lost. */
	lose(wasConnected: boolean, options: GateInquiryOptions): void {
		if (this.#isAnswered) {
			this.#receiver.onBroken();
			return;
		}

		if (!wasConnected) {
			this.#receiver.onProblem(unreachableGateProblem, {retriesLeft: unusedRetries(this.#sent.call)});
			return;
		}

		void reportBrokenCall({...this.#sent, isCancelled: () => this.isCancelled}, options);
	}

	/** Takes the head of an answer, with its first bytes and its end where they came along. */
	#takeHead(message: readonly unknown[]): boolean {
		const [status, fields, note, bytes, isWhole] = message.slice(2) as [number, EncodedFields, unknown, unknown, unknown];
		const headers = this.#reader.decodeFields(fields);
		this.#isAnswered = true;
		this.#receiver.onHead({status, headers}, this, decodeGateMetadata(note));
		if (bytes instanceof Uint8Array) {
			this.#receiver.onData(bytes);
		}

		if (isWhole === 1) {
			this.#receiver.onEnd({});
			return true;
		}

		return false;
	}
}
