/**
The gate in front of the node's own upstream. It admits, queues or refuses calls
and forwards the admitted ones. Only the gate opens connections to the upstream,
so only the gate knows whether a request was executed.
*/

import {randomUUID} from 'node:crypto';
import type {
	Admission, AdmissionDecision, AdmissionOptions, LimitState,
} from '@fireflyglade/admission';
import {
	createUpstreamId,
	type Clock, type GateLevel, type NodeId, type Problem, type ServiceName, type TeamName, type Timer, type UpstreamId,
} from '@fireflyglade/model';
import {QueueingDelayTracker, RefusedShareTracker, type QueueingDelay} from '@fireflyglade/routing';
import {HttpSender, type OutcomeResponse, type OutcomeRequest} from '@fireflyglade/transport';
import {productCallInterface, type CallInterface} from '../call-interface/index.js';
import type {JobClaims, IncompleteResponse, NodeObserver} from '../dependencies.js';
import {CallTable} from '../_lib/call-table/index.js';
import type {
	CallReceiver, CallRunner, GateCall, RunningCall,
} from '../_lib/call-types.js';
import {GateExchange} from '../_lib/gate-exchange/index.js';
import {OutcomeTable} from '../_lib/outcome-table/index.js';
import {PauseDetector} from '../_lib/pause-detector/index.js';

/** What an upstream states about itself in an announcement. */
export type AnnouncedUpstream = {
	readonly service: ServiceName;
	/** `host:port` of the upstream. */
	readonly address: string;
	/** Number of requests that the upstream can process concurrently. */
	readonly slots: number;
	/** Maximum number of connections that the gate opens to the upstream. */
	readonly connections: number;
	/** Instance name that the upstream chose at its start; if absent, the name of its node identifies it. */
	readonly instance?: string;
	/** Remaining milliseconds for which the upstream is still cold after its start; if absent, the upstream is treated as cold. */
	readonly coldMilliseconds?: number;
	/** Wall-clock milliseconds of the upstream's start; absent or 0 if unknown. */
	readonly bornAt?: number;
};

/** Options of a gate. */
export type GateOptions = {
	readonly node: NodeId;
	readonly clock: Clock;
	readonly claims: JobClaims;
	readonly observer: NodeObserver;
	readonly createAdmission: (options: AdmissionOptions) => Admission;
	/** The call interface of the upstream; the product's own interface if absent. */
	readonly callInterface?: CallInterface;
	/** Called for each response of the upstream that did not arrive completely. */
	readonly onIncompleteResponse?: (lost: IncompleteResponse) => void;
	/** Called when the upstream refuses a connection. */
	readonly onUpstreamUnreachable?: () => void;
	/** Called with events for the log. */
	readonly onLogEvent?: (event: string, details: {readonly upstream: UpstreamId; readonly cause: string}) => void;
};

/** The current upstream of a gate, with its admission control and its HTTP client. */
export type GateUpstream = {
	readonly id: UpstreamId;
	readonly announced: AnnouncedUpstream;
	readonly admission: Admission;
	readonly sender: HttpSender;
};

/** Interval of the ticks of admission control while requests wait. */
const admissionTickMilliseconds = 10;

/** Rise of the remaining cold time from one announcement to the next that shows a restart; smaller ones are rounding. */
const minimumColdRiseMilliseconds = 500;

/** The gate of one node. */
export class Gate implements CallRunner {
	/** Refused shares of the services that the upstream calls, and of those below them. */
	readonly refusedShares = new RefusedShareTracker();
	readonly calls = new CallTable();
	readonly outcomes: OutcomeTable;
	readonly callInterface: CallInterface;
	/** Identifies this run of the process; a new one is generated at each start. */
	readonly incarnation = randomUUID();
	readonly #exchanges = new Map<string, GateExchange>();
	#upstream: GateUpstream | undefined;
	#ticker: Timer | undefined;
	#weights: ReadonlyMap<TeamName, number> = new Map();
	#isDraining = false;
	readonly #queueingDelays = new QueueingDelayTracker();
	readonly #pauseDetector: PauseDetector;

