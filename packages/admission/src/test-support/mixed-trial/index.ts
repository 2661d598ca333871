/**
A trial of a gate in virtual time with several classes of work, latency
objectives and callers that come back after a refusal.

Durations are log-normal with a long tail. The same seed gives the same results.
*/

import {
	createTeamName, SeededRandom, type RequestId, type TeamName,
} from '@fireflyglade/model';
import {GateAdmission} from '../../gate-admission/index.js';
import type {AdmissionDecision} from '../../types.js';
import {FixedLimit} from '../admission-policies/index.js';
import {EventQueue} from '../event-queue/index.js';

/** One class of work. */
export type WorkLoad = {
	readonly workClass: number;
	readonly meanMilliseconds: number;
	readonly objectiveMilliseconds: number;
	readonly deadlineMilliseconds: number;
	/** Share of all requests. */
	readonly share: number;
	/** Importance; 5 by default. */
	readonly priority?: number;
	/** 0 by default, a caller's own request. */
	readonly depth?: number;
};

/** One team. */
export type MixedTeam = {
	readonly name: string;
	/** Configured rate, which is the team's weight. */
	readonly rate: number;
	/** Requests that the team sends, relative to its rate. */
	readonly factor: number;
};

/** Options of a mixed trial. */
export type MixedTrialOptions = {
	readonly seed: number;
	readonly slots: number;
	readonly classes: readonly WorkLoad[];
	readonly teams: readonly MixedTeam[];
	/** Offered load relative to the capacity, if all teams send their rate, by virtual time in milliseconds. */
	readonly load: (now: number) => number;
	/** False to withhold the objectives from the gate, so that it keeps the order of requests without an objective. */
	readonly hasObjectives: boolean;
	/** Times that a refused caller comes back, after the time that the refusal states. */
	readonly returns: number;
	readonly milliseconds: number;
};

/** Counts of the first attempts of one class or team and of what became of them. */
export type MixedCounts = {
	offered: number;
	/** Answered before the objective. */
	onTime: number;
	/** Answered after the objective and before the deadline. */
	late: number;
	/** Given up at the deadline while running. */
	failed: number;
};

/** Results of a mixed trial. */
export type MixedTrialResult = {
	readonly byClass: ReadonlyMap<number, MixedCounts>;
	readonly byTeam: ReadonlyMap<string, MixedCounts>;
	readonly all: MixedCounts;
	/** Refusals of each attempt number; the first attempts have number 0. */
	readonly refusalsByAttempt: readonly number[];
	/** Attempts of each attempt number. */
	readonly attempts: readonly number[];
	/** Time in milliseconds that refused requests had waited, in ascending order. */
	readonly refusalWaits: readonly number[];
	readonly decisions: ReadonlyArray<Extract<AdmissionDecision, {kind: 'refuse'}> & {readonly at: number; readonly deadline: number}>;
};

type Caller = {
	readonly work: WorkLoad;
	readonly team: MixedTeam;
	readonly arrivedAt: number;
	/** Time that the upstream takes for it. */
	readonly serviceMilliseconds: number;
	readonly counts: readonly MixedCounts[];
};

type Attempt = {
	readonly caller: Caller;
	readonly number: number;
	readonly startedAt: number;
	stopTimeout?: () => void;
	stopRun?: () => void;
};

/** Share of a late answer in the value of one before the objective. */
const lateValue = 0.3;
const defaultPriority = 5;
const tickMilliseconds = 10;
const logDeviation = 0.4;
const tailShare = 0.02;
const tailRatio = 5;
/** Mean of a duration whose logarithm has the mean 0. */
const durationMean = Math.exp(logDeviation * logDeviation / 2) * (1 + (tailShare * (tailRatio - 1)));

/** Returns the value earned per offered request. */
export function worthOf({offered, onTime, late}: MixedCounts): number {
	return (onTime + (lateValue * late)) / Math.max(1, offered);
}

function createCounts(): MixedCounts {
	return {
		offered: 0, onTime: 0, late: 0, failed: 0,
	};
}

/** One gate with its callers. */
export class MixedTrial {
	readonly #options: MixedTrialOptions;
	readonly #events = new EventQueue();
	readonly #random: SeededRandom;
	readonly #gate: GateAdmission;
	readonly #attempts = new Map<RequestId, Attempt>();
	readonly #byClass = new Map<number, MixedCounts>();
	readonly #byTeam = new Map<string, MixedCounts>();
	readonly #all = createCounts();
	readonly #refusalsByAttempt: number[] = [];
	readonly #attemptCounts: number[] = [];
	readonly #refusalWaits: number[] = [];
	readonly #decisions: Array<MixedTrialResult['decisions'][number]> = [];
	readonly #ratePerMillisecond: number;
	#sequence = 0;

	constructor(options: MixedTrialOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		this.#gate = new GateAdmission({slots: options.slots, now: 0, limit: new FixedLimit(options.slots)});
		this.#gate.setTeamWeights(new Map<TeamName, number>(options.teams.map(({name, rate}) => [createTeamName(name), rate])));
		let mean = 0;
		let shares = 0;
		for (const {meanMilliseconds, share} of options.classes) {
			mean += meanMilliseconds * share;
			shares += share;
		}

		this.#ratePerMillisecond = options.slots / (mean / shares);
	}

