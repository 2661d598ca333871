/**
Replays load on a graph of services in virtual time: entry nodes that let requests
in by their shares, a gate before each upstream, and upstreams whose calls name no
request that they belong to.

The gates decide with the admission of the product, and the calls of an upstream
get their importance as at a node: that of their request where both end at once,
else that of the least important request that runs beside the node.
*/

import {AnnouncedLimit, GateAdmission, type AdmissionDecision} from '@fireflyglade/admission';
import {
	createRouteId, createServiceName, SeededRandom,
	type RequestId, type ServiceName,
} from '@fireflyglade/model';
import {QueueingDelayTracker, type QueueingDelay, type RootRoute} from '@fireflyglade/routing';
import {VirtualTime} from '../virtual-time/index.js';

/** A service and the speeds of its upstreams. */
export type ReplayService = {
	readonly name: string;
	readonly slots: number;
	readonly speeds: readonly number[];
	/** Factor by which work takes longer that starts while all slots are taken. */
	readonly slownessWhenFull?: number;
};

/** Requests or calls of one kind, and the calls that each makes after its own work. */
export type ReplayKind = {
	readonly name: string;
	readonly service: string;
	readonly priority: number;
	readonly workMilliseconds: number;
	readonly timeoutMilliseconds: number;
	readonly calls?: {readonly kind: ReplayKind; readonly times: number; readonly together: boolean};
};

/** A kind of request, and how many callers send in a second. */
export type ReplayLoad = {
	readonly kind: ReplayKind;
	readonly perSecond: number;
	/** Milliseconds within which an answer is good. */
	readonly aimMilliseconds: number;
};

/** What an entry node decides, and what it hears. */
export type ReplayDoor = {
	admits(route: RootRoute, now: number): boolean;
	hear(crowding: QueueingDelay, now: number): void;
	ended(route: RootRoute, end: {readonly isServed: boolean; readonly admittedAt: number; readonly crowding: QueueingDelay | undefined}, now: number): void;
};

/** What the replay is given. */
export type ReplayOptions = {
	readonly services: readonly ReplayService[];
	readonly loads: readonly ReplayLoad[];
	readonly entryNodes: number;
	/** Factor on the load at a time. */
	readonly strength: (now: number) => number;
	readonly milliseconds: number;
	/** Milliseconds from which on, and until which, requests count that come in. */
	readonly countedFrom: number;
	readonly countedUntil: number;
	readonly seed: number;
	readonly createDoor: (random: SeededRandom) => ReplayDoor;
};

/** What became of the requests of one kind. */
export type ReplayFigures = {
	asked: number;
	served: number;
	inAim: number;
	refusedAtEntry: number;
	failed: number;
};

/** What became of all. */
export type ReplayResult = {
	readonly figures: ReadonlyMap<string, ReplayFigures>;
	/** Part of the slots of each service that did work, waiting for calls not counted. */
	readonly used: ReadonlyMap<string, number>;
	/** Part of the work of each service that was done for requests which were served. */
	readonly useful: ReadonlyMap<string, number>;
};

const wayMilliseconds = 1;
const tickMilliseconds = 10;
const fullQueueMilliseconds = 250;
const deadlineToleranceMilliseconds = 4;

/** Runs a replay. */
export function replayCallGraph(options: ReplayOptions): ReplayResult {
	return new Replay(options).run();
}

type CallEnd = {readonly isServed: boolean; readonly crowding: QueueingDelay | undefined};

/** A root request, to which the work of its parts is counted. */
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

class Replay {
	readonly #options: ReplayOptions;
	readonly #events = new VirtualTime();
	readonly #random: SeededRandom;
	readonly #gates = new Map<string, ReplayGate[]>();
	readonly #doors: ReplayDoor[] = [];
	readonly #figures = new Map<string, ReplayFigures>();
	readonly #worked = new Map<string, number>();
	readonly #useful = new Map<string, number>();
	#count = 0;

	constructor(options: ReplayOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		for (const service of options.services) {
			this.#gates.set(service.name, service.speeds.map(speed => new ReplayGate(service, speed, this.#events)));
		}

		for (let index = 0; index < options.entryNodes; index++) {
			this.#doors.push(options.createDoor(this.#random));
		}
	}

