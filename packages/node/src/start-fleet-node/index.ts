/**
Starts a whole node from its settings: remote calls, the fleet runtime, the
callers' path and what observes them.
*/

import {randomInt} from 'node:crypto';
import {GateAdmission} from '@fireflyglade/admission';
import {SeededRandom, SystemClock, type Revision} from '@fireflyglade/model';
import {ProcessObserver, createSpanRecorder, type SpanRecorder} from '@fireflyglade/observability';
import {NodeRetryBudget, TargetRouting} from '@fireflyglade/routing';
import type {NodeSettings} from '@fireflyglade/settings';
import {
	GrpcRpcClient, GrpcRpcServer, outcomeMethod,
	type FleetCredentials,
} from '@fireflyglade/transport';
import {ControlClaims} from '../control-claims/index.js';
import {createNode, type NodeAddresses, type RunningNode} from '../create-node/index.js';
import {FleetRuntime} from '../fleet-runtime/index.js';

/** Options of a node that is started from its settings. */
export type FleetNodeOptions = {
	readonly credentials: FleetCredentials;
	/** Seed of the random choices; a fresh one if absent. */
	readonly randomSeed?: number;
};

/** A node that takes part in a fleet. */
export type FleetNode = {
	readonly addresses: NodeAddresses;
	readonly rpcAddress: string;
	readonly fleet: FleetRuntime;
	/** Shuts down gracefully: no request is cut within the time that the settings give. */
	stop(): Promise<void>;
};

const largestSeed = 2 ** 31;
const outcomeTimeoutMilliseconds = 1000;

/** Starts a node from its settings. */
export async function startFleetNode(settings: NodeSettings, options: FleetNodeOptions): Promise<FleetNode> {
	const {credentials} = options;
	const randomSeed = options.randomSeed ?? randomInt(largestSeed);
	const clock = new SystemClock();
	const client = new GrpcRpcClient(credentials);
	const server = new GrpcRpcServer(credentials);
	const fleet = new FleetRuntime({
		node: settings.node, domain: settings.domain, control: settings.control, seeds: settings.seeds, client, clock, randomSeed,
	});
	const started: {node?: RunningNode} = {};
	fleet.register(server);
	server.handle(outcomeMethod, async question => started.node?.answerOutcome(question) ?? {progress: 'unknown'});
	const rpcAddress = await server.listen(settings.rpcAddress);
	const revision = watchRevision(fleet, clock);
	const observer = await createObserver(settings, clock, () => {
		const level = started.node?.level();
		return {...(level === undefined ? {} : {level}), ...revision()};
	});
	const node = await createNode({
		settings,
		credentials,
		rpcAddress,
		fleet,
		createAdmission: admission => new GateAdmission(admission),
		routing: new TargetRouting({domain: settings.domain, node: settings.node}),
		retryBudget: new NodeRetryBudget(),
		claims: new ControlClaims({client, control: settings.control, clock}),
		outcomes: {
			ask: async (address, question) => client.call(outcomeMethod, address, question, {timeoutMilliseconds: outcomeTimeoutMilliseconds}),
		},
		observer,
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
		async stop() {
			stopping ??= shutDown();
			return stopping;
		},
	};
}

type RevisionState = {
	readonly revision: Revision;
	readonly revisionAgeMilliseconds: number;
};

function watchRevision(fleet: FleetRuntime, clock: SystemClock): () => RevisionState {
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