	run(): MixedTrialResult {
		for (const team of this.#options.teams) {
			this.#scheduleArrival(team);
		}

		this.#scheduleTick();
		this.#events.runUntil(this.#options.milliseconds);
		this.#refusalWaits.sort((left, right) => left - right);
		return {
			byClass: this.#byClass,
			byTeam: this.#byTeam,
			all: this.#all,
			refusalsByAttempt: this.#refusalsByAttempt,
			attempts: this.#attemptCounts,
			refusalWaits: this.#refusalWaits,
			decisions: this.#decisions,
		};
	}

	#scheduleArrival(team: MixedTeam): void {
		const rates = this.#options.teams.reduce((sum, {rate}) => sum + rate, 0);
		const rate = this.#ratePerMillisecond * this.#options.load(this.#events.now) * team.factor * team.rate / rates;
		this.#events.after(-Math.log(1 - this.#random.nextFraction()) / rate, () => {
			this.#scheduleArrival(team);
			const work = this.#pickWork();
			const counts = [this.#all, countsOf(this.#byClass, work.workClass), countsOf(this.#byTeam, team.name)];
			for (const count of counts) {
				count.offered++;
			}

			this.#send({
				work, team, arrivedAt: this.#events.now, serviceMilliseconds: this.#drawServiceTime(work), counts,
			}, 0);
		});
	}

	#pickWork(): WorkLoad {
		const {classes} = this.#options;
		let remaining = this.#random.nextFraction() * classes.reduce((sum, {share}) => sum + share, 0);
		for (const work of classes) {
			remaining -= work.share;
			if (remaining < 0) {
				return work;
			}
		}

		return classes[0]!;
	}

	#drawServiceTime({meanMilliseconds}: WorkLoad): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.#random.nextFraction())) * Math.cos(2 * Math.PI * this.#random.nextFraction());
		const tail = this.#random.nextFraction() < tailShare ? tailRatio : 1;
		return meanMilliseconds * tail * Math.exp(logDeviation * normal) / durationMean;
	}

	#scheduleTick(): void {
		this.#events.after(tickMilliseconds, () => {
			this.#scheduleTick();
			this.#apply(this.#gate.tick(this.#events.now));
		});
	}

	#send(caller: Caller, number: number): void {
		const {now} = this.#events;
		const {work, team, arrivedAt} = caller;
		const deadline = arrivedAt + work.deadlineMilliseconds;
		const requestId = `request-${this.#sequence++}` as RequestId;
		const attempt: Attempt = {caller, number, startedAt: now};
		attempt.stopTimeout = this.#events.after(deadline - now, () => {
			this.#timeOut(requestId, attempt);
		});
		this.#attempts.set(requestId, attempt);
		this.#attemptCounts[number] = (this.#attemptCounts[number] ?? 0) + 1;
		this.#apply(this.#gate.offer({
			requestId,
			rootId: requestId,
			team: createTeamName(team.name),
			priority: work.priority ?? defaultPriority,
			deadline,
			objective: this.#options.hasObjectives ? arrivedAt + work.objectiveMilliseconds : undefined,
			workClass: work.workClass,
			depth: work.depth ?? 0,
		}, now));
	}

	#apply(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			const attempt = this.#attempts.get(decision.requestId);
			if (attempt === undefined || decision.kind === 'wait') {
				continue;
			}

			if (decision.kind === 'run') {
				this.#start(decision.requestId, attempt);
			} else {
				this.#refuse(decision, attempt);
			}
		}
	}

	#start(requestId: RequestId, attempt: Attempt): void {
		const {work, arrivedAt, serviceMilliseconds, counts} = attempt.caller;
		attempt.stopRun = this.#events.after(serviceMilliseconds, () => {
			this.#end(requestId, attempt);
			for (const count of counts) {
				count[this.#events.now <= arrivedAt + work.objectiveMilliseconds ? 'onTime' : 'late']++;
			}

			this.#apply(this.#gate.finish(requestId, 'success', this.#events.now));
		});
	}

	#refuse(decision: Extract<AdmissionDecision, {kind: 'refuse'}>, attempt: Attempt): void {
		this.#end(decision.requestId, attempt);
		const {now} = this.#events;
		const {caller, number, startedAt} = attempt;
		const deadline = caller.arrivedAt + caller.work.deadlineMilliseconds;
		this.#decisions.push({...decision, at: now, deadline});
		this.#refusalWaits.push(now - startedAt);
		this.#refusalsByAttempt[number] = (this.#refusalsByAttempt[number] ?? 0) + 1;
		if (number < this.#options.returns && now + decision.retryAfterMilliseconds < deadline) {
			this.#events.after(decision.retryAfterMilliseconds, () => {
				this.#send(caller, number + 1);
			});
		}
	}

	#timeOut(requestId: RequestId, attempt: Attempt): void {
		this.#end(requestId, attempt);
		if (attempt.stopRun === undefined) {
			this.#apply(this.#gate.cancel(requestId, this.#events.now));
			return;
		}

		attempt.stopRun();
		for (const count of attempt.caller.counts) {
			count.failed++;
		}

		this.#apply(this.#gate.finish(requestId, 'timeout', this.#events.now));
	}

	#end(requestId: RequestId, attempt: Attempt): void {
		attempt.stopTimeout?.();
		this.#attempts.delete(requestId);
	}
}

function countsOf<Key>(counts: Map<Key, MixedCounts>, key: Key): MixedCounts {
	const existing = counts.get(key);
	if (existing !== undefined) {
		return existing;
	}

	const created = createCounts();
	counts.set(key, created);
	return created;
}
