/**
A simulated upstream for trials: a number of slots with a queue in front of them.
*/

import type {RandomSource, UpstreamLoad} from '@fireflyglade/model';
import type {RunOutcome} from '../../types.js';
import type {EventQueue} from '../event-queue/index.js';

/** How a job at the upstream ended. */
export type JobOutcome = Extract<RunOutcome, 'success' | 'failure' | 'refused'>;

/** Options of a fake upstream. */
export type FakeUpstreamOptions = {
	/** Number of requests that it actually runs concurrently. */
	readonly slots: number;
	readonly meanServiceMilliseconds: number;
	/** Factor on the service time, by virtual time in milliseconds and the number of running jobs, including the new one. */
	readonly slowness?: (now: number, running: number) => number;
	/** Number of jobs that wait inside it before it refuses more; no limit if absent. */
	readonly maximumWaiting?: number;
	/** Outcome of a job that arrives at the given time; other ones than `success` end it at once. */
	readonly outcome?: (now: number) => JobOutcome;
	/** What it states with each response, given its true load; without it, it states nothing. */
	readonly report?: (load: UpstreamLoad, now: number) => UpstreamLoad;
};

/** Receives the end of a job and the load that the upstream states with it. */
export type JobReceiver = (outcome: JobOutcome, load: UpstreamLoad | undefined) => void;

type Job = {
	readonly done: JobReceiver;
};

/** Time after which a job that is refused or fails ends. */
const failureMilliseconds = 1;

/** A simulated upstream: half of the mean service time is constant, half is exponentially distributed. */
export class FakeUpstream {
	readonly #events: EventQueue;
	readonly #random: RandomSource;
	readonly #options: FakeUpstreamOptions;
	readonly #queue = new Set<Job>();
	readonly #running = new Map<Job, () => void>();

	constructor(events: EventQueue, random: RandomSource, options: FakeUpstreamOptions) {
		this.#events = events;
		this.#random = random;
		this.#options = options;
	}

	/** Number of jobs that wait for a slot. */
	get waiting(): number {
		return this.#queue.size;
	}

	/** Runs a job as soon as a slot is free; returns a function that cancels it. */
	start(done: JobReceiver): () => void {
		const {outcome, maximumWaiting = Number.POSITIVE_INFINITY, slots} = this.#options;
		const isFull = this.#running.size + this.#queue.size >= slots + maximumWaiting;
		const jobOutcome = isFull ? 'refused' : outcome?.(this.#events.now) ?? 'success';
		if (jobOutcome !== 'success') {
			return this.#events.after(failureMilliseconds, () => {
				done(jobOutcome, this.#statedLoad());
			});
		}

		const job: Job = {done};
		this.#queue.add(job);
		this.#fill();
		return () => {
			this.#queue.delete(job);
			this.#running.get(job)?.();
			this.#running.delete(job);
			this.#fill();
		};
	}

	#fill(): void {
		for (const job of this.#queue) {
			if (this.#running.size >= this.#options.slots) {
				return;
			}

			this.#queue.delete(job);
			this.#running.set(job, this.#events.after(this.#serviceMilliseconds(), () => {
				const load = this.#statedLoad();
				this.#running.delete(job);
				job.done('success', load);
				this.#fill();
			}));
		}
	}

	#statedLoad(): UpstreamLoad | undefined {
		return this.#options.report?.({running: this.#running.size, waiting: this.#queue.size, slots: this.#options.slots}, this.#events.now);
	}

	#serviceMilliseconds(): number {
		const mean = this.#options.meanServiceMilliseconds * (this.#options.slowness?.(this.#events.now, this.#running.size + 1) ?? 1);
		return (mean / 2) - (mean / 2 * Math.log(1 - this.#random.nextFraction()));
	}
}
