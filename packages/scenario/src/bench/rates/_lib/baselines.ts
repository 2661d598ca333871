/**
The two baselines of the bench: a static split, in which every node has an equal
fixed share of each team's rate and burst, and a central token bucket that is
called for every request.
*/

import {
	createNodeId, millisecondsInSecond, type FailureDomain, type NodeId, type Team, type TeamName,
} from '@fireflyglade/model';
import {GrpcRpcClient, GrpcRpcServer, type RpcMethod} from '@fireflyglade/transport';
import {SimulatedNetworkClient, type SimulatedNetwork} from './simulated-network.js';

/** Charges one request to its team at a node; resolves with true if it is admitted. */
export type ChargeFunction = (team: Team, node: number) => Promise<boolean>;

class TokenBucket {
	#level: number;
	#at: number;
	readonly #rate: number;
	readonly #burst: number;

	constructor(rate: number, burst: number, now: number) {
		this.#rate = rate;
		this.#burst = burst;
		this.#level = burst;
		this.#at = now;
	}

	take(now: number): boolean {
		this.#level = Math.min(this.#burst, this.#level + ((now - this.#at) * this.#rate / millisecondsInSecond));
		this.#at = now;
		if (this.#level < 1) {
			return false;
		}

		this.#level--;
		return true;
	}
}

/**
Creates the static split: each node has its own token buckets with an equal share
of every rate and burst. If a team's burst is below the number of nodes, each
node's bucket holds less than one token and refuses all of the team's requests.
*/
export function createStaticSplit(teams: readonly Team[], nodeCount: number): ChargeFunction {
	const now = performance.now();
	const buckets = new Map<string, TokenBucket>();
	for (const team of teams) {
		for (let node = 0; node < nodeCount; node++) {
			buckets.set(`${team.name} ${node}`, new TokenBucket(team.ratePerSecond / nodeCount, team.burst / nodeCount, now));
		}
	}

	return async (team, node) => buckets.get(`${team.name} ${node}`)!.take(performance.now());
}

type CentralChargeRequest = {readonly team: TeamName; readonly node: NodeId};

const centralChargeMethod: RpcMethod<CentralChargeRequest, {readonly isAdmitted: boolean}> = {service: 'bench', name: 'charge'};
const credentials = {kind: 'token', token: 'rates-bench'} as const;
const timeoutMilliseconds = 1000;

/** A server in the first domain with one token bucket for each team, called for every request. */
export class CentralBucket {
	readonly #server = new GrpcRpcServer(credentials);
	readonly #clients: SimulatedNetworkClient[] = [];
	readonly #buckets: ReadonlyMap<TeamName, TokenBucket>;
	#address = '';

	constructor(teams: readonly Team[]) {
		const now = performance.now();
		this.#buckets = new Map(teams.map(team => [team.name, new TokenBucket(team.ratePerSecond, team.burst, now)]));
	}

	/** Starts the server and a client for each node; resolves with the function that charges a request. */
	async start(network: SimulatedNetwork, domains: readonly FailureDomain[], nodesPerDomain: number): Promise<ChargeFunction> {
		this.#server.handle(centralChargeMethod, async ({team}) => ({isAdmitted: this.#buckets.get(team)!.take(performance.now())}));
		this.#address = await this.#server.listen('127.0.0.1:0');
		network.domainByAddress.set(this.#address, domains[0]!);
		for (const domain of domains) {
			for (let index = 0; index < nodesPerDomain; index++) {
				this.#clients.push(new SimulatedNetworkClient(new GrpcRpcClient(credentials), network, domain));
			}
		}

		return async (team, node) => {
			const chargeRequest = {team: team.name, node: createNodeId(`node-${node}`)};
			const answer = await this.#clients[node]!.call(centralChargeMethod, this.#address, chargeRequest, {timeoutMilliseconds});
			return answer.isAdmitted;
		};
	}

	async close(): Promise<void> {
		for (const client of this.#clients) {
			client.close();
		}

		await this.#server.close();
	}
}