	run(): ReplayResult {
		for (const load of this.#options.loads) {
			this.#figures.set(load.kind.name, {
				asked: 0, served: 0, inAim: 0, refusedAtEntry: 0, failed: 0,
			});
			this.#arrive(load);
		}

		for (const gate of [...this.#gates.values()].flat()) {
			this.#tick(gate);
		}

		this.#events.runUntil(this.#options.milliseconds);
		const used = new Map<string, number>();
		const useful = new Map<string, number>();
		for (const {name, slots, speeds} of this.#options.services) {
			const worked = this.#worked.get(name) ?? 0;
			used.set(name, worked / (slots * speeds.length * (this.#options.milliseconds - this.#options.countedFrom)));
			useful.set(name, worked === 0 ? 1 : (this.#useful.get(name) ?? 0) / worked);
		}

		return {figures: this.#figures, used, useful};
	}

	#tick(gate: ReplayGate): void {
		this.#events.after(tickMilliseconds, () => {
			this.#apply(gate, gate.admission.tick(this.#events.now));
			this.#tick(gate);
		});
	}

	#arrive(load: ReplayLoad): void {
		const perMillisecond = load.perSecond * this.#options.strength(this.#events.now) / 1000;
		this.#events.after(-Math.log(1 - this.#random.nextFraction()) / perMillisecond, () => {
			this.#enter(load);
			this.#arrive(load);
		});
	}

	#enter({kind, aimMilliseconds}: ReplayLoad): void {
		const begin = this.#events.now;
		const door = this.#doors[this.#random.nextInteger(this.#doors.length)]!;
		const route: RootRoute = {id: createRouteId('GET', `/${kind.name}`), priority: kind.priority};
		const isCounted = begin >= this.#options.countedFrom && begin < this.#options.countedUntil;
		const figures = this.#figures.get(kind.name)!;
		figures.asked += Number(isCounted);
		if (!door.admits(route, begin)) {
			figures.refusedAtEntry += Number(isCounted);
			return;
		}

		const root: Root = {work: new Map()};
		this.#send(kind, {
			root, priority: kind.priority, depth: 0, deadline: begin + kind.timeoutMilliseconds,
		}, end => {
			const {now} = this.#events;
			if (end.crowding !== undefined) {
				door.hear(end.crowding, now);
			}

			door.ended(route, {...end, admittedAt: begin}, now);
			if (isCounted) {
				figures.served += Number(end.isServed);
				figures.inAim += Number(end.isServed && now - begin <= aimMilliseconds);
				figures.failed += Number(!end.isServed);
			}

			if (end.isServed) {
				for (const [service, milliseconds] of root.work) {
					add(this.#useful, service, milliseconds);
				}
			}
		});
	}

	#send(kind: ReplayKind, terms: Pick<Call, 'root' | 'priority' | 'depth' | 'deadline'>, ended: (end: CallEnd) => void): Call {
		const gates = this.#gates.get(kind.service)!;
		const first = gates[this.#random.nextInteger(gates.length)]!;
		const second = gates[this.#random.nextInteger(gates.length)]!;
		const gate = second.load(this.#events.now) < first.load(this.#events.now) ? second : first;
		const call: Call = {
			...terms, id: `call-${this.#count++}` as RequestId, kind, offeredAt: this.#events.now + wayMilliseconds, children: new Set(), ended, gate, isRunning: false, isDone: false,
		};
		this.#events.after(wayMilliseconds, () => {
			if (!call.isDone) {
				gate.calls.set(call.id, call);
				this.#apply(gate, gate.admission.offer({
					requestId: call.id, rootId: call.id, priority: call.priority, deadline: call.deadline, depth: call.depth,
				}, this.#events.now));
			}
		});
		return call;
	}

	#apply(gate: ReplayGate, decisions: readonly AdmissionDecision[]): void {
		const {now} = this.#events;
		for (const decision of decisions) {
			const call = gate.calls.get(decision.requestId);
			if (call === undefined || decision.kind === 'wait') {
				continue;
			}

			const waited = now - call.offeredAt;
			if (decision.kind === 'run') {
				gate.hearWait(waited);
				this.#run(call);
				continue;
			}

			gate.hearWait(decision.reason === 'shed' || decision.reason === 'queue-full' ? Math.max(waited, fullQueueMilliseconds) : waited);
			this.#end(call, false);
		}
	}

	#run(call: Call): void {
		const {gate, kind} = call;
		call.isRunning = true;
		gate.running.add(call);
		this.#events.after(call.deadline - this.#events.now, () => {
			this.#end(call, false, 'timeout');
		});
		const milliseconds = gate.workMilliseconds(kind, this.#random);
		this.#events.after(milliseconds, () => {
			if (this.#events.now >= this.#options.countedFrom) {
				add(this.#worked, kind.service, milliseconds);
				add(call.root.work, kind.service, milliseconds);
			}

			if (!call.isDone) {
				this.#callBelow(call, kind.calls?.times ?? 0);
			}
		});
	}

	/** Makes the calls that are left, at once or one after the other. */
	#callBelow(call: Call, left: number): void {
		const {calls} = call.kind;
		if (calls === undefined || left === 0) {
			this.#end(call, true);
			return;
		}

		const batch = {open: calls.together ? left : 1, leftAfter: calls.together ? 0 : left - 1};
		for (let count = batch.open; count > 0; count--) {
			this.#callOnce(call, calls.kind, batch);
		}
	}

	#callOnce(call: Call, kind: ReplayKind, batch: {open: number; readonly leftAfter: number}): void {
		const child: Call = this.#send(kind, this.#termsBelow(call, kind), end => {
			call.children.delete(child);
			if (end.crowding !== undefined) {
				call.gate.board.hear(end.crowding, this.#events.now);
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
				this.#callBelow(call, batch.leftAfter);
			}
		});
		call.children.add(child);
	}

	#termsBelow(call: Call, kind: ReplayKind): Pick<Call, 'root' | 'priority' | 'depth' | 'deadline'> {
		const own = this.#events.now + kind.timeoutMilliseconds;
		const isTold = call.deadline <= own + deadlineToleranceMilliseconds;
		return {
			root: call.root,
			depth: isTold ? call.depth + 1 : 1,
			deadline: Math.min(call.deadline, own),
			priority: isTold ? call.priority : call.gate.leastPriority(),
		};
	}

	#end(call: Call, isServed: boolean, outcome: 'success' | 'failure' | 'timeout' = isServed ? 'success' : 'failure'): void {
		if (call.isDone) {
			return;
		}

		const {now} = this.#events;
		const {gate} = call;
		this.#release(call, outcome);
		const end: CallEnd = {isServed, crowding: gate.board.longest(now)};
		this.#events.after(wayMilliseconds, () => {
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
			this.#apply(gate, gate.admission.finish(call.id, outcome, this.#events.now));
			return;
		}

		gate.admission.cancel(call.id, this.#events.now);
	}
}

