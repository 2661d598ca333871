import {expect} from 'chai';
import {GossipMembership, type SelfDescription} from '@fireflyglade/membership';
import {
	createFailureDomain, createNodeId, createTeamName, emptyConfiguration, ManualClock, SystemClock,
	type AcceptedChange, type Configuration, type ConfigurationChange, type FailureDomain, type KeyId, type RequestId, type Revision,
} from '@fireflyglade/model';
import {applyConfigurationChange} from '@fireflyglade/state';
import {
	GrpcRpcClient, GrpcRpcServer, reportMethod, type BriefNodeReport, type NodeReport, type ReportResponse, type RpcClient, type RpcMethod,
} from '@fireflyglade/transport';
import {deliverMethod, type PeerBatch} from '../fleet-runtime-methods/index.js';
import {KeyFreshness} from '../_lib/key-freshness/index.js';
import {FleetRuntime} from './index.js';

const credentials = {kind: 'token', token: 'fleet-runtime-test'} as const;
const clock = new SystemClock();
const team = {name: createTeamName('council'), ratePerSecond: 2, burst: 5};

/** Waits until `condition` returns true. Resolves to the milliseconds waited. */
async function until(condition: () => boolean, limitMilliseconds = 12_000): Promise<number> {
	const start = clock.now();
	while (!condition()) {
		if (clock.now() - start > limitMilliseconds) {
			throw new Error('the condition was not met within the time limit');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	return clock.now() - start;
}

/** A control process that accepts changes and answers each report after 20 ms. */
class FakeControl {
	readonly reports: Array<NodeReport | BriefNodeReport> = [];
	/** True if the answers state that no quorum is reachable. */
	isWithoutQuorum = false;
	readonly #server = new GrpcRpcServer(credentials);
	#configuration: Configuration = emptyConfiguration;
	readonly #changes: AcceptedChange[] = [];

	async start(): Promise<string> {
		this.#server.handle(reportMethod, async report => {
			this.reports.push(report);
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
			const changes = this.#changes.filter(({revision}) => revision > report.revision);
			return changes.length === 0 || this.isWithoutQuorum
				? {quorum: !this.isWithoutQuorum}
				: {quorum: true, update: {kind: 'changes' as const, after: report.revision, changes}};
		});
		return this.#server.listen('127.0.0.1:0');
	}

	accept(change: ConfigurationChange): Revision {
		const revision = this.#configuration.revision + 1 as Revision;
		const result = applyConfigurationChange(this.#configuration, change, revision);
		if (result.kind !== 'changed') {
			throw new Error(JSON.stringify(result));
		}

		this.#configuration = result.configuration;
		this.#changes.push({
			revision, change, acceptedAt: 0, operator: 'test',
		});
		return revision;
	}

	async close(): Promise<void> {
		await this.#server.close();
	}
}

type RunningNode = {
	readonly fleet: FleetRuntime;
	readonly rpcAddress: string;
	close(): Promise<void>;
};

async function startNode(name: string, domain: FailureDomain, control: readonly string[], seeds: readonly string[]): Promise<RunningNode> {
	const server = new GrpcRpcServer(credentials);
	const client = new GrpcRpcClient(credentials);
	const fleet = new FleetRuntime({
		node: createNodeId(name), domain, control, seeds, client, clock, randomSeed: name.length + name.codePointAt(name.length - 1)!,
	});
	fleet.register(server);
	const rpcAddress = await server.listen('127.0.0.1:0');
	fleet.start({rpcAddress, gateUrl: 'http://127.0.0.1:1', callersUrl: 'http://127.0.0.1:2'});
	return {
		fleet, rpcAddress, async close() {
			await fleet.close();
			client.close();
			await server.close();
		},
	};
}

