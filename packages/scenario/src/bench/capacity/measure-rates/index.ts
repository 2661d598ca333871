/**
Measures the messages, bytes and processor time of team rates in one failure
domain. All nodes run in this process on virtual time; every message is encoded
and decoded.
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

/** The load on the rate limiters of a domain. */
export type RateLoad = {
	readonly nodes: number;
	readonly teams: number;
	/** Root requests per second at each node. */
	readonly requestsPerSecond: number;
};

/** The cost of team rates at one node. */
export type RateCost = RateLoad & {
	/** Messages sent and received per second by a node other than the lease holder. */
	readonly messagesPerSecond: number;
	/** Bytes sent and received per second by a node other than the lease holder. */
	readonly bytesPerSecond: number;
	/** Bytes sent and received per second by the lease holder. */
	readonly holderBytesPerSecond: number;
	/** Messages sent and received per second by the lease holder. */
	readonly holderMessagesPerSecond: number;
	/** Processor time in milliseconds per second, averaged over all nodes. */
	readonly processorMillisecondsPerSecond: number;
	/** Share of the requests that were admitted; all requests are within their team's rate. */
	readonly admittedShare: number;
};

type SimulatedNode = {
	readonly node: NodeId;
	readonly limiter: DistributedRateLimiter;
	bytes: number;
	messages: number;
};

const tickMilliseconds = 5;
const leaseMilliseconds = 2000;
const warmUpSeconds = 3;
const measuredSeconds = 5;
/** Bytes that HTTP/2 and gRPC frames add to a message. */
const frameBytes = 60;
/** The teams' rates as a multiple of the offered load. */
const rateHeadroomFactor = 1.5;
const domain = createFailureDomain('north');
const fencing = 1 as FencingNumber;

/** The rate limiters of one domain; the first node is the lease holder. */
class RateFleet {
	readonly nodes = new Map<NodeId, SimulatedNode>();
	admitted = 0;
	decisionCount = 0;
	readonly #teams: readonly TeamName[];
	readonly #load: RateLoad;
	readonly #holder: NodeId;
	readonly #revision: Revision;
	#now = 0;
	#sendCount = 0;
	#chargeCount = 0;

	constructor(load: RateLoad) {
		this.#load = load;
		const configuration = createConfiguration(load);
		this.#revision = configuration.revision;
		this.#teams = [...configuration.teams.keys()];
		for (let index = 0; index < load.nodes; index += 1) {
			const node = createNodeId(`node-${index}`);
			this.nodes.set(node, {
				node, limiter: new DistributedRateLimiter({node, domain, run: 1}), bytes: 0, messages: 0,
			});
		}

		[this.#holder] = this.nodes.keys() as unknown as [NodeId];
		for (const {limiter} of this.nodes.values()) {
			this.#handleActions(limiter.setConfiguration(configuration, this.#now));
		}
	}

	get holder(): SimulatedNode {
		return this.nodes.get(this.#holder)!;
	}

	run(seconds: number): void {
		const end = this.#now + (seconds * millisecondsInSecond);
		while (this.#now < end) {
			this.#now += tickMilliseconds;
			this.#renewLease();
			for (const simulatedNode of this.nodes.values()) {
				this.#sendRequests(simulatedNode);
				this.#handleActions(simulatedNode.limiter.tick(this.#now));
			}
		}
	}

	resetCounts(): void {
		this.admitted = 0;
		this.decisionCount = 0;
		for (const simulatedNode of this.nodes.values()) {
			simulatedNode.bytes = 0;
			simulatedNode.messages = 0;
		}
	}

	#renewLease(): void {
		const revision = this.#revision;
		this.#handleActions(this.holder.limiter.setOwnLease({
			fencing, until: this.#now + leaseMilliseconds, revisionAtStart: revision, majorityRevision: revision,
		}, this.#now));
		const holders = new Map<typeof domain, HolderView>([[domain, {holder: this.#holder, fencing, revision}]]);
		for (const {limiter} of this.nodes.values()) {
			this.#handleActions(limiter.setHolders(holders, this.#now));
		}
	}

	#sendRequests({limiter}: SimulatedNode): void {
		const due = this.#load.requestsPerSecond * tickMilliseconds / millisecondsInSecond;
		const requestCount = Math.floor(due) + Number(this.#sendCount % 100 < (due % 1) * 100);
		this.#sendCount += 1;
		for (let index = 0; index < requestCount; index += 1) {
			this.#chargeCount += 1;
			const team = this.#teams[this.#chargeCount % this.#teams.length]!;
			const request = `request-${this.#chargeCount}` as RequestId;
			this.#handleActions(limiter.charge(team, request, this.#now));
			limiter.settle(request);
		}
	}

	#handleActions({decisions, messages}: RateActions): void {
		for (const {outcome} of decisions) {
			this.decisionCount += 1;
			this.admitted += Number(outcome.kind === 'admitted');
		}

		for (const message of messages) {
			this.#deliver(message);
		}
	}

	#deliver(message: RateMessage): void {
		const encoded = encodeMessage(message);
		for (const node of [message.from, message.to]) {
			const simulatedNode = this.nodes.get(node)!;
			simulatedNode.bytes += encoded.byteLength + frameBytes;
			simulatedNode.messages += 1;
		}

		this.#handleActions(this.nodes.get(message.to)!.limiter.receive(decodeMessage(encoded) as RateMessage, this.#now));
	}
}

function createConfiguration({nodes, teams, requestsPerSecond}: RateLoad): Configuration {
	const teamList: Team[] = [];
	for (let index = 0; index < teams; index += 1) {
		const ratePerSecond = nodes * requestsPerSecond * rateHeadroomFactor / teams;
		teamList.push({name: createTeamName(`team-${index}`), ratePerSecond, burst: Math.ceil(ratePerSecond)});
	}

	return {
		...emptyConfiguration,
		revision: 1 as Revision,
		teams: new Map(teamList.map(team => [team.name, team])),
		domains: new Map([[domain, {name: domain, weight: 1, witnesses: []}]]),
	};
}

/** Measures the cost of team rates under a load. */
export function measureRates(load: RateLoad): RateCost {
	const fleet = new RateFleet(load);
	fleet.run(warmUpSeconds);
	fleet.resetCounts();
	const processorTime = startProcessorTime();
	fleet.run(measuredSeconds);
	const processorMilliseconds = processorTime();
	let bytes = 0;
	let messages = 0;
	for (const simulatedNode of fleet.nodes.values()) {
		if (simulatedNode !== fleet.holder) {
			bytes += simulatedNode.bytes;
			messages += simulatedNode.messages;
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
		admittedShare: fleet.admitted / Math.max(1, fleet.decisionCount),
	};
}
