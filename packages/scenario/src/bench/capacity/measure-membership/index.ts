/**
Measures the messages, bytes, processor time and memory of membership. All members
run in this process on virtual time; every message is encoded and decoded.
*/

import {
	GossipMembership, type MembershipActions, type MembershipMessage, type SelfDescription,
} from '@fireflyglade/membership';
import {
	createFailureDomain, createNodeId, createServiceName, createUpstreamId, emptyConfiguration, lowestPriority, millisecondsInSecond, SeededRandom,
	type Configuration, type DomainSettings, type FailureDomain, type KeyId, type NodeId, type Revision,
} from '@fireflyglade/model';
import {decodeMessage, encodeMessage} from '@fireflyglade/transport';
import {measureHeap, startProcessorTime} from '../_lib/process-figures.js';

/** A size of the fleet. */
export type FleetSize = {
	readonly domains: number;
	readonly nodesInDomain: number;
};

/** The cost of membership at one node of a fleet. */
export type MembershipCost = FleetSize & {
	/** Virtual seconds until every node knows all others, or undefined if that exceeds the limit. */
	readonly joinSeconds: number | undefined;
	/** Messages sent per second by the median node. */
	readonly messagesPerSecond: number;
	/** Bytes sent and received per second by the median node. */
	readonly bytesPerSecond: number;
	/** Bytes sent and received per second by the node with the most traffic: a gateway or a lease holder. */
	readonly busiestBytesPerSecond: number;
	/** Processor time in milliseconds per second. */
	readonly processorMillisecondsPerSecond: number;
	readonly heapBytes: number;
	/** Virtual milliseconds until every node knows that a key is withdrawn, or undefined if that exceeds the limit. */
	readonly withdrawalMilliseconds: number | undefined;
};

type Member = {
	self: SelfDescription;
	readonly membership: GossipMembership;
	bytes: number;
	messagesSent: number;
};

const tickMilliseconds = 100;
const joinLimitSeconds = 60;
const warmUpSeconds = 60;
const measuredSeconds = 10;
const withdrawalLimitSeconds = 20;
/** Share of nodes whose load changes each second by enough to be gossiped. */
const changingLoadShare = 0.1;
const servicesInDomain = 10;
const maximumReplyDepth = 20;
/** Bytes that HTTP/2 and gRPC frames add to a message. */
const frameBytes = 60;
const seedsOfNode = 3;

/** A simulated fleet: advances its virtual time and delivers its messages. */
class SimulatedFleet {
	now = 0;
	readonly members = new Map<string, Member>();
	readonly #random: SeededRandom;
	#inFlight: MembershipMessage[] = [];

	constructor(size: FleetSize, seed: number) {
		this.#random = new SeededRandom(seed);
		const configuration = createConfiguration(size);
		for (const domain of configuration.domains.keys()) {
			for (let index = 0; index < size.nodesInDomain; index += 1) {
				this.#start(domain, index, configuration);
			}
		}
	}

	/** Advances time until a condition is met; returns the elapsed virtual milliseconds, or undefined if the condition is not met within `seconds`. */
	runUntil(seconds: number, condition: () => boolean): number | undefined {
		const start = this.now;
		while (this.now - start < seconds * millisecondsInSecond) {
			this.#tick();
			if (condition()) {
				return this.now - start;
			}
		}

		return undefined;
	}

	/** Advances time; the load of some nodes changes each second. */
	run(seconds: number): void {
		for (let second = 0; second < seconds; second += 1) {
			this.#changeLoad();
			this.runUntil(1, () => false);
		}
	}

	/** Queues the messages of a member for delivery. */
	take(actions: MembershipActions): void {
		this.#inFlight.push(...actions.messages);
	}

	resetCounts(): void {
		for (const member of this.members.values()) {
			member.bytes = 0;
			member.messagesSent = 0;
		}
	}

	#tick(): void {
		this.now += tickMilliseconds;
		for (const {membership} of this.members.values()) {
			this.take(membership.tick(this.now));
		}

