/**
The capacity bench. It measures messages, bytes, processor time and memory at
several fleet sizes, fits lines to them, and extrapolates to the size planned for
two years ahead.

docs/CAPACITY.md is based on its results.
*/

import {type NodeReport, encodeMessage} from '@fireflyglade/transport';
import {
	createFailureDomain, createNodeId, createTeamName, type Revision,
} from '@fireflyglade/model';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {
	fitLine, fitSlope, valueAt, type Line,
} from './fit-line/index.js';
import {measureMembership, type MembershipCost} from './measure-membership/index.js';
import {measureRates, type RateCost} from './measure-rates/index.js';
import {measureRemoteCalls, type RemoteCallCost} from './measure-remote-calls/index.js';
import {measureDaemons} from './measure-daemons/index.js';
import {measureRouting} from './measure-routing/index.js';
import {measureState} from './measure-state/index.js';

/** The planned size of the fleet, and the budget of a node for control traffic, processor time and memory. */
const plan = {
	nodes: 5800,
	domains: 16,
	services: 160,
	callsPerSecond: 530_000,
	changesPerDay: 9800,
	restartsPerDay: 360,
	processorMillisecondsPerSecond: 21,
	bytesPerSecond: 18_000,
	residentBytes: 128_000_000,
	changeMilliseconds: 5000,
} as const;

const nodesInDomainSizes = [30, 60, 120, 200];
const multipleDomainSizes = [
	{domains: 2, nodesInDomain: 30},
	{domains: 4, nodesInDomain: 30},
	{domains: 6, nodesInDomain: 30},
	{domains: 2, nodesInDomain: 60},
];
const targetCounts = [40, 400, 1600, 5800];
const changeCounts = [5000, 10_000, 20_000];
const rateNodeCounts = [10, 20, 40];
/** Shares of the calls that are root requests: one in 15 (the deepest call chain), one in three, all. */
const rootShares = [1 / 15, 1 / 3, 1];
const messageSizes = [256, 4096, 65_536];
const teamCount = 8;
const reportsPerSecond = 1;
const callsOfNodePerSecond = plan.callsPerSecond / plan.nodes;
const nodesInPlannedDomain = plan.nodes / plan.domains;
const microsecondsInMillisecond = 1000;

type MembershipModel = {
	readonly inDomain: readonly MembershipCost[];
	readonly acrossDomains: readonly MembershipCost[];
};

type Extrapolation = {
	readonly value: number;
	readonly own: Line;
	readonly growth: string;
	readonly elsewhereSlope: number;
};

type MembershipFigure = 'messagesPerSecond' | 'bytesPerSecond' | 'busiestBytesPerSecond' | 'processorMillisecondsPerSecond' | 'heapBytes';

function measureMembershipModel({seed, progress}: BenchOptions): MembershipModel {
	const inDomain: MembershipCost[] = [];
	for (const nodesInDomain of nodesInDomainSizes) {
		progress(`membership: one domain of ${nodesInDomain} nodes`);
		inDomain.push(measureMembership({domains: 1, nodesInDomain}, seed));
	}

	const acrossDomains: MembershipCost[] = [];
	for (const size of multipleDomainSizes) {
		progress(`membership: ${size.domains} domains of ${size.nodesInDomain} nodes`);
		acrossDomains.push(measureMembership(size, seed));
	}

	return {inDomain, acrossDomains};
}

/**
The variable with which each figure grows besides the nodes of its own domain.
Traffic grows with the number of other domains; memory, and the processor time to
scan the state, with the number of nodes in them.
*/
const growthVariables: Readonly<Record<MembershipFigure, 'other domains' | 'nodes elsewhere'>> = {
	messagesPerSecond: 'other domains',
	bytesPerSecond: 'other domains',
	busiestBytesPerSecond: 'other domains',
	processorMillisecondsPerSecond: 'nodes elsewhere',
	heapBytes: 'nodes elsewhere',
};

/** Extrapolates a figure to the planned size. The contribution of other domains is the difference from a fleet of one domain with the same number of nodes. */
function extrapolateMembership({inDomain, acrossDomains}: MembershipModel, figure: MembershipFigure): Extrapolation {
	const own = fitLine(inDomain.map(cost => ({size: cost.nodesInDomain, value: cost[figure]})));
	const growth = growthVariables[figure];
	const elsewhereSlope = fitSlope(acrossDomains.map(cost => ({
		size: (cost.domains - 1) * (growth === 'other domains' ? 1 : cost.nodesInDomain),
		value: cost[figure] - inDomain.find(({nodesInDomain}) => nodesInDomain === cost.nodesInDomain)![figure],
	})));
	const elsewhere = growth === 'other domains' ? plan.domains - 1 : plan.nodes - nodesInPlannedDomain;
	return {
		value: valueAt(own, nodesInPlannedDomain) + (elsewhereSlope * elsewhere), own, growth, elsewhereSlope,
	};
}

type RateModel = {
	readonly requestsPerSecond: number;
	readonly costs: readonly RateCost[];
	/** Traffic of the lease holder, extrapolated to a domain of the planned size. */
	readonly holderBytesPerSecond: number;
	readonly holderMessagesPerSecond: number;
};

function measureRateLoad(requestsPerSecond: number, progress: BenchOptions['progress']): RateModel {
	const costs: RateCost[] = [];
	for (const nodes of rateNodeCounts) {
		progress(`rates: ${nodes} nodes with ${requestsPerSecond} root requests per second each`);
		costs.push(measureRates({nodes, teams: teamCount, requestsPerSecond}));
	}

	const bytes = fitLine(costs.map(cost => ({size: cost.nodes, value: cost.holderBytesPerSecond})));
	const messages = fitLine(costs.map(cost => ({size: cost.nodes, value: cost.holderMessagesPerSecond})));
	return {
		requestsPerSecond,
		costs,
		holderBytesPerSecond: valueAt(bytes, nodesInPlannedDomain),
		holderMessagesPerSecond: valueAt(messages, nodesInPlannedDomain),
	};
}

