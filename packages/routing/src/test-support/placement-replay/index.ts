/**
A replay of load in virtual time: several entry nodes choose among gates of uneven speed,
which queue by objective and become slower for fractions of a second.
*/

import {
	createFailureDomain, createNodeId, lowestPriority, SeededRandom, type GateLevel, type RandomSource, type Target, type UpstreamId,
} from '@fireflyglade/model';
import {TargetRouting} from '../../target-routing/index.js';
import type {Routing} from '../../types.js';
import {ReplayLink} from '../replay-link/index.js';
import {createTarget, service} from '../targets/index.js';

const slots = 8;
const gates = 12;
const domains = 3;
const usualEntryNodes = 40;
const speeds = [0.5, 1, 1, 1.5] as const;
const paceMilliseconds = 600;
const slowShare = 0.15;
const slowPace = 2.5;
/** Standard deviation of the logarithm of service times. */
const spread = 0.6;
const queuePerSlot = 3;
const wayMilliseconds = {own: 0.3, other: 1.7} as const;
/** Attempts of a request whose gate could not be reached. */
const maximumAttempts = 2;
const warmUpMilliseconds = 3000;
const windowMilliseconds = 100;

/** Classes of requests: half of them have a tight objective. */
const workClasses = [
	{workClass: 1, meanMilliseconds: 84, objectiveMilliseconds: 251},
	{workClass: 2, meanMilliseconds: 150, objectiveMilliseconds: 1500},
] as const;

/** Options of a replay. */
export type ReplayOptions = {
	/** Offered work relative to the capacity of all gates. */
	readonly load: number;
	readonly seed: number;
	/** Whether the choice is told objectives; without them it is by load alone. */
	readonly hasObjectives: boolean;
	readonly milliseconds: number;
	/** Number of entry nodes; 40 by default. */
	readonly entryNodes?: number;
	/** Changes the state of a gate with time; returns the share of requests that it fails. */
	readonly failureShare?: (gate: number, now: number) => number;
	/** Returns the factor by which a gate's upstream takes longer, without stating it as its pace. */
	readonly slowness?: (gate: number, now: number) => number;
	/** True while a gate's upstream is down; the gate then refuses. */
	readonly isDown?: (gate: number, now: number) => boolean;
	/** Time at which a gate joins; 0 by default. */
	readonly joinsAt?: (gate: number) => number;
	/** A failure domain that can't exchange messages with the others for a time. */
	readonly interruption?: {readonly domain: number; readonly from: number; readonly to: number};
	/** Whether the choice is told which gates can't be reached or are silent; true by default. */
	readonly reportsReachability?: boolean;
};

/** Results of a replay, after its first three seconds. */
export type ReplayResult = {
	/** Shares of the requests with a tight and a loose objective that were answered within it. */
	readonly tight: number;
	readonly loose: number;
	/** Share of all requests that were answered at all. */
	readonly answered: number;
	/** Share of all slots that were free while requests queued somewhere. */
	readonly idleWhileQueued: number;
	/** Most requests that arrived at one gate within 100 ms, relative to its slots and speed. */
	readonly burst: number;
	/** Arrivals at each gate by 100 ms. */
	readonly arrivals: ReadonlyArray<readonly number[]>;
	/** Arrival times of the requests that waited for a connection that was not established, and of those that were lost with their connection or failed twice to get one. */
	readonly delayed: readonly number[];
	readonly lost: readonly number[];
};

type Work = (typeof workClasses)[number];

type Job = {
	readonly work: Work;
	readonly arrivedAt: number;
	readonly objective: number;
	readonly answer: (kind: 'answered' | 'failed' | 'refused') => void;
};

type ReplayRequest = {
	readonly work: Work;
	readonly entry: number;
	readonly arrivedAt: number;
	readonly objective: number;
	readonly isCounted: boolean;
	readonly tried: Set<UpstreamId>;
};

/** Callbacks by virtual time, in steps of a tenth of a millisecond. */
class Agenda {
	now = 0;
	readonly #steps = new Map<number, Array<() => void>>();

	after(milliseconds: number, callback: () => void): void {
		const step = Math.max(1, Math.round(milliseconds * 10)) + Math.round(this.now * 10);
		const callbacks = this.#steps.get(step);
		if (callbacks === undefined) {
			this.#steps.set(step, [callback]);
			return;
		}

		callbacks.push(callback);
	}

	runUntil(end: number): void {
		for (let step = 0; step <= end * 10; step++) {
			this.now = step / 10;
			for (const callback of this.#steps.get(step) ?? []) {
				callback();
			}

			this.#steps.delete(step);
		}
	}
}

/** A gate with its upstream. */
class ReplayGate {
	inFlight = 0;
	pace = 1;
	readonly queue: Job[] = [];
	readonly arrivals: number[] = [];
	readonly #serviceMilliseconds = new Map<Work, number>();

	constructor(readonly index: number, readonly agenda: Agenda, readonly random: RandomSource, readonly options: ReplayOptions) {}

