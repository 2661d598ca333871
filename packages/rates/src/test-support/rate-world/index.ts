/**
Rate keepers of several domains in one process, with clocks that drift, a network
that loses, repeats and delays, and leases that never overlap unless told to.
*/

import {
	createFailureDomain, createNodeId, emptyConfiguration, maximumClockDrift, SeededRandom, type Configuration, type DomainSettings,
	type FailureDomain, type FencingNumber, type NodeId, type RequestId, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import {DistributedRateLimiter} from '../../distributed-rate-limiter/index.js';
import type {
	HolderView, OwnLease, RateActions, RateMessage,
} from '../../types.js';
import {SpendCount} from '../spend-count/index.js';

/** Options of a world. */
export type WorldOptions = {
	readonly seed: number;
	readonly domains: number;
	readonly nodesPerDomain: number;
	/** Share of messages that are lost, and that are repeated. */
	readonly lossShare: number;
	readonly repeatShare: number;
	readonly maximumDelay: number;
	/** Changes messages on the way, to break a mechanism. */
	readonly tamper?: (message: RateMessage) => RateMessage;
	/** Grants leases before earlier ones have ended, to break a mechanism. */
	readonly hasOverlappingLeases?: boolean;
	/** Milliseconds by which holders believe that their leases end later, to break a mechanism. */
	readonly leaseStretchMilliseconds?: number;
};

type Machine = {
	readonly node: NodeId;
	readonly domain: FailureDomain;
	readonly offset: number;
	readonly speed: number;
	keeper: DistributedRateLimiter;
	run: number;
	revision: Revision;
};

type Lease = {
	readonly machine: Machine;
	readonly fencing: FencingNumber;
	readonly revisionAtStart: Revision;
	/** By true time; the holder's own clock ends it no later. */
	until: number;
};

type Flight = {
	readonly message: RateMessage;
	readonly dueAt: number;
};

const leaseMilliseconds = 2000;
const renewalMilliseconds = 500;
const stepMilliseconds = 5;
/** Share of the rounds in which a node of a lossy world learns nothing new of holders. */
const staleViewShare = 0.7;

/** A small fleet of rate keepers. */
export class RateWorld {
	now = 0;
	readonly count = new SpendCount();
	readonly machines: Machine[] = [];
	readonly domains: FailureDomain[] = [];
	readonly refusals: Array<{readonly team: TeamName; readonly at: number}> = [];
	configuration: Configuration = emptyConfiguration;
	isLossy = true;
	readonly #options: WorldOptions;
	readonly #random: SeededRandom;
	readonly #leases = new Map<FailureDomain, Lease>();
	readonly #endedAt = new Map<FailureDomain, number>();
	readonly #fencing = new Map<FailureDomain, FencingNumber>();
	readonly #cut = new Set<FailureDomain>();
	readonly #stopped = new Set<NodeId>();
	readonly #requests = new Map<RequestId, {readonly team: TeamName; readonly machine: Machine; isAdmitted: boolean}>();
	#flights: Flight[] = [];
	#updates: Array<{readonly machine: Machine; readonly configuration: Configuration; readonly dueAt: number}> = [];
	#renewedAt = 0;
	#requestNumber = 0;

	constructor(options: WorldOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		for (let domain = 0; domain < options.domains; domain++) {
			this.domains.push(createFailureDomain(`d${domain}`));
			for (let index = 0; index < options.nodesPerDomain; index++) {
				this.#addMachine(this.domains[domain]!, createNodeId(`d${domain}n${index}`));
			}
		}

		this.configure([], this.#evenDomains(), 0);
		this.run(10);
	}

	/** Accepts a configuration; each node takes it over after up to `lag` milliseconds. */
	configure(teams: readonly Team[], domains: ReadonlyMap<FailureDomain, DomainSettings>, lag: number): void {
		const before = this.configuration;
		this.configuration = {
			...before, revision: before.revision + 1 as Revision, teams: new Map(teams.map(team => [team.name, team])), domains,
		};
		for (const team of teams) {
			if (before.teams.get(team.name) !== team) {
				this.count.limit(team, this.now, this.now + lag + 1100);
			}
		}

		for (const machine of this.machines) {
			this.#updates.push({machine, configuration: this.configuration, dueAt: this.now + (lag * this.#random.nextFraction())});
		}
	}

	weights(weights: readonly number[]): Map<FailureDomain, DomainSettings> {
		return new Map(this.domains.map((name, index) => [name, {name, weight: weights[index] ?? 1, witnesses: []}]));
	}

	/** Charges a team at a node; the request is counted once it is admitted. */
	charge(machineIndex: number, team: TeamName): RequestId {
		const machine = this.machines[machineIndex % this.machines.length]!;
		this.#requestNumber++;
		const request = `r${this.#requestNumber}` as RequestId;
		this.#requests.set(request, {team, machine, isAdmitted: false});
		if (!this.#stopped.has(machine.node)) {
			this.#take(machine, machine.keeper.charge(team, request, this.#clock(machine)));
		}

		return request;
	}

	/** Refunds one of the admitted requests, as often as told. */
	refund(index: number, times: number): void {
		const admitted = [...this.#requests].filter(([, {isAdmitted}]) => isAdmitted);
		const chosen = admitted[index % Math.max(1, admitted.length)];
		if (chosen === undefined) {
			return;
		}

		const [request, {team, machine}] = chosen;
		this.#requests.delete(request);
		this.count.refund(team, request);
		for (let time = 0; time < times; time++) {
			this.#take(machine, machine.keeper.refund(request, this.#clock(machine)));
		}
	}

	/** Replaces the process of a node by a new one, which learns the configuration at once. */
	restart(machineIndex: number): void {
		const machine = this.machines[machineIndex % this.machines.length]!;
		machine.run++;
		machine.keeper = this.#createKeeper(machine.node, machine.domain, machine.run);
		machine.revision = this.configuration.revision;
		this.#take(machine, machine.keeper.setConfiguration(this.configuration, this.#clock(machine)));
		this.#endLease(machine);
		this.#tellHolders();
	}

	/** Ends a node for good. */
	stop(node: NodeId): void {
		this.#stopped.add(node);
		this.#endLease(this.machines.find(machine => machine.node === node)!);
	}

	cut(domainIndex: number): void {
		this.#cut.add(this.domains[domainIndex % this.domains.length]!);
	}

	heal(): void {
		this.#cut.clear();
		this.#tellHolders();
	}

	/** Keeps the holder of a domain from renewing, so that another one follows. */
	dropLease(domainIndex: number): void {
		const lease = this.#leases.get(this.domains[domainIndex % this.domains.length]!);
		if (lease !== undefined) {
			this.#endLease(lease.machine);
		}
	}

	holderOf(domain: FailureDomain): NodeId | undefined {
		return this.#leases.get(domain)?.machine.node;
	}

	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			this.#update();
			this.#lease();
			this.#deliver();
			for (const machine of this.#running()) {
				this.#take(machine, machine.keeper.tick(this.#clock(machine)));
			}
		}
	}

	#addMachine(domain: FailureDomain, node: NodeId): void {
		const speed = 1 + ((this.#random.nextFraction() - 0.5) * maximumClockDrift);
		const offset = this.#random.nextInteger(1e6);
		this.machines.push({
			node, domain, offset, speed, run: 1, keeper: this.#createKeeper(node, domain, 1), revision: 0 as Revision,
		});
	}

	#createKeeper(node: NodeId, domain: FailureDomain, run: number): DistributedRateLimiter {
		return new DistributedRateLimiter({node, domain, run});
	}

	#evenDomains(): Map<FailureDomain, DomainSettings> {
		return this.weights(this.domains.map(() => 1));
	}

	#clock(machine: Machine, at = this.now): number {
		return machine.offset + (at * machine.speed);
	}

	#running(): Machine[] {
		return this.machines.filter(({node}) => !this.#stopped.has(node));
	}

	#update(): void {
		const due = this.#updates.filter(({dueAt}) => dueAt <= this.now);
		this.#updates = this.#updates.filter(({dueAt}) => dueAt > this.now);
		for (const {machine, configuration} of due) {
			if (configuration.revision > machine.revision) {
				machine.revision = configuration.revision;
				this.#take(machine, machine.keeper.setConfiguration(configuration, this.#clock(machine)));
			}
		}
	}

	/** A revision that a majority of the domain's nodes have reached, and the highest of them. */
	#revisions(domain: FailureDomain): {readonly majority: Revision; readonly highest: Revision} {
		const revisions = this.machines.filter(machine => machine.domain === domain).map(({revision}) => revision);
		revisions.sort((first, second) => second - first);
		return {majority: revisions[Math.floor(revisions.length / 2)]!, highest: revisions[0]!};
	}

	#lease(): void {
		if (this.now - this.#renewedAt < renewalMilliseconds && this.now > 50) {
			return;
		}

		this.#renewedAt = this.now;
		for (const domain of this.domains) {
			const lease = this.#leases.get(domain);
			if (lease !== undefined && lease.until > this.now) {
				this.#renew(lease);
			} else if (this.#endedAt.get(domain) === undefined || this.#endedAt.get(domain)! <= this.now) {
				this.#grant(domain);
			}
		}

		this.#tellHolders();
	}

	#renew(lease: Lease): void {
		lease.until = this.now + leaseMilliseconds;
		this.#tellOwnLease(lease);
	}

	#grant(domain: FailureDomain): void {
		const candidates = this.#running().filter(machine => machine.domain === domain);
		if (candidates.length === 0) {
			return;
		}

		const machine = candidates[this.#random.nextInteger(candidates.length)]!;
		const fencing = (this.#fencing.get(domain) ?? 0) + 1 as FencingNumber;
		this.#fencing.set(domain, fencing);
		const lease = {
			machine, fencing, revisionAtStart: this.#revisions(domain).highest, until: this.now + leaseMilliseconds,
		};
		this.#leases.set(domain, lease);
		this.#tellOwnLease(lease);
	}

	#tellOwnLease({machine, fencing, revisionAtStart, until}: Lease): void {
		const own: OwnLease = {
			fencing, revisionAtStart, until: this.#clock(machine, until + (this.#options.leaseStretchMilliseconds ?? 0)), majorityRevision: this.#revisions(machine.domain).majority,
		};
		this.#take(machine, machine.keeper.setOwnLease(own, this.#clock(machine)));
	}

	/** The process stays able to use its lease until that ends, as if it could not renew. */
	#endLease(machine: Machine): void {
		const lease = this.#leases.get(machine.domain);
		if (lease?.machine === machine) {
			this.#leases.delete(machine.domain);
			this.#endedAt.set(machine.domain, this.#options.hasOverlappingLeases === true ? this.now : lease.until);
		}
	}

	#tellHolders(): void {
		for (const machine of this.#running()) {
			if (this.isLossy && this.#random.nextFraction() < staleViewShare) {
				continue;
			}

			const holders = new Map<FailureDomain, HolderView>();
			for (const [domain, {machine: holder, fencing}] of this.#leases) {
				if (this.#isConnected(machine.domain, domain)) {
					const revision = Math.min(holder.revision, this.#revisions(domain).majority) as Revision;
					holders.set(domain, {holder: holder.node, fencing, revision});
				}
			}

			this.#take(machine, machine.keeper.setHolders(holders, this.#clock(machine)));
		}
	}

	#isConnected(first: FailureDomain, second: FailureDomain): boolean {
		return first === second || (!this.#cut.has(first) && !this.#cut.has(second));
	}

	#take(machine: Machine, actions: RateActions): void {
		for (const {requestId, outcome} of actions.decisions) {
			const request = this.#requests.get(requestId)!;
			if (outcome.kind === 'admitted') {
				request.isAdmitted = true;
				this.count.spend(request.team, requestId, this.now);
			} else {
				this.refusals.push({team: request.team, at: this.now});
			}
		}

		for (const message of actions.messages) {
			this.#launch(message, machine.domain);
		}
	}

	#launch(message: RateMessage, from: FailureDomain): void {
		const to = this.machines.find(({node}) => node === message.to)!.domain;
		const {lossShare, repeatShare, maximumDelay, tamper} = this.#options;
		if (!this.#isConnected(from, to) || (this.isLossy && this.#random.nextFraction() < lossShare)) {
			return;
		}

		const copies = this.isLossy && this.#random.nextFraction() < repeatShare ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const sent = structuredClone(message);
			this.#flights.push({message: tamper?.(sent) ?? sent, dueAt: this.now + (maximumDelay * this.#random.nextFraction())});
		}
	}

	#deliver(): void {
		const due = this.#flights.filter(({dueAt}) => dueAt <= this.now);
		this.#flights = this.#flights.filter(({dueAt}) => dueAt > this.now);
		for (const {message} of due) {
			const machine = this.machines.find(({node}) => node === message.to)!;
			if (!this.#stopped.has(machine.node)) {
				this.#take(machine, machine.keeper.receive(message, this.#clock(machine)));
			}
		}
	}
}
