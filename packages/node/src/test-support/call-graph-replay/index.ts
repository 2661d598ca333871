/**
Simulates load on a call graph of services in virtual time: entry nodes that limit
root requests, a gate in front of each upstream, and upstreams whose calls do not
name the request that they belong to.

The gates use the product's admission control. As at a node, a call of an upstream
gets the priority of the request that has the same deadline, within a tolerance; a
call without such a request gets the priority of the least important request that
runs at the upstream.
*/

import {AnnouncedLimit, GateAdmission, type AdmissionDecision} from '@fireflyglade/admission';
import {
	createRouteId, createServiceName, SeededRandom,
	type RequestId, type ServiceName,
} from '@fireflyglade/model';
import {QueueingDelayTracker, type QueueingDelay, type RootRoute} from '@fireflyglade/routing';
import {VirtualTime} from '../virtual-time/index.js';

/** A service with one upstream for each entry of `speeds`. */
export type ReplayService = {
	readonly name: string;
	/** Concurrent requests of each upstream. */
	readonly slots: number;
	/** Speed of each upstream: its work takes `workMilliseconds` divided by the speed. */
	readonly speeds: readonly number[];
	/** Factor on the duration of work that starts while all slots are occupied; 1 if absent. */
	readonly slowdownWhenFull?: number;
};

/** One kind of request or call, and the nested calls that each makes after its own work. */
export type ReplayKind = {
	readonly name: string;
	readonly service: string;
	readonly priority: number;
	/** Mean duration of its own work at speed 1. */
	readonly workMilliseconds: number;
	readonly timeoutMilliseconds: number;
	readonly calls?: {readonly kind: ReplayKind; readonly times: number; readonly isParallel: boolean};
};

/** A kind of root request and its arrival rate. */
export type ReplayLoad = {
	readonly kind: ReplayKind;
	readonly perSecond: number;
	/** Latency objective in milliseconds. */
	readonly objectiveMilliseconds: number;
};

/** Decides on root requests at an entry node, and receives the results that the decisions depend on. */
export type ReplayEntryNode = {
	admits(route: RootRoute, now: number): boolean;
	/** Called with the longest queueing delay that an answer reported. */
	recordDelay(crowding: QueueingDelay, now: number): void;
	/** Called when an admitted root request has ended. */
	ended(route: RootRoute, end: {readonly isServed: boolean; readonly admittedAt: number; readonly crowding: QueueingDelay | undefined}, now: number): void;
};

/** Options of a replay. */
export type ReplayOptions = {
	readonly services: readonly ReplayService[];
	readonly loads: readonly ReplayLoad[];
	readonly entryNodeCount: number;
	/** Factor on the arrival rates at a virtual time. */
	readonly loadFactor: (now: number) => number;
	readonly durationMilliseconds: number;
	/** Requests that arrive in this interval are counted, in milliseconds from the start. */
	readonly measuredFromMilliseconds: number;
	readonly measuredUntilMilliseconds: number;
	readonly seed: number;
	readonly createEntryNode: (random: SeededRandom) => ReplayEntryNode;
};

/** Counts of the root requests of one kind. */
export type ReplayCounts = {
	offered: number;
	served: number;
	withinObjective: number;
	refusedAtEntry: number;
	failed: number;
};

/** Results of a replay. */
export type ReplayResult = {
	readonly countsByKind: ReadonlyMap<string, ReplayCounts>;
	/** Fraction of slot time of each service that was spent on own work, without waiting for nested calls. */
	readonly utilization: ReadonlyMap<string, number>;
	/** Fraction of the work of each service that was done for served root requests. */
	readonly usefulFraction: ReadonlyMap<string, number>;
};

/** One-way delay between two nodes. */
const networkDelayMilliseconds = 1;
const tickMilliseconds = 10;
/** Minimum queueing delay that is recorded for a request that was shed or found the queue full. */
const shedWaitMilliseconds = 250;
/** Difference up to which the deadlines of a request and its call count as equal. */
const deadlineToleranceMilliseconds = 4;

/** Runs a replay. */
export function replayCallGraph(options: ReplayOptions): ReplayResult {
	return new Replay(options).run();
}

/** How a call ended, with the longest recent queueing delay at its gate and deeper gates. */
type CallEnd = {readonly isServed: boolean; readonly crowding: QueueingDelay | undefined};

/** A root request, with the milliseconds of work done for it by service. */
type Root = {readonly work: Map<string, number>};

type Call = {
	readonly id: RequestId;
	readonly kind: ReplayKind;
	readonly root: Root;
	readonly priority: number;
	readonly depth: number;
	readonly deadline: number;
	readonly offeredAt: number;
	readonly children: Set<Call>;
	readonly ended: (end: CallEnd) => void;
	gate: ReplayGate;
	isRunning: boolean;
	isDone: boolean;
};

/** One run of the simulation. */
class Replay {
	readonly #options: ReplayOptions;
	readonly #time = new VirtualTime();
	readonly #random: SeededRandom;
	readonly #gates = new Map<string, ReplayGate[]>();
	readonly #entryNodes: ReplayEntryNode[] = [];
	readonly #countsByKind = new Map<string, ReplayCounts>();
	readonly #workedMilliseconds = new Map<string, number>();
	readonly #usefulMilliseconds = new Map<string, number>();
	#count = 0;