	get #speed(): number {
		return speeds[this.index % speeds.length]!;
	}

	level(work: Work): GateLevel {
		const usual = this.#serviceMilliseconds.get(work);
		return {
			inFlight: this.inFlight, limit: slots, queueLength: this.queue.length, shedPriority: lowestPriority + 1, pace: this.pace,
			...(usual === undefined ? {} : {serviceMilliseconds: usual * this.pace}),
		};
	}

	offer(job: Job): void {
		const window = Math.floor(this.agenda.now / windowMilliseconds);
		this.arrivals[window] = (this.arrivals[window] ?? 0) + 1;
		if (this.options.isDown?.(this.index, this.agenda.now) === true) {
			job.answer('refused');
			return;
		}

		const position = this.queue.findIndex(other => other.objective > job.objective);
		this.queue.splice(position === -1 ? this.queue.length : position, 0, job);
		this.#startNext();
		if (this.queue.length > slots * queuePerSlot) {
			this.queue.pop()!.answer('refused');
		}
	}

	#startNext(): void {
		while (this.inFlight < slots && this.queue.length > 0) {
			const job = this.queue.shift()!;
			this.inFlight++;
			const usual = job.work.meanMilliseconds * drawTail(this.random) * (this.options.slowness?.(this.index, this.agenda.now) ?? 1) / this.#speed;
			this.agenda.after(usual * this.pace, () => {
				this.inFlight--;
				const mean = this.#serviceMilliseconds.get(job.work) ?? usual;
				this.#serviceMilliseconds.set(job.work, mean + ((usual - mean) * 0.1));
				job.answer(this.random.nextFraction() < (this.options.failureShare?.(this.index, this.agenda.now) ?? 0) ? 'failed' : 'answered');
				this.#startNext();
			});
		}
	}
}

/** Returns a log-normal number with a mean of 1. */
function drawTail(random: RandomSource): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(2 * Math.PI * random.nextFraction());
	return Math.exp((spread * normal) - (spread * spread / 2));
}

/** Replays load on the choice of targets. */
export function replayPlacement(options: ReplayOptions): ReplayResult {
	return new Replay(options).run();
}

class Replay {
	readonly #agenda = new Agenda();
	readonly #random: SeededRandom;
	readonly #gates: ReplayGate[] = [];
	readonly #targets: readonly Target[];
	readonly #routings: Routing[] = [];
	readonly #offered = new Map<Work, number>();
	readonly #within = new Map<Work, number>();
	readonly #entryNodes: number;
	readonly #links = new Map<number, ReplayLink>();
	readonly #delayed: number[] = [];
	readonly #lost: number[] = [];
	#answered = 0;
	#idle = 0;
	#samples = 0;

	constructor(readonly options: ReplayOptions) {
		this.#random = new SeededRandom(options.seed);
		this.#entryNodes = options.entryNodes ?? usualEntryNodes;
		this.#targets = Array.from({length: gates}, (_, index) => createTarget(index, `domain-${Math.floor(index / speeds.length)}`, {slots}));
		for (let index = 0; index < gates; index++) {
			this.#gates.push(new ReplayGate(index, this.#agenda, new SeededRandom(options.seed + index + 1), options));
		}

		for (let index = 0; index < this.#entryNodes; index++) {
			this.#routings.push(new TargetRouting({domain: createFailureDomain(`domain-${index % domains}`), node: createNodeId(`entry-${index}`)}));
		}
	}

