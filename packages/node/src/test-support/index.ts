/**
Fakes for the tests of a node: a fleet with a fixed configuration, and an upstream
that records the requests that it receives.
*/

import {createHash} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {GateAdmission} from '@fireflyglade/admission';
import type {Connectivity} from '@fireflyglade/membership';
import {
	announcementIntervalMilliseconds, createFailureDomain, createNodeId, createRouteId, createServiceName, createTeamName, emptyConfiguration, InvalidInputError, SeededRandom, SystemClock,
	type Configuration, type Key, type KeyDigest, type KeyId, type RequestId, type Revision, type Route, type Target, type Team, type TeamName,
} from '@fireflyglade/model';
import type {ChargeOutcome} from '@fireflyglade/rates';
import {ServiceRetryBudgets, TargetRouting} from '@fireflyglade/routing';
import type {NodeSettings} from '@fireflyglade/settings';
import type {ClaimOutcome, ClaimRequest, ClaimResult} from '@fireflyglade/state';
import {
	parseAddress,
	type OutcomeResponse, type OutcomeRequest, type TeamRequestCounts,
} from '@fireflyglade/transport';
import {request} from 'undici';
import {createNode, type RunningNode} from '../create-node/index.js';
import type {
	FinishedRequest, HopSpan, JobClaims, NodeDependencies, NodeObserver,
} from '../dependencies.js';
import type {Fleet} from '../types.js';

export const fleetToken = 'fleet-token-of-the-tests';
export const redSecret = 'red-secret-0123456789abcdef';
export const blueSecret = 'blue-secret-0123456789abcdef';
export const redTeam = createTeamName('red');
export const blueTeam = createTeamName('blue');

function createTeam(name: TeamName): Team {
	return {name, ratePerSecond: 100, burst: 100};
}

function createKey(id: string, team: TeamName, secret: string): Key {
	return {
		id: id as KeyId, team, digest: createHash('sha256').update(secret).digest('hex') as KeyDigest, withdrawn: false,
	};
}

/** Creates a route with default values, which `overrides` replaces. */
export function createRoute(method: string, path: string, overrides: Partial<Route> = {}): Route {
	return {
		id: createRouteId(method, path),
		method,
		path,
		service: createServiceName('orders'),
		priority: 5,
		idempotent: method === 'GET',
		open: false,
		retryLimit: 2,
		timeoutMilliseconds: 5000,
		whenCutOff: 'serve',
		...overrides,
	};
}

/** Creates a configuration with two teams and the given routes. */
export function createConfiguration(routes: readonly Route[]): Configuration {
	const keys = [createKey('key-red', redTeam, redSecret), createKey('key-blue', blueTeam, blueSecret)];
	return {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map([[redTeam, createTeam(redTeam)], [blueTeam, createTeam(blueTeam)]]),
		keys: new Map(keys.map(key => [key.id, key])),
		routes: new Map(routes.map(route => [route.id, route])),
	};
}

/** State of the fleet that the nodes of a test share: configuration and announced targets. */
export class SharedFleet {
	readonly targets = new Map<string, Target>();
	/** Gate URLs by node that replace the announced ones, for example with that of a proxy. */
	readonly gateUrls = new Map<string, string>();
	/** Channel addresses by node that replace the announced ones. */
	readonly channelAddresses = new Map<string, string>();
	readonly withdrawn = new Set<KeyId>();
	readonly refunded: RequestId[] = [];
	readonly settled: RequestId[] = [];
	connectivity: Connectivity = {kind: 'connected'};
	hasConfiguration = true;
	areKeysFresh = true;
	chargeOutcome: ChargeOutcome = {kind: 'admitted'};
	readonly #listeners = new Set<() => void>();

	constructor(public configuration: Configuration) {}

