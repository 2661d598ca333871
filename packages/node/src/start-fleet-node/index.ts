/**
Starts a whole node from its settings: remote calls, the fleet runtime, the
callers' path and what observes them.
*/

import {randomInt} from 'node:crypto';
import {GateAdmission, type AdmissionOptions, type ConcurrencyLimit} from '@fireflyglade/admission';
import {SeededRandom, SystemClock, type Revision} from '@fireflyglade/model';
import {
	ProcessObserver, createSpanRecorder, type Fields, type SpanRecorder,
} from '@fireflyglade/observability';
import type {RateTolerance} from '@fireflyglade/rates';
import {ServiceRetryBudgets, TargetRouting, type RetryBudgets} from '@fireflyglade/routing';
import type {NodeSettings} from '@fireflyglade/settings';
import {
	createRpcClient, createRpcServer, outcomeMethod,
	type FleetCredentials,
} from '@fireflyglade/transport';
import type {CallInterface} from '../call-interface/index.js';
import {KeyFreshness} from '../_lib/key-freshness/index.js';
import {SuspensionClock} from '../_lib/suspension-clock/index.js';
import type {FinishedRequest, IncompleteResponse, NodeObserver} from '../dependencies.js';
import {ControlClaims} from '../control-claims/index.js';
import {createNode, type NodeAddresses, type RunningNode} from '../create-node/index.js';
import {FleetRuntime} from '../fleet-runtime/index.js';

/** Options of a node that is started from its settings. */
export type FleetNodeOptions = {
	readonly credentials: FleetCredentials;
	/** Seed of the random choices; a fresh one if absent. */
	readonly randomSeed?: number;
	/** The interface to callers and upstream; the product's own if absent. */
	readonly callInterface?: CallInterface;
	/** True if callers' requests are let in by the room that the call graph shows. */
	readonly shouldLimitRootRequests?: boolean;
	/** Address of the listener for connections that carry many calls of other nodes; such calls go by HTTP if absent. */
	readonly channelAddress?: string;
	/** Address of the only upstream that may announce itself. */
	readonly ownUpstreamAddress?: string;
	/** Milliseconds of silence after which the upstream counts as gone. */
	readonly announcementTimeoutMilliseconds?: number;
	/** True if other nodes and control processes are learnt from the answers of control. */
	readonly shouldDiscoverPeers?: boolean;
	/** Milliseconds for which keys are served after a quorum has confirmed them; for ever if absent. */
	readonly keyFreshnessMilliseconds?: number;
	/** Milliseconds that a control process may hold its answer to a report. */
	readonly reportWaitMilliseconds?: number;
	/** Takes what changes in the node's view of the fleet, for the log. */
	readonly onLogEvent?: (event: string, details: Fields) => void;
	/** Takes each request that has ended, for the log. */
	readonly onRequestFinished?: (request: FinishedRequest) => void;
	/** Told of each answer of the upstream that was lost, for the log. */
	readonly onIncompleteResponse?: (lost: IncompleteResponse) => void;
	/** Makes the concurrency limit of an upstream; an adaptive one if absent. */
	readonly createLimit?: (options: AdmissionOptions) => ConcurrencyLimit;
	/** What teams may get beyond rate and burst, the same at every node; nothing if absent. */
	readonly rateTolerance?: RateTolerance;
	/** Retries that all nodes together may send to a service. */
	readonly fleetRetryBudget?: FleetRetryBudget;
};

/** Retries in a window that all nodes together may send to one service. */
export type FleetRetryBudget = {
	/** Part of the first attempts. */
	readonly share: number;
	/** Retries beside that part, which the nodes divide among them. */
	readonly fixed: number;
};

/** A node that takes part in a fleet. */
export type FleetNode = {
	readonly addresses: NodeAddresses;
	readonly rpcAddress: string;
	readonly fleet: FleetRuntime;
	readonly node: RunningNode;
	/** Shuts down gracefully: no request is cut within the time that the settings give. */
	stop(): Promise<void>;
};

const seedLimit = 2 ** 31;
const outcomeTimeoutMilliseconds = 1000;

/** Starts a node from its settings. */
export async function startFleetNode(settings: NodeSettings, options: FleetNodeOptions): Promise<FleetNode> {
	const {credentials} = options;
	const randomSeed = options.randomSeed ?? randomInt(seedLimit);
	const clock = new SystemClock();
	const client = createRpcClient(credentials, clock);
	const server = createRpcServer(credentials, clock);
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
		return {...(level === undefined ? {} : {level}), ...revision()};
	});
	const node = await createNode({
		settings,
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
		...(options.announcementTimeoutMilliseconds === undefined ? {} : {announcementTimeoutMilliseconds: options.announcementTimeoutMilliseconds}),
		claims: new ControlClaims({client, control: settings.control, clock}),
		outcomes: {
			ask: async (address, question) => client.call(outcomeMethod, address, question, {timeoutMilliseconds: outcomeTimeoutMilliseconds}),
		},
		observer: options.onRequestFinished === undefined ? observer : withRequestListener(observer, options.onRequestFinished),
		...(options.onIncompleteResponse === undefined ? {} : {onIncompleteResponse: options.onIncompleteResponse}),
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

/** Fewest nodes among which the fixed part of a fleet's retry budget is divided, as a node that has just started knows few. */
const minimumNodeCount = 8;

function createRetryBudgets(fleet: FleetRuntime, budget: FleetRetryBudget | undefined): RetryBudgets {
	if (budget === undefined) {
		return new ServiceRetryBudgets();
	}

	return new ServiceRetryBudgets(attempts => (attempts * budget.share) + (budget.fixed / Math.max(minimumNodeCount, fleet.targets().length)));
}

function createFreshness(clock: SystemClock, boundMilliseconds: number): KeyFreshness {
	const suspension = new SuspensionClock(clock);
	return new KeyFreshness({
		monotonicNow: () => clock.now(),
		suspendedNow: () => suspension.now(),
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