describe('FleetRuntime', function () {
	this.timeout(40_000);
	const north = createFailureDomain('north');
	const south = createFailureDomain('south');
	const control = new FakeControl();
	const nodes: RunningNode[] = [];
	let controlAddress: string;

	before(async () => {
		controlAddress = await control.start();
		for (const [index, domain] of [north, north, south].entries()) {
			// The last node has no control address, so it receives the configuration from its peers.
			nodes.push(await startNode(`node-${index}`, domain, index < 2 ? [controlAddress] : [], nodes.slice(0, 1).map(({rpcAddress}) => rpcAddress)));
		}

		control.accept({kind: 'set-domain', domain: {name: north, weight: 1, witnesses: [createNodeId('node-0')]}});
		control.accept({kind: 'set-domain', domain: {name: south, weight: 1, witnesses: [createNodeId('node-2')]}});
	});

	after(async () => {
		for (const node of nodes) {
			await node.close();
		}

		await control.close();
	});

	it('delivers a change to every node, from control or from peers, in less than 2 s', async () => {
		await until(() => nodes.every(({fleet}) => fleet.configuration().revision === 2));
		const revision = control.accept({kind: 'create-team', team});
		expect(await until(() => nodes.every(({fleet}) => fleet.configuration().revision === revision))).to.be.below(2000);
		await until(() => control.reports.some(report => report.revision === revision));
	});

	it('lets one node use the whole burst of a new team, and no more', async () => {
		const parish = {name: createTeamName('parish'), ratePerSecond: 0.001, burst: 5};
		const {fleet} = nodes[1]!;
		let admitted = 0;
		let isCharging = false;
		const charge = async (): Promise<void> => {
			isCharging = true;
			const outcome = await fleet.charge(parish.name, `parish-${clock.now()}` as RequestId);
			admitted += outcome.kind === 'admitted' ? 1 : 0;
			isCharging = false;
		};

		await until(() => nodes.every(({fleet: one}) => one.holders().size === 2));
		control.accept({kind: 'create-team', team: parish});
		await until(() => {
			if (!isCharging && admitted < 5) {
				void charge();
			}

			return admitted === 5;
		});
		for (let index = 0; index < 3; index++) {
			const outcome = await fleet.charge(parish.name, `late-${index}` as RequestId);
			expect(outcome.kind).to.equal('refused');
		}
	});

	it('propagates a key withdrawal from any node to all nodes', async () => {
		const key = 'k-7' as KeyId;
		nodes[2]!.fleet.withdrawKeys([key]);
		expect(await until(() => nodes.every(({fleet}) => fleet.isKeyWithdrawn(key)))).to.be.below(2000);
	});

	it('announces a target and its removal to all nodes', async () => {
		const target = {
			upstream: 'orders.node-0', service: 'orders', node: 'node-0', domain: north, gateUrl: 'http://127.0.0.1:1', rpcAddress: nodes[0]!.rpcAddress, available: true, slots: 4,
		} as unknown as Parameters<FleetRuntime['announceTarget']>[0];
		nodes[0]!.fleet.announceTarget(target);
		await until(() => nodes.every(({fleet}) => fleet.targets().length === 1));
		nodes[0]!.fleet.announceTarget(undefined);
		await until(() => nodes.every(({fleet}) => fleet.targets().length === 0));
	});

	it('reports a control outage while no quorum is reachable, and reconnects afterwards', async () => {
		await until(() => nodes.every(({fleet}) => fleet.connectivity().kind === 'connected'));
		control.isWithoutQuorum = true;
		await until(() => nodes.every(({fleet}) => fleet.connectivity().kind === 'control-outage'), 15_000);
		control.isWithoutQuorum = false;
		await until(() => nodes.every(({fleet}) => fleet.connectivity().kind === 'connected'), 15_000);
	});

	it('sends the configuration of a peer to a node that starts without control addresses', async () => {
		const {revision} = nodes[0]!.fleet.configuration();
		const late = await startNode('node-3', south, [], [nodes[2]!.rpcAddress]);
		nodes.push(late);
		await until(() => late.fleet.configuration().revision === revision);
		expect(late.fleet.configuration()).to.deep.equal(nodes[0]!.fleet.configuration());
	});
});

/** An in-memory RPC client that reaches one control process and one peer. The peer answers only while `isPeerSilent` is false. */
class FakeFleetClient implements RpcClient {
	isPeerSilent = true;
	readonly #peer: GossipMembership;
	readonly #self: SelfDescription;

	constructor() {
		this.#self = {
			node: createNodeId('peer'), domain: createFailureDomain('north'), rpcAddress: 'peer:1', gateUrl: 'http://peer:2', leaving: false, revision: 1 as Revision,
		};
		this.#peer = new GossipMembership({
			self: this.#self, seeds: [], randomSeed: 1, incarnation: 1, now: 0,
		});
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, _address: string, request: Request): Promise<Response> {
		if (method === reportMethod as unknown && (request as NodeReport).revision === 0) {
			const answer: ReportResponse = {
				update: {kind: 'whole', configuration: {...emptyConfiguration, revision: 1 as Revision, label: 1 as Configuration['label']}}, quorum: true, confirmed: true, peers: ['peer:1'],
			};
			return answer as Response;
		}

		if (method !== deliverMethod as unknown || this.isPeerSilent) {
			throw new Error('unreachable');
		}

		const {membership} = request as PeerBatch;
		const answers = membership.flatMap(message => this.#peer.receive(message, 0).messages);
		const {node, rpcAddress} = this.#self;
		const batch: PeerBatch = {
			from: node, fromAddress: rpcAddress, membership: answers, rates: [],
		};
		return batch as Response;
	}

	close(): void {
		this.isPeerSilent = true;
	}
}

async function waitForPendingCallbacks(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

describe('FleetRuntime after its start', () => {
	it('is not ready to serve callers before a peer has reported the targets', async () => {
		const manual = new ManualClock(1000);
		const client = new FakeFleetClient();
		const fleet = new FleetRuntime({
			node: createNodeId('node-1'), domain: createFailureDomain('north'), control: ['control:1'], seeds: [], client, clock: manual, randomSeed: 3, shouldDiscoverPeers: true,
			freshness: new KeyFreshness({monotonicNow: () => manual.now(), suspensionAwareNow: () => manual.now()}, 4000),
		});
		fleet.start({rpcAddress: 'node-1:1', gateUrl: 'http://node-1:2', callersUrl: 'http://node-1:3'});
		await waitForPendingCallbacks();
		expect(fleet.configuration().label).to.equal(1);
		expect(fleet.hasConfiguration(), 'before any peer has answered').to.equal(false);
		client.isPeerSilent = false;
		manual.advance(400);
		await waitForPendingCallbacks();
		expect(fleet.hasConfiguration(), 'after a peer answered').to.equal(true);
	});
});
