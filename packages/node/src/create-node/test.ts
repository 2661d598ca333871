import {once} from 'node:events';
import {request as nodeRequest, type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {PassThrough, Readable} from 'node:stream';
import {expect} from 'chai';
import {parseAddress} from '@fireflyglade/transport';
import {request} from 'undici';
import {
	echoRequest, announce, createRoute, sendRawRequest, fleetToken, redSecret, TestFleet, waitUntil,
	type ReceivedRequest, type RecordingUpstream,
} from '../test-support/index.js';
import type {RunningNode} from './index.js';

const authorization = `Bearer ${redSecret}`;
const mebibyte = 1_048_576;

/** Sends a request and returns the response as a stream. */
async function open(node: RunningNode, path: string, method = 'GET'): Promise<IncomingMessage> {
	const sent = nodeRequest(`http://${node.addresses.callers}${path}`, {method, headers: {authorization}});
	sent.on('error', ignoreBrokenConnection);
	sent.end();
	const [answer] = await once(sent, 'response') as [IncomingMessage];
	return answer;
}

function ignoreBrokenConnection(): void {
	// The test checks the response instead.
}

async function readText(answer: IncomingMessage): Promise<string> {
	let text = '';
	for await (const chunk of answer) {
		text += String(chunk);
	}

	return text;
}

const sharedConnectionOverrides = {channelAddress: '127.0.0.1:0'};

for (const {name, hops, change} of [
	{name: '1 node', hops: 1, change: {}},
	{name: '2 nodes that use HTTP', hops: 2, change: {}},
	{name: '2 nodes that share a connection', hops: 2, change: sharedConnectionOverrides},
] as const) {
	describe(`createNode, calls over ${name}`, () => {
		let fleet: TestFleet;
		let entry: RunningNode;
		let upstream: RecordingUpstream;

		before(async () => {
			fleet = new TestFleet([
				createRoute('GET', '/orders/:id'),
				createRoute('POST', '/orders', {retryLimit: 0}),
				createRoute('GET', '/open', {open: true}),
			]);
			entry = await fleet.startNode('a', change);
			upstream = await fleet.startUpstream(hops === 1 ? entry : await fleet.startNode('b', change));
		});

		beforeEach(() => {
			upstream.handler = echoRequest;
			upstream.received.length = 0;
		});

		after(async () => {
			await fleet.stop();
		});

		it('forwards method, path, query and body, but no secret', async () => {
			const answer = await request(`http://${entry.addresses.callers}/orders?x=%20y`, {
				method: 'POST', headers: {authorization, 'x-copy': `a ${redSecret} b`, cookie: `key=${redSecret}`}, body: 'wood',
			});
			const received = await answer.body.json() as ReceivedRequest;
			expect(received).to.include({method: 'POST', path: '/orders?x=%20y', body: 'wood'});
			expect(received.headers).to.include({'fireflyglade-team': 'red', 'content-length': '4'});
			expect(received.headers['fireflyglade-context']).to.match(/^[\da-f-]{36}$/);
			expect(received.headers).not.to.have.any.keys('fireflyglade-fleet-token', 'fireflyglade-call', 'authorization');
			expect(JSON.stringify(received)).not.to.include(redSecret).and.not.to.include(fleetToken);
			expect(Object.keys(answer.headers).filter(name => name.startsWith('fireflyglade-'))).to.deep.equal([]);
		});

		// Guards against: a field that does not fit the framing of a response ends the process of a node.
		it('passes on a response with a length and a field Trailer, without that field', async () => {
			upstream.handler = (_message, response) => {
				const {socket} = response;
				socket!.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntrailer: x-sum\r\n\r\n', () => {
					setImmediate(() => {
						socket!.end('whole');
					});
				});
			};

			const answer = await open(entry, '/orders/1');
			expect(answer.headers).not.to.have.property('trailer');
			expect(await readText(answer)).to.equal('whole');
		});

		/** Sends a GET and, behind it, a POST that expects 100; returns what is received on the connection, and a function that ends the GET's response. */
		const sendBehind = async (body: string): Promise<{readonly socket: Socket; readonly seen: () => string; readonly end: () => void}> => {
			let end: (() => void) | undefined;
			upstream.handler = (message, response, received) => {
				if (received.method === 'POST') {
					echoRequest(message, response, received);
					return;
				}

				end = () => {
					response.end('first');
				};
			};

			const head = (method: string, path: string, fields: string): string => `${method} ${path} HTTP/1.1\r\nhost: a\r\nauthorization: ${authorization}\r\n${fields}\r\n`;
			const {host, port} = parseAddress(entry.addresses.callers);
			const socket = connect(port, host);
			let seen = '';
			socket.setEncoding('latin1');
			socket.on('data', (text: string) => {
				seen += text;
			});
			socket.write(head('GET', '/orders/1', '') + head('POST', '/orders', 'expect: 100-continue\r\ncontent-length: 4\r\n') + body);
			await waitUntil(() => end !== undefined && entry.inFlight() >= 2);
			return {socket, seen: () => seen, end: end!};
		};

		const statusesOf = (seen: string): readonly string[] => seen.split('HTTP/1.1 ').slice(1).map(part => part.slice(0, 3));

		it('tells a caller to send its body once the earlier responses of the connection are written', async () => {
			const {socket, seen, end} = await sendBehind('');
			end();
			await waitUntil(() => seen().includes('100 Continue'));
			socket.write('wood');
			await waitUntil(() => seen().includes('"body":"wood"'));
			expect(statusesOf(seen())).to.deep.equal(['200', '100', '200']);
			socket.destroy();
		});

		// Guards against: an interim response becomes the body of a final one.
		it('answers a body that its caller sent without waiting, behind another request, with the response alone', async () => {
			const finishedBefore = fleet.observer.finished.length;
			const {socket, seen, end} = await sendBehind('wood');
			await waitUntil(() => fleet.observer.finished.length > finishedBefore);
			end();
			await waitUntil(() => statusesOf(seen()).length >= 2 && seen().includes('"body":"wood"'));
			expect(statusesOf(seen())).to.deep.equal(['200', '200']);
			socket.destroy();
		});

		it('streams a large body completely in both directions', async () => {
			const size = 8 * mebibyte;
			upstream.handler = (message, response) => {
				response.writeHead(200);
				message.pipe(response);
			};

			const small = Buffer.alloc(65_536, 'x');
			const body = Readable.from((function * () {
				for (let sent = 0; sent < size; sent += small.length) {
					yield small;
				}
			})(), {objectMode: false});
			const large = await fleet.startNode(`large-${hops}`, {}, {
				limits: {
					maximumHeaderBytes: 16_384, maximumBodyBytes: 2 * size, maximumPathBytes: 2048, maximumConnections: 100,
				},
			});
			const answer = await request(`http://${large.addresses.callers}/orders`, {method: 'POST', headers: {authorization}, body});
			let bytes = 0;
			for await (const chunk of answer.body) {
				bytes += (chunk as Uint8Array).byteLength;
			}

			expect(bytes).to.equal(size);
		});

		it('applies backpressure to the upstream while the caller does not read', async () => {
			let written = 0;
			const chunk = Buffer.alloc(65_536);
			upstream.handler = (_message, response) => {
				response.writeHead(200);
				const write = (): void => {
					while (written < 64 * mebibyte && response.write(chunk)) {
						written += chunk.length;
					}
				};

				response.on('drain', write);
				write();
			};

			const answer = await open(entry, '/orders/1');
			let last = -1;
			await new Promise<void>(resolve => {
				const timer = setInterval(() => {
					if (written === last) {
						clearInterval(timer);
						resolve();
					}

					last = written;
				}, 200);
			});
			expect(written).to.be.below(32 * mebibyte);
			answer.destroy();
			await waitUntil(() => upstream.received[0]!.isCancelled);
		});

		for (const framing of ['chunked', 'length', 'close'] as const) {
			// eslint-disable-next-line @typescript-eslint/no-loop-func -- the nodes are started before any test runs
			it(`resets the connection of the caller when a response breaks midway (${framing})`, async () => {
				upstream.handler = (_message, response) => {
					response.writeHead(200, {
						...(framing === 'length' ? {'content-length': 1000} : {}),
						...(framing === 'close' ? {connection: 'close'} : {}),
					});
					response.write('the first part', () => {
						response.socket!.end();
					});
				};

				const answer = await open(entry, '/orders/1');
				let failure: unknown;
				try {
					await readText(answer);
				} catch (error) {
					failure = error;
				}

				expect(failure).to.be.an('error');
				expect(answer.complete).to.equal(false);
			});
		}

		it('cancels the request at the upstream when the caller disconnects', async () => {
			upstream.handler = message => {
				message.resume();
			};

			const sent = nodeRequest(`http://${entry.addresses.callers}/orders/1`, {headers: {authorization}});
			sent.on('error', ignoreBrokenConnection);
			sent.end();
			const {received} = upstream;
			await waitUntil(() => received.length === 1);
			sent.destroy();
			await waitUntil(() => received[0]!.isCancelled);
		});

		it('answers HEAD with the content length and without a body', async () => {
			upstream.handler = (message, response) => {
				message.resume();
				response.writeHead(200, {'content-length': 1234});
				response.end();
			};

			const answer = await open(entry, '/orders/1', 'HEAD');
			expect(answer.headers['content-length']).to.equal('1234');
			expect(await readText(answer)).to.equal('');
		});

		it('forwards trailers and responses without a body', async () => {
			upstream.handler = (message, response) => {
				message.resume();
				response.writeHead(200, {trailer: 'x-sum'});
				response.write('part');
				response.addTrailers({'x-sum': '42', 'fireflyglade-forged': '1'});
				response.end();
			};

			const answer = await open(entry, '/orders/1');
			expect(await readText(answer)).to.equal('part');
			expect(answer.trailers).to.deep.equal({'x-sum': '42'});
			upstream.handler = (message, response) => {
				message.resume();
				response.writeHead(204);
				response.end();
			};

			const empty = await open(entry, '/orders/1');
			expect(empty.statusCode).to.equal(204);
			expect(await readText(empty)).to.equal('');
		});

		it('ends a call at its deadline and reports an unknown outcome', async () => {
			upstream.handler = message => {
				message.resume();
			};

			let unknownOutcomes = 0;
			// On a busy machine the deadline may pass before the call is sent. It must then be reported as not run, and not arrive.
			while (upstream.received.length === 0) {
				const answer = await request(`http://${entry.addresses.callers}/orders`, {method: 'POST', headers: {authorization, 'fireflyglade-timeout-ms': '100'}, body: 'x'});
				const {code, outcome} = await answer.body.json() as {code: string; outcome: string};
				if (outcome === 'not-run') {
					expect(answer.statusCode).to.equal(503);
					expect(code).to.be.oneOf(['deadline-exceeded', 'queue-timeout']);
					continue;
				}

				unknownOutcomes += 1;
				expect({status: answer.statusCode, code, outcome}).to.deep.equal({status: 504, code: 'deadline-exceeded', outcome: 'unknown'});
			}

			expect(upstream.received.length).to.be.at.most(unknownOutcomes);
			await waitUntil(() => upstream.received[0]!.isCancelled);
		});

		it('returns each of many concurrent responses to its own caller', async () => {
			upstream.handler = (message, response) => {
				message.resume();
				setTimeout(() => {
					response.end(message.url);
				}, Math.floor(Number(message.url!.split('/')[2]) * 7 % 40));
			};

			const url = `http://${entry.addresses.callers}`;
			const answers = await Promise.all(Array.from({length: 200}, async (_, index) => {
				const answer = await request(`${url}/orders/${index}`, {headers: {authorization}});
				return answer.body.text();
			}));
			expect(answers).to.deep.equal(Array.from({length: 200}, (_, index) => `/orders/${index}`));
		});
	});
}

