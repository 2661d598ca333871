/**
A simulated fleet of rate limiters in several failure domains, in one process. Its
clocks drift, its network loses, repeats and delays messages, and its leases
overlap only if an option injects that fault.
*/

import {
	createFailureDomain, createNodeId, emptyConfiguration, maximumClockDrift, SeededRandom, type Configuration, type DomainSettings,
	type FailureDomain, type FencingNumber, type NodeId, type RequestId, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import {DistributedRateLimiter} from '../../distributed-rate-limiter/index.js';
import type {
	HolderView, OwnLease, RateActions, RateMessage,
} from '../../types.js';
import {SpendCounter} from '../spend-counter/index.js';

/** Options of a simulated fleet. */
export type SimulatedRateFleetOptions = {
	readonly seed: number;
	readonly domains: number;
	readonly nodesPerDomain: number;
	/** Share of messages that are lost. */
	readonly lossShare: number;
	/** Share of messages that are delivered twice. */
	readonly duplicateShare: number;
	readonly maximumDelayMilliseconds: number;
	/** Changes messages in transit, to inject a fault. */
	readonly tamper?: (message: RateMessage) => RateMessage;
	/** Grants leases before earlier ones have ended, to inject a fault. */
	readonly hasOverlappingLeases?: boolean;
	/** Milliseconds by which lease holders overestimate the end of their leases, to inject a fault. */
	readonly leaseStretchMilliseconds?: number;
};

type SimulatedNode = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	/** Milliseconds that the node's clock shows at simulated time 0. */
	readonly offset: number;
	/** Milliseconds of the node's clock in a simulated millisecond. */
	readonly speed: number;
	limiter: DistributedRateLimiter;
	run: number;
	revision: Revision;
};

type Lease = {
	readonly simulatedNode: SimulatedNode;
	readonly fencing: FencingNumber;
	readonly revisionAtStart: Revision;
	/** Simulated time at which the lease ends; the lease holder's own clock ends it at the same time, unless `leaseStretchMilliseconds` is set. */
	until: number;
};

type MessageInFlight = {
	readonly message: RateMessage;
	readonly dueAt: number;
};

const leaseMilliseconds = 2000;
const renewalMilliseconds = 500;
const stepMilliseconds = 5;
/** Probability that a node misses an update of its view of the lease holders while the network is lossy. */
const staleViewShare = 0.7;

/** Simulates a small fleet of rate limiters. */
export class SimulatedRateFleet {
	now = 0;
	readonly spendCounter = new SpendCounter();
	readonly nodes: SimulatedNode[] = [];
	readonly domains: FailureDomain[] = [];
	readonly refusals: Array<{readonly team: TeamName; readonly at: number}> = [];
	configuration: Configuration = emptyConfiguration;
	/** While true, messages may be lost or repeated, and nodes may miss changes of the lease holders. */
	isLossy = true;
	readonly #options: SimulatedRateFleetOptions;
	readonly #random: SeededRandom;
	readonly #leases = new Map<FailureDomain, Lease>();
	readonly #leaseEndedAt = new Map<FailureDomain, number>();
	readonly #fencing = new Map<FailureDomain, FencingNumber>();
	readonly #cutDomains = new Set<FailureDomain>();
	readonly #stoppedNodes = new Set<NodeId>();
	readonly #requests = new Map<RequestId, {readonly team: TeamName; readonly simulatedNode: SimulatedNode; isAdmitted: boolean}>();
	#messagesInFlight: MessageInFlight[] = [];
	#pendingConfigurations: Array<{readonly simulatedNode: SimulatedNode; readonly configuration: Configuration; readonly dueAt: number}> = [];
	#renewedAt = 0;
	#requestNumber = 0;