		for (let round = 0; round < maximumReplyDepth && this.#inFlight.length > 0; round += 1) {
			const messages = this.#inFlight;
			this.#inFlight = [];
			for (const message of messages) {
				this.#deliver(message);
			}
		}
	}

	#changeLoad(): void {
		for (const member of this.members.values()) {
			if (this.#random.nextFraction() >= changingLoadShare) {
				continue;
			}

			const level = {
				inFlight: this.#random.nextInteger(40), limit: 40, queueLength: 0, shedPriority: lowestPriority + 1,
			};
			member.self = {...member.self, level};
			this.take(member.membership.describeSelf(member.self, this.now));
		}
	}

	#start(domain: FailureDomain, index: number, configuration: Configuration): void {
		const self = describeNode(domain, index, configuration.revision);
		const seeds = [...configuration.domains.values()].flatMap(settings => settings.witnesses.slice(0, seedsOfNode)).map(node => getRpcAddress(node));
		const membership = new GossipMembership({
			self, seeds: seeds.slice(0, seedsOfNode * 2), randomSeed: this.#random.nextInteger(1e9), incarnation: 1, now: this.now,
		});
		this.members.set(self.rpcAddress, {
			self, membership, bytes: 0, messagesSent: 0,
		});
		this.take(membership.setConfiguration(configuration, this.now));
	}

	#deliver(message: MembershipMessage): void {
		const encoded = encodeMessage(message);
		const bytes = encoded.byteLength + frameBytes;
		this.#count(message.fromAddress, bytes, 1);
		this.#count(message.toAddress, bytes, 0);
		const receiver = this.members.get(message.toAddress);
		if (receiver !== undefined) {
			this.take(receiver.membership.receive(decodeMessage(encoded) as MembershipMessage, this.now));
		}
	}

	#count(address: string, bytes: number, sent: number): void {
		const member = this.members.get(address);
		if (member !== undefined) {
			member.bytes += bytes;
			member.messagesSent += sent;
		}
	}
}

function getRpcAddress(node: NodeId): string {
	return `${node}.internal:7102`;
}

function createNodeName(domain: string, index: number): NodeId {
	return createNodeId(`node-${domain}-${index}`);
}

function describeNode(domain: FailureDomain, index: number, revision: Revision): SelfDescription {
	const node = createNodeName(domain, index);
	const service = createServiceName(`service-${index % servicesInDomain}`);
	const rpcAddress = getRpcAddress(node);
	const gateUrl = `http://${node}.internal:7101`;
	return {
		node,
		domain,
		rpcAddress,
		gateUrl,
		leaving: false,
		revision,
		target: {
			upstream: createUpstreamId(service, node), service, node, domain, gateUrl, rpcAddress, available: true, slots: 40,
		},
	};
}

function createConfiguration(size: FleetSize): Configuration {
	const domains = new Map<FailureDomain, DomainSettings>();
	for (let index = 0; index < size.domains; index += 1) {
		const name = createFailureDomain(`domain-${index}`);
		domains.set(name, {name, weight: 1, witnesses: [0, 1, 2].map(witness => createNodeName(name, witness))});
	}

	return {...emptyConfiguration, revision: 1 as Revision, domains};
}

function everyMember(fleet: SimulatedFleet, isMet: (membership: GossipMembership) => boolean): boolean {
	for (const {membership} of fleet.members.values()) {
		if (!isMet(membership)) {
			return false;
		}
	}

	return true;
}

/** Measures the cost of membership at one node in a fleet of a size. */
export function measureMembership(size: FleetSize, seed: number): MembershipCost {
	const nodes = size.domains * size.nodesInDomain;
	const heapBefore = measureHeap();
	const fleet = new SimulatedFleet(size, seed);
	const joined = fleet.runUntil(joinLimitSeconds, () => everyMember(fleet, membership => membership.members().length === nodes));
	fleet.run(warmUpSeconds);
	const heapBytes = (measureHeap() - heapBefore) / nodes;
	fleet.resetCounts();
	const processorTime = startProcessorTime();
	fleet.run(measuredSeconds);
	const processorMilliseconds = processorTime();
	const bytes = [...fleet.members.values()].map(member => member.bytes);
	const messages = [...fleet.members.values()].map(member => member.messagesSent);
	const withdrawalMilliseconds = measureWithdrawal(fleet);
	return {
		...size,
		joinSeconds: joined === undefined ? undefined : joined / millisecondsInSecond,
		messagesPerSecond: medianOf(messages) / measuredSeconds,
		bytesPerSecond: medianOf(bytes) / measuredSeconds,
		busiestBytesPerSecond: Math.max(...bytes) / measuredSeconds,
		processorMillisecondsPerSecond: processorMilliseconds / nodes / measuredSeconds,
		heapBytes,
		withdrawalMilliseconds,
	};
}

function measureWithdrawal(fleet: SimulatedFleet): number | undefined {
	const key = 'withdrawn-key' as KeyId;
	const [first] = fleet.members.values();
	fleet.take(first!.membership.withdrawKeys([key], fleet.now));
	return fleet.runUntil(withdrawalLimitSeconds, () => everyMember(fleet, membership => membership.withdrawnKeys().has(key)));
}

function medianOf(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)]!;
}
