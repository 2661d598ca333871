/**
A trial of an admission policy in front of one simulated upstream, in virtual
time.

Callers of several teams send requests at given rates, cancel them at their
deadline and retry refused or cancelled requests. The same seed gives the same
results.
*/

import {
	createTeamName, SeededRandom, type GateLevel, type RequestId, type TeamName,
} from '@fireflyglade/model';
import type {Admission, AdmissionDecision} from '../../types.js';
import {EventQueue} from '../event-queue/index.js';
import {FakeUpstream, type FakeUpstreamOptions, type JobOutcome} from '../fake-upstream/index.js';

/** The load that one team offers. */
export type TeamLoad = {
	readonly name: string;
	/** Configured rate of the team, which is its weight. */
	readonly rate: number;
	/** First attempts per second. */
	readonly offered: number;
	/** Share of important requests, priority 0; the others have priority 5. */
	readonly importantShare?: number;
};

/** Options of a trial. */
export type TrialOptions = Pick<FakeUpstreamOptions, 'maximumWaiting' | 'outcome' | 'report' | 'slowness'> & {
	readonly seed: number;
	readonly announcedSlots: number;
	readonly realSlots: number;
	readonly meanServiceMilliseconds: number;
	/** Share of the arrivals that the entry nodes send here, the others going to other upstreams; all if absent. */
	readonly entryShare?: (now: number, level: GateLevel) => number;
	readonly teams: readonly TeamLoad[];
	/** Time from the start of each attempt to its deadline. */
	readonly timeoutMilliseconds: number;
	/** Maximum number of retries per request. */
	readonly retries: number;
	readonly retryDelayMilliseconds: number;
	readonly warmUpMilliseconds: number;
	/** Duration of the trial after the warm-up. */
	readonly milliseconds: number;
	/** Creates the admission; without it, every request goes to the upstream and is never cancelled there. */
	readonly admission?: (slots: number) => Admission;
};

/** Results of a trial, without its warm-up unless stated otherwise. */
export type TrialResult = {
	/** Requests per second that the real slots can run at the mean service time. */
	readonly capacity: number;
	/** Answers before the deadline, per second. */
	readonly goodput: number;
	readonly goodputByTeam: ReadonlyMap<string, number>;
	/** First attempts per second. */
	readonly offeredByTeam: ReadonlyMap<string, number>;
	/** Share of important requests that were answered before the deadline of an attempt, including retries. */
	readonly importantShare: number;
	/** Share of attempts that were refused. */
	readonly refusedShare: number;
	/** Share of attempts that reached their deadline without an answer. */
	readonly lateShare: number;
	/** Share of the upstream's runs that it refused. */
	readonly upstreamRefusedShare: number;
	/** Share of the upstream's runs that began to wait inside it. */
	readonly waitedInsideShare: number;
	/** Share of the upstream's runs whose caller had already given up. */
	readonly uselessShare: number;
	/** Answers before the deadline in each tenth of a second, from the start of the trial including the warm-up. */
	readonly answersByTenth: readonly number[];
	/** 99th percentile of the latency of answers before the deadline, in milliseconds. */
	readonly latencyPercentile99: number;
};

const tickMilliseconds = 10;
const tenthMilliseconds = 100;
const percentile = 0.99;

/** One request of a caller, with the number of its current attempt. */
type Job = {
	readonly team: TeamLoad;
	readonly isImportant: boolean;
	readonly attempt: number;
	/** True if the request arrived after the warm-up and its first attempt ends before the trial does. */
	readonly isCounted: boolean;
};

type Attempt = {
	readonly id: RequestId;
	readonly job: Job;
	readonly startedAt: number;
	cancelUpstream?: () => void;
	stopTimeout?: () => void;
	isOver: boolean;
};

/** Runs one trial. */
export class Trial {
	readonly #options: TrialOptions;
	readonly #events = new EventQueue();
	readonly #random: SeededRandom;
	readonly #upstream: FakeUpstream;
	readonly #admission: Admission | undefined;
	readonly #attempts = new Map<RequestId, Attempt>();
	readonly #goodAnswersByTeam = new Map<string, number>();
	readonly #offeredByTeam = new Map<string, number>();
	readonly #answersByTenth: number[] = [];
	readonly #latencies: number[] = [];
	#sequence = 0;
	#goodAnswers = 0;
	#offeredAttempts = 0;
	#refused = 0;
	#late = 0;
	#runs = 0;
	#upstreamRefusals = 0;
	#startedRuns = 0;
	#waitingRuns = 0;
	#uselessRuns = 0;
	#importantOffered = 0;
	#importantGood = 0;

