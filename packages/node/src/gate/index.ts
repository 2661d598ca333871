/**
The gate of the upstream beside the node: the only place that opens connections
to it, and so the only place that knows whether work ran.
*/

import {randomUUID} from 'node:crypto';
import type {Admission, AdmissionDecision, AdmissionOptions} from '@fireflyglade/admission';
import {
	createUpstreamId,
	type Clock, type GateLevel, type NodeId, type ServiceName, type TeamName, type Timer, type UpstreamId,
} from '@fireflyglade/model';
import {QueueingDelayTracker, type QueueingDelay} from '@fireflyglade/routing';
import {HttpSender, type OutcomeResponse, type OutcomeRequest} from '@fireflyglade/transport';
import {productCallInterface, type CallInterface} from '../call-interface/index.js';
import type {JobClaims, LostAnswer, NodeObserver} from '../dependencies.js';
import {CallTable} from '../_lib/call-table/index.js';
import type {
	CallReceiver, CallRunner, GateCall, RunningCall,
} from '../_lib/call-types.js';
import {GateExchange} from '../_lib/gate-exchange/index.js';
import {OutcomeTable} from '../_lib/outcome-table/index.js';

/** An upstream as it announced itself. */
export type AnnouncedUpstream = {
	readonly service: ServiceName;
	/** `host:port` of the upstream. */
	readonly address: string;
	readonly slots: number;
	readonly connections: number;
	/** Name that the upstream took at its start; without one it is known by its node. */
	readonly instance?: string;
	/** Milliseconds for which the upstream is still slow after its start; unknown if absent. */
	readonly coldMilliseconds?: number;
};

/** What a gate is given. */
export type GateOptions = {
	readonly node: NodeId;
	readonly clock: Clock;
	readonly claims: JobClaims;
	readonly observer: NodeObserver;
	readonly createAdmission: (options: AdmissionOptions) => Admission;
	/** The interface that the upstream speaks; the product's own if absent. */
	readonly callInterface?: CallInterface;
	/** Told of each answer of the upstream that was lost. */
	readonly onAnswerLost?: (lost: LostAnswer) => void;
	/** Called if the upstream refuses connections. */
	readonly onUnreachable?: () => void;
};

/** The upstream that a gate serves now. */
export type GateUpstream = {
	readonly id: UpstreamId;
	readonly announced: AnnouncedUpstream;
	readonly admission: Admission;
	readonly sender: HttpSender;
};

const tickMilliseconds = 10;

/** The gate of one node. */
export class Gate implements CallRunner {
	readonly calls = new CallTable();
	readonly outcomes: OutcomeTable;
	readonly callInterface: CallInterface;
	/** Differs at each start of the process. */
	readonly incarnation = randomUUID();
	readonly #exchanges = new Map<string, GateExchange>();
	#upstream: GateUpstream | undefined;
	#ticker: Timer | undefined;
	#weights: ReadonlyMap<TeamName, number> = new Map();
	#isDraining = false;
	readonly #crowding = new QueueingDelayTracker();

	constructor(readonly options: GateOptions) {
		this.callInterface = options.callInterface ?? productCallInterface;
		this.outcomes = new OutcomeTable(options.clock.now());
	}

	/** The upstream that is served now. */
	get upstream(): GateUpstream | undefined {
		return this.#upstream;
	}

	/** Requests that wait or run. */
	get size(): number {
		return this.#exchanges.size;
	}

	/** True once new work is refused for good. */
	get isDraining(): boolean {
		return this.#isDraining;
	}

	/** Takes over what an upstream announced; another address or service replaces the earlier upstream. */
	setUpstream(announced: AnnouncedUpstream): void {
		const {clock, createAdmission, node} = this.options;
		const current = this.#upstream;
		if (current !== undefined && isSameUpstream(current.announced, announced)) {
			if (current.announced.slots !== announced.slots) {
				current.admission.setSlots(announced.slots, clock.now());
			}

			this.#upstream = {...current, announced};
			return;
		}

		this.removeUpstream();
		const admission = createAdmission({slots: announced.slots, now: clock.now(), isCold: (announced.coldMilliseconds ?? 1) > 0});
		admission.setTeamWeights(this.#weights);
		if (this.#isDraining) {
			admission.drain();
		}

		this.#upstream = {
			id: createUpstreamId(announced.service, node, announced.instance),
			announced,
			admission,
			sender: new HttpSender(`http://${announced.address}`, {connections: announced.connections}),
		};
	}

