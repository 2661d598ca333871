/**
Callers of several teams that send at given rates whatever the answers are, give
up at their deadline and may retry.
*/

import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import {SeededRandom} from '@fireflyglade/model';
import {Agent, errors, request} from 'undici';
import type {PhaseFigures} from '../phase-figures/index.js';
import {frontPaths, secretOf} from '../vm-fleet/index.js';

/** The load of one team in a phase. */
export type TeamLoad = {
	readonly name: string;
	/** First attempts a second. */
	readonly offered: number;
};

/** One phase of load. */
export type LoadPhase = {
	readonly teams: readonly TeamLoad[];
	readonly milliseconds: number;
	/** Share of important requests. */
	readonly importantShare: number;
	/** Attempts after the first one. */
	readonly retries: number;
	readonly figures: PhaseFigures;
};

/** Options of the callers. */
export type CallerLoadOptions = {
	/** URLs of the nodes that can be reached now. */
	readonly urls: () => readonly string[];
	readonly deepService: string;
	readonly timeoutMilliseconds: number;
	readonly seed: number;
};

/** What a caller got of one attempt. */
type AttemptEnd = 'good' | 'refused' | 'failed' | 'late' | 'cut' | 'unreachable' | 'wrong';

type Job = {
	readonly phase: LoadPhase;
	readonly team: string;
	readonly important: boolean;
	readonly attempt: number;
};

const stepMilliseconds = 2;
/** Nodes that a caller tries to reach for one attempt. */
const triedNodes = 4;
const retryDelayMilliseconds = 100;
const refusedStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Callers of a fleet. */
export class CallerLoad {
	readonly #options: CallerLoadOptions;
	readonly #random: SeededRandom;
	readonly #agent = new Agent({pipelining: 1, connections: 4000});
	readonly #lag: IntervalHistogram = monitorEventLoopDelay({resolution: 1});
	#sequence = 0;
	#open = 0;

	constructor(options: CallerLoadOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		this.#lag.enable();
	}

	/** 99th percentile of the delay of the callers' own event loop since the last call, in milliseconds. */
	takeLag(): number {
		const lag = this.#lag.percentile(99) / 1e6;
		this.#lag.reset();
		return lag;
	}

	/** Runs one phase and waits until each request has ended. */
	async run(phase: LoadPhase): Promise<void> {
		const start = performance.now();
		phase.figures.start(start);
		const due = new Map(phase.teams.map(team => [team, start + this.#gap(team)]));
		await new Promise<void>(resolve => {
			const timer = setInterval(() => {
				const now = Math.min(performance.now(), start + phase.milliseconds);
				this.#sendDue(phase, due, now);
				if (now >= start + phase.milliseconds && this.#open === 0) {
					clearInterval(timer);
					resolve();
				}
			}, stepMilliseconds);
		});
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#sendDue(phase: LoadPhase, due: Map<TeamLoad, number>, now: number): void {
		for (const team of phase.teams) {
			for (let at = due.get(team)!; at <= now; at = due.get(team)!) {
				due.set(team, at + this.#gap(team));
				const important = this.#random.nextFraction() < phase.importantShare;
				phase.figures.offer(team.name, important, at);
				void this.#send({
					phase, team: team.name, important, attempt: 0,
				});
			}
		}
	}

	#gap(team: TeamLoad): number {
		return -Math.log(1 - this.#random.nextFraction()) * 1000 / team.offered;
	}

	async #send(job: Job): Promise<void> {
		const startedAt = performance.now();
		this.#open++;
		const end = await this.#attemptReachable(job);
		const {phase, team, important, attempt} = job;
		phase.figures.end({
			team, important, end, startedAt, endedAt: performance.now(),
		});
		if (end !== 'good' && attempt < phase.retries) {
			await pause(retryDelayMilliseconds * (0.5 + this.#random.nextFraction()));
			void this.#send({...job, attempt: attempt + 1});
		}

		this.#open--;
	}

	/** Tries other nodes at once while the chosen one refuses connections. */
	async #attemptReachable(job: Job): Promise<AttemptEnd> {
		let end: AttemptEnd = 'unreachable';
		for (let count = 0; count < triedNodes && end === 'unreachable'; count++) {
			end = await this.#attempt(job);
		}

		return end;
	}

	async #attempt(job: Job): Promise<AttemptEnd> {
		const urls = this.#options.urls();
		const url = urls[this.#random.nextInteger(urls.length)]!;
		const id = `job-${this.#sequence++}`;
		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort();
		}, this.#options.timeoutMilliseconds);
		try {
			const answer = await request(`${url}${job.important ? frontPaths.important : frontPaths.usual}`, {
				dispatcher: this.#agent,
				headers: {
					authorization: `Bearer ${secretOf(job.team)}`,
					'fireflyglade-timeout-ms': String(this.#options.timeoutMilliseconds),
					'x-job': id,
				},
				signal: deadline.signal,
			});
			const body = await answer.body.text();
			return answer.statusCode === 200 ? this.#judgeAnswer(body, id) : endOfStatus(answer.statusCode);
		} catch (error: unknown) {
			return endOfError(error, deadline.signal);
		} finally {
			clearTimeout(timer);
		}
	}

	/** An answer is whole if it is that of this request and holds that of the deep service. */
	#judgeAnswer(body: string, id: string): AttemptEnd {
		const answer = JSON.parse(body) as {headers: Record<string, string>; called?: {service?: string}};
		return answer.headers['x-job'] === id && answer.called?.service === this.#options.deepService ? 'good' : 'wrong';
	}
}

function endOfStatus(status: number): AttemptEnd {
	return refusedStatuses.has(status) ? 'refused' : 'failed';
}

function endOfError(error: unknown, deadline: AbortSignal): AttemptEnd {
	if (deadline.aborted) {
		return 'late';
	}

	if (error instanceof SyntaxError) {
		return 'wrong';
	}

	const isUnsent = error instanceof errors.ConnectTimeoutError || (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
	return isUnsent ? 'unreachable' : 'cut';
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

export type {AttemptEnd};
