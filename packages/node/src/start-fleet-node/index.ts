/**
Starts a complete node from its settings: RPC client and server, the fleet runtime,
the request path, metrics and traces.
*/

import {randomInt} from 'node:crypto';
import {GateAdmission, type AdmissionOptions, type ConcurrencyLimit} from '@fireflyglade/admission';
import {
	SeededRandom, SystemClock, type Revision, type ServiceName,
} from '@fireflyglade/model';
import {
	ProcessObserver, createSpanRecorder, type Fields, type SpanRecorder,
} from '@fireflyglade/observability';
import type {RateTolerance} from '@fireflyglade/rates';
import {
	ServiceRetryBudgets, TargetRouting, WindowedRetryBudget, type RetryBudgets,
} from '@fireflyglade/routing';
import type {NodeSettings} from '@fireflyglade/settings';
import {
	createProcessResources, createRpcClient, createRpcServer, outcomeMethod,
	type FleetCredentials, type ProcessResources,
} from '@fireflyglade/transport';
import type {CallInterface} from '../call-interface/index.js';
import {KeyFreshness} from '../_lib/key-freshness/index.js';
import {SuspensionAwareClock} from '../_lib/suspension-aware-clock/index.js';
import type {FinishedRequest, IncompleteResponse, NodeObserver} from '../dependencies.js';
import {ControlClaims} from '../control-claims/index.js';
import {ControlDepartures} from '../control-departures/index.js';
import {createNode, type NodeAddresses, type RunningNode} from '../create-node/index.js';
import {FleetRuntime} from '../fleet-runtime/index.js';

/** Options of a node that is started from its settings. */
export type FleetNodeOptions = {
	readonly credentials: FleetCredentials;
	/** Seed of the random number generators; a random seed if absent. */
	readonly randomSeed?: number;
	/** The interface to callers and upstream; the product's own interface if absent. */
	readonly callInterface?: CallInterface;
	/** True if callers' requests are admitted according to the congestion of the call graph below. */
	readonly shouldLimitRootRequests?: boolean;
	/** Address of the listener for multiplexed connections from other nodes; their calls use HTTP if absent. */
	readonly channelAddress?: string;
	/** Address of the only upstream that may announce itself. */
	readonly ownUpstreamAddress?: string;
	/** Service of the only upstream that may announce itself. */
	readonly ownUpstreamService?: ServiceName;
	/** Milliseconds without an announcement after which the upstream is removed. */
	readonly announcementTimeoutMilliseconds?: number;
	/** True if the addresses of other nodes and control processes are also taken from the report answers of control processes. */
	readonly shouldDiscoverPeers?: boolean;
	/** Milliseconds for which keys are accepted after a quorum last confirmed the configuration; unlimited if absent. */
	readonly keyFreshnessMilliseconds?: number;
	/** Milliseconds for which a control process may hold its answer to a report (long polling). */
	readonly reportWaitMilliseconds?: number;
	/** Called with changes in the node's view of the fleet, for logging. */
	readonly onLogEvent?: (event: string, details: Fields) => void;
	/** Called for each finished request, for logging. */
	readonly onRequestFinished?: (request: FinishedRequest) => void;
	/** Called for each response of the upstream that did not arrive completely, for logging. */
	readonly onIncompleteResponse?: (lost: IncompleteResponse) => void;
	/** Creates the concurrency limit of an upstream; an adaptive limit if absent. */
	readonly createLimit?: (options: AdmissionOptions) => ConcurrencyLimit;
	/** What teams may use in excess of rate and burst; must be the same at every node; nothing if absent. */
	readonly rateTolerance?: RateTolerance;
	/** Retry budget of all nodes together for each service. */
	readonly fleetRetryBudget?: FleetRetryBudget;
	/** What the listeners of the process share; created from the settings if absent. */
	readonly resources?: ProcessResources;
};

/** Number of retries that all nodes together may send to one service within a window: a share of the first attempts plus a fixed number. */
export type FleetRetryBudget = {
	/** Retries as a fraction of the first attempts. */
	readonly share: number;
	/** Additional retries, divided evenly among the nodes. */
	readonly fixed: number;
};

/** A node that takes part in a fleet. */
export type FleetNode = {
	readonly addresses: NodeAddresses;
	readonly rpcAddress: string;
	readonly fleet: FleetRuntime;
	readonly node: RunningNode;
	/** Shuts down gracefully: running requests may finish within the shutdown timeout of the settings. */
	stop(): Promise<void>;
};

const seedLimit = 2 ** 31;
const outcomeTimeoutMilliseconds = 1000;

