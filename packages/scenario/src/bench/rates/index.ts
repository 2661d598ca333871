/**
The bench of team rates. It runs real fleet runtimes that make remote calls over
loopback, with a simulated delay between failure domains, and compares them with
two baselines: an equal static split of each rate and one central token bucket.

All nodes run in this process on one thread, so that one clock timestamps every
decision; the measured latencies include contention for that thread.
*/

import {
	createTeamName, SeededRandom, type RequestId, type Team,
} from '@fireflyglade/model';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {
	planArrivals, type Arrival, type OfferedLoad, type Rhythm, type Spread,
} from './_lib/arrivals.js';
import {CentralBucket, createStaticSplit, type ChargeFunction} from './_lib/baselines.js';
import {runFaults, type FaultResult} from './_lib/faults.js';
import {BenchFleet} from './_lib/fleet.js';
import {evaluateDecisions, type DecisionEvaluation} from './_lib/evaluate-decisions.js';
import {SimulatedNetwork} from './_lib/simulated-network.js';
import {offerArrivals, summarizeLatency} from './_lib/offer-arrivals.js';

type Strategy = 'fireflyglade' | 'static-split' | 'central-bucket';

type PhaseResult = OfferedLoad & DecisionEvaluation & {
	readonly domains: number;
	readonly way: Strategy;
	readonly latencyMilliseconds: ReturnType<typeof summarizeLatency>;
	readonly callsPerNodePerSecond: number;
	readonly bytesPerNodePerSecond: number;
};

const factors = [0.5, 0.9, 1, 1.2, 5];
const phaseMilliseconds = 2000;
const longPhaseMilliseconds = 15_000;
const idleMilliseconds = 2000;
const maximumCentralBucketFactor = 1.2;
const millisecondsInSecond = 1000;

/** Creates eight teams, three of them large; names include the phase so that each phase starts with full buckets. */
function createTeams(phase: number): Team[] {
	const sizes = [[300, 300], [150, 150], [60, 60], [10, 10], [5, 5], [2, 5], [2, 5], [1, 3]] as const;
	return sizes.map(([ratePerSecond, burst], index) => ({name: createTeamName(`team-${index}-${phase}`), ratePerSecond, burst}));
}

/** The load and the fleet of one phase. */
type PhaseContext = {
	readonly offer: OfferedLoad;
	readonly arrivals: readonly Arrival[];
	readonly teams: readonly Team[];
	readonly fleet: BenchFleet;
	readonly nodesPerDomain: number;
};

/** Offers the arrivals of a phase to one rate limiting strategy and evaluates its decisions. */
async function runPhase(way: Strategy, charge: ChargeFunction, {offer, arrivals, fleet}: PhaseContext): Promise<PhaseResult> {
	const {calls, bytes} = fleet.network;
	const start = performance.now();
	const decisions = await offerArrivals(arrivals, charge);
	const seconds = (performance.now() - start) / millisecondsInSecond;
	const nodes = fleet.nodes.length;
	return {
		...offer,
		domains: fleet.domains.length,
		way,
		...evaluateDecisions(decisions),
		latencyMilliseconds: summarizeLatency(decisions),
		callsPerNodePerSecond: (fleet.network.calls - calls) / nodes / seconds,
		bytesPerNodePerSecond: (fleet.network.bytes - bytes) / nodes / seconds,
	};
}

/** Measures the traffic of a fleet without requests. */
async function measureIdle(network: SimulatedNetwork, nodes: number): Promise<{readonly callsPerNodePerSecond: number; readonly bytesPerNodePerSecond: number}> {
	const {calls} = network;
	const {bytes} = network;
	await new Promise(resolve => {
		setTimeout(resolve, idleMilliseconds);
	});
	const scale = nodes * idleMilliseconds / millisecondsInSecond;
	return {callsPerNodePerSecond: (network.calls - calls) / scale, bytesPerNodePerSecond: (network.bytes - bytes) / scale};
}