	constructor(options: ReplayOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		for (const service of options.services) {
			this.#gates.set(service.name, service.speeds.map(speed => new ReplayGate(service, speed, this.#time)));
		}

		for (let index = 0; index < options.entryNodeCount; index++) {
			this.#entryNodes.push(options.createEntryNode(this.#random));
		}
	}

	run(): ReplayResult {
		for (const load of this.#options.loads) {
			this.#countsByKind.set(load.kind.name, {
				offered: 0, served: 0, withinObjective: 0, refusedAtEntry: 0, failed: 0,
			});
			this.#scheduleArrivals(load);
		}

		for (const gate of [...this.#gates.values()].flat()) {
			this.#tick(gate);
		}

		this.#time.runUntil(this.#options.durationMilliseconds);
		const utilization = new Map<string, number>();
		const usefulFraction = new Map<string, number>();
		for (const {name, slots, speeds} of this.#options.services) {
			const workedMilliseconds = this.#workedMilliseconds.get(name) ?? 0;
			utilization.set(name, workedMilliseconds / (slots * speeds.length * (this.#options.durationMilliseconds - this.#options.measuredFromMilliseconds)));
			usefulFraction.set(name, workedMilliseconds === 0 ? 1 : (this.#usefulMilliseconds.get(name) ?? 0) / workedMilliseconds);
		}

		return {countsByKind: this.#countsByKind, utilization, usefulFraction};
	}

	#tick(gate: ReplayGate): void {
		this.#time.after(tickMilliseconds, () => {
			this.#apply(gate, gate.admission.tick(this.#time.now));
			this.#tick(gate);
		});
	}

	#scheduleArrivals(load: ReplayLoad): void {
		const perMillisecond = load.perSecond * this.#options.loadFactor(this.#time.now) / 1000;
		this.#time.after(-Math.log(1 - this.#random.nextFraction()) / perMillisecond, () => {
			this.#offerRoot(load);
			this.#scheduleArrivals(load);
		});
	}

	#offerRoot({kind, objectiveMilliseconds}: ReplayLoad): void {
		const begin = this.#time.now;
		const entryNode = this.#entryNodes[this.#random.nextInteger(this.#entryNodes.length)]!;
		const route: RootRoute = {id: createRouteId('GET', `/${kind.name}`), priority: kind.priority};
		const isCounted = begin >= this.#options.measuredFromMilliseconds && begin < this.#options.measuredUntilMilliseconds;
		const counts = this.#countsByKind.get(kind.name)!;
		counts.offered += Number(isCounted);
		if (!entryNode.admits(route, begin)) {
			counts.refusedAtEntry += Number(isCounted);
			return;
		}

		const root: Root = {work: new Map()};
		this.#send(kind, {
			root, priority: kind.priority, depth: 0, deadline: begin + kind.timeoutMilliseconds,
		}, end => {
			const {now} = this.#time;
			if (end.crowding !== undefined) {
				entryNode.recordDelay(end.crowding, now);
			}

			entryNode.ended(route, {...end, admittedAt: begin}, now);
			if (isCounted) {
				counts.served += Number(end.isServed);
				counts.withinObjective += Number(end.isServed && now - begin <= objectiveMilliseconds);
				counts.failed += Number(!end.isServed);
			}

			if (end.isServed) {
				for (const [service, milliseconds] of root.work) {
					add(this.#usefulMilliseconds, service, milliseconds);
				}
			}
		});
	}

	#send(kind: ReplayKind, terms: Pick<Call, 'root' | 'priority' | 'depth' | 'deadline'>, ended: (end: CallEnd) => void): Call {
		const gates = this.#gates.get(kind.service)!;
		const first = gates[this.#random.nextInteger(gates.length)]!;
		const second = gates[this.#random.nextInteger(gates.length)]!;
		const gate = second.load(this.#time.now) < first.load(this.#time.now) ? second : first;
		const call: Call = {
			...terms, id: `call-${this.#count++}` as RequestId, kind, offeredAt: this.#time.now + networkDelayMilliseconds, children: new Set(), ended, gate, isRunning: false, isDone: false,
		};
		this.#time.after(networkDelayMilliseconds, () => {
			if (!call.isDone) {
				gate.calls.set(call.id, call);
				this.#apply(gate, gate.admission.offer({
					requestId: call.id, rootId: call.id, priority: call.priority, deadline: call.deadline, depth: call.depth,
				}, this.#time.now));
			}
		});
		return call;
	}

	#apply(gate: ReplayGate, decisions: readonly AdmissionDecision[]): void {
		const {now} = this.#time;
		for (const decision of decisions) {
			const call = gate.calls.get(decision.requestId);
			if (call === undefined || decision.kind === 'wait') {
				continue;
			}

			const waited = now - call.offeredAt;
			if (decision.kind === 'run') {
				gate.recordWait(waited);
				this.#run(call);
				continue;
			}

			gate.recordWait(decision.reason === 'shed' || decision.reason === 'queue-full' ? Math.max(waited, shedWaitMilliseconds) : waited);
			this.#end(call, false);
		}
	}

	#run(call: Call): void {
		const {gate, kind} = call;
		call.isRunning = true;
		gate.running.add(call);
		this.#time.after(call.deadline - this.#time.now, () => {
			this.#end(call, false, 'timeout');
		});
		const milliseconds = gate.workMilliseconds(kind, this.#random);
		this.#time.after(milliseconds, () => {
			if (this.#time.now >= this.#options.measuredFromMilliseconds) {
				add(this.#workedMilliseconds, kind.service, milliseconds);
				add(call.root.work, kind.service, milliseconds);
			}

			if (!call.isDone) {
				this.#makeRemainingCalls(call, kind.calls?.times ?? 0);
			}
		});
	}

	/** Makes the remaining nested calls: all in parallel, or one, after which `leftAfter` remain. A batch is complete when none of its calls is open. */
	#makeRemainingCalls(call: Call, left: number): void {
		const {calls} = call.kind;
		if (calls === undefined || left === 0) {
			this.#end(call, true);
			return;
		}

		const batch = {open: calls.isParallel ? left : 1, leftAfter: calls.isParallel ? 0 : left - 1};
		for (let count = batch.open; count > 0; count--) {
			this.#makeCall(call, calls.kind, batch);
		}
	}

	#makeCall(call: Call, kind: ReplayKind, batch: {open: number; readonly leftAfter: number}): void {
		const child: Call = this.#send(kind, this.#createChildTerms(call, kind), end => {
			call.children.delete(child);
			if (end.crowding !== undefined) {
				call.gate.queueingDelays.record(end.crowding, this.#time.now);
			}

			if (call.isDone) {
				return;
			}

			if (!end.isServed) {
				this.#end(call, false);
				return;
			}

			batch.open--;
			if (batch.open === 0) {
				this.#makeRemainingCalls(call, batch.leftAfter);
			}
		});
		call.children.add(child);
	}

	#createChildTerms(call: Call, kind: ReplayKind): Pick<Call, 'root' | 'priority' | 'depth' | 'deadline'> {
		const ownDeadline = this.#time.now + kind.timeoutMilliseconds;
		const isAttributable = call.deadline <= ownDeadline + deadlineToleranceMilliseconds;
		return {
			root: call.root,
			depth: isAttributable ? call.depth + 1 : 1,
			deadline: Math.min(call.deadline, ownDeadline),
			priority: isAttributable ? call.priority : call.gate.leastPriority(),
		};
	}

	#end(call: Call, isServed: boolean, outcome: 'success' | 'failure' | 'timeout' = isServed ? 'success' : 'failure'): void {
		if (call.isDone) {
			return;
		}

		const {now} = this.#time;
		const {gate} = call;
		this.#release(call, outcome);
		const end: CallEnd = {isServed, crowding: gate.queueingDelays.longest(now)};
		this.#time.after(networkDelayMilliseconds, () => {
			call.ended(end);
		});
	}

	#release(call: Call, outcome: 'success' | 'failure' | 'timeout' | 'cancelled'): void {
		call.isDone = true;
		const {gate} = call;
		gate.calls.delete(call.id);
		for (const child of call.children) {
			if (!child.isDone) {
				this.#release(child, 'cancelled');
			}
		}

		if (gate.running.delete(call)) {
			this.#apply(gate, gate.admission.finish(call.id, outcome, this.#time.now));
			return;
		}

		gate.admission.cancel(call.id, this.#time.now);
	}
}