	/** Notifies every node of a change. */
	notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}

	/** Creates the fleet interface of one node. */
	createNodeView(node: string): Fleet & {figures: () => readonly TeamRequestCounts[]} {
		let figures: () => readonly TeamRequestCounts[] = () => [];
		return {
			configuration: () => this.configuration,
			hasConfiguration: () => this.hasConfiguration,
			areKeysFresh: () => this.areKeysFresh,
			isKeyWithdrawn: id => this.withdrawn.has(id),
			connectivity: () => this.connectivity,
			targets: () => [...this.targets.values()],
			charge: async () => this.chargeOutcome,
			refund: requestId => {
				this.refunded.push(requestId);
			},
			settle: requestId => {
				this.settled.push(requestId);
			},
			onChange: listener => {
				this.#listeners.add(listener);
				return () => {
					this.#listeners.delete(listener);
				};
			},
			announceTarget: target => {
				if (target === undefined) {
					this.targets.delete(node);
				} else {
					const channelAddress = this.channelAddresses.get(node) ?? target.channelAddress;
					this.targets.set(node, {...target, gateUrl: this.gateUrls.get(node) ?? target.gateUrl, ...(channelAddress === undefined ? {} : {channelAddress})});
				}

				this.notify();
			},
			setLevelSource() {
				// The tests read the load from the gate.
			},
			setFiguresSource(source) {
				figures = source;
			},
			figures: () => figures(),
		};
	}
}

/** Job claims in memory, by job key only: teams, fingerprints and timeouts are ignored. */
export class InMemoryClaims implements JobClaims {
	readonly outcomes = new Map<string, ClaimOutcome | 'running'>();
	hasQuorum = true;

	async begin(claim: ClaimRequest): Promise<ClaimResult> {
		if (!this.hasQuorum) {
			throw new Error('no quorum is reachable');
		}

		const known = this.outcomes.get(claim.job);
		if (known === 'running') {
			return {kind: 'running'};
		}

		if (known?.kind === 'answered') {
			return {kind: 'answered', answer: known.answer};
		}

		if (known?.kind === 'unknown') {
			return {kind: 'outcome-unknown'};
		}

		this.outcomes.set(claim.job, 'running');
		return {kind: 'granted'};
	}

	async finish(claim: ClaimRequest, outcome: ClaimOutcome): Promise<void> {
		this.outcomes.set(claim.job, outcome);
	}
}

/** Records all events that it receives. */
export class RecordingObserver implements NodeObserver {
	readonly finished: FinishedRequest[] = [];
	readonly hops: HopSpan[] = [];

	requestFinished(finished: FinishedRequest): void {
		this.finished.push(finished);
	}

	hopFinished(span: HopSpan): void {
		this.hops.push(span);
	}

	async renderMetrics(): Promise<string> {
		return '';
	}
}

function createSettings(name: string, overrides: Partial<NodeSettings>): NodeSettings {
	const anyPort = '127.0.0.1:0';
	return {
		node: createNodeId(name),
		domain: createFailureDomain('north'),
		callersAddress: anyPort,
		gateAddress: anyPort,
		rpcAddress: anyPort,
		announceAddress: anyPort,
		egressAddress: anyPort,
		statusAddress: anyPort,
		control: [],
		seeds: [],
		security: {kind: 'token', tokenFile: ''},
		limits: {
			maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000_000, maximumPathBytes: 2048, maximumConnections: 1000,
		},
		shutdownTimeoutMilliseconds: 200,
		log: {level: 'error', format: 'json'},
		...overrides,
	};
}

/** The nodes and upstreams of one test. The nodes query each other's outcomes without RPC. */
export class TestFleet {
	readonly shared: SharedFleet;
	readonly claims = new InMemoryClaims();
	readonly observer = new RecordingObserver();
	readonly nodes = new Map<string, RunningNode>();
	/** If false, every outcome query fails. */
	shouldAnswerOutcomes = true;
	readonly #upstreams: RecordingUpstream[] = [];

	constructor(routes: readonly Route[]) {
		this.shared = new SharedFleet(createConfiguration(routes));
	}

	/** Starts a node with default dependencies and settings; the arguments override them. */
	async startNode(name: string, overrides: Partial<NodeDependencies> = {}, settings: Partial<NodeSettings> = {}): Promise<RunningNode> {
		const domain = createFailureDomain('north');
		const node = await createNode({
			settings: createSettings(name, settings),
			credentials: {kind: 'token', token: fleetToken},
			rpcAddress: name,
			fleet: this.shared.createNodeView(name),
			createAdmission: options => new GateAdmission({...options, isCold: false}),
			routing: new TargetRouting({domain, node: createNodeId(name)}),
			retryBudgets: new ServiceRetryBudgets(),
			claims: this.claims,
			outcomes: {
				ask: async (address, question) => this.#ask(address, question),
			},
			observer: this.observer,
			clock: new SystemClock(),
			random: new SeededRandom(1),
			...overrides,
		});
		this.nodes.set(name, node);
		return node;
	}

