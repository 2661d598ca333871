/**
Simulates load on a call graph of services in virtual time: entry nodes that limit
root requests, a gate in front of each upstream, and upstreams whose calls do not
name the request that they belong to.

The gates use the product's admission control. As at a node, a call of an upstream
gets the priority of the request that has the same deadline, within a tolerance; a
call without such a request gets the priority of the least important request that
runs at the upstream.

Upstreams may refuse a share of what reaches them, and calls may be retried within the
retry budgets of their nodes, as `CallAttempts` retries them.
*/

import {
	AnnouncedLimit, GateAdmission, type AdmissionDecision, type RunOutcome,
} from '@fireflyglade/admission';
import {
	createRouteId, createServiceName, SeededRandom,
	type RequestId, type ServiceName,
} from '@fireflyglade/model';
import {
	QueueingDelayTracker, RefusedShareTracker, spreadRetryDelay,
	type QueueingDelay, type RefusedShare, type RetryBudgets, type RetryDemand, type RootRoute,
} from '@fireflyglade/routing';
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
	/** Retries that its route allows; 0 if absent. */
	readonly retryLimit?: number;
	/** True if its route is idempotent, so that it may run again after a failure. */
	readonly isIdempotent?: boolean;
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
	/** False while the call graph lacks capacity, so that failed runs are not repeated. */
	admitsAll?(now: number): boolean;
	/** Called with the longest queueing delay that an answer reported. */
	recordDelay(crowding: QueueingDelay, now: number): void;
	/** Called when an admitted root request has ended. */
	ended(route: RootRoute, end: {readonly isServed: boolean; readonly admittedAt: number; readonly crowding: QueueingDelay | undefined}, now: number): void;
};

/** Upstreams of a service that refuse a share of what reaches them, at random, without running it. */
export type ReplayRefusal = {
	readonly service: string;
	/** Number of refusing upstreams, the first ones of the service. */
	readonly upstreamCount: number;
	readonly share: number;
	readonly fromMilliseconds: number;
	readonly untilMilliseconds: number;
};

/** How refused and failed calls are retried, by nodes and by callers. */
export type ReplayRetries = {
	/** Creates the retry budgets of a node; entry nodes and gates share those of their node. */
	readonly createBudgets: () => RetryBudgets;
	/** True if a run that failed is repeated even while calls below it are refused. */
	readonly areRunsRepeatedDuringRefusals: boolean;
	/** Mean delay of a retry after a refusal by an upstream. */
	readonly refusedCallDelayMilliseconds: number;
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
	readonly refusal?: ReplayRefusal;
	/** Without it, neither nodes nor callers retry. */
	readonly retries?: ReplayRetries;
};

/** Counts of the root requests of one kind. */
export type ReplayCounts = {
	offered: number;
	served: number;
	withinObjective: number;
	refusedAtEntry: number;
	/** Requests that were admitted and not served in the end; where callers retry, those whose last answer was no refusal. */
	failed: number;
};

/** Results of a replay. */
export type ReplayResult = {
	readonly countsByKind: ReadonlyMap<string, ReplayCounts>;
	/** Fraction of slot time of each service that was spent on own work, without waiting for nested calls. */
	readonly utilization: ReadonlyMap<string, number>;
	/** Fraction of the work of each service that was done for served root requests. */
	readonly usefulFraction: ReadonlyMap<string, number>;
	/** Requests and repeats that reached the upstreams of each service, per 100 ms. */
	readonly arrivals: ReadonlyMap<string, ReplayArrivals>;
};

/** Arrivals at the upstreams of a service, per 100 ms. */
export type ReplayArrivals = {readonly requests: number[]; readonly repeats: number[]};

/** One-way delay between two nodes. */
const networkDelayMilliseconds = 1;
const tickMilliseconds = 10;
/** Minimum queueing delay that is recorded for a request that was shed or found the queue full. */
const shedWaitMilliseconds = 250;
/** Difference up to which the deadlines of a request and its call count as equal. */
const deadlineToleranceMilliseconds = 4;

/** Mean delay of a retry, except after a refusal by an upstream. */
const retryDelayMilliseconds = 10;
/** Refused share of the calls of an upstream from which its failed runs are not repeated. */
const maximumRefusedShareForRepeatedRuns = 0.1;
const arrivalBinMilliseconds = 100;
const outcomeOf = {
	served: 'success', failed: 'failure', refused: 'refused', unreached: 'cancelled',
} as const;

/** Deadline and latency objective of a caller's request. */
type RootTimes = {readonly deadline: number; readonly objective: number};

/** How a try of a caller's request ended. */
type RootResult =
	| {readonly kind: 'served' | 'failed'}
	| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

/** Runs a replay. */
export function replayCallGraph(options: ReplayOptions): ReplayResult {
	return new Replay(options).run();
}

