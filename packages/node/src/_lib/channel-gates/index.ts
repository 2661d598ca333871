/**
Runs calls at the gates of other nodes over one multiplexed connection to each
gate. A call with a streamed or long body is sent over HTTP instead, which provides
flow control for the request.

This keeps hops cheap in a deep call graph: most calls are small, and concurrent
calls share the writes and reads of a connection, where HTTP needs an exchange
for each.
*/

import {UnreachableError, type Target} from '@fireflyglade/model';
import {FrameConnection, type ResponseFlow} from '@fireflyglade/transport';
import type {
	CallReceiver, CallRunner, GateCall, RunningCall,
} from '../call-types.js';
import {toPeerCall} from '../gate-call/index.js';
import {
	reportBrokenCall, reportUnreachableGate, type BrokenCall, type GateInquiryOptions,
} from '../gate-inquiry/index.js';
import {maximumBufferedBodyBytes} from '../request-body/index.js';
import {
	FieldDecoder, FieldEncoder, peerMessageKinds as kinds, responseWindowBytes, decodeGateAnswer, encodeCall, type EncodedFields,
} from '../peer-messages/index.js';

/** Options of `ChannelGates`. */
export type ChannelGatesOptions = GateInquiryOptions & {
	/** The fleet's secret, which the first message on a connection presents. */
	readonly token: string;
	/** Returns the runner for calls that can't be sent over a shared connection. */
	readonly fallback: (target: Target) => CallRunner;
	/** Called when the gate of a target has stopped responding while responses are due, and when it sends something again. */
	readonly onResponsiveChange?: (target: Target, isResponsive: boolean) => void;
	/** Called for each malformed message, to log it. */
	readonly onMessageError?: (error: Error) => void;
};

/** The gates of other nodes, with one shared connection to each. */
export class ChannelGates {
	readonly #options: ChannelGatesOptions;
	readonly #channels = new Map<string, Channel>();

	constructor(options: ChannelGatesOptions) {
		this.#options = options;
	}

	/** Returns the runner for the gate of a target. */
	to(target: Target): CallRunner {
		return {
			run: (call, receiver) => {
				const {channelAddress} = target;
				const isShort = call.body === undefined || (call.body instanceof Uint8Array && call.body.byteLength <= maximumBufferedBodyBytes);
				return channelAddress === undefined || !isShort
					? this.#options.fallback(target).run(call, receiver)
					: this.#openChannel(channelAddress).run(target, call, receiver);
			},
		};
	}

	/** Closes the idle connections to gates that are no longer targets. Connections in use stay open until a later call finds them idle. */
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

	#openChannel(address: string): Channel {
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
	readonly #encoder = new FieldEncoder();
	readonly #decoder = new FieldDecoder();
	#lastCallNumber = 0;
	/** The target of the latest call. */
	#target: Target | undefined;

	constructor(address: string, options: ChannelGatesOptions) {
		this.#options = options;
		this.#connection = FrameConnection.open(address, {
			onMessage: message => {
				this.#handleMessage(message);
			},
			onClosed: () => {
				this.#failAll();
			},
			onResponsiveChange: isResponsive => {
				if (this.#target !== undefined) {
					options.onResponsiveChange?.(this.#target, isResponsive);
				}
			},
		}, options);
		this.#connection.send([kinds.hello, options.token, responseWindowBytes]);
	}

	get isClosed(): boolean {
		return this.#connection.isClosed;
	}

	get isIdle(): boolean {
		return this.#calls.size === 0;
	}

	run(target: Target, call: GateCall, receiver: CallReceiver): RunningCall {
		const {clock} = this.#options;
		this.#target = target;
		this.#lastCallNumber++;
		const number = this.#lastCallNumber;
		const running = new ChannelCall({
			target, call, receiver, sentAt: clock.now(),
		}, this.#createFlow(number), this.#decoder);
		this.#calls.set(number, running);
		const {method, path, headers, body, context} = call;
		this.#connection.send([kinds.request, number, encodeCall(toPeerCall(call, clock.now())), context.traceparent, method, path, this.#encoder.encodeList(headers), body ?? null]);
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

	#createFlow(number: number): ResponseFlow {
		return {
			pause: () => {
				this.#connection.send([kinds.pause, number]);
			},
			resume: () => {
				this.#connection.send([kinds.resume, number]);
			},
		};
	}

	#handleMessage(message: readonly unknown[]): void {
		const number = message[1] as number;
		const call = this.#calls.get(number);
		if (call === undefined) {
			this.#decodeIgnoredHead(message);
		} else if (call.handleMessage(message)) {
			this.#calls.delete(number);
		}
	}

	/** Decodes the head of a response to a cancelled call, so that the index of field names stays in step with the gate. */
	#decodeIgnoredHead(message: readonly unknown[]): void {
		if (message[0] === kinds.head) {
			this.#decoder.decodeFields(message[3] as EncodedFields);
		}
	}

	#failAll(): void {
		const calls = [...this.#calls.values()];
		this.#calls.clear();
		for (const call of calls) {
			call.handleConnectionLoss(this.#connection.wasConnected, this.#options);
		}
	}
}

