/**
Links between the nodes of a bench: a delay between failure domains, cuts, and
counts of calls and bytes.
*/

import type {FailureDomain} from '@fireflyglade/model';
import {
	encodeMessage, RpcError, type RpcCallOptions, type RpcClient, type RpcMethod,
} from '@fireflyglade/transport';

/** Milliseconds that a message takes from one domain to another. */
export const domainDelayMilliseconds = 1;

async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** The links of a fleet. */
export class Links {
	readonly domainByAddress = new Map<string, FailureDomain>();
	readonly cut = new Set<FailureDomain>();
	calls = 0;
	bytes = 0;

	/** Tells whether the domains are apart, so that a message takes the delay. */
	isRemote(from: FailureDomain, to: string): boolean {
		const domain = this.domainByAddress.get(to);
		return domain !== undefined && domain !== from;
	}

	isCut(from: FailureDomain, to: string): boolean {
		const domain = this.domainByAddress.get(to);
		return domain !== undefined && domain !== from && (this.cut.has(domain) || this.cut.has(from));
	}
}

/** A client whose calls take the links' delays, and get no answer through a cut. */
export class LinkedClient implements RpcClient {
	readonly #client: RpcClient;
	readonly #links: Links;
	readonly #domain: FailureDomain;
	#isClosed = false;

	constructor(client: RpcClient, links: Links, domain: FailureDomain) {
		this.#client = client;
		this.#links = links;
		this.#domain = domain;
	}

	async call<Request, Response>(method: RpcMethod<Request, Response>, address: string, request: Request, options: RpcCallOptions): Promise<Response> {
		if (this.#isClosed) {
			throw new RpcError('unavailable', 'the node has ended');
		}

		const links = this.#links;
		links.calls++;
		links.bytes += encodeMessage(request).length;
		const isRemote = links.isRemote(this.#domain, address);
		if (isRemote) {
			await pause(domainDelayMilliseconds);
		}

		if (links.isCut(this.#domain, address)) {
			await pause(options.timeoutMilliseconds);
			throw new RpcError('timeout', 'the domains are cut off from each other');
		}

		const answer = await this.#client.call(method, address, request, options);
		links.bytes += encodeMessage(answer).length;
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