	/** The upstream left or fell silent: what waits is refused, what runs goes on. */
	removeUpstream(): void {
		const leaving = this.#upstream;
		if (leaving === undefined) {
			return;
		}

		this.#upstream = undefined;
		leaving.admission.drain();
		for (const exchange of this.#exchanges.values()) {
			exchange.refuseIfWaiting(leaving);
		}

		void leaving.sender.close();
	}

	/** A request could not be sent; an upstream that refuses connections has ended. */
	noteUnsent(upstream: GateUpstream, cause: NodeJS.ErrnoException): void {
		if (cause.code === 'ECONNREFUSED' && upstream.id === this.#upstream?.id) {
			this.options.onUnreachable?.();
		}
	}

	/** Takes note of what a request waited here, or of what a call of the upstream was told below. */
	hearCrowding(crowding: QueueingDelay): void {
		this.#crowding.hear(crowding, this.options.clock.now());
	}

	/** The longest wait that calls met lately here and below. */
	crowding(now: number): QueueingDelay | undefined {
		return this.#crowding.longest(now);
	}

	/** Sets the weight of each team for the fairness between teams. */
	setTeamWeights(weights: ReadonlyMap<TeamName, number>): void {
		this.#weights = weights;
		this.#upstream?.admission.setTeamWeights(weights);
	}

	/** The gate's load; undefined without an upstream. */
	level(): GateLevel | undefined {
		return this.#upstream?.admission.level(this.options.clock.now());
	}

	run(call: GateCall, receiver: CallReceiver): RunningCall {
		const exchange = new GateExchange(call, receiver, this);
		const {requestId} = call.context;
		if (this.outcomes.isRefused(requestId) || this.#exchanges.has(requestId)) {
			exchange.refuse({code: 'outcome-unknown', outcome: 'not-run', detail: 'the request was already answered as not run'});
			return exchange;
		}

		const upstream = this.#upstream;
		if (upstream === undefined) {
			exchange.refuse({code: 'no-upstream', outcome: 'not-run', detail: 'no upstream has announced itself here'});
			return exchange;
		}

		if (upstream.announced.service !== call.service) {
			exchange.refuse({code: 'no-upstream', outcome: 'not-run', detail: `the upstream here serves ${upstream.announced.service}, and the call is for ${call.service}`});
			return exchange;
		}

		this.#exchanges.set(requestId, exchange);
		exchange.requestAdmission(upstream);
		if (upstream.admission.hasWaitingRequests) {
			this.#startTicker();
		}

		return exchange;
	}

	/** Answers what became of a request. One that still waits is taken back. */
	answer(question: OutcomeRequest): OutcomeResponse {
		const now = this.options.clock.now();
		const exchange = this.#exchanges.get(question.requestId);
		if (exchange?.cancelIfWaiting()) {
			this.outcomes.record(question.requestId, 'not-run', now);
		}

		return this.outcomes.answer(question, now);
	}

	/** Carries out what admission decided. */
	apply(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			this.#exchanges.get(decision.requestId)?.applyDecision(decision);
		}
	}

	/** An exchange has come to its end. */
	forget(exchange: GateExchange): void {
		const {requestId} = exchange.call.context;
		if (this.#exchanges.get(requestId) === exchange) {
			this.#exchanges.delete(requestId);
		}
	}

	/** Refuses new work from now on; what waits or runs goes on. */
	drain(): void {
		this.#isDraining = true;
		this.#upstream?.admission.drain();
	}

	/** Breaks off what still runs and closes the connections to the upstream. */
	async close(): Promise<void> {
		this.#ticker?.cancel();
		const upstream = this.#upstream;
		this.#upstream = undefined;
		await upstream?.sender.destroy();
	}

	#startTicker(): void {
		if (this.#ticker !== undefined) {
			return;
		}

		this.#ticker = this.options.clock.startTimer(tickMilliseconds, () => {
			this.#ticker = undefined;
			this.#tick();
		});
	}

	#tick(): void {
		const upstream = this.#upstream;
		if (upstream === undefined) {
			return;
		}

		const now = this.options.clock.now();
		this.apply(upstream.admission.tick(now));
		if (upstream.admission.hasWaitingRequests) {
			this.#startTicker();
		}
	}
}

function isSameUpstream(first: AnnouncedUpstream, second: AnnouncedUpstream): boolean {
	return first.address === second.address && first.service === second.service && first.instance === second.instance;
}