	run(): ReplayResult {
		const {milliseconds, joinsAt = () => 0} = this.options;
		for (const time of new Set([0, ...this.#targets.map((_, index) => joinsAt(index))])) {
			this.#agenda.after(time, () => {
				for (const routing of this.#routings) {
					routing.setTargets(this.#targets.filter((_, index) => joinsAt(index) <= time), time);
				}
			});
		}

		this.#changePaces();
		this.#agenda.after(1, () => {
			this.#sendNext();
		});
		this.#agenda.after(warmUpMilliseconds, () => {
			this.#sample();
		});
		this.#agenda.runUntil(milliseconds);
		const [tight, loose] = workClasses.map(work => this.#within.get(work)! / this.#offered.get(work)!) as [number, number];
		let offered = 0;
		for (const count of this.#offered.values()) {
			offered += count;
		}

		const arrivals = this.#gates.map(gate => Array.from({length: Math.floor(milliseconds / windowMilliseconds)}, (_, window) => gate.arrivals[window] ?? 0));
		return {
			tight,
			loose,
			answered: this.#answered / offered,
			idleWhileQueued: this.#idle / this.#samples,
			burst: Math.max(...arrivals.map((windows, gate) => Math.max(...windows.slice(warmUpMilliseconds / windowMilliseconds)) / (slots * speeds[gate % speeds.length]!))),
			arrivals,
			delayed: this.#delayed,
			lost: this.#lost,
		};
	}

	#changePaces(): void {
		for (const gate of this.#gates) {
			const change = (): void => {
				gate.pace = this.#random.nextFraction() < slowShare ? slowPace : 1;
				this.#agenda.after(paceMilliseconds, change);
			};

			this.#agenda.after(this.#random.nextInteger(paceMilliseconds), change);
		}
	}

	/** Records the slots that are free while requests queue. */
	#sample(): void {
		this.#samples++;
		if (this.#gates.some(gate => gate.queue.length > 0)) {
			let free = 0;
			for (const gate of this.#gates) {
				free += slots - gate.inFlight;
			}

			this.#idle += free / (slots * gates);
		}

		this.#agenda.after(10, () => {
			this.#sample();
		});
	}

	#sendNext(): void {
		const work = workClasses[this.#random.nextInteger(workClasses.length)]!;
		this.#send(work, this.#random.nextInteger(this.#entryNodes));
		const meanWork = workClasses.reduce((sum, {meanMilliseconds}) => sum + meanMilliseconds, 0) / workClasses.length;
		const meanSpeed = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
		const paceFactor = 1 - slowShare + (slowShare / slowPace);
		const perMillisecond = this.options.load * gates * slots * meanSpeed * paceFactor / meanWork;
		this.#agenda.after(-Math.log(1 - this.#random.nextFraction()) / perMillisecond, () => {
			this.#sendNext();
		});
	}

	#send(work: Work, entry: number): void {
		const arrivedAt = this.#agenda.now;
		const isCounted = arrivedAt >= warmUpMilliseconds && arrivedAt < this.options.milliseconds - (2 * work.objectiveMilliseconds);
		if (isCounted) {
			this.#offered.set(work, (this.#offered.get(work) ?? 0) + 1);
		}

		this.#sendAttempt({
			work, entry, arrivedAt, objective: arrivedAt + work.objectiveMilliseconds, isCounted, tried: new Set(),
		});
	}

	#sendAttempt(request: ReplayRequest): void {
		const {work, entry, objective, tried} = request;
		const agenda = this.#agenda;
		const routing = this.#routings[entry]!;
		const sentAt = agenda.now;
		const choice = routing.choose({
			service,
			priority: 5,
			workClass: work.workClass,
			objective: this.options.hasObjectives ? objective : undefined,
			tried,
		}, sentAt, this.#random);
		if (choice.kind !== 'target') {
			return;
		}

		const {upstream} = choice.target;
		const index = this.#targets.indexOf(choice.target);
		const gate = this.#gates[index]!;
		const way = getDomain(entry) === getGateDomain(index) ? wayMilliseconds.own : wayMilliseconds.other;
		const link = this.#linkTo(index, entry);
		tried.add(upstream);
		routing.begin(upstream, sentAt);
		const stall = (): void => {
			link.stall(Math.max(sentAt, this.options.interruption!.from), kind => {
				this.#endStalled(request, upstream, kind);
			});
		};

		if (this.#isInterrupted(index, entry)) {
			stall();
			return;
		}

		link.recordByte();
		const answer = (kind: 'answered' | 'failed' | 'refused'): void => {
			const level = gate.level(work);
			agenda.after(way, () => {
				if (this.#isInterrupted(index, entry)) {
					stall();
					return;
				}

				routing.end(upstream, kind === 'answered' ? {kind, latencyMilliseconds: agenda.now - sentAt} : {kind}, level, agenda.now, work.workClass);
				if (request.isCounted && kind === 'answered') {
					this.#answered++;
					this.#within.set(work, (this.#within.get(work) ?? 0) + (agenda.now <= objective ? 1 : 0));
				}
			});
		};

		agenda.after(way, () => {
			gate.offer({
				work, arrivedAt: sentAt, objective, answer,
			});
		});
	}

	/** Ends an attempt whose connection ended without an answer. One that was not sent is made again, once. */
	#endStalled(request: ReplayRequest, upstream: UpstreamId, kind: 'failed' | 'unreachable'): void {
		const {reportsReachability = true} = this.options;
		this.#routings[request.entry]!.end(upstream, kind === 'unreachable' && !reportsReachability ? {kind: 'refused'} : {kind}, undefined, this.#agenda.now, request.work.workClass);
		if (kind === 'unreachable' && request.tried.size < maximumAttempts) {
			this.#delayed.push(request.arrivedAt);
			this.#sendAttempt(request);
			return;
		}

		this.#lost.push(request.arrivedAt);
	}

	#linkTo(gate: number, entry: number): ReplayLink {
		const key = (gate * this.#entryNodes) + entry;
		const link = this.#links.get(key) ?? new ReplayLink({
			at: (time, callback) => {
				this.#agenda.after(time - this.#agenda.now, callback);
			},
			onSilent: () => {
				if (this.options.reportsReachability !== false) {
					this.#routings[entry]!.setResponsive(this.#targets[gate]!.upstream, false, this.#agenda.now);
				}
			},
		});
		this.#links.set(key, link);
		return link;
	}

	#isInterrupted(gate: number, entry: number): boolean {
		const {interruption} = this.options;
		if (interruption === undefined || this.#agenda.now < interruption.from || this.#agenda.now >= interruption.to) {
			return false;
		}

		return (getDomain(entry) === interruption.domain) !== (getGateDomain(gate) === interruption.domain);
	}
}

function getDomain(entry: number): number {
	return entry % domains;
}

function getGateDomain(gate: number): number {
	return Math.floor(gate / speeds.length);
}
