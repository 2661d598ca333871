/**
An open-loop load generator: callers of several teams send at given rates
independently of the answers, abort at their deadline and may retry.
*/

import {monitorEventLoopDelay, type IntervalHistogram} from 'node:perf_hooks';
import {SeededRandom} from '@fireflyglade/model';
import {Agent, errors, request} from 'undici';
import type {PhaseFigures} from '../phase-figures/index.js';
import {frontendPaths, secretOf} from '../vm-fleet/index.js';

/** The load that one team offers in a phase. */
export type TeamLoad = {
	readonly name: string;
	/** First attempts per second. */
	readonly offered: number;
};

/** One phase of load and the figures that record it. */
export type LoadPhase = {
	readonly teams: readonly TeamLoad[];
	readonly milliseconds: number;
	/** Share of requests sent to the route with the important priority. */
	readonly importantShare: number;
	/** Maximum number of attempts after the first one. */
	readonly retries: number;
	readonly figures: PhaseFigures;
};

/** Options of a load generator. */
export type CallerLoadOptions = {
	/** Returns the URLs of the nodes that are running now. */
	readonly urls: () => readonly string[];
	readonly backendService: string;
	readonly timeoutMilliseconds: number;
	readonly seed: number;
};

/**
The outcome of one attempt: `good` is a complete, correct answer before the
deadline, `late` an attempt aborted at the deadline, `cut` a broken connection
and `wrong` an answer that is malformed or belongs to another request.
*/
type AttemptOutcome = 'good' | 'refused' | 'failed' | 'late' | 'cut' | 'unreachable' | 'wrong';

type PlannedAttempt = {
	readonly phase: LoadPhase;
	readonly team: string;
	readonly important: boolean;
	readonly attempt: number;
};

const schedulingIntervalMilliseconds = 2;
/** Connections that a caller tries for one attempt before it counts as unreachable. */
const maximumConnectionAttempts = 4;
const retryDelayMilliseconds = 100;
const refusedStatuses: ReadonlySet<number> = new Set([429, 503]);

/** Sends the requests of simulated callers to a fleet. */
export class CallerLoad {
	readonly #options: CallerLoadOptions;
	readonly #random: SeededRandom;
	readonly #agent = new Agent({pipelining: 1, connections: 4000});
	readonly #eventLoopDelay: IntervalHistogram = monitorEventLoopDelay({resolution: 1});
	#sequence = 0;
	#openAttempts = 0;

	constructor(options: CallerLoadOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		this.#eventLoopDelay.enable();
	}

	/** Returns the 99th percentile of this process's event loop delay since the previous call, in milliseconds. */
	takeEventLoopDelay(): number {
		const lag = this.#eventLoopDelay.percentile(99) / 1e6;
		this.#eventLoopDelay.reset();
		return lag;
	}

	/** Runs one phase and waits until all its attempts have ended. */
	async run(phase: LoadPhase): Promise<void> {
		const start = performance.now();
		phase.figures.start(start);
		const due = new Map(phase.teams.map(team => [team, start + this.#drawInterarrivalMilliseconds(team)]));
		await new Promise<void>(resolve => {
			const timer = setInterval(() => {
				const now = Math.min(performance.now(), start + phase.milliseconds);
				this.#sendDue(phase, due, now);
				if (now >= start + phase.milliseconds && this.#openAttempts === 0) {
					clearInterval(timer);
					resolve();
				}
			}, schedulingIntervalMilliseconds);
		});
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#sendDue(phase: LoadPhase, due: Map<TeamLoad, number>, now: number): void {
		for (const team of phase.teams) {
			for (let at = due.get(team)!; at <= now; at = due.get(team)!) {
				due.set(team, at + this.#drawInterarrivalMilliseconds(team));
				const important = this.#random.nextFraction() < phase.importantShare;
				phase.figures.offer(team.name, important, at);
				void this.#send({
					phase, team: team.name, important, attempt: 0,
				});
			}
		}
	}

	#drawInterarrivalMilliseconds(team: TeamLoad): number {
		return -Math.log(1 - this.#random.nextFraction()) * 1000 / team.offered;
	}

	async #send(planned: PlannedAttempt): Promise<void> {
		const startedAt = performance.now();
		this.#openAttempts++;
		const end = await this.#attemptReachable(planned);
		const {phase, team, important, attempt} = planned;
		phase.figures.end({
			team, important, end, startedAt, endedAt: performance.now(),
		});
		if (end !== 'good' && attempt < phase.retries) {
			await pause(retryDelayMilliseconds * (0.5 + this.#random.nextFraction()));
			void this.#send({...planned, attempt: attempt + 1});
		}

		this.#openAttempts--;
	}

	/** Sends an attempt, and immediately chooses a node again if the chosen one refuses connections. */
	async #attemptReachable(planned: PlannedAttempt): Promise<AttemptOutcome> {
		let end: AttemptOutcome = 'unreachable';
		for (let count = 0; count < maximumConnectionAttempts && end === 'unreachable'; count++) {
			end = await this.#attempt(planned);
		}

		return end;
	}

	async #attempt(planned: PlannedAttempt): Promise<AttemptOutcome> {
		const urls = this.#options.urls();
		const url = urls[this.#random.nextInteger(urls.length)]!;
		const id = `job-${this.#sequence++}`;
		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort();
		}, this.#options.timeoutMilliseconds);
		try {
			const answer = await request(`${url}${planned.important ? frontendPaths.important : frontendPaths.normal}`, {
				dispatcher: this.#agent,
				headers: {
					authorization: `Bearer ${secretOf(planned.team)}`,
					'fireflyglade-timeout-ms': String(this.#options.timeoutMilliseconds),
					'x-job': id,
				},
				signal: deadline.signal,
			});
			const body = await answer.body.text();
			return answer.statusCode === 200 ? this.#checkAnswer(body, id) : outcomeOfStatus(answer.statusCode);
		} catch (error: unknown) {
			return outcomeOfError(error, deadline.signal);
		} finally {
			clearTimeout(timer);
		}
	}

	/** Checks that an answer belongs to this request and contains the answer of the backend service. */
	#checkAnswer(body: string, id: string): AttemptOutcome {
		const answer = JSON.parse(body) as {headers: Record<string, string>; called?: {service?: string}};
		return answer.headers['x-job'] === id && answer.called?.service === this.#options.backendService ? 'good' : 'wrong';
	}
}

function outcomeOfStatus(status: number): AttemptOutcome {
	return refusedStatuses.has(status) ? 'refused' : 'failed';
}

function outcomeOfError(error: unknown, deadline: AbortSignal): AttemptOutcome {
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

export type {AttemptOutcome};