	constructor(options: SimulatedRateFleetOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		for (let domain = 0; domain < options.domains; domain++) {
			this.domains.push(createFailureDomain(`d${domain}`));
			for (let index = 0; index < options.nodesPerDomain; index++) {
				this.#addNode(this.domains[domain]!, createNodeId(`d${domain}n${index}`));
			}
		}

		this.configure([], this.#createEqualDomains(), 0);
		this.run(10);
	}

	/** Sets a configuration, which each node applies after a random delay of up to `lag` milliseconds. */
	configure(teams: readonly Team[], domains: ReadonlyMap<FailureDomain, DomainSettings>, lag: number): void {
		const before = this.configuration;
		this.configuration = {
			...before, revision: before.revision + 1 as Revision, teams: new Map(teams.map(team => [team.name, team])), domains,
		};
		for (const team of teams) {
			if (before.teams.get(team.name) !== team) {
				// Loans that were made under the earlier limit may still be spent after the last node has applied the change.
				this.spendCounter.limit(team, this.now, this.now + lag + 1100);
			}
		}

		for (const simulatedNode of this.nodes) {
			this.#pendingConfigurations.push({simulatedNode, configuration: this.configuration, dueAt: this.now + (lag * this.#random.nextFraction())});
		}
	}

	/** Creates the settings of all domains, with their weights by index. */
	createWeightedDomains(weights: readonly number[]): Map<FailureDomain, DomainSettings> {
		return new Map(this.domains.map((name, index) => [name, {name, weight: weights[index] ?? 1, witnesses: []}]));
	}

	/** Charges a team for a request at a node; the request is counted once it is admitted. */
	charge(nodeIndex: number, team: TeamName): RequestId {
		const simulatedNode = this.nodes[nodeIndex % this.nodes.length]!;
		this.#requestNumber++;
		const request = `r${this.#requestNumber}` as RequestId;
		this.#requests.set(request, {team, simulatedNode, isAdmitted: false});
		if (!this.#stoppedNodes.has(simulatedNode.node)) {
			this.#applyActions(simulatedNode, simulatedNode.limiter.charge(team, request, this.#clock(simulatedNode)));
		}

		return request;
	}

	/** Refunds one of the admitted requests `times` times. */
	refund(index: number, times: number): void {
		const admitted = [...this.#requests].filter(([, {isAdmitted}]) => isAdmitted);
		const chosen = admitted[index % Math.max(1, admitted.length)];
		if (chosen === undefined) {
			return;
		}

		const [request, {team, simulatedNode}] = chosen;
		this.#requests.delete(request);
		this.spendCounter.refund(team, request);
		for (let time = 0; time < times; time++) {
			this.#applyActions(simulatedNode, simulatedNode.limiter.refund(request, this.#clock(simulatedNode)));
		}
	}

	/** Replaces the process of a node by a new one, which gets the current configuration at once. */
	restart(nodeIndex: number): void {
		const simulatedNode = this.nodes[nodeIndex % this.nodes.length]!;
		simulatedNode.run++;
		simulatedNode.limiter = this.#createLimiter(simulatedNode.node, simulatedNode.domain, simulatedNode.run);
		simulatedNode.revision = this.configuration.revision;
		this.#applyActions(simulatedNode, simulatedNode.limiter.setConfiguration(this.configuration, this.#clock(simulatedNode)));
		this.#endLease(simulatedNode);
		this.#distributeHolders();
	}

	/** Stops a node permanently. */
	stop(node: NodeId): void {
		this.#stoppedNodes.add(node);
		this.#endLease(this.nodes.find(simulatedNode => simulatedNode.node === node)!);
	}

	/** Disconnects a domain from all other domains. */
	cut(domainIndex: number): void {
		this.#cutDomains.add(this.domains[domainIndex % this.domains.length]!);
	}

	/** Reconnects all domains. */
	heal(): void {
		this.#cutDomains.clear();
		this.#distributeHolders();
	}

	/** Stops the lease holder of a domain from renewing its lease, so that another node gets the next lease. */
	stopRenewal(domainIndex: number): void {
		const lease = this.#leases.get(this.domains[domainIndex % this.domains.length]!);
		if (lease !== undefined) {
			this.#endLease(lease.simulatedNode);
		}
	}

	holderOf(domain: FailureDomain): NodeId | undefined {
		return this.#leases.get(domain)?.simulatedNode.node;
	}

	/** Advances simulated time in steps of 5 ms. */
	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			this.#applyConfigurations();
			this.#renewLeases();
			this.#deliverMessages();
			for (const simulatedNode of this.#runningNodes()) {
				this.#applyActions(simulatedNode, simulatedNode.limiter.tick(this.#clock(simulatedNode)));
			}
		}
	}

	#addNode(domain: FailureDomain, node: NodeId): void {
		const speed = 1 + ((this.#random.nextFraction() - 0.5) * maximumClockDrift);
		const offset = this.#random.nextInteger(1e6);
		this.nodes.push({
			node, domain, offset, speed, run: 1, limiter: this.#createLimiter(node, domain, 1), revision: 0 as Revision,
		});
	}

	#createLimiter(node: NodeId, domain: FailureDomain, run: number): DistributedRateLimiter {
		return new DistributedRateLimiter({node, domain, run});
	}

