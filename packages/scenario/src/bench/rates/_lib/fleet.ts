/**
Runs the fleet runtimes of many nodes in one process. They communicate by real
remote calls over loopback; a simulated control server distributes the
configuration.
*/

import {
	createFailureDomain, createNodeId, emptyConfiguration, SystemClock,
	type Configuration, type DomainSettings, type FailureDomain, type NodeId, type Revision, type Team,
} from '@fireflyglade/model';
import {fetchConfigurationMethod, FleetRuntime} from '@fireflyglade/node';
import {GrpcRpcClient, GrpcRpcServer, reportMethod} from '@fireflyglade/transport';
import {BenchTimeoutError} from './errors.js';
import {SimulatedNetworkClient, type SimulatedNetwork} from './simulated-network.js';

const credentials = {kind: 'token', token: 'rates-bench'} as const;
const pollMilliseconds = 10;
const waitLimitMilliseconds = 15_000;
const witnessCount = 3;
const bareCalls = 200;
const settleMilliseconds = 500;

/** One node of the fleet. */
export type BenchNode = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly rpcAddress: string;
	readonly fleet: FleetRuntime;
	isStopped: boolean;
	/** Stops the node without notifying its peers. */
	kill(): Promise<void>;
};

/**
Waits until a condition is met.

@param what - Description of the condition for the error.
@throws {BenchTimeoutError} The condition is not met in time.
*/
export async function waitUntil(what: string, condition: () => boolean): Promise<void> {
	const end = performance.now() + waitLimitMilliseconds;
	while (!condition()) {
		if (performance.now() > end) {
			throw new BenchTimeoutError(`timed out waiting for: ${what}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMilliseconds);
		});
	}
}

/** A fleet of nodes that can be stopped and partitioned. */
export class BenchFleet {
	readonly clock = new SystemClock();
	readonly nodes: BenchNode[] = [];
	readonly domains: FailureDomain[] = [];
	readonly #network: SimulatedNetwork;
	readonly #control = new GrpcRpcServer(credentials);
	#configuration: Configuration = emptyConfiguration;

	constructor(network: SimulatedNetwork) {
		this.#network = network;
	}

	get network(): SimulatedNetwork {
		return this.#network;
	}

	/** Starts nodes in domains of equal weight, and waits until every node knows a lease holder for each domain. */
	async start(domainCount: number, nodesPerDomain: number): Promise<void> {
		this.#control.handle(reportMethod, async report => {
			const end = performance.now() + report.waitMilliseconds;
			while (this.#configuration.revision <= report.revision && performance.now() < end) {
				await new Promise(resolve => {
					setTimeout(resolve, pollMilliseconds);
				});
			}

			const isNewer = this.#configuration.revision > report.revision;
			return isNewer ? {quorum: true, update: {kind: 'whole' as const, configuration: this.#configuration}} : {quorum: true};
		});
		const control = await this.#control.listen('127.0.0.1:0');
		for (let domain = 0; domain < domainCount; domain++) {
			this.domains.push(createFailureDomain(`domain-${domain}`));
			for (let index = 0; index < nodesPerDomain; index++) {
				await this.#startNode(domain, index, control);
			}
		}

		this.#configuration = {...emptyConfiguration, revision: 1 as Revision, domains: this.#domainSettings()};
		await waitUntil('a holder in each domain', () => this.nodes.every(({fleet}) => fleet.holders().size === domainCount));
	}

	/** Replaces the teams, and waits until every running node has the new configuration. */
	async setTeams(teams: readonly Team[]): Promise<void> {
		const revision = this.#configuration.revision + 1 as Revision;
		this.#configuration = {...this.#configuration, revision, teams: new Map(teams.map(team => [team.name, team]))};
		await waitUntil('the teams', () => this.nodes.every(({fleet, isStopped}) => isStopped || fleet.configuration().revision === revision));
	}

	/** Returns latency quantiles of a remote call without simulated delay to one node, in milliseconds, for comparison. */
	async measureBareCalls(): Promise<{readonly p50: number; readonly p83: number; readonly p99: number}> {
		const client = new GrpcRpcClient(credentials);
		const {rpcAddress, fleet} = this.nodes[0]!;
		const samples: number[] = [];
		for (let call = 0; call < bareCalls; call++) {
			const start = performance.now();
			await client.call(fetchConfigurationMethod, rpcAddress, {after: fleet.configuration().revision}, {timeoutMilliseconds: waitLimitMilliseconds});
			samples.push(performance.now() - start);
		}

		client.close();
		samples.sort((first, second) => first - second);
		const quantile = (share: number): number => samples[Math.floor(share * (bareCalls - 1))]!;
		return {p50: quantile(0.5), p83: quantile(0.83), p99: quantile(0.99)};
	}

	/** Waits until loans of previous teams have expired and the buckets of new teams are full. */
	async settle(): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, settleMilliseconds);
		});
	}

	/** Returns the lease holder of a domain as the running nodes know it. */
	holderOf(domain: FailureDomain): BenchNode | undefined {
		for (const {fleet, isStopped} of this.nodes) {
			const holder = isStopped ? undefined : fleet.holders().get(domain)?.holder;
			const found = this.nodes.find(({node}) => node === holder);
			if (found !== undefined) {
				return found;
			}
		}

		return undefined;
	}

	async close(): Promise<void> {
		for (const node of this.nodes) {
			await node.kill();
		}

		await this.#control.close();
	}

	async #startNode(domainIndex: number, index: number, control: string): Promise<void> {
		const domain = this.domains[domainIndex]!;
		const node = createNodeId(`node-${domainIndex}-${index}`);
		const server = new GrpcRpcServer(credentials);
		const client = new SimulatedNetworkClient(new GrpcRpcClient(credentials), this.#network, domain);
		const seeds = this.nodes.slice(0, 1).map(({rpcAddress}) => rpcAddress);
		const fleet = new FleetRuntime({
			node, domain, control: [control], seeds, client, clock: this.clock, randomSeed: (domainIndex * 100) + index,
		});
		fleet.register(server);
		const rpcAddress = await server.listen('127.0.0.1:0');
		this.#network.domainByAddress.set(rpcAddress, domain);
		fleet.start({rpcAddress, gateUrl: 'http://127.0.0.1:1', callersUrl: 'http://127.0.0.1:1'});
		this.nodes.push({
			node, domain, rpcAddress, fleet, isStopped: false,
			async kill() {
				if (!this.isStopped) {
					this.isStopped = true;
					client.close();
					await fleet.close();
					await server.close();
				}
			},
		});
	}

	#domainSettings(): Map<FailureDomain, DomainSettings> {
		return new Map(this.domains.map(name => {
			const witnesses = this.nodes.filter(({domain}) => domain === name).slice(0, witnessCount).map(({node}) => node);
			return [name, {name, weight: 1, witnesses}];
		}));
	}
}