/** A gate and its upstream. */
class ReplayGate {
	readonly admission: GateAdmission;
	readonly calls = new Map<RequestId, Call>();
	readonly running = new Set<Call>();
	readonly queueingDelays = new QueueingDelayTracker();
	readonly #name: ServiceName;

	constructor(readonly service: ReplayService, readonly speed: number, readonly time: VirtualTime) {
		const {slots} = service;
		this.#name = createServiceName(service.name);
		this.admission = new GateAdmission({slots, now: 0, limit: new AnnouncedLimit({slots, now: 0})});
	}

	load(now: number): number {
		const {inFlight, queueLength, limit} = this.admission.level(now);
		return (inFlight + queueLength) / limit;
	}

	recordWait(waitMilliseconds: number): void {
		this.queueingDelays.record({service: this.#name, waitMilliseconds}, this.time.now);
	}

	/** Duration of work that starts now: half is constant, half is exponentially distributed. */
	workMilliseconds(kind: ReplayKind, random: SeededRandom): number {
		const slowdown = this.running.size >= this.service.slots ? this.service.slowdownWhenFull ?? 1 : 1;
		const mean = kind.workMilliseconds * slowdown / this.speed;
		return (mean / 2) - (mean / 2 * Math.log(1 - random.nextFraction()));
	}

	/** Priority of the least important request that runs; 0, the most important, if none runs. */
	leastPriority(): number {
		return Math.max(0, ...Array.from(this.running, ({priority}) => priority));
	}
}

function add(counts: Map<string, number>, key: string, value: number): void {
	counts.set(key, (counts.get(key) ?? 0) + value);
}
