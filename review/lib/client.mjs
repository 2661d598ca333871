/**
Connections of clients. Requests may be sent behind one another; answers come back in
their order.
*/

import {Buffer} from 'node:buffer';
import net from 'node:net';
import {now} from './deployment.mjs';

const continueStatus = 100;
/** Time after which a client sends a body although it wasn't told to go on. */
const expectationMilliseconds = 1000;

/** One connection of a client to the node of its machine. */
export class ClientConnection {
	#socket;
	#waiting = [];
	#received = Buffer.alloc(0);
	#onClosed;
	/** The body of a request that waits to be told to go on. */
	#heldBack;

	constructor(machine, onClosed = () => undefined) {
		this.#onClosed = onClosed;
		this.isClosed = false;
		/** True once an answer has said that the connection closes. */
		this.isClosing = false;
		this.#socket = net.connect({host: machine.ip, port: machine.port('outbound'), noDelay: true});
		this.#socket.on('data', bytes => {
			this.#received = Buffer.concat([this.#received, bytes]);
			this.#readAnswers();
		});
		this.#socket.on('error', () => undefined);
		this.#socket.on('close', () => {
			this.#handleClosed();
		});
	}

	/**
	Sends requests in one write. The body of the last one is left out if it expects to be
	told to go on, and is sent once that came or after a second. Each promise resolves to `{kind: 'answer', …}` or `{kind: 'closed'}`. */
	send(requests) {
		const text = requests.map(({method, target, attempt, deadline, body, isExpecting = false, fields = {}}) => [
			`${method} ${target} HTTP/1.1`,
			'Host: rondas.example',
			`Attempt-Id: ${attempt}`,
			`Deadline-Ms: ${deadline}`,
			...(body === undefined ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
			...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
			...(isExpecting ? ['Expect: 100-continue'] : []),
			'',
			isExpecting ? '' : body ?? '',
		].join('\r\n')).join('');
		const sentAt = now();
		const answers = requests.map(async request => new Promise(resolve => {
			this.#waiting.push({request, sentAt, resolve});
		}));
		this.#socket.write(text);
		const last = requests.at(-1);
		if (last.isExpecting) {
			this.#heldBack = last.body;
			setTimeout(() => {
				this.#sendHeldBack();
			}, expectationMilliseconds);
		}

		return answers;
	}

	close() {
		this.#socket.destroy();
	}

	#sendHeldBack() {
		if (this.#heldBack !== undefined) {
			this.#socket.write(this.#heldBack);
			this.#heldBack = undefined;
		}
	}

	#readAnswers() {
		for (;;) {
			const end = this.#received.indexOf('\r\n\r\n');
			if (end === -1) {
				return;
			}

			const [statusLine, ...lines] = this.#received.subarray(0, end).toString('latin1').split('\r\n');
			const fields = new Map(lines.map(line => {
				const colon = line.indexOf(':');
				return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
			}));
			const status = Number(statusLine.split(' ')[1]);
			if (status === continueStatus) {
				this.#received = this.#received.subarray(end + 4);
				this.#sendHeldBack();
				continue;
			}

			const length = Number(fields.get('content-length') ?? 0);
			const start = end + 4;
			if (this.#received.length < start + length) {
				return;
			}

			const body = this.#received.subarray(start, start + length).toString();
			this.#received = this.#received.subarray(start + length);
			this.isClosing ||= fields.get('connection') === 'close';
			const waiting = this.#waiting.shift();
			waiting?.resolve({
				kind: 'answer', status, fields, body, at: now(), sentAt: waiting.sentAt,
			});
		}
	}

	#handleClosed() {
		this.isClosed = true;
		const at = now();
		const begun = this.#received.length;
		for (const {resolve, sentAt} of this.#waiting.splice(0)) {
			resolve({
				kind: 'closed', at, sentAt, begun,
			});
		}

		this.#onClosed();
	}
}
