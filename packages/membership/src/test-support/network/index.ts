/**
A network of memberships in one process, with messages that can be cut.
*/

import {
	createFailureDomain, createNodeId, emptyConfiguration, SeededRandom, type Configuration, type FailureDomain, type NodeId, type Revision,
} from '@fireflyglade/model';
import {GossipMembership} from '../../gossip-membership/index.js';
import type {
	MembershipActions, MembershipEvent, MembershipMessage, SelfDescription,
} from '../../types.js';

const stepMilliseconds = 50;

/** Names the node of a domain. */
export function nodeOf(domain: string, index: number): NodeId {
	return createNodeId(`${domain}-${index}`);
}

/** Describes a node that runs beside an upstream. */
export function selfOf(domain: string, index: number): SelfDescription {
	const node = nodeOf(domain, index);
	return {
		node, domain: createFailureDomain(domain), rpcAddress: `${node}:1`, gateUrl: `http://${node}:2`, leaving: false, revision: 0 as Revision,
	};
}

/** A configuration in which each domain has the same weight and its first three nodes as witnesses. */
export function configurationOf(revision: number, domains: readonly string[]): Configuration {
	const entries = domains.map(name => [createFailureDomain(name), {
		name: createFailureDomain(name), weight: 1, witnesses: [0, 1, 2].map(index => nodeOf(name, index)),
	}] as const);
	return {...emptyConfiguration, revision: revision as Revision, domains: new Map(entries)};
}

/** Members that talk to one another. */
export class Network {
	now = 0;
	readonly members = new Map<string, GossipMembership>();
	readonly events = new Map<string, MembershipEvent[]>();
	/** Steps that a message takes at most; 0 delivers at once. */
	longestDelaySteps = 0;
	#inFlight: MembershipMessage[] = [];
	#delayed: Array<{readonly message: MembershipMessage; readonly dueAt: number}> = [];
	readonly #random = new SeededRandom(5);

	/** Tells whether a message is lost. */
	isLost: (fromAddress: string, toAddress: string) => boolean = () => false;

	start(self: SelfDescription, seeds: readonly string[]): GossipMembership {
		const member = new GossipMembership({
			self, seeds, randomSeed: this.#random.nextInteger(1e6), incarnation: this.now + 1, now: this.now,
		});
		this.members.set(self.rpcAddress, member);
		return member;
	}

	/** Ends a member without a word. */
	kill(address: string): void {
		this.members.delete(address);
	}

	take(address: string, actions: MembershipActions): void {
		for (const message of actions.messages) {
			const steps = this.longestDelaySteps === 0 ? 0 : this.#random.nextInteger(this.longestDelaySteps + 1);
			if (steps === 0) {
				this.#inFlight.push(message);
			} else {
				this.#delayed.push({message, dueAt: this.now + (steps * stepMilliseconds)});
			}
		}

		this.events.set(address, [...this.events.get(address) ?? [], ...actions.events]);
	}

	/** Moves time on; messages take less than a step. */
	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += stepMilliseconds;
			for (const [address, member] of this.members) {
				this.take(address, member.tick(this.now));
			}

			this.#deliver();
		}
	}

	/** Runs until `condition` holds; returns the milliseconds it took, or undefined past `limit`. */
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
			this.take(message.toAddress, receiver.receive(structuredClone(message), this.now));
		}
	}
}
