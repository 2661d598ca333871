/**
The capacity bench: slopes of messages, bytes, processor time and memory over
several sizes, and what they come to at the two-year size.

docs/CAPACITY.md is written from its results.
*/

import {type NodeReport, encodeMessage} from '@fireflyglade/transport';
import {
	createFailureDomain, createNodeId, createTeamName, type Revision,
} from '@fireflyglade/model';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {fitLine, valueAt, type Line} from './fit-line/index.js';
import {measureMembership, type MembershipCost} from './measure-membership/index.js';
import {measureRates, type RateCost} from './measure-rates/index.js';
import {measureRemoteCalls, type RemoteCallCost} from './measure-remote-calls/index.js';
import {measureRouting} from './measure-routing/index.js';
import {measureState} from './measure-state/index.js';

/** The size to design for, and what a node may spend on control. */
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
const domainCounts = [1, 2, 4, 6];
const nodesOfSmallDomain = 30;
const targetCounts = [40, 400, 1600, 5800];
const changeCounts = [5000, 10_000, 20_000];
const rateNodeCounts = [10, 20, 40];
const messageSizes = [256, 4096, 65_536];
const teamCount = 8;
const reportsPerSecond = 1;
const rootRequestsPerSecond = Math.round(plan.callsPerSecond / plan.nodes);

type MembershipModel = {
	readonly inDomain: readonly MembershipCost[];
	readonly acrossDomains: readonly MembershipCost[];
};

type MembershipFigure = 'messagesPerSecond' | 'bytesPerSecond' | 'busiestBytesPerSecond' | 'processorMillisecondsPerSecond' | 'heapBytes';

function measureFleets({seed, progress}: BenchOptions): MembershipModel {
	const inDomain: MembershipCost[] = [];
	for (const nodesInDomain of nodesInDomainSizes) {
		progress(`membership: one domain of ${nodesInDomain} nodes`);
		inDomain.push(measureMembership({domains: 1, nodesInDomain}, seed));
	}

	const acrossDomains: MembershipCost[] = [inDomain[0]!];
	for (const domains of domainCounts.slice(1)) {
		progress(`membership: ${domains} domains of ${nodesOfSmallDomain} nodes`);
		acrossDomains.push(measureMembership({domains, nodesInDomain: nodesOfSmallDomain}, seed));
	}

	return {inDomain, acrossDomains};
}

/** Extends a figure to the planned size: a line over the nodes of the own domain, and one over the nodes elsewhere. */
function extendMembership({inDomain, acrossDomains}: MembershipModel, figure: MembershipFigure): {readonly value: number; readonly own: Line; readonly elsewhere: Line} {
	const own = fitLine(inDomain.map(cost => ({size: cost.nodesInDomain, value: cost[figure]})));
	const elsewhere = fitLine(acrossDomains.map(cost => ({size: (cost.domains - 1) * cost.nodesInDomain, value: cost[figure]})));
	const nodesInDomain = plan.nodes / plan.domains;
	return {value: valueAt(own, nodesInDomain) + (elsewhere.slope * (plan.nodes - nodesInDomain)), own, elsewhere};
}

function measureRateLoads(progress: BenchOptions['progress']): readonly RateCost[] {
	return rateNodeCounts.map(nodes => {
		progress(`rates: ${nodes} nodes`);
		return measureRates({nodes, teams: teamCount, requestsPerSecond: rootRequestsPerSecond});
	});
}

async function measureCalls(progress: BenchOptions['progress']): Promise<readonly RemoteCallCost[]> {
	const costs: RemoteCallCost[] = [];
	for (const messageBytes of messageSizes) {
		progress(`remote calls: ${messageBytes} bytes`);
		costs.push(await measureRemoteCalls(messageBytes));
	}

	return costs;
}

/** Bytes of a node's report with figures of a number of teams. */
function measureReport(teams: number): number {
	const node = createNodeId('node-domain-7-123');
	const figures = Array.from({length: teams}, (_, index) => ({
		team: createTeamName(`team-${index}`), offered: 100_000, succeeded: 90_000, failed: 1000, refusedByRate: 5000, refusedByLoad: 4000,
	}));
	const report: NodeReport = {
		node, domain: createFailureDomain('domain-7'), revision: 9800 as Revision, rpcAddress: '10.0.7.123:7102', callersUrl: 'http://10.0.7.123:7100', teams: figures, relayed: [], waitMilliseconds: 1000,
	};
	return encodeMessage(report).byteLength;
}

function createTarget(name: string, limit: number, measured: number, unit: string): BenchTarget {
	return {
		name, target: `≤ ${limit} ${unit}`, measured, held: measured <= limit,
	};
}

/** Runs the capacity bench. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const {progress, seed} = options;
	const calls = await measureCalls(progress);
	const callLine = fitLine(calls.map(({messageBytes, processorMicroseconds}) => ({size: messageBytes, value: processorMicroseconds})));
	progress('routing');
	const routing = targetCounts.map(count => measureRouting(count, seed));
	progress('state');
	const state = changeCounts.map(changes => measureState(changes));
	const rates = measureRateLoads(progress);
	const membership = measureFleets(options);
	const messages = extendMembership(membership, 'messagesPerSecond');
	const bytes = extendMembership(membership, 'bytesPerSecond');
	const busiestBytes = extendMembership(membership, 'busiestBytesPerSecond');
	const processor = extendMembership(membership, 'processorMillisecondsPerSecond');
	const heap = extendMembership(membership, 'heapBytes');
	const rate = rates.at(-1)!;
	const reportBytes = measureReport(teamCount);
	const callsPerSecond = messages.value + rate.messagesPerSecond + reportsPerSecond;
	const nodeBytes = bytes.value + rate.bytesPerSecond + (reportsPerSecond * reportBytes);
	const nodeProcessor = processor.value + rate.processorMillisecondsPerSecond + (callsPerSecond * callLine.intercept / 1000);
	const stateHeap = state.at(-1)!.configurationBytes;
	return {
		results: {
			plan, calls, callLine, routing, state, rates, membership, reportBytes,
			atPlan: {
				membership: {
					messages, bytes, busiestBytes, processor, heap,
				},
				callsPerSecond, nodeBytes, nodeProcessor, stateHeap,
			},
		},
		targets: [
			createTarget('control bytes of an ordinary node', plan.bytesPerSecond, nodeBytes, 'B/s'),
			createTarget('control bytes of the busiest node', plan.bytesPerSecond, busiestBytes.value + rate.bytesPerSecond, 'B/s'),
			createTarget('control processor time of an ordinary node', plan.processorMillisecondsPerSecond, nodeProcessor, 'ms/s'),
		],
	};
}
