/**
The two ways beside which the bench stands: every node with an equal fixed part
of each team's rate and burst, and one bucket that is asked for every request.
*/

import {
	createNodeId, millisecondsInSecond, type FailureDomain, type NodeId, type Team, type TeamName,
} from '@fireflyglade/model';
import {GrpcRpcClient, GrpcRpcServer, type RpcMethod} from '@fireflyglade/transport';
import {LinkedClient, type Links} from './links.js';

/** Decides about one request. */
export type Charger = (team: Team, node: number) => Promise<boolean>;

class PlainBucket {
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

/** Every node has an equal part; a burst below the number of nodes leaves less than a token at each. */
export function createStaticSplit(teams: readonly Team[], nodeCount: number): Charger {
	const now = performance.now();
	const buckets = new Map<string, PlainBucket>();
	for (const team of teams) {
		for (let node = 0; node < nodeCount; node++) {
			buckets.set(`${team.name} ${node}`, new PlainBucket(team.ratePerSecond / nodeCount, team.burst / nodeCount, now));
		}
	}

	return async (team, node) => buckets.get(`${team.name} ${node}`)!.take(performance.now());
}

type CentralQuestion = {readonly team: TeamName; readonly node: NodeId};

const centralMethod: RpcMethod<CentralQuestion, {readonly isAdmitted: boolean}> = {service: 'bench', name: 'charge'};
const credentials = {kind: 'token', token: 'rates-bench'} as const;
const timeoutMilliseconds = 1000;

/** One bucket in the first domain, asked for every request. */
export class CentralBucket {
	readonly #server = new GrpcRpcServer(credentials);
	readonly #clients: LinkedClient[] = [];
	readonly #buckets: ReadonlyMap<TeamName, PlainBucket>;
	#address = '';

	constructor(teams: readonly Team[]) {
		const now = performance.now();
		this.#buckets = new Map(teams.map(team => [team.name, new PlainBucket(team.ratePerSecond, team.burst, now)]));
	}

	async start(links: Links, domains: readonly FailureDomain[], nodesPerDomain: number): Promise<Charger> {
		this.#server.handle(centralMethod, async ({team}) => ({isAdmitted: this.#buckets.get(team)!.take(performance.now())}));
		this.#address = await this.#server.listen('127.0.0.1:0');
		links.domainByAddress.set(this.#address, domains[0]!);
		for (const domain of domains) {
			for (let index = 0; index < nodesPerDomain; index++) {
				this.#clients.push(new LinkedClient(new GrpcRpcClient(credentials), links, domain));
			}
		}

		return async (team, node) => {
			const question = {team: team.name, node: createNodeId(`node-${node}`)};
			const answer = await this.#clients[node]!.call(centralMethod, this.#address, question, {timeoutMilliseconds});
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