async function measureFleet(domainCount: number, nodesPerDomain: number, options: BenchOptions): Promise<{readonly phases: PhaseResult[]; readonly faults: FaultResult; readonly idle: unknown}> {
	const random = new SeededRandom(options.seed);
	const network = new SimulatedNetwork();
	const fleet = new BenchFleet(network);
	const nodeCount = domainCount * nodesPerDomain;
	const phases: PhaseResult[] = [];
	await fleet.start(domainCount, nodesPerDomain);
	const idle = {...await measureIdle(network, nodeCount), bareCallMilliseconds: await fleet.measureBareCalls()};
	let phase = 0;
	let request = 0;
	const charge: ChargeFunction = async (team, node) => {
		request++;
		const requestId = `request-${request}` as RequestId;
		const outcome = await fleet.nodes[node]!.fleet.charge(team.name, requestId);
		fleet.nodes[node]!.fleet.settle(requestId);
		return outcome.kind === 'admitted';
	};

	for (const [spread, rhythm, factor] of listPhases()) {
		phase++;
		const teams = createTeams(phase);
		await fleet.setTeams(teams);
		await fleet.settle();
		const offer: OfferedLoad = {
			factor, spread, rhythm, milliseconds: options.long ? longPhaseMilliseconds : phaseMilliseconds,
		};
		const arrivals = planArrivals(offer, teams, {all: nodeCount, perDomain: nodesPerDomain}, random);
		const context: PhaseContext = {
			offer, arrivals, teams, fleet, nodesPerDomain,
		};
		options.progress(`rates: ${domainCount} domains, ${factor} times the rate, ${spread}, ${rhythm}: ${arrivals.length} requests`);
		phases.push(await runPhase('fireflyglade', charge, context));
		if (rhythm === 'steady' && spread === 'balanced') {
			phases.push(...await runBaselines(context));
		}
	}

	options.progress(`rates: ${domainCount} domains, a network partition, its recovery and the failure of a lease holder`);
	const faults = await runFaults({
		fleet, teams: createTeams(phase + 1), charge, nodesPerDomain, random,
	});
	await fleet.close();
	return {phases, faults, idle};
}

/** Lists all combinations of factor, spread (balanced or skewed) and rhythm (steady or bursty). */
function listPhases(): Array<readonly [Spread, Rhythm, number]> {
	const spreads: readonly Spread[] = ['balanced', 'skewed'];
	const rhythms: readonly Rhythm[] = ['steady', 'bursty'];
	return factors.flatMap(factor => spreads.flatMap(spread => rhythms.map(rhythm => [spread, rhythm, factor] as const)));
}

async function runBaselines(context: PhaseContext): Promise<PhaseResult[]> {
	const {fleet, teams, nodesPerDomain, offer} = context;
	const results = [await runPhase('static-split', createStaticSplit(teams, fleet.nodes.length), context)];
	if (offer.factor <= maximumCentralBucketFactor) {
		const central = new CentralBucket(teams);
		const charge = await central.start(fleet.network, fleet.domains, nodesPerDomain);
		results.push(await runPhase('central-bucket', charge, context));
		await central.close();
	}

	return results;
}

function maximum(values: readonly number[]): number {
	return Math.max(0, ...values);
}

function createTargets(phases: readonly PhaseResult[], faults: readonly FaultResult[]): BenchTarget[] {
	const strategyPhases = phases.filter(({way}) => way === 'fireflyglade');
	const share = maximum([...strategyPhases.map(result => result.admittedOverAllowed), ...faults.map(result => result.admittedOverAllowed)]);
	const wrongfulShareBelowRate = computeWrongfulShare(strategyPhases.filter(({factor}) => factor <= 0.9));
	const wrongfulShareAtRate = computeWrongfulShare(strategyPhases.filter(({factor}) => factor === 1));
	const latency = maximum(strategyPhases.filter(({factor, rhythm}) => factor <= 0.9 && rhythm === 'steady').map(result => result.latencyMilliseconds.p99));
	return [
		{
			name: 'admitted over allowed in any window', target: '≤ 1.000', measured: share, held: share <= 1,
		},
		{
			name: 'wrongful refusals at up to 0.9 of the rate', target: '≤ 0.005', measured: wrongfulShareBelowRate, held: wrongfulShareBelowRate <= 0.005,
		},
		{
			name: 'wrongful refusals at 1.0 of the rate', target: '≤ 0.02', measured: wrongfulShareAtRate, held: wrongfulShareAtRate <= 0.02,
		},
		{
			name: 'p99 added by asking at up to 0.9 of the rate, steady', target: '≤ 1.5 ms', measured: latency, held: latency <= 1.5,
		},
	];
}

/** Returns the share of all requests offered in the phases that were wrongfully refused. */
function computeWrongfulShare(phases: readonly PhaseResult[]): number {
	let wrongful = 0;
	let offered = 0;
	for (const phase of phases) {
		wrongful += phase.wrongfulRefusals;
		offered += phase.offered;
	}

	return wrongful / Math.max(1, offered);
}

/** Runs the bench on three domains of five nodes and on four domains of four nodes. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const three = await measureFleet(3, 5, options);
	const four = await measureFleet(4, 4, options);
	const phases = [...three.phases, ...four.phases];
	const faults = [three.faults, four.faults];
	return {results: {idle: {three: three.idle, four: four.idle}, phases, faults}, targets: createTargets(phases, faults)};
}
