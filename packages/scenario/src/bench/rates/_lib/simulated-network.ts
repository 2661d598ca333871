/**
Simulates the network between the nodes of a bench: a delay between failure
domains and partitions; counts calls and bytes.
*/

import type {FailureDomain} from '@fireflyglade/model';
import {
	encodeMessage, RpcError, type RpcCallOptions, type RpcClient, type RpcMethod,
} from '@fireflyglade/transport';

/** One-way delay of a message between domains, in milliseconds. */
export const domainDelayMilliseconds = 1;

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** The simulated network of a fleet. */
export class SimulatedNetwork {
	readonly domainByAddress = new Map<string, FailureDomain>();
	/** Domains isolated from all others. */
	readonly cut = new Set<FailureDomain>();
	calls = 0;
	bytes = 0;

	/** Returns true if the address is in another domain, so that messages to it are delayed. */
	isRemote(from: FailureDomain, to: string): boolean {
		const domain = this.domainByAddress.get(to);
		return domain !== undefined && domain !== from;
	}

	/** Returns true if the address is in another domain and either domain is isolated. */
	isPartitioned(from: FailureDomain, to: string): boolean {
		const domain = this.domainByAddress.get(to);
		return domain !== undefined && domain !== from && (this.cut.has(domain) || this.cut.has(from));
	}
}

/** An RPC client of a node in one domain that applies the simulated delays; calls across a partition time out. */
export class SimulatedNetworkClient implements RpcClient {
	readonly #client: RpcClient;
	readonly #network: SimulatedNetwork;
	readonly #domain: FailureDomain;
	#isClosed = false;

	constructor(client: RpcClient, network: SimulatedNetwork, domain: FailureDomain) {
		this.#client = client;
		this.#network = network;
		this.#domain = domain;
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, options: RpcCallOptions): Promise<Response> {
		if (this.#isClosed) {
			throw new RpcError('unavailable', 'the node has stopped');
		}

		const network = this.#network;
		network.calls++;
		network.bytes += encodeMessage(request).length;
		const isRemote = network.isRemote(this.#domain, address);
		if (isRemote) {
			await pause(domainDelayMilliseconds);
		}

		if (network.isPartitioned(this.#domain, address)) {
			await pause(options.timeoutMilliseconds);
			throw new RpcError('timeout', 'the domains are partitioned from each other');
		}

		const answer = await this.#client.call(method, address, request, options);
		network.bytes += encodeMessage(answer).length;
		if (isRemote) {
			await pause(domainDelayMilliseconds);
		}

		return answer;
	}

	close(): void {
		this.#isClosed = true;
		this.#client.close();
	}
}