/** How a call ended, with the longest recent queueing delay at its gate and deeper gates. */
type CallEnd = {
	readonly isServed: boolean;
	/** Whether the call reached its upstream, and whether it ran there. */
	readonly reach: 'unreached' | 'refused' | 'ran';
	readonly crowding: QueueingDelay | undefined;
	readonly refusedShare: RefusedShare | undefined;
};

/** The node that makes a call. */
type CallerNode = {
	readonly budgets: RetryBudgets | undefined;
	/** Receives the refused shares that the node's calls meet. */
	readonly refusedShares?: RefusedShareTracker;
	/** False while failed runs are not repeated. */
	readonly mayRepeatRuns: () => boolean;
};

/** One call with its attempts. */
type AttemptedCall = {
	readonly kind: ReplayKind;
	readonly terms: CallTerms;
	/** Calls that the run which makes the call made before. */
	readonly progress?: number;
	readonly node: CallerNode;
	readonly tried: Set<ReplayGate>;
	readonly ended: (end: CallEnd) => void;
};

type CallTerms = Pick<Call, 'root' | 'priority' | 'depth' | 'deadline' | 'isRepeat'>;

/** A root request, with the milliseconds of work done for it by service. */
type Root = {readonly work: Map<string, number>};

type Call = {
	readonly id: RequestId;
	readonly kind: ReplayKind;
	readonly root: Root;
	readonly priority: number;
	readonly depth: number;
	readonly deadline: number;
	/** True if the call is a retry or belongs to a run that is one. */
	readonly isRepeat: boolean;
	readonly offeredAt: number;
	readonly children: Set<Call>;
	readonly ended: (end: CallEnd) => void;
	gate: ReplayGate;
	/** Calls that were made so far and that a gate can tell to belong to this one. */
	madeCalls: number;
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
	readonly #arrivals = new Map<string, ReplayArrivals>();
	#count = 0;

	constructor(options: ReplayOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		for (const service of options.services) {
			this.#gates.set(service.name, service.speeds.map(speed => new ReplayGate(service, speed, this.#time, options.retries?.createBudgets())));
			this.#arrivals.set(service.name, {requests: [], repeats: []});
		}

		for (let index = 0; index < options.entryNodeCount; index++) {
			this.#entryNodes.push(options.createEntryNode(this.#random));
		}

		for (const [index, gate] of [...this.#gates.values()].flat().entries()) {
			const entryNode = this.#entryNodes[index % this.#entryNodes.length]!;
			gate.mayRepeatRuns = () => entryNode.admitsAll?.(this.#time.now) ?? true;
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

		return {
			countsByKind: this.#countsByKind, utilization, usefulFraction, arrivals: this.#arrivals,
		};
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
		const isCounted = begin >= this.#options.measuredFromMilliseconds && begin < this.#options.measuredUntilMilliseconds;
		const counts = this.#countsByKind.get(kind.name)!;
		counts.offered += Number(isCounted);
		this.#tryRoot(kind, {deadline: begin + kind.timeoutMilliseconds, objective: begin + objectiveMilliseconds}, result => {
			if (isCounted) {
				counts.served += Number(result.kind === 'served');
				counts.withinObjective += Number(result.kind === 'served' && this.#time.now - begin <= objectiveMilliseconds);
				counts.refusedAtEntry += Number(result.kind === 'refused');
				counts.failed += Number(result.kind === 'failed');
			}
		});
	}

	/** Sends a request to an entry node. Where callers retry, it is sent again once, immediately after a failure if it is idempotent, and after the stated delay after a refusal. */
	#tryRoot(kind: ReplayKind, times: RootTimes, ended: (result: RootResult) => void, isRetry = false): void {
		this.#sendRoot(kind, times, result => {
			const delay = result.kind === 'refused' ? result.retryAfterMilliseconds : 0;
			const mayRetry = result.kind === 'refused' || (result.kind === 'failed' && kind.isIdempotent === true);
			if (this.#options.retries === undefined || isRetry || !mayRetry || this.#time.now + delay >= times.deadline) {
				ended(result);
				return;
			}

			this.#time.after(delay, () => {
				this.#tryRoot(kind, times, ended, true);
			});
		});
	}

	#sendRoot(kind: ReplayKind, {deadline, objective}: RootTimes, ended: (result: RootResult) => void): void {
		const begin = this.#time.now;
		const nodeIndex = this.#random.nextInteger(this.#entryNodes.length);
		const entryNode = this.#entryNodes[nodeIndex]!;
		const route: RootRoute = {id: createRouteId('GET', `/${kind.name}`), priority: kind.priority};
		const refuse = (): void => {
			const {now} = this.#time;
			const usefulMilliseconds = (objective > now ? objective : deadline) - now;
			ended({kind: 'refused', retryAfterMilliseconds: this.#options.retries === undefined ? 0 : spreadRetryDelay(Number.POSITIVE_INFINITY, usefulMilliseconds, this.#random)});
		};

		if (!entryNode.admits(route, begin)) {
			refuse();
			return;
		}

		const root: Root = {work: new Map()};
		this.#call({
			kind,
			terms: {
				root, priority: kind.priority, depth: 0, deadline, isRepeat: false,
			},
			node: this.#createEntryCaller(entryNode, nodeIndex),
			tried: new Set(),
			ended: end => {
				const {now} = this.#time;
				if (end.crowding !== undefined) {
					entryNode.recordDelay(end.crowding, now);
				}

				entryNode.ended(route, {...end, admittedAt: begin}, now);
				if (end.isServed) {
					for (const [service, milliseconds] of root.work) {
						add(this.#usefulMilliseconds, service, milliseconds);
					}
				}

				if (this.#options.retries !== undefined && end.reach !== 'ran') {
					refuse();
					return;
				}

				ended({kind: end.isServed ? 'served' : 'failed'});
			},
		});
	}

	/** The retry budgets of an entry node are those of the gate at the same node. */
	#createEntryCaller(entryNode: ReplayEntryNode, nodeIndex: number): CallerNode {
		const gates = [...this.#gates.values()].flat();
		return {
			budgets: gates[nodeIndex % gates.length]!.budgets,
			mayRepeatRuns: () => entryNode.admitsAll?.(this.#time.now) ?? true,
		};
	}

	/** Sends the attempts of a call. Returns the first one, with which its parent cancels the call. */
	#call(attempted: AttemptedCall): Call {
		const {kind, terms, node} = attempted;
		const service = createServiceName(kind.service);
		const {now} = this.#time;
		if (attempted.tried.size === 0) {
			node.budgets?.of(service).recordAttempt(now, Number(terms.isRepeat));
		}

		return this.#send(attempted, end => {
			if (end.reach !== 'unreached') {
				node.refusedShares?.recordCall(service, end.reach === 'refused', this.#time.now);
			}

			if (end.refusedShare !== undefined) {
				node.refusedShares?.recordReport(end.refusedShare, this.#time.now);
			}

			if (end.isServed || !this.#acquireRetry(attempted, end)) {
				if (end.reach === 'unreached' && attempted.tried.size === 1) {
					node.budgets?.of(service).withdrawAttempt?.(now, Number(terms.isRepeat));
				}

				attempted.ended(end);
				return;
			}

			this.#time.after(end.reach === 'refused' ? this.#options.retries!.refusedCallDelayMilliseconds : retryDelayMilliseconds, () => {
				this.#call({...attempted, terms: {...terms, isRepeat: true}});
			});
		});
	}

	#acquireRetry({kind, terms, progress = 0, node, tried}: AttemptedCall, end: CallEnd): boolean {
		const {retries} = this.#options;
		const {now} = this.#time;
		const gateCount = this.#gates.get(kind.service)!.length;
		if (retries === undefined || tried.size > (kind.retryLimit ?? 0) || tried.size >= gateCount || now + retryDelayMilliseconds >= terms.deadline) {
			return false;
		}

		const areCallsRefused = (end.refusedShare?.share ?? 0) >= maximumRefusedShareForRepeatedRuns;
		if (end.reach === 'ran' && (kind.isIdempotent !== true || !node.mayRepeatRuns() || (areCallsRefused && !retries.areRunsRepeatedDuringRefusals))) {
			return false;
		}

		const demand: RetryDemand = {
			kind: end.reach === 'refused' ? 'refused-call' : 'repeated-run', depth: terms.depth, priority: terms.priority, progress,
		};
		return node.budgets!.of(createServiceName(kind.service)).takeRetry(now, demand);
	}

	#send({kind, terms, tried}: AttemptedCall, ended: (end: CallEnd) => void): Call {
		const gates = this.#gates.get(kind.service)!.filter(gate => !tried.has(gate));
		const first = gates[this.#random.nextInteger(gates.length)]!;
		const second = gates[this.#random.nextInteger(gates.length)]!;
		const gate = second.load(this.#time.now) < first.load(this.#time.now) ? second : first;
		tried.add(gate);
		const call: Call = {
			...terms,
			id: `call-${this.#count++}` as RequestId,
			kind,
			offeredAt: this.#time.now + networkDelayMilliseconds,
			children: new Set(),
			ended,
			gate,
			madeCalls: 0,
			isRunning: false,
			isDone: false,
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
			this.#end(call, 'unreached');
		}
	}

	#run(call: Call): void {
		const {gate, kind} = call;
		call.isRunning = true;
		gate.running.add(call);
		this.#recordArrival(call);
		if (this.#isRefused(gate)) {
			this.#time.after(networkDelayMilliseconds, () => {
				this.#end(call, 'refused');
			});
			return;
		}

		this.#time.after(call.deadline - this.#time.now, () => {
			this.#end(call, 'failed', 'timeout');
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

	#recordArrival({kind, isRepeat}: Call): void {
		const {requests, repeats} = this.#arrivals.get(kind.service)!;
		const bin = Math.floor(this.#time.now / arrivalBinMilliseconds);
		requests[bin] = (requests[bin] ?? 0) + Number(!isRepeat);
		repeats[bin] = (repeats[bin] ?? 0) + Number(isRepeat);
	}

	/** True if the upstream of a gate refuses the call that reaches it now. */
	#isRefused(gate: ReplayGate): boolean {
		const {refusal} = this.#options;
		const {now} = this.#time;
		if (refusal === undefined || now < refusal.fromMilliseconds || now >= refusal.untilMilliseconds) {
			return false;
		}

		const refusing = this.#gates.get(refusal.service)!.slice(0, refusal.upstreamCount);
		return refusing.includes(gate) && this.#random.nextFraction() < refusal.share;
	}

	/** Makes the remaining nested calls: all in parallel, or one, after which `leftAfter` remain. A batch is complete when none of its calls is open. */
	#makeRemainingCalls(call: Call, left: number): void {
		const {calls} = call.kind;
		if (calls === undefined || left === 0) {
			this.#end(call, 'served');
			return;
		}

		const batch = {open: calls.isParallel ? left : 1, leftAfter: calls.isParallel ? 0 : left - 1};
		for (let count = batch.open; count > 0; count--) {
			this.#makeCall(call, calls.kind, batch);
		}
	}

	#makeCall(call: Call, kind: ReplayKind, batch: {open: number; readonly leftAfter: number}): void {
		const child: Call = this.#call({
			kind,
			terms: this.#createChildTerms(call, kind),
			progress: isAttributable(call, this.#time.now + kind.timeoutMilliseconds) ? call.madeCalls++ : 0,
			node: call.gate.caller,
			tried: new Set(),
			ended: end => {
				call.children.delete(child);
				if (end.crowding !== undefined) {
					call.gate.queueingDelays.record(end.crowding, this.#time.now);
				}

				if (call.isDone) {
					return;
				}

				if (!end.isServed) {
					this.#end(call, 'failed');
					return;
				}

				batch.open--;
				if (batch.open === 0) {
					this.#makeRemainingCalls(call, batch.leftAfter);
				}
			},
		});
		call.children.add(child);
	}

	#createChildTerms(call: Call, kind: ReplayKind): CallTerms {
		const ownDeadline = this.#time.now + kind.timeoutMilliseconds;
		const hasParent = isAttributable(call, ownDeadline);
		return {
			root: call.root,
			isRepeat: call.isRepeat,
			depth: hasParent ? call.depth + 1 : 1,
			deadline: Math.min(call.deadline, ownDeadline),
			priority: hasParent ? call.priority : call.gate.leastPriority(),
		};
	}

	#end(call: Call, kind: 'served' | 'failed' | 'refused' | 'unreached', outcome: RunOutcome = outcomeOf[kind]): void {
		if (call.isDone) {
			return;
		}

		const {now} = this.#time;
		const {gate} = call;
		this.#release(call, outcome);
		const end: CallEnd = {
			isServed: kind === 'served', reach: kind === 'refused' || kind === 'unreached' ? kind : 'ran', crowding: gate.queueingDelays.longest(now), refusedShare: gate.refusedShares.highest(now),
		};
		this.#time.after(networkDelayMilliseconds, () => {
			call.ended(end);
		});
	}

	#release(call: Call, outcome: RunOutcome): void {
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
	/** False while failed runs are not repeated. */
	mayRepeatRuns?: () => boolean;
	readonly admission: GateAdmission;
	readonly calls = new Map<RequestId, Call>();
	readonly running = new Set<Call>();
	readonly queueingDelays = new QueueingDelayTracker();
	readonly refusedShares = new RefusedShareTracker();
	readonly caller: CallerNode;
	readonly #name: ServiceName;

	constructor(readonly service: ReplayService, readonly speed: number, readonly time: VirtualTime, readonly budgets: RetryBudgets | undefined) {
		const {slots} = service;
		this.caller = {
			budgets, refusedShares: this.refusedShares, mayRepeatRuns: () => this.mayRepeatRuns?.() ?? true,
		};
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

/** True if a gate can tell that a call belongs to a request, because the route of the call doesn't limit its timeout further. */
function isAttributable({deadline}: Call, ownDeadline: number): boolean {
	return deadline <= ownDeadline + deadlineToleranceMilliseconds;
}

function add(counts: Map<string, number>, key: string, value: number): void {
	counts.set(key, (counts.get(key) ?? 0) + value);
}