	/** Starts an upstream that announces itself to a node. */
	async startUpstream(node: RunningNode, service = 'orders', slots = 300): Promise<RecordingUpstream> {
		const upstream = new RecordingUpstream();
		await upstream.start();
		this.#upstreams.push(upstream);
		const announced = {service, address: upstream.address, slots};
		await announce(node, announced);
		upstream.announcePeriodically(async () => announce(node, announced));
		return upstream;
	}

	/** Stops all nodes and upstreams. */
	async stop(): Promise<void> {
		await Promise.all([...this.nodes.values()].map(async node => node.stop()));
		await Promise.all(this.#upstreams.map(async upstream => upstream.stop()));
	}

	async #ask(address: string, question: OutcomeRequest): Promise<OutcomeResponse> {
		const node = this.nodes.get(address);
		if (!this.shouldAnswerOutcomes || node === undefined) {
			throw new Error('the outcome query was not answered');
		}

		return node.answerOutcome(question);
	}
}

/** Announces an upstream to a node. */
export async function announce(node: RunningNode, upstream: {readonly service: string; readonly address: string; readonly slots: number}): Promise<number> {
	const answer = await request(`http://${node.addresses.announce}/announce`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({...upstream, connections: 400}),
	});
	await answer.body.dump();
	return answer.statusCode;
}

/** A request as an upstream received it. */
export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingMessage['headers'];
	readonly rawHeaders: readonly string[];
	body: string;
	/** True if the connection closed before the answer was written. */
	isCancelled: boolean;
};

/** Handles a request at an upstream. */
export type UpstreamHandler = (message: IncomingMessage, response: ServerResponse, received: ReceivedRequest) => void;

/** An upstream that records the requests that it receives. */
export class RecordingUpstream {
	readonly received: ReceivedRequest[] = [];
	handler: UpstreamHandler = echoRequest;
	readonly #server: Server;
	#announcements: NodeJS.Timeout | undefined;

	constructor() {
		this.#server = createServer({keepAliveTimeout: 60_000}, (message, response) => {
			this.#serve(message, response);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Announces itself periodically, until it stops or an announcement fails because the node has stopped. */
	announcePeriodically(send: () => Promise<unknown>): void {
		this.#announcements = setInterval(async () => {
			try {
				await send();
			} catch {
				clearInterval(this.#announcements);
			}
		}, announcementIntervalMilliseconds);
	}

	/** Stops the periodic announcements. */
	stopAnnouncing(): void {
		clearInterval(this.#announcements);
	}

	async stop(): Promise<void> {
		this.stopAnnouncing();
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#serve(message: IncomingMessage, response: ServerResponse): void {
		const received: ReceivedRequest = {
			method: message.method ?? '',
			path: message.url ?? '',
			headers: message.headers,
			rawHeaders: message.rawHeaders,
			body: '',
			isCancelled: false,
		};
		this.received.push(received);
		response.on('error', () => {
			received.isCancelled = true;
		});
		response.on('close', () => {
			received.isCancelled ||= !response.writableFinished;
		});
		message.on('error', () => {
			received.isCancelled = true;
		});
		this.handler(message, response, received);
	}
}

/** Reads the body and responds with the received request as JSON. */
export function echoRequest(message: IncomingMessage, response: ServerResponse, received: ReceivedRequest): void {
	message.setEncoding('utf8');
	message.on('data', (chunk: string) => {
		received.body += chunk;
	});
	message.on('end', () => {
		const text = JSON.stringify(received);
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	});
}

/** Waits until `condition` returns true. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

/** Sends raw bytes to a listener and returns all bytes that it sends until the connection closes. */
export async function sendRawRequest(address: string, text: string): Promise<string> {
	const {host, port} = parseAddress(address);
	return new Promise((resolve, reject) => {
		const socket = connect(port, host);
		let answer = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			answer += chunk;
		});
		socket.on('error', () => {
			resolve(answer);
		});
		socket.on('close', () => {
			resolve(answer);
		});
		socket.on('connect', () => {
			socket.write(text, 'latin1');
		});
		socket.setTimeout(3000, () => {
			socket.destroy();
			reject(new InvalidInputError(`the listener did not close the connection within 3 seconds; received so far: ${answer}`));
		});
	});
}