/** Starts a node from its settings. */
export async function startFleetNode(settings: NodeSettings, options: FleetNodeOptions): Promise<FleetNode> {
	const {credentials} = options;
	const randomSeed = options.randomSeed ?? randomInt(seedLimit);
	const clock = new SystemClock();
	const onMessageError = (error: Error): void => {
		options.onLogEvent?.('message rejected', {reason: error.message, kind: error.name});
	};

	const client = createRpcClient(credentials, clock, onMessageError);
	const resources = options.resources ?? createProcessResources(settings.resources);
	const server = createRpcServer(credentials, clock, {onMessageError, resources});
	const fleet = new FleetRuntime({
		node: settings.node,
		domain: settings.domain,
		control: settings.control,
		seeds: settings.seeds,
		client,
		clock,
		randomSeed,
		...(options.onLogEvent === undefined ? {} : {onLogEvent: options.onLogEvent}),
		...(options.rateTolerance === undefined ? {} : {rateTolerance: options.rateTolerance}),
		...(options.shouldDiscoverPeers === undefined ? {} : {shouldDiscoverPeers: options.shouldDiscoverPeers}),
		...(options.reportWaitMilliseconds === undefined ? {} : {reportWaitMilliseconds: options.reportWaitMilliseconds}),
		...(options.keyFreshnessMilliseconds === undefined ? {} : {freshness: createFreshness(clock, options.keyFreshnessMilliseconds)}),
	});
	const started: {node?: RunningNode} = {};
	fleet.register(server);
	server.handle(outcomeMethod, async question => started.node?.answerOutcome(question) ?? {progress: 'unknown'});
	const rpcAddress = await server.listen(settings.rpcAddress);
	const revision = trackRevision(fleet, clock);
	const observer = await createObserver(settings, clock, () => {
		const level = started.node?.level();
		return {...(level === undefined ? {} : {level}), ...started.node?.describeLimit(), ...revision()};
	});
	const node = await createNode({
		settings,
		resources,
		credentials,
		rpcAddress,
		fleet,
		createAdmission: admission => new GateAdmission(options.createLimit === undefined ? admission : {...admission, limit: options.createLimit(admission)}),
		routing: new TargetRouting({domain: settings.domain, node: settings.node}),
		retryBudgets: createRetryBudgets(fleet, options.fleetRetryBudget),
		...(options.callInterface === undefined ? {} : {callInterface: options.callInterface}),
		...(options.shouldLimitRootRequests === undefined ? {} : {shouldLimitRootRequests: options.shouldLimitRootRequests}),
		...(options.channelAddress === undefined ? {} : {channelAddress: options.channelAddress}),
		...(options.ownUpstreamAddress === undefined ? {} : {ownUpstreamAddress: options.ownUpstreamAddress}),
		...(options.ownUpstreamService === undefined ? {} : {ownUpstreamService: options.ownUpstreamService}),
		...(options.announcementTimeoutMilliseconds === undefined ? {} : {announcementTimeoutMilliseconds: options.announcementTimeoutMilliseconds}),
		claims: new ControlClaims({client, control: settings.control, clock}),
		departures: new ControlDepartures({client, control: () => fleet.controlAddresses()}),
		outcomes: {
			ask: async (address, question) => client.call(outcomeMethod, address, question, {timeoutMilliseconds: outcomeTimeoutMilliseconds}),
		},
		observer: options.onRequestFinished === undefined ? observer : withRequestListener(observer, options.onRequestFinished),
		onIncompleteResponse(lost) {
			observer.responseIncomplete((lost.cause as NodeJS.ErrnoException).code ?? lost.cause.name);
			options.onIncompleteResponse?.(lost);
		},
		onMessageError,
		...(options.onLogEvent === undefined ? {} : {onLogEvent: options.onLogEvent}),
		clock,
		random: new SeededRandom(randomSeed),
	});
	started.node = node;
	const {addresses, gateUrl} = node;
	fleet.start({rpcAddress, gateUrl, callersUrl: `http://${addresses.callers}`});
	let stopping: Promise<void> | undefined;
	const shutDown = async (): Promise<void> => {
		await node.stop();
		await fleet.close();
		await server.close();
		client.close();
		await observer.close();
	};

	return {
		addresses,
		rpcAddress,
		fleet,
		node,
		async stop() {
			stopping ??= shutDown();
			return stopping;
		},
	};
}

function withRequestListener(observer: ProcessObserver, onFinished: (request: FinishedRequest) => void): NodeObserver {
	return {
		requestFinished(request) {
			observer.requestFinished(request);
			onFinished(request);
		},
		hopFinished(span) {
			observer.hopFinished(span);
		},
		renderMetrics: async () => observer.renderMetrics(),
	};
}

/** Minimum number of nodes among which the fixed part of the retry budget is divided; the number of known targets stands for the number of nodes. A node that has just started knows only a few nodes and would otherwise take too large a part. */
const minimumNodeCount = 8;

function createRetryBudgets(fleet: FleetRuntime, budget: FleetRetryBudget | undefined): RetryBudgets {
	if (budget === undefined) {
		return new ServiceRetryBudgets();
	}

	const getFixed = (): number => budget.fixed / Math.max(minimumNodeCount, fleet.targets().length);
	return new ServiceRetryBudgets(() => new WindowedRetryBudget({share: budget.share, getFixed}));
}

function createFreshness(clock: SystemClock, boundMilliseconds: number): KeyFreshness {
	const suspensionAwareClock = new SuspensionAwareClock(clock);
	return new KeyFreshness({
		monotonicNow: () => clock.now(),
		suspensionAwareNow: () => suspensionAwareClock.now(),
	}, boundMilliseconds);
}

type RevisionState = {
	readonly revision: Revision;
	readonly revisionAgeMilliseconds: number;
};

function trackRevision(fleet: FleetRuntime, clock: SystemClock): () => RevisionState {
	let {revision} = fleet.configuration();
	let since = clock.now();
	fleet.onChange(() => {
		const latest = fleet.configuration().revision;
		if (latest !== revision) {
			revision = latest;
			since = clock.now();
		}
	});
	return () => ({revision, revisionAgeMilliseconds: clock.now() - since});
}

async function createObserver(settings: NodeSettings, clock: SystemClock, readState: () => RevisionState): Promise<ProcessObserver> {
	const spans: SpanRecorder | undefined = settings.spanFile === undefined
		? undefined
		: await createSpanRecorder({file: settings.spanFile, process: settings.node, monotonicOrigin: clock.wallNow() - clock.now()});
	return new ProcessObserver({clock, readState, ...(spans === undefined ? {} : {spans})});
}
