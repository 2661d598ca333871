/**
A simulated network of members in one process, whose messages can be lost or delayed.
*/

import {
	createFailureDomain, createNodeId, emptyConfiguration, SeededRandom, type Configuration, type FailureDomain, type NodeId, type Revision,
} from '@fireflyglade/model';
import {GossipMembership} from '../../gossip-membership/index.js';
import type {
	MembershipActions, MembershipEvent, MembershipMessage, SelfDescription,
} from '../../types.js';

const stepMilliseconds = 50;

/** Returns the id of a domain's node by its index. */
export function nodeIdOf(domain: string, index: number): NodeId {
	return createNodeId(`${domain}-${index}`);
}

/** Creates the self-description of a domain's node, without an upstream. */
export function describeNode(domain: string, index: number): SelfDescription {
	const node = nodeIdOf(domain, index);
	return {
		node, domain: createFailureDomain(domain), rpcAddress: `${node}:1`, gateUrl: `http://${node}:2`, leaving: false, revision: 0 as Revision,
	};
}

/** Creates a configuration in which each domain has the same weight and its first three nodes as witnesses. */
export function createConfiguration(revision: number, domains: readonly string[]): Configuration {
	const entries = domains.map(name => [createFailureDomain(name), {
		name: createFailureDomain(name), weight: 1, witnesses: [0, 1, 2].map(index => nodeIdOf(name, index)),
	}] as const);
	return {...emptyConfiguration, revision: revision as Revision, domains: new Map(entries)};
}

/** Delivers messages between members in simulated time. */
export class SimulatedNetwork {
	now = 0;
	readonly members = new Map<string, GossipMembership>();
	readonly events = new Map<string, MembershipEvent[]>();
	/** Maximum delay of a message in steps; 0 delivers at once. */
	maximumDelaySteps = 0;
	#inFlight: MembershipMessage[] = [];
	#delayed: Array<{readonly message: MembershipMessage; readonly dueAt: number}> = [];
	readonly #random = new SeededRandom(5);

	/** Tells whether a message is lost; tests replace it to inject losses. */
	isLost: (fromAddress: string, toAddress: string) => boolean = () => false;

	/** Starts a member. */
	start(self: SelfDescription, seeds: readonly string[]): GossipMembership {
		const member = new GossipMembership({
			self, seeds, randomSeed: this.#random.nextInteger(1e6), incarnation: this.now + 1, now: this.now,
		});
		this.members.set(self.rpcAddress, member);
		return member;
	}

	/** Stops a member without letting it leave first. */
	kill(address: string): void {
		this.members.delete(address);
	}

	/** Queues a member's messages for delivery and records its events. */
	applyActions(address: string, actions: MembershipActions): void {
		for (const message of actions.messages) {
			const steps = this.maximumDelaySteps === 0 ? 0 : this.#random.nextInteger(this.maximumDelaySteps + 1);
			if (steps === 0) {
				this.#inFlight.push(message);
			} else {
				this.#delayed.push({message, dueAt: this.now + (steps * stepMilliseconds)});
			}
		}

		this.events.set(address, [...this.events.get(address) ?? [], ...actions.events]);
	}

	/** Advances simulated time in steps of 50 ms; a message without delay arrives in the step in which it is sent. */
	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			for (const [address, member] of this.members) {
				this.applyActions(address, member.tick(this.now));
			}

			this.#deliver();
		}
	}

	/** Runs until `condition` holds; returns the elapsed milliseconds, or undefined if it does not hold within `limit`. */
	runUntil(condition: () => boolean, limit: number): number | undefined {
		const start = this.now;
		while (!condition()) {
			if (this.now - start >= limit) {
				return undefined;
			}

			this.run(stepMilliseconds);
		}

		return this.now - start;
	}

	/** Returns the nodes that consider themselves the lease holder of a domain. */
	holders(domain: FailureDomain): NodeId[] {
		const holders: NodeId[] = [];
		for (const member of this.members.values()) {
			const lease = member.lease('holder', domain, this.now);
			if (lease?.revisionAtStart !== undefined) {
				holders.push(lease.holder);
			}
		}

		return holders;
	}

	#deliver(): void {
		this.#inFlight.push(...this.#delayed.filter(({dueAt}) => dueAt <= this.now).map(({message}) => message));
		this.#delayed = this.#delayed.filter(({dueAt}) => dueAt > this.now);
		for (let round = 0; round < 20 && this.#inFlight.length > 0; round++) {
			const messages = this.#inFlight;
			this.#inFlight = [];
			for (const message of messages) {
				this.#deliverOne(message);
			}
		}
	}

	#deliverOne(message: MembershipMessage): void {
		const receiver = this.members.get(message.toAddress);
		if (receiver !== undefined && !this.isLost(message.fromAddress, message.toAddress)) {
			this.applyActions(message.toAddress, receiver.receive(structuredClone(message), this.now));
		}
	}
}
