/**
Refuses at the entry node what the gates would refuse anyway.

For each team, service and priority the throttle counts what the gates took and
what they refused. Once they have refused more than they took, requests are
refused at once until the counts have faded, so that a storm costs neither a hop
nor a gate's time. The gates still get about twice what they can take, so that
fairness and importance are decided there, and the throttle ends by itself as
soon as they take what they get.
*/

import type {ServiceName, TeamName} from '@fireflyglade/model';

/** What the throttle counts together. */
export type ThrottleKey = {
	readonly service: ServiceName;
	readonly team?: TeamName | undefined;
	readonly priority: number;
};

/** Refusals that are passed over as chance. */
const toleratedRefusals = 8;
const halfLifeMilliseconds = 1000;
const maximumCounters = 4096;
const negligible = 0.5;

type Counter = {
	refused: number;
	taken: number;
	updatedAt: number;
};

/** The throttle of one entry node. */
export class EntryThrottle {
	readonly #counters = new Map<string, Counter>();

	/** True if a request is to be refused at once. */
	shouldRefuse(key: ThrottleKey, now: number): boolean {
		const counter = this.#counter(key, now);
		return counter.refused > counter.taken + toleratedRefusals;
	}

	/** Counts a request that the gates refused for lack of capacity. */
	recordRefused(key: ThrottleKey, now: number): void {
		this.#counter(key, now).refused++;
	}

	/** Counts a request that a gate took. */
	recordAccepted(key: ThrottleKey, now: number): void {
		this.#counter(key, now).taken++;
	}

	#counter(key: ThrottleKey, now: number): Counter {
		const name = `${key.service}\n${key.priority}\n${key.team ?? ''}`;
		const counter = this.#counters.get(name);
		if (counter === undefined) {
			this.#forgetIdle(now);
			const created: Counter = {refused: 0, taken: 0, updatedAt: now};
			this.#counters.set(name, created);
			return created;
		}

		fade(counter, now);
		return counter;
	}

	#forgetIdle(now: number): void {
		if (this.#counters.size < maximumCounters) {
			return;
		}

		for (const [name, counter] of this.#counters) {
			fade(counter, now);
			if (counter.refused + counter.taken < negligible) {
				this.#counters.delete(name);
			}
		}
	}
}

function fade(counter: Counter, now: number): void {
	const factor = 0.5 ** (Math.max(0, now - counter.updatedAt) / halfLifeMilliseconds);
	counter.refused *= factor;
	counter.taken *= factor;
	counter.updatedAt = now;
}
