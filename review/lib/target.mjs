/**
A target as the pages describe it: it sends heartbeats to the node beside it, serves
requests in slots, echoes their ids, refuses those for another instance, and drops a
request whose connection has closed.
*/

/* eslint-disable camelcase -- the names of the platform */

import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {call, now} from './deployment.mjs';

const heartbeatIntervalMilliseconds = 1500;
const longRequestBytes = 100_000;
/** Time that the answer to a request that isn't in takes. */
const earlyAnswerMilliseconds = 200;

/** A target beside one node. */
export class Target {
	#machine;
	#record;
	#server;
	#timer;
	#sequence = 0;
	#running = 0;
	#workMilliseconds;
	#answer;
	#rejectsEarly;

	/**
	@param machine - The machine on which the target runs.
	@param options.work - Returns the milliseconds of work of a request.
	@param options.answer - Writes the answer to a request that has run; the usual one if absent.
	@param options.rejectsEarly - True if it answers long requests with 500 before they are in.
	*/
	constructor(machine, record, {work, slots = 72, answer, rejectsEarly = false}) {
		this.#rejectsEarly = rejectsEarly;
		this.#machine = machine;
		this.#record = record;
		this.#workMilliseconds = work;
		this.#answer = answer ?? writeAnswer;
		this.slots = slots;
		this.id = `i-${randomBytes(4).toString('hex')}`;
		this.born = Date.now();
		/** The runs: attempt id, start, end and whether the answer was given whole. */
		this.runs = [];
	}

	get record() {
		return this.#record;
	}

	async start() {
		this.#server = http.createServer({keepAliveTimeout: 10_000}, (request, response) => {
			this.#handle(request, response);
		});
		await new Promise(resolve => {
			this.#server.listen(this.#machine.port('target'), this.#machine.ip, resolve);
		});
	}

	/** Sends heartbeats from now on, the first at once. */
	startHeartbeats() {
		this.sendHeartbeat();
		this.#timer = setInterval(() => {
			this.sendHeartbeat();
		}, heartbeatIntervalMilliseconds);
	}

	stopHeartbeats() {
		clearInterval(this.#timer);
	}

	/** The body of the next heartbeat. */
	nextHeartbeat(state = 'ready') {
		this.#sequence++;
		const {service, zone} = this.#machine;
		return JSON.stringify({
			service, address: this.#machine.address('target'), zone, version: 'v1', slots: this.slots, state, cold_remaining_s: 0, sequence: this.#sequence, born: this.born,
		});
	}

	async sendHeartbeat(body = this.nextHeartbeat()) {
		return this.#tell('Instances.Heartbeat', body);
	}

	/** Says that the target is gone; resolves to the answer. */
	async deregister() {
		return this.#tell('Instances.Deregister', JSON.stringify({born: this.born}));
	}

	close() {
		this.stopHeartbeats();
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #tell(name, body) {
		const answer = await call({
			host: this.#machine.ip, port: this.#machine.port('control'), method: 'POST', target: `/-/${name}/${this.id}`, body,
		});
		this.#record.write(`target ${this.id} on ${this.#machine.name}: ${name} ${body}, answered ${answer?.status ?? 'nothing'}`);
		return answer;
	}

	async #handle(request, response) {
		const {headers} = request;
		if (request.url === '/health') {
			response.writeHead(200, {'instance-id': this.id, 'server-load': this.#load()}).end();
			return;
		}

		const attempt = headers['attempt-id'];
		if (attempt === undefined) {
			response.writeHead(400, {'not-executed': '1'}).end();
			return;
		}

		if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
			this.#record.write(`target ${this.id}: ${attempt} is for ${headers['expect-instance']}, answered 421`);
			response.writeHead(421, {'attempt-id': attempt, 'not-executed': '1'}).end();
			return;
		}

		if (this.#running >= this.slots) {
			response.writeHead(503, {'attempt-id': attempt, 'not-executed': '1'}).end();
			return;
		}

		this.#running++;
		if (this.#rejectsEarly && Number(headers['content-length'] ?? 0) > longRequestBytes) {
			await this.#rejectEarly(request, response, attempt);
		}

		const body = await readBody(request);
		if (body === undefined || response.headersSent) {
			this.#running--;
			this.#record.write(`target ${this.id}: ${attempt} ${body === undefined ? 'broke off before its end' : 'is in after its answer'}, and isn't run`);
			return;
		}

		const run = {
			attempt, method: request.method, target: request.url, body: hasBody(request) ? body : undefined, at: now(), isDropped: false, isAnswered: false, endedAt: undefined,
		};
		this.runs.push(run);
		this.#record.write(`target ${this.id} on ${this.#machine.name}: runs ${attempt}, ${request.method} ${request.url}`);
		const isWhole = await this.#work(request, response, run);
		this.#running--;
		run.endedAt = now();
		if (!isWhole) {
			run.isDropped = true;
			this.#record.write(`target ${this.id}: drops ${attempt}, its connection has closed`);
			return;
		}

		await this.#answer(response, attempt, this.#load());
		run.isAnswered = true;
		this.#record.write(`target ${this.id}: answered ${attempt}`);
	}

	/** Answers with a failure of its own before the request is in, and reads on. */
	async #rejectEarly(request, response, attempt) {
		const text = 'failed';
		this.#record.write(`target ${this.id} on ${this.#machine.name}: answers ${attempt} with 500 before it is in`);
		response.writeHead(500, {
			'attempt-id': attempt, 'server-seal': `${attempt}.${text.length}`, 'server-load': this.#load(), 'content-length': text.length,
		});
		response.flushHeaders();
		await wait(earlyAnswerMilliseconds);
		response.end(text);
	}

	/** Works; resolves to false if the connection closes meanwhile. */
	async #work(request, response, run) {
		return new Promise(resolve => {
			const deadline = Number(request.headers['deadline-ms'] ?? 60_000);
			const timer = setTimeout(() => {
				resolve(true);
			}, Math.min(deadline, this.#workMilliseconds(run)));
			response.once('close', () => {
				clearTimeout(timer);
				resolve(false);
			});
		});
	}

	#load() {
		return `${this.#running},0,${this.slots}`;
	}
}

function hasBody({headers}) {
	return headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
}

/** Reads the body of a request; resolves to `undefined` if it breaks off. */
async function readBody(request) {
	return new Promise(resolve => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			resolve(Buffer.concat(chunks).toString());
		});
		request.on('error', () => {
			resolve(undefined);
		});
	});
}

/** The usual answer: a sealed body with its length. */
async function writeAnswer(response, attempt, load) {
	const body = `served ${attempt}`;
	response.writeHead(200, {
		'attempt-id': attempt, 'server-seal': `${attempt}.${body.length}`, 'server-load': load, 'content-length': body.length,
	});
	response.end(body);
}
