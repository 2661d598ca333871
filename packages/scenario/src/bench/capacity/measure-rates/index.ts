/**
Messages, bytes and processor time of team rates in one failure domain, with all
nodes in this process on virtual time. Every message passes through the codec.
*/

import {
	createFailureDomain, createNodeId, createTeamName, emptyConfiguration, millisecondsInSecond,
	type Configuration, type FencingNumber, type NodeId, type RequestId, type Revision, type Team, type TeamName,
} from '@fireflyglade/model';
import {
	DistributedRateLimiter, type HolderView, type RateActions, type RateMessage,
} from '@fireflyglade/rates';
import {decodeMessage, encodeMessage} from '@fireflyglade/transport';
import {startProcessorTime} from '../_lib/process-figures.js';

/** A load on the rate keepers of a domain. */
export type RateLoad = {
	readonly nodes: number;
	readonly teams: number;
	/** Root requests that enter each node a second. */
	readonly requestsPerSecond: number;
};

/** What rates cost at one node. */
export type RateCost = RateLoad & {
	/** Messages that one node sent a second, the holder left out. */
	readonly messagesPerSecond: number;
	/** Bytes that one node sent and received a second, the holder left out. */
	readonly bytesPerSecond: number;
	/** Bytes that the holder sent and received a second. */
	readonly holderBytesPerSecond: number;
	/** Messages that the holder sent and received a second. */
	readonly holderMessagesPerSecond: number;
	/** Milliseconds of processor time a second at one node, all nodes taken together. */
	readonly processorMillisecondsPerSecond: number;
	/** Share of the requests that were admitted; all were within their team's rate. */
	readonly admittedShare: number;
};

type Machine = {
	readonly node: NodeId;
	readonly keeper: DistributedRateLimiter;
	bytes: number;
	messages: number;
};

const stepMilliseconds = 5;
const leaseMilliseconds = 2000;
const settleSeconds = 3;
const measuredSeconds = 5;
/** Bytes that HTTP/2 and gRPC frames add to a message. */
const frameBytes = 60;
/** The teams' rates as a multiple of what is offered. */
const headroom = 1.5;
const domain = createFailureDomain('north');
const fencing = 1 as FencingNumber;

/** The rate keepers of one domain; the first node is the holder. */
class RateFleet {
	readonly machines = new Map<NodeId, Machine>();
	admitted = 0;
	decided = 0;
	readonly #teams: readonly TeamName[];
	readonly #load: RateLoad;
	readonly #holder: NodeId;
	readonly #revision: Revision;
	#now = 0;
	#offers = 0;
	#charges = 0;

	constructor(load: RateLoad) {
		this.#load = load;
		const configuration = createConfiguration(load);
		this.#revision = configuration.revision;
		this.#teams = [...configuration.teams.keys()];
		for (let index = 0; index < load.nodes; index += 1) {
			const node = createNodeId(`node-${index}`);
			this.machines.set(node, {
				node, keeper: new DistributedRateLimiter({node, domain, run: 1}), bytes: 0, messages: 0,
			});
		}

		[this.#holder] = this.machines.keys() as unknown as [NodeId];
		for (const {keeper} of this.machines.values()) {
			this.#take(keeper.setConfiguration(configuration, this.#now));
		}
	}

	get holder(): Machine {
		return this.machines.get(this.#holder)!;
	}

	run(seconds: number): void {
		const end = this.#now + (seconds * millisecondsInSecond);
		while (this.#now < end) {
			this.#now += stepMilliseconds;
			this.#renewLease();
			for (const machine of this.machines.values()) {
				this.#offer(machine);
				this.#take(machine.keeper.tick(this.#now));
			}
		}
	}

	resetCounts(): void {
		this.admitted = 0;
		this.decided = 0;
		for (const machine of this.machines.values()) {
			machine.bytes = 0;
			machine.messages = 0;
		}
	}

	#renewLease(): void {
		const revision = this.#revision;
		this.#take(this.holder.keeper.setOwnLease({
			fencing, until: this.#now + leaseMilliseconds, revisionAtStart: revision, majorityRevision: revision,
		}, this.#now));
		const holders = new Map<typeof domain, HolderView>([[domain, {holder: this.#holder, fencing, revision}]]);
		for (const {keeper} of this.machines.values()) {
			this.#take(keeper.setHolders(holders, this.#now));
		}
	}

	#offer({keeper}: Machine): void {
		const due = this.#load.requestsPerSecond * stepMilliseconds / millisecondsInSecond;
		const whole = Math.floor(due) + Number(this.#offers % 100 < (due % 1) * 100);
		this.#offers += 1;
		for (let index = 0; index < whole; index += 1) {
			this.#charges += 1;
			const team = this.#teams[this.#charges % this.#teams.length]!;
			const request = `request-${this.#charges}` as RequestId;
			this.#take(keeper.charge(team, request, this.#now));
			keeper.settle(request);
		}
	}

	#take({decisions, messages}: RateActions): void {
		for (const {outcome} of decisions) {
			this.decided += 1;
			this.admitted += Number(outcome.kind === 'admitted');
		}

		for (const message of messages) {
			this.#deliver(message);
		}
	}

	#deliver(message: RateMessage): void {
		const encoded = encodeMessage(message);
		for (const node of [message.from, message.to]) {
			const machine = this.machines.get(node)!;
			machine.bytes += encoded.byteLength + frameBytes;
			machine.messages += 1;
		}

		this.#take(this.machines.get(message.to)!.keeper.receive(decodeMessage(encoded) as RateMessage, this.#now));
	}
}

function createConfiguration({nodes, teams, requestsPerSecond}: RateLoad): Configuration {
	const list: Team[] = [];
	for (let index = 0; index < teams; index += 1) {
		const ratePerSecond = nodes * requestsPerSecond * headroom / teams;
		list.push({name: createTeamName(`team-${index}`), ratePerSecond, burst: Math.ceil(ratePerSecond)});
	}

	return {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map(list.map(team => [team.name, team])),
		domains: new Map([[domain, {name: domain, weight: 1, witnesses: []}]]),
	};
}

/** Measures what rates cost under a load. */
export function measureRates(load: RateLoad): RateCost {
	const fleet = new RateFleet(load);
	fleet.run(settleSeconds);
	fleet.resetCounts();
	const processorTime = startProcessorTime();
	fleet.run(measuredSeconds);
	const processorMilliseconds = processorTime();
	let bytes = 0;
	let messages = 0;
	for (const machine of fleet.machines.values()) {
		if (machine !== fleet.holder) {
			bytes += machine.bytes;
			messages += machine.messages;
		}
	}

	const others = load.nodes - 1;
	return {
		...load,
		messagesPerSecond: messages / others / measuredSeconds,
		bytesPerSecond: bytes / others / measuredSeconds,
		holderBytesPerSecond: fleet.holder.bytes / measuredSeconds,
		holderMessagesPerSecond: fleet.holder.messages / measuredSeconds,
		processorMillisecondsPerSecond: processorMilliseconds / load.nodes / measuredSeconds,
		admittedShare: fleet.admitted / Math.max(1, fleet.decided),
	};
}