/** One gate and the upstream behind it. */
class ReplayGate {
	readonly admission: GateAdmission;
	readonly calls = new Map<RequestId, Call>();
	readonly running = new Set<Call>();
	readonly board = new QueueingDelayTracker();
	readonly #name: ServiceName;

	constructor(readonly service: ReplayService, readonly speed: number, readonly events: VirtualTime) {
		const {slots} = service;
		this.#name = createServiceName(service.name);
		this.admission = new GateAdmission({slots, now: 0, limit: new AnnouncedLimit({slots, now: 0})});
	}

	load(now: number): number {
		const {inFlight, queueLength, limit} = this.admission.level(now);
		return (inFlight + queueLength) / limit;
	}

	hearWait(waitMilliseconds: number): void {
		this.board.hear({service: this.#name, waitMilliseconds}, this.events.now);
	}

	/** Time for one piece of work that starts now; half is fixed, half varies exponentially. */
	workMilliseconds(kind: ReplayKind, random: SeededRandom): number {
		const slowness = this.running.size >= this.service.slots ? this.service.slownessWhenFull ?? 1 : 1;
		const mean = kind.workMilliseconds * slowness / this.speed;
		return (mean / 2) - (mean / 2 * Math.log(1 - random.nextFraction()));
	}

	leastPriority(): number {
		return Math.max(0, ...Array.from(this.running, ({priority}) => priority));
	}
}

function add(counts: Map<string, number>, key: string, value: number): void {
	counts.set(key, (counts.get(key) ?? 0) + value);
}