async function measureCalls(progress: BenchOptions['progress']): Promise<readonly RemoteCallCost[]> {
	const costs: RemoteCallCost[] = [];
	for (const messageBytes of messageSizes) {
		progress(`remote calls: ${messageBytes} bytes`);
		costs.push(await measureRemoteCalls(messageBytes));
	}

	return costs;
}

/** Returns the encoded size of a node's report with figures for a number of teams, in bytes. */
function measureReportBytes(teams: number): number {
	const node = createNodeId('node-domain-7-123');
	const figures = Array.from({length: teams}, (_, index) => ({
		team: createTeamName(`team-${index}`), offered: 100_000, succeeded: 90_000, failed: 1000, refusedByRate: 5000, refusedByLoad: 4000,
	}));
	const report: NodeReport = {
		node, domain: createFailureDomain('domain-7'), revision: 9800 as Revision, rpcAddress: '10.0.7.123:7102', callersUrl: 'http://10.0.7.123:7100', teams: figures, relayed: [], waitMilliseconds: 1000,
	};
	return encodeMessage(report).byteLength;
}

type MembershipAtPlan = Readonly<Record<MembershipFigure, Extrapolation>>;

function extrapolateAll(model: MembershipModel): MembershipAtPlan {
	return {
		messagesPerSecond: extrapolateMembership(model, 'messagesPerSecond'),
		bytesPerSecond: extrapolateMembership(model, 'bytesPerSecond'),
		busiestBytesPerSecond: extrapolateMembership(model, 'busiestBytesPerSecond'),
		processorMillisecondsPerSecond: extrapolateMembership(model, 'processorMillisecondsPerSecond'),
		heapBytes: extrapolateMembership(model, 'heapBytes'),
	};
}

type PlanFigures = {
	readonly membership: MembershipAtPlan;
	readonly reportBytes: number;
	readonly callMicroseconds: number;
};

type NodeAtPlan = {
	readonly requestsPerSecond: number;
	readonly remoteCallsPerSecond: number;
	readonly bytesPerSecond: number;
	readonly processorMillisecondsPerSecond: number;
	readonly holderBytesPerSecond: number;
};

/** Sums up the cost of one node. A remote call carries a request and its answer, so two messages count as one call. */
function extrapolateNode(load: RateModel, {membership, reportBytes, callMicroseconds}: PlanFigures): NodeAtPlan {
	const rate = load.costs.at(-1)!;
	const remoteCallsPerSecond = ((membership.messagesPerSecond.value + rate.messagesPerSecond) / 2) + reportsPerSecond;
	const decisions = membership.processorMillisecondsPerSecond.value + rate.processorMillisecondsPerSecond;
	return {
		requestsPerSecond: load.requestsPerSecond,
		remoteCallsPerSecond,
		bytesPerSecond: membership.bytesPerSecond.value + rate.bytesPerSecond + (reportsPerSecond * reportBytes),
		processorMillisecondsPerSecond: decisions + (remoteCallsPerSecond * callMicroseconds / microsecondsInMillisecond),
		holderBytesPerSecond: membership.bytesPerSecond.value + load.holderBytesPerSecond,
	};
}

function createTarget(name: string, limit: number, measured: number, unit: string): BenchTarget {
	return {
		name, target: `≤ ${limit} ${unit}`, measured, held: measured <= limit,
	};
}

/** Runs the capacity bench. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const {progress, seed} = options;
	progress('idle daemons');
	const daemons = await measureDaemons();
	const calls = await measureCalls(progress);
	const callLine = fitLine(calls.map(({messageBytes, processorMicroseconds}) => ({size: messageBytes, value: processorMicroseconds})));
	progress('routing');
	const routing = targetCounts.map(count => measureRouting(count, seed));
	progress('state');
	const state = changeCounts.map(changes => measureState(changes));
	const rates = rootShares.map(share => measureRateLoad(Math.round(callsOfNodePerSecond * share), progress));
	const membership = measureMembershipModel(options);
	const atPlan = {
		membership: extrapolateAll(membership),
		reportBytes: measureReportBytes(teamCount),
		callMicroseconds: callLine.intercept,
		configurationBytesPerChange: fitLine(state.map(cost => ({size: cost.changes, value: cost.configurationBytes}))).slope,
	};
	const nodes = rates.map(load => extrapolateNode(load, atPlan));
	const residentBytes = daemons.node.residentBytes + atPlan.membership.heapBytes.value + routing.at(-1)!.targetListBytes + routing.at(-1)!.heapBytes;
	return {
		results: {
			plan, daemons, calls, callLine, routing, state, rates, membership, atPlan, nodes, residentBytes,
		},
		targets: [
			...nodes.flatMap(node => [
				createTarget(`control bytes of a node, ${node.requestsPerSecond} root requests/s`, plan.bytesPerSecond, node.bytesPerSecond, 'B/s'),
				createTarget(`control processor time of a node, ${node.requestsPerSecond} root requests/s`, plan.processorMillisecondsPerSecond, node.processorMillisecondsPerSecond, 'ms/s'),
				createTarget(`control bytes of a holder, ${node.requestsPerSecond} root requests/s`, plan.bytesPerSecond, node.holderBytesPerSecond, 'B/s'),
			]),
			createTarget('control bytes of a gateway', plan.bytesPerSecond, atPlan.membership.busiestBytesPerSecond.value, 'B/s'),
			createTarget('resident memory of a node', plan.residentBytes, residentBytes, 'B'),
		],
	};
}
