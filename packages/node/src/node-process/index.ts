/**
A node as a process runs it: the callers' path, the fleet runtime and remote
calls, wired from the settings.
*/

import {randomInt} from 'node:crypto';
import {GateAdmission} from '@fireflyglade/admission';
import {
	FireflygladeError, SeededRandom, SystemClock, type Clock,
} from '@fireflyglade/model';
import {createSpanRecorder, ProcessObserver, type SpanRecorder} from '@fireflyglade/observability';
import {NodeRetryBudget, TargetRouting} from '@fireflyglade/routing';
import type {NodeSettings} from '@fireflyglade/settings';
import {
	GrpcRpcClient, GrpcRpcServer, outcomeMethod, type FleetCredentials, type OutcomeAnswer, type OutcomeQuestion,
} from '@fireflyglade/transport';
import {createNode, type NodeAddresses, type RunningNode} from '../create-node/index.js';
import {FleetRuntime} from '../fleet-runtime/index.js';
import {RemoteJobClaims} from '../remote-job-claims/index.js';
import {RemoteOutcomeAsker} from '../remote-outcome-asker/index.js';

/** Options of a node process. */
export type NodeProcessOptions = {
	readonly clock?: Clock;
	/** Seed of the random choices; drawn if absent. */
	readonly randomSeed?: number;
};

/** The node can't be let in by these credentials. */
export class UnsupportedCredentialsError extends FireflygladeError {
	get code(): 'unsupported-credentials' {
		return 'unsupported-credentials';
	}
}

type NodeParts = {
	readonly client: GrpcRpcClient;
	readonly server: GrpcRpcServer;
	readonly fleet: FleetRuntime;
	readonly node: RunningNode;
	readonly observer: ProcessObserver;
	readonly rpcAddress: string;
};

const largestSeed = 2 ** 31;

function readFleetToken(credentials: FleetCredentials): string {
	if (credentials.kind === 'mutual-tls') {
		throw new UnsupportedCredentialsError('calls between gates go over plain HTTP, which asks for a fleet token');
	}

	return credentials.token;
}

async function createSpans(settings: NodeSettings, clock: Clock): Promise<SpanRecorder | undefined> {
	return settings.spanFile === undefined
		? undefined
		: createSpanRecorder({file: settings.spanFile, process: settings.node, monotonicOrigin: clock.wallNow() - clock.now()});
}

/** A question that comes before the gate is there is about a request that this process never saw. */
function answerOutcome(node: RunningNode | undefined, question: OutcomeQuestion): OutcomeAnswer {
	return node?.answerOutcome(question) ?? {progress: 'unknown'};
}

/**
A running node.

@example
```ts
const node = await NodeProcess.start(settings, credentials);
await node.stop();
```
*/
export class NodeProcess {
	/**
	Binds all listeners and joins the fleet.

	@throws {FireflygladeError} An address can't be listened on, or the credentials can't be used.
	*/
	static async start(settings: NodeSettings, credentials: FleetCredentials, options: NodeProcessOptions = {}): Promise<NodeProcess> {
		const clock = options.clock ?? new SystemClock();
		const randomSeed = options.randomSeed ?? randomInt(largestSeed);
		const fleetToken = readFleetToken(credentials);
		const client = new GrpcRpcClient(credentials);
		const server = new GrpcRpcServer(credentials);
		const fleet = new FleetRuntime({
			...settings, client, clock, randomSeed,
		});
		const startedAt = clock.now();
		const spans = await createSpans(settings, clock);
		const observer = new ProcessObserver({
			clock,
			readState: () => ({revision: fleet.configuration().revision, revisionAgeMilliseconds: clock.now() - startedAt}),
			...(spans !== undefined && {spans}),
		});
		const started: {node?: RunningNode} = {};
		fleet.register(server);
		server.handle(outcomeMethod, async question => answerOutcome(started.node, question));
		const rpcAddress = await server.listen(settings.rpcAddress);
		const node = await createNode({
			settings,
			fleetToken,
			rpcAddress,
			fleet,
			createAdmission: admissionOptions => new GateAdmission(admissionOptions),
			routing: new TargetRouting(settings),
			retryBudget: new NodeRetryBudget(),
			claims: new RemoteJobClaims({client, control: settings.control, clock}),
			outcomes: new RemoteOutcomeAsker(client),
			observer,
			clock,
			random: new SeededRandom(randomSeed),
		});
		started.node = node;
		const {gate, callers} = node.addresses;
		fleet.start({rpcAddress, gateUrl: `http://${gate}`, callersUrl: `http://${callers}`});
		return new NodeProcess({
			client, server, fleet, node, observer, rpcAddress,
		});
	}

	readonly #parts: NodeParts;
	#stopping: Promise<void> | undefined;

	private constructor(parts: NodeParts) {
		this.#parts = parts;
	}

	/** Bound addresses of the HTTP listeners. */
	get addresses(): NodeAddresses {
		return this.#parts.node.addresses;
	}

	/** `host:port` of the RPC listener. */
	get rpcAddress(): string {
		return this.#parts.rpcAddress;
	}

	/** What the node knows of the fleet. */
	get fleet(): FleetRuntime {
		return this.#parts.fleet;
	}

	/** Shuts down gracefully: running requests finish, roles and tokens are handed over. */
	async stop(): Promise<void> {
		this.#stopping ??= this.#shutDown();
		return this.#stopping;
	}

	async #shutDown(): Promise<void> {
		const {
			client, server, fleet, node, observer,
		} = this.#parts;
		await node.stop();
		await fleet.close();
		await server.close();
		client.close();
		await observer.close();
	}
}