	constructor(readonly options: GateOptions) {
		this.callInterface = options.callInterface ?? productCallInterface;
		this.outcomes = new OutcomeTable(options.clock.now());
		this.#pauseDetector = new PauseDetector({
			clock: options.clock,
			isNeeded: () => this.#exchanges.size > 0,
			onPause: milliseconds => {
				this.#beginSlowStart(`a pause of ${Math.round(milliseconds)} ms`);
			},
		});
	}

	/** The current upstream; undefined if none is announced. */
	get upstream(): GateUpstream | undefined {
		return this.#upstream;
	}

	/** Number of requests that are queued or running. */
	get size(): number {
		return this.#exchanges.size;
	}

	/** True once new requests are refused permanently, because the node shuts down. */
	get isDraining(): boolean {
		return this.#isDraining;
	}

	/** Applies an announcement. A different address, service or instance replaces the current upstream. */
	setUpstream(announced: AnnouncedUpstream): void {
		const {clock, createAdmission, node} = this.options;
		const current = this.#upstream;
		if (current !== undefined && isSameUpstream(current.announced, announced)) {
			if (current.announced.slots !== announced.slots) {
				current.admission.setSlots(announced.slots, clock.now());
			}

			this.#upstream = {...current, announced};
			if (hasRestarted(current.announced, announced)) {
				this.#beginSlowStart('a restart of the upstream');
			}

			return;
		}

		this.removeUpstream();
		const admission = createAdmission({slots: announced.slots, now: clock.now(), isCold: isCold(announced)});
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

	/** Removes an upstream that left or stopped announcing itself. Queued requests are refused; running requests continue. */
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

	/** Handles a request that could not be sent. A refused connection means that the upstream process has ended. */
	handleSendFailure(upstream: GateUpstream, cause: NodeJS.ErrnoException): void {
		if (cause.code === 'ECONNREFUSED' && upstream.id === this.#upstream?.id) {
			this.options.onUpstreamUnreachable?.();
		}
	}

	/** Records the queueing delay of a request at this gate, or the delay that a deeper gate reported for a call of the upstream. */
	recordQueueingDelay(delay: QueueingDelay): void {
		this.#queueingDelays.record(delay, this.options.clock.now());
	}

	/** The longest recent queueing delay at this gate and at deeper gates in the call graph; undefined if none was recorded recently. */
	crowding(now: number): QueueingDelay | undefined {
		return this.#queueingDelays.longest(now);
	}

	/** Sets the weight of each team for the fair sharing of slots between teams. */
	setTeamWeights(weights: ReadonlyMap<TeamName, number>): void {
		this.#weights = weights;
		this.#upstream?.admission.setTeamWeights(weights);
	}

	/** The current load of the gate; undefined without an upstream. */
	level(): GateLevel | undefined {
		return this.#upstream?.admission.level(this.options.clock.now());
	}

	/** What determines the concurrency limit at present; undefined without an upstream. */
	describeLimit(): LimitState | undefined {
		return this.#upstream?.admission.describeLimit?.(this.options.clock.now());
	}

	/** Offers a call to admission control and reports its result to the receiver. The returned handle can cancel the call. */
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
		this.#pauseDetector.watch();
		exchange.requestAdmission(upstream);
		if (upstream.admission.hasWaitingRequests) {
			this.#startTicker();
		}

		return exchange;
	}

	/** Refuses a call that is not offered to admission control, and records that it did not run. */
	refuse(call: GateCall, receiver: CallReceiver, problem: Problem): void {
		new GateExchange(call, receiver, this).refuse(problem);
	}

	/** Reports the outcome of a request. A request that is still queued is withdrawn and reported as not run. */
	answer(question: OutcomeRequest): OutcomeResponse {
		const now = this.options.clock.now();
		const exchange = this.#exchanges.get(question.requestId);
		if (exchange?.cancelIfWaiting()) {
			this.outcomes.record(question.requestId, 'not-run', now);
		}

		return this.outcomes.answer(question, now);
	}

	/** Executes decisions of admission control. */
	apply(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			this.#exchanges.get(decision.requestId)?.applyDecision(decision);
		}
	}

	/** Removes an exchange that has ended. */
	forget(exchange: GateExchange): void {
		const {requestId} = exchange.call.context;
		if (this.#exchanges.get(requestId) === exchange) {
			this.#exchanges.delete(requestId);
		}
	}

	/** Refuses new requests from now on; queued and running requests continue. */
	drain(): void {
		this.#isDraining = true;
		this.#upstream?.admission.drain();
	}

	/** Aborts running requests and closes the connections to the upstream. */
	async close(): Promise<void> {
		this.#ticker?.cancel();
		this.#pauseDetector.close();
		const upstream = this.#upstream;
		this.#upstream = undefined;
		await upstream?.sender.destroy();
	}

	#beginSlowStart(cause: string): void {
		if (this.#upstream !== undefined) {
			this.#upstream.admission.beginSlowStart?.(this.options.clock.now());
			this.options.onLogEvent?.('slow start of the upstream', {upstream: this.#upstream.id, cause});
		}
	}

	#startTicker(): void {
		if (this.#ticker !== undefined) {
			return;
		}

		this.#ticker = this.options.clock.startTimer(admissionTickMilliseconds, () => {
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

/** True if an upstream is cold; one that does not state it is treated as cold. */
function isCold({coldMilliseconds}: AnnouncedUpstream): boolean {
	return coldMilliseconds === undefined || coldMilliseconds > 0;
}

/** True if an upstream has restarted under its name since the earlier announcement, and is cold. Only values that both announcements state are compared, because an upstream may state them late. */
function hasRestarted(earlier: AnnouncedUpstream, later: AnnouncedUpstream): boolean {
	if (isKnown(earlier.bornAt) && isKnown(later.bornAt) && earlier.bornAt !== later.bornAt) {
		return isCold(later);
	}

	return earlier.coldMilliseconds !== undefined
		&& later.coldMilliseconds !== undefined
		&& later.coldMilliseconds - earlier.coldMilliseconds >= minimumColdRiseMilliseconds;
}

/** True if a time of birth is stated. */
function isKnown(bornAt: number | undefined): boolean {
	return bornAt !== undefined && bornAt !== 0;
}
