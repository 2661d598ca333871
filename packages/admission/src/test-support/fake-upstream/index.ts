/**
A simulated upstream for trials: a number of slots with a queue in front of them.
*/

import type {RandomSource} from '@fireflyglade/model';
import type {EventQueue} from '../event-queue/index.js';

/** Options of a fake upstream. */
export type FakeUpstreamOptions = {
	/** Number of requests that it actually runs concurrently. */
	readonly slots: number;
	readonly meanServiceMilliseconds: number;
	/** Factor on the service time, by virtual time in milliseconds. */
	readonly slowness?: (now: number) => number;
};

type Job = {
	readonly done: () => void;
};

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

	/** Runs a job as soon as a slot is free; returns a function that cancels it. */
	start(done: () => void): () => void {
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
				this.#running.delete(job);
				job.done();
				this.#fill();
			}));
		}
	}

	#serviceMilliseconds(): number {
		const mean = this.#options.meanServiceMilliseconds * (this.#options.slowness?.(this.#events.now) ?? 1);
		return (mean / 2) - (mean / 2 * Math.log(1 - this.#random.nextFraction()));
	}
}
