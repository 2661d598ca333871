/**
The bench of team rates: real fleet runtimes over remote calls on loopback, with
a delay between failure domains, beside an equal static split and one central
bucket.

All nodes run in this process on one thread, so that one clock counts every
decision; latencies include that the nodes share the thread.
*/

import {
	createTeamName, SeededRandom, type RequestId, type Team,
} from '@fireflyglade/model';
import type {BenchOptions, BenchReport, BenchTarget} from '../types.js';
import {
	planArrivals, type Arrival, type Offer, type Rhythm, type Spread,
} from './_lib/arrivals.js';
import {CentralBucket, createStaticSplit, type Charger} from './_lib/baselines.js';
import {runFaults, type FaultResult} from './_lib/faults.js';
import {BenchFleet} from './_lib/fleet.js';
import {judge, type Judgement} from './_lib/judge.js';
import {Links} from './_lib/links.js';
import {offerArrivals, summarizeLatency} from './_lib/offer.js';

type Way = 'fireflyglade' | 'static-split' | 'central-bucket';

type PhaseResult = Offer & Judgement & {
	readonly domains: number;
	readonly way: Way;
	readonly latencyMilliseconds: ReturnType<typeof summarizeLatency>;
	readonly callsPerNodePerSecond: number;
	readonly bytesPerNodePerSecond: number;
};

const factors = [0.5, 0.9, 1, 1.2, 5];
const phaseMilliseconds = 2000;
const longPhaseMilliseconds = 15_000;
const idleMilliseconds = 2000;
const largestAskedFactor = 1.2;
const millisecondsInSecond = 1000;

/** Eight teams, three of them large. */
function createTeams(phase: number): Team[] {
	const sizes = [[300, 300], [150, 150], [60, 60], [10, 10], [5, 5], [2, 5], [2, 5], [1, 3]] as const;
	return sizes.map(([ratePerSecond, burst], index) => ({name: createTeamName(`team-${index}-${phase}`), ratePerSecond, burst}));
}

/** What a phase is run on. */
type PhaseContext = {
	readonly offer: Offer;
	readonly arrivals: readonly Arrival[];
	readonly teams: readonly Team[];
	readonly fleet: BenchFleet;
	readonly nodesPerDomain: number;
};

/** Runs one way over the given arrivals. */
async function runPhase(way: Way, charge: Charger, {offer, arrivals, fleet}: PhaseContext): Promise<PhaseResult> {
	const {calls, bytes} = fleet.links;
	const start = performance.now();
	const decisions = await offerArrivals(arrivals, charge);
	const seconds = (performance.now() - start) / millisecondsInSecond;
	const nodes = fleet.nodes.length;
	return {
		...offer,
		domains: fleet.domains.length,
		way,
		...judge(decisions),
		latencyMilliseconds: summarizeLatency(decisions),
		callsPerNodePerSecond: (fleet.links.calls - calls) / nodes / seconds,
		bytesPerNodePerSecond: (fleet.links.bytes - bytes) / nodes / seconds,
	};
}

/** Traffic of a fleet in which nothing happens. */
async function measureIdle(links: Links, nodes: number): Promise<{readonly callsPerNodePerSecond: number; readonly bytesPerNodePerSecond: number}> {
	const {calls} = links;
	const {bytes} = links;
	await new Promise(resolve => {
		setTimeout(resolve, idleMilliseconds);
	});
	const scale = nodes * idleMilliseconds / millisecondsInSecond;
	return {callsPerNodePerSecond: (links.calls - calls) / scale, bytesPerNodePerSecond: (links.bytes - bytes) / scale};
}

async function runDomains(domainCount: number, nodesPerDomain: number, options: BenchOptions): Promise<{readonly phases: PhaseResult[]; readonly faults: FaultResult; readonly idle: unknown}> {
	const random = new SeededRandom(options.seed);
	const links = new Links();
	const fleet = new BenchFleet(links);
	const nodeCount = domainCount * nodesPerDomain;
	const phases: PhaseResult[] = [];
	await fleet.start(domainCount, nodesPerDomain);
	const idle = {...await measureIdle(links, nodeCount), bareCallMilliseconds: await fleet.measureBareCalls()};
	let phase = 0;
	let request = 0;
	const charge: Charger = async (team, node) => {
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
		const offer: Offer = {
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

	options.progress(`rates: ${domainCount} domains, a cut, a heal and a holder's death`);
	const faults = await runFaults({
		fleet, teams: createTeams(phase + 1), charge, nodesPerDomain, random,
	});
	await fleet.close();
	return {phases, faults, idle};
}

/** All phases: each factor, balanced and skewed, steady and bursty. */
function listPhases(): Array<readonly [Spread, Rhythm, number]> {
	const spreads: readonly Spread[] = ['balanced', 'skewed'];
	const rhythms: readonly Rhythm[] = ['steady', 'bursty'];
	return factors.flatMap(factor => spreads.flatMap(spread => rhythms.map(rhythm => [spread, rhythm, factor] as const)));
}

async function runBaselines(context: PhaseContext): Promise<PhaseResult[]> {
	const {fleet, teams, nodesPerDomain, offer} = context;
	const results = [await runPhase('static-split', createStaticSplit(teams, fleet.nodes.length), context)];
	if (offer.factor <= largestAskedFactor) {
		const central = new CentralBucket(teams);
		const charge = await central.start(fleet.links, fleet.domains, nodesPerDomain);
		results.push(await runPhase('central-bucket', charge, context));
		await central.close();
	}

	return results;
}

function largest(values: readonly number[]): number {
	return Math.max(0, ...values);
}

function createTargets(phases: readonly PhaseResult[], faults: readonly FaultResult[]): BenchTarget[] {
	const own = phases.filter(({way}) => way === 'fireflyglade');
	const share = largest([...own.map(result => result.admittedOverAllowed), ...faults.map(result => result.admittedOverAllowed)]);
	const share09 = sumShare(own.filter(({factor}) => factor <= 0.9));
	const share10 = sumShare(own.filter(({factor}) => factor === 1));
	const latency = largest(own.filter(({factor, rhythm}) => factor <= 0.9 && rhythm === 'steady').map(result => result.latencyMilliseconds.p99));
	return [
		{
			name: 'admitted over allowed in any window', target: '≤ 1.000', measured: share, held: share <= 1,
		},
		{
			name: 'wrongful refusals at up to 0.9 of the rate', target: '≤ 0.005', measured: share09, held: share09 <= 0.005,
		},
		{
			name: 'wrongful refusals at 1.0 of the rate', target: '≤ 0.02', measured: share10, held: share10 <= 0.02,
		},
		{
			name: 'p99 added by asking at up to 0.9 of the rate, steady', target: '≤ 1.5 ms', measured: latency, held: latency <= 1.5,
		},
	];
}

/** Wrongful refusals over all requests offered in the phases. */
function sumShare(phases: readonly PhaseResult[]): number {
	let wrongful = 0;
	let offered = 0;
	for (const phase of phases) {
		wrongful += phase.wrongfulRefusals;
		offered += phase.offered;
	}

	return wrongful / Math.max(1, offered);
}

/** Runs the bench. */
export async function run(options: BenchOptions): Promise<BenchReport> {
	const three = await runDomains(3, 5, options);
	const four = await runDomains(4, 4, options);
	const phases = [...three.phases, ...four.phases];
	const faults = [three.faults, four.faults];
	return {results: {idle: {three: three.idle, four: four.idle}, phases, faults}, targets: createTargets(phases, faults)};
}