	#createEqualDomains(): Map<FailureDomain, DomainSettings> {
		return this.createWeightedDomains(this.domains.map(() => 1));
	}

	#clock(simulatedNode: SimulatedNode, at = this.now): number {
		return simulatedNode.offset + (at * simulatedNode.speed);
	}

	#runningNodes(): SimulatedNode[] {
		return this.nodes.filter(({node}) => !this.#stoppedNodes.has(node));
	}

	#applyConfigurations(): void {
		const due = this.#pendingConfigurations.filter(({dueAt}) => dueAt <= this.now);
		this.#pendingConfigurations = this.#pendingConfigurations.filter(({dueAt}) => dueAt > this.now);
		for (const {simulatedNode, configuration} of due) {
			if (configuration.revision > simulatedNode.revision) {
				simulatedNode.revision = configuration.revision;
				this.#applyActions(simulatedNode, simulatedNode.limiter.setConfiguration(configuration, this.#clock(simulatedNode)));
			}
		}
	}

	/** Returns the revision that a majority of the domain's nodes have reached, and the highest revision of any of them. */
	#revisions(domain: FailureDomain): {readonly majority: Revision; readonly highest: Revision} {
		const revisions = this.nodes.filter(simulatedNode => simulatedNode.domain === domain).map(({revision}) => revision);
		revisions.sort((first, second) => second - first);
		return {majority: revisions[Math.floor(revisions.length / 2)]!, highest: revisions[0]!};
	}

	#renewLeases(): void {
		if (this.now - this.#renewedAt < renewalMilliseconds && this.now > 50) {
			return;
		}

		this.#renewedAt = this.now;
		for (const domain of this.domains) {
			const lease = this.#leases.get(domain);
			if (lease !== undefined && lease.until > this.now) {
				this.#renew(lease);
			} else if (this.#leaseEndedAt.get(domain) === undefined || this.#leaseEndedAt.get(domain)! <= this.now) {
				this.#grant(domain);
			}
		}

		this.#distributeHolders();
	}

	#renew(lease: Lease): void {
		lease.until = this.now + leaseMilliseconds;
		this.#applyOwnLease(lease);
	}

	#grant(domain: FailureDomain): void {
		const candidates = this.#runningNodes().filter(simulatedNode => simulatedNode.domain === domain);
		if (candidates.length === 0) {
			return;
		}

		const simulatedNode = candidates[this.#random.nextInteger(candidates.length)]!;
		const fencing = (this.#fencing.get(domain) ?? 0) + 1 as FencingNumber;
		this.#fencing.set(domain, fencing);
		const lease = {
			simulatedNode, fencing, revisionAtStart: this.#revisions(domain).highest, until: this.now + leaseMilliseconds,
		};
		this.#leases.set(domain, lease);
		this.#applyOwnLease(lease);
	}

	#applyOwnLease({simulatedNode, fencing, revisionAtStart, until}: Lease): void {
		const own: OwnLease = {
			fencing, revisionAtStart, until: this.#clock(simulatedNode, until + (this.#options.leaseStretchMilliseconds ?? 0)), majorityRevision: this.#revisions(simulatedNode.domain).majority,
		};
		this.#applyActions(simulatedNode, simulatedNode.limiter.setOwnLease(own, this.#clock(simulatedNode)));
	}

	/** Ends the renewals of a node's lease; the node can use the lease until it expires. */
	#endLease(simulatedNode: SimulatedNode): void {
		const lease = this.#leases.get(simulatedNode.domain);
		if (lease?.simulatedNode === simulatedNode) {
			this.#leases.delete(simulatedNode.domain);
			this.#leaseEndedAt.set(simulatedNode.domain, this.#options.hasOverlappingLeases === true ? this.now : lease.until);
		}
	}

	#distributeHolders(): void {
		for (const simulatedNode of this.#runningNodes()) {
			if (this.isLossy && this.#random.nextFraction() < staleViewShare) {
				continue;
			}

			const holders = new Map<FailureDomain, HolderView>();
			for (const [domain, {simulatedNode: holder, fencing}] of this.#leases) {
				if (this.#isConnected(simulatedNode.domain, domain)) {
					const revision = Math.min(holder.revision, this.#revisions(domain).majority) as Revision;
					holders.set(domain, {holder: holder.node, fencing, revision});
				}
			}

			this.#applyActions(simulatedNode, simulatedNode.limiter.setHolders(holders, this.#clock(simulatedNode)));
		}
	}

	#isConnected(first: FailureDomain, second: FailureDomain): boolean {
		return first === second || (!this.#cutDomains.has(first) && !this.#cutDomains.has(second));
	}

	#applyActions(simulatedNode: SimulatedNode, actions: RateActions): void {
		for (const {requestId, outcome} of actions.decisions) {
			const request = this.#requests.get(requestId)!;
			if (outcome.kind === 'admitted') {
				request.isAdmitted = true;
				this.spendCounter.spend(request.team, requestId, this.now);
			} else {
				this.refusals.push({team: request.team, at: this.now});
			}
		}

		for (const message of actions.messages) {
			this.#sendMessage(message, simulatedNode.domain);
		}
	}

	#sendMessage(message: RateMessage, from: FailureDomain): void {
		const to = this.nodes.find(({node}) => node === message.to)!.domain;
		const {lossShare, duplicateShare, maximumDelayMilliseconds, tamper} = this.#options;
		if (!this.#isConnected(from, to) || (this.isLossy && this.#random.nextFraction() < lossShare)) {
			return;
		}

		const copies = this.isLossy && this.#random.nextFraction() < duplicateShare ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const sent = structuredClone(message);
			this.#messagesInFlight.push({message: tamper?.(sent) ?? sent, dueAt: this.now + (maximumDelayMilliseconds * this.#random.nextFraction())});
		}
	}

	#deliverMessages(): void {
		const due = this.#messagesInFlight.filter(({dueAt}) => dueAt <= this.now);
		this.#messagesInFlight = this.#messagesInFlight.filter(({dueAt}) => dueAt > this.now);
		for (const {message} of due) {
			const simulatedNode = this.nodes.find(({node}) => node === message.to)!;
			if (!this.#stoppedNodes.has(simulatedNode.node)) {
				this.#applyActions(simulatedNode, simulatedNode.limiter.receive(message, this.#clock(simulatedNode)));
			}
		}
	}
}