describe('createNode', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet([
			createRoute('GET', '/orders/:id'),
			createRoute('POST', '/orders', {retryLimit: 0}),
		]);
	});

	afterEach(async () => {
		await fleet.stop();
	});

	it('retries a failed idempotent call at another upstream', async () => {
		const node = await fleet.startNode('a');
		const failing = await fleet.startUpstream(node);
		const healthy = await fleet.startUpstream(await fleet.startNode('b'));
		failing.handler = (message, response) => {
			message.resume();
			response.writeHead(500).end();
		};

		const statuses: number[] = [];
		for (let count = 0; count < 10; count++) {
			const answer = await request(`http://${node.addresses.callers}/orders/${count}`, {headers: {authorization}});
			await answer.body.dump();
			statuses.push(answer.statusCode);
		}

		expect(failing.received.length).to.be.greaterThan(0);
		expect(statuses).to.deep.equal(statuses.map(() => 200));
		expect(healthy.received).to.have.length(10);
	});

	it('refuses calls at the gate without a valid fleet token', async () => {
		const node = await fleet.startNode('a');
		const upstream = await fleet.startUpstream(node);
		const call = 'fireflyglade-call: r.1 r - 0 1000 1 0 1 - - orders 0 -\r\n';
		for (const field of ['', `Authorization: ${authorization}\r\n`, 'fireflyglade-fleet-token: wrong\r\n', `fireflyglade-fleet-token: ${fleetToken}x\r\n`]) {
			const answer = await sendRawRequest(node.addresses.gate, `GET /orders/1 HTTP/1.1\r\nHost: a\r\n${call}${field}\r\n`);
			expect(answer).to.match(/^HTTP\/1\.1 403 /);
		}

		const malformed = await sendRawRequest(node.addresses.gate, `GET /orders/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nfireflyglade-fleet-token: ${fleetToken}\r\nfireflyglade-call: r\r\n\r\n`);
		expect(malformed).to.match(/^HTTP\/1\.1 400 /);
		expect(upstream.received).to.have.length(0);
	});

	it('refuses malformed announcements', async () => {
		const node = await fleet.startNode('a');
		expect(await announce(node, {service: 'orders', address: 'nowhere', slots: 3})).to.equal(400);
		expect(await announce(node, {service: 'orders', address: '127.0.0.1:80', slots: 0})).to.equal(400);
		expect(await announce(node, {service: '-', address: '127.0.0.1:80', slots: 3})).to.equal(400);
		expect(fleet.shared.targets.size).to.equal(0);
	});

	it('refuses new requests when an upstream leaves, and lets running requests finish', async () => {
		const node = await fleet.startNode('a');
		const upstream = await fleet.startUpstream(node);
		const stream = new PassThrough();
		upstream.handler = (message, response) => {
			message.resume();
			stream.pipe(response);
		};

		const answer = open(node, '/orders/1');
		await waitUntil(() => upstream.received.length === 1);
		upstream.stopAnnouncing();
		await request(`http://${node.addresses.announce}/announce`, {method: 'DELETE'});
		const refused = await request(`http://${node.addresses.callers}/orders/2`, {headers: {authorization}});
		expect(await refused.body.json()).to.include({code: 'no-upstream', outcome: 'not-run'});
		stream.end('whole');
		expect(await readText(await answer)).to.equal('whole');
	});

	it('stops gracefully with 200 requests in flight, including streams, and aborts none', async () => {
		const entry = await fleet.startNode('a', {}, {shutdownTimeoutMilliseconds: 5000});
		const gate = await fleet.startNode('b', {}, {shutdownTimeoutMilliseconds: 5000});
		const upstream = await fleet.startUpstream(gate);
		const spare = await fleet.startNode('c');
		const release: Array<() => void> = [];
		upstream.handler = (message, response) => {
			message.resume();
			if (message.url!.endsWith('0')) {
				response.write('first ');
			}

			release.push(() => {
				response.end('last');
			});
		};

		const running = Array.from({length: 200}, async (_, index) => {
			const answer = await request(`http://${entry.addresses.callers}/orders/${index}`, {headers: {authorization}});
			return answer.body.text();
		});
		await waitUntil(() => release.length === 200);
		const spareUpstream = await fleet.startUpstream(spare);
		const stopped = Promise.all([entry.stop(), gate.stop()]);
		await new Promise<void>(resolve => {
			setTimeout(resolve, 100);
		});
		const other = await request(`http://${spare.addresses.callers}/orders/9`, {headers: {authorization}});
		expect(other.statusCode).to.equal(200);
		expect(spareUpstream.received).to.have.length(1);
		for (const end of release) {
			end();
		}

		const texts = await Promise.all(running);
		expect(texts.filter(text => text === 'last')).to.have.length(180);
		expect(texts.filter(text => text === 'first last')).to.have.length(20);
		await stopped;
		expect(fleet.observer.finished.every(finished => finished.whole)).to.equal(true);
	});

	it('keeps serving a service during the notice period of the only node that has an upstream', async () => {
		const entry = await fleet.startNode('a');
		const gate = await fleet.startNode('b', {}, {shutdownTimeoutMilliseconds: 5000});
		const upstream = await fleet.startUpstream(gate);
		const stopped = gate.stop();
		await waitUntil(() => [...fleet.shared.targets.values()].some(target => target.stopping === true));
		const served = await request(`http://${entry.addresses.callers}/orders/1`, {headers: {authorization}});
		expect(served.statusCode).to.equal(200);
		expect(upstream.received).to.have.length(1);
		await waitUntil(() => [...fleet.shared.targets.values()].every(target => !target.available));
		const refused = await request(`http://${entry.addresses.callers}/orders/2`, {headers: {authorization}});
		expect(await refused.body.json()).to.include({code: 'no-upstream', outcome: 'not-run'});
		await stopped;
	});
});