type SentCall = Omit<BrokenCall, 'isCancelled'>;

/** One call on a connection. */
class ChannelCall implements ResponseFlow {
	isCancelled = false;
	readonly #sent: SentCall;
	readonly #receiver: CallReceiver;
	readonly #flow: ResponseFlow;
	readonly #decoder: FieldDecoder;
	#isAnswered = false;
	#isPaused = false;
	/** Bytes that were passed on since the gate was last told to go on. */
	#passedBytes = 0;

	constructor(sent: SentCall, flow: ResponseFlow, decoder: FieldDecoder) {
		this.#decoder = decoder;
		this.#sent = sent;
		this.#receiver = sent.receiver;
		this.#flow = flow;
	}

	/**
	Handles a message of the gate. Returns true if it is the last one of the call.

	@throws {InvalidInputError} The message is malformed or out of order.
	*/
	handleMessage(message: readonly unknown[]): boolean {
		const answer = decodeGateAnswer(message, this.#decoder, this.#isAnswered);
		switch (answer.kind) {
			case 'head': {
				this.#isAnswered = true;
				this.#receiver.onHead(answer.head, this, answer.metadata);
				if (answer.bytes !== undefined) {
					this.#receiver.onData(answer.bytes);
					this.#passedBytes += answer.bytes.byteLength;
				}

				if (answer.isWhole) {
					this.#receiver.onEnd({});
				}

				return answer.isWhole;
			}

			case 'data': {
				this.#receiver.onData(answer.bytes);
				this.#reopenWindow(answer.bytes.byteLength);
				return false;
			}

			case 'end': {
				this.#receiver.onEnd(answer.trailers);
				return true;
			}

			case 'problem': {
				this.#receiver.onProblem(answer.problem, answer.metadata);
				return true;
			}

			case 'broken': {
				this.#receiver.onBroken();
				return true;
			}

			default: {
				throw new UnreachableError(answer);
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
			this.#passedBytes = 0;
			this.#flow.resume();
		}
	}

	/** Ends the call after the connection was lost. Asks the gate for the outcome if the call may have run. */
	handleConnectionLoss(wasConnected: boolean, options: GateInquiryOptions): void {
		if (this.#isAnswered) {
			this.#receiver.onBroken();
			return;
		}

		if (!wasConnected) {
			reportUnreachableGate(this.#sent.call, this.#receiver);
			return;
		}

		void reportBrokenCall({...this.#sent, isCancelled: () => this.isCancelled}, options);
	}

	/** Lets the gate go on once half of the window was passed on. While the receiver has paused the response, the gate waits. */
	#reopenWindow(bytes: number): void {
		this.#passedBytes += bytes;
		if (!this.#isPaused && this.#passedBytes >= responseWindowBytes / 2) {
			this.#passedBytes = 0;
			this.#flow.resume();
		}
	}
}