	constructor(options: TrialOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		this.#upstream = new FakeUpstream(this.#events, new SeededRandom(options.seed + 1), {
			...options, slots: options.realSlots,
		});
		this.#admission = options.admission?.(options.announcedSlots);
		const weights = new Map<TeamName, number>();
		for (const team of options.teams) {
			weights.set(createTeamName(team.name), team.rate);
			this.#goodAnswersByTeam.set(team.name, 0);
			this.#offeredByTeam.set(team.name, 0);
		}

		this.#admission?.setTeamWeights(weights);
	}

	run(): TrialResult {
		for (const team of this.#options.teams) {
			this.#scheduleArrival(team);
		}

		this.#scheduleTick();
		this.#events.runUntil(this.#options.warmUpMilliseconds + this.#options.milliseconds);
		return this.#createResult();
	}

	#createResult(): TrialResult {
		const seconds = this.#options.milliseconds / 1000;
		this.#latencies.sort((left, right) => left - right);
		return {
			capacity: this.#options.realSlots * 1000 / this.#options.meanServiceMilliseconds,
			goodput: this.#goodAnswers / seconds,
			goodputByTeam: divideCounts(this.#goodAnswersByTeam, seconds),
			offeredByTeam: divideCounts(this.#offeredByTeam, seconds),
			importantShare: this.#importantGood / Math.max(1, this.#importantOffered),
			refusedShare: this.#refused / Math.max(1, this.#offeredAttempts),
			lateShare: this.#late / Math.max(1, this.#offeredAttempts),
			upstreamRefusedShare: this.#upstreamRefusals / Math.max(1, this.#runs),
			waitedInsideShare: this.#waitingRuns / Math.max(1, this.#startedRuns),
			uselessShare: this.#uselessRuns / Math.max(1, this.#runs),
			answersByTenth: this.#answersByTenth,
			latencyPercentile99: this.#latencies[Math.floor(this.#latencies.length * percentile)] ?? 0,
		};
	}

	get #isCounting(): boolean {
		return this.#events.now >= this.#options.warmUpMilliseconds;
	}

	#scheduleArrival(team: TeamLoad): void {
		const delay = -Math.log(1 - this.#random.nextFraction()) * 1000 / team.offered;
		this.#events.after(delay, () => {
			this.#scheduleArrival(team);
			if (!this.#isSentHere()) {
				return;
			}

			const isImportant = this.#random.nextFraction() < (team.importantShare ?? 0);
			const isCounted = this.#isCounting && this.#events.now < this.#options.warmUpMilliseconds + this.#options.milliseconds - this.#options.timeoutMilliseconds;
			this.#importantOffered += isImportant && isCounted ? 1 : 0;
			if (this.#isCounting) {
				this.#offeredByTeam.set(team.name, this.#offeredByTeam.get(team.name)! + 1);
			}

			this.#send({
				team, isImportant, attempt: 0, isCounted,
			});
		});
	}

	#isSentHere(): boolean {
		const {entryShare} = this.#options;
		return entryShare === undefined || this.#admission === undefined || this.#random.nextFraction() < entryShare(this.#events.now, this.#admission.level(this.#events.now));
	}

	#scheduleTick(): void {
		this.#events.after(tickMilliseconds, () => {
			this.#scheduleTick();
			this.#apply(this.#admission?.tick(this.#events.now) ?? []);
		});
	}

	#send(job: Job): void {
		const {now} = this.#events;
		const attempt: Attempt = {
			id: `request-${this.#sequence++}` as RequestId, job, startedAt: now, isOver: false,
		};
		this.#attempts.set(attempt.id, attempt);
		this.#offeredAttempts += this.#isCounting ? 1 : 0;
		attempt.stopTimeout = this.#events.after(this.#options.timeoutMilliseconds, () => {
			this.#timeOut(attempt);
		});
		if (this.#admission === undefined) {
			this.#start(attempt);
			return;
		}

		this.#apply(this.#admission.offer({
			requestId: attempt.id,
			rootId: attempt.id,
			team: createTeamName(job.team.name),
			priority: job.isImportant ? 0 : 5,
			deadline: now + this.#options.timeoutMilliseconds,
			depth: 0,
		}, now));
	}

	#apply(decisions: readonly AdmissionDecision[]): void {
		for (const decision of decisions) {
			const attempt = this.#attempts.get(decision.requestId);
			if (attempt === undefined) {
				continue;
			}

			switch (decision.kind) {
				case 'run': {
					this.#start(attempt);
					break;
				}

				case 'refuse': {
					this.#refused += this.#isCounting ? 1 : 0;
					this.#end(attempt);
					this.#retry(attempt.job);
					break;
				}

				case 'wait': {
					break;
				}
			}
		}
	}

	#start(attempt: Attempt): void {
		attempt.cancelUpstream = this.#upstream.start((outcome, load) => {
			this.#runs += this.#isCounting ? 1 : 0;
			if (attempt.isOver) {
				this.#uselessRuns += this.#isCounting ? 1 : 0;
				return;
			}

			this.#end(attempt);
			this.#countOutcome(attempt, outcome);
			if (load !== undefined) {
				this.#admission?.observeLoad(load, this.#events.now);
			}

			this.#apply(this.#admission?.finish(attempt.id, outcome, this.#events.now) ?? []);
		});
		this.#startedRuns += this.#isCounting ? 1 : 0;
		this.#waitingRuns += this.#isCounting && this.#upstream.waiting > 0 ? 1 : 0;
	}

	#countOutcome(attempt: Attempt, outcome: JobOutcome): void {
		if (outcome === 'success') {
			this.#countAnswer(attempt);
			return;
		}

		this.#upstreamRefusals += this.#isCounting && outcome === 'refused' ? 1 : 0;
		this.#retry(attempt.job);
	}

	#countAnswer(attempt: Attempt): void {
		const tenth = Math.floor(this.#events.now / tenthMilliseconds);
		this.#answersByTenth[tenth] = (this.#answersByTenth[tenth] ?? 0) + 1;
		if (attempt.job.isImportant && attempt.job.isCounted) {
			this.#importantGood++;
		}

		if (!this.#isCounting) {
			return;
		}

		this.#goodAnswers++;
		this.#latencies.push(this.#events.now - attempt.startedAt);
		this.#goodAnswersByTeam.set(attempt.job.team.name, this.#goodAnswersByTeam.get(attempt.job.team.name)! + 1);
	}

	#timeOut(attempt: Attempt): void {
		this.#late += this.#isCounting ? 1 : 0;
		this.#end(attempt);
		if (this.#admission !== undefined) {
			this.#cancelAtGate(attempt);
		}

		this.#retry(attempt.job);
	}

	#cancelAtGate(attempt: Attempt): void {
		const {now} = this.#events;
		if (attempt.cancelUpstream === undefined) {
			this.#apply(this.#admission!.cancel(attempt.id, now));
			return;
		}

		this.#runs += this.#isCounting ? 1 : 0;
		this.#uselessRuns += this.#isCounting ? 1 : 0;
		attempt.cancelUpstream();
		this.#apply(this.#admission!.finish(attempt.id, 'timeout', now));
	}

	#end(attempt: Attempt): void {
		attempt.isOver = true;
		attempt.stopTimeout?.();
		this.#attempts.delete(attempt.id);
	}

	#retry(job: Job): void {
		if (job.attempt < this.#options.retries) {
			this.#events.after(this.#options.retryDelayMilliseconds * (0.5 + this.#random.nextFraction()), () => {
				this.#send({...job, attempt: job.attempt + 1});
			});
		}
	}
}

function divideCounts(counts: ReadonlyMap<string, number>, divisor: number): Map<string, number> {
	const quotients = new Map<string, number>();
	for (const [name, count] of counts) {
		quotients.set(name, count / divisor);
	}

	return quotients;
}

const recoveryTenths = 20;

/** Returns the seconds from `triggerEnd`, the virtual time in milliseconds at which the cause of the overload ends, until the answers of the following two seconds reach the fraction `share` of `normalGoodput` in answers per second; undefined if they never do. */
export function recoverySeconds(answersByTenth: readonly number[], triggerEnd: number, normalGoodput: number, share: number): number | undefined {
	const first = Math.floor(triggerEnd / tenthMilliseconds);
	for (let start = first; start + recoveryTenths <= answersByTenth.length; start++) {
		let answers = 0;
		for (let tenth = start; tenth < start + recoveryTenths; tenth++) {
			answers += answersByTenth[tenth] ?? 0;
		}

		if (answers / recoveryTenths * 10 >= normalGoodput * share) {
			return (start - first) / 10;
		}
	}

	return undefined;
}
