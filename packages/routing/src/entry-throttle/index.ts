/**
Adaptive client-side throttling: refuses requests at the entry node that the
gates would refuse anyway.

For each team, service and priority, the throttle counts the requests that the
gates accepted and refused. Once they have refused clearly more than they
accepted, requests are refused locally until the counts have decayed, so that a
burst costs neither a hop nor work at a gate. The gates still get about twice
the requests that they can accept, so that fairness and priorities are decided
there. The throttle stops by itself as soon as the gates accept all requests.
*/

import type {ServiceName, TeamName} from '@fireflyglade/model';

/** The requests that share one pair of counts. */
export type ThrottleKey = {
	readonly service: ServiceName;
	readonly team?: TeamName | undefined;
	readonly priority: number;
};

/** Number by which refusals may exceed the accepted requests and still count as noise. */
const toleratedRefusals = 8;
/** Half-life of the counts. */
const halfLifeMilliseconds = 1000;
/** Number of counters at which negligible ones are deleted before another is added. */
const maximumCounters = 4096;
/** Sum of both counts of a counter below which it is deleted. */
const negligibleCount = 0.5;

type Counter = {
	/** Requests that the gates refused for lack of capacity. */
	refused: number;
	/** Requests that the gates accepted. */
	taken: number;
	updatedAt: number;
};

/** The throttle of one entry node. */
export class EntryThrottle {
	readonly #counters = new Map<string, Counter>();

	/** True if a request should be refused without sending it to a gate. */
	shouldRefuse(key: ThrottleKey, now: number): boolean {
		const counter = this.#counterOf(key, now);
		return counter.refused > counter.taken + toleratedRefusals;
	}

	/** Milliseconds until requests are sent to the gates again if the counts only decay. */
	recoveryMilliseconds(key: ThrottleKey, now: number): number {
		const counter = this.#counterOf(key, now);
		const excess = (counter.refused - counter.taken) / toleratedRefusals;
		return excess <= 1 ? 0 : Math.log2(excess) * halfLifeMilliseconds;
	}

	/** Counts a request that the gates refused for lack of capacity. */
	recordRefused(key: ThrottleKey, now: number): void {
		this.#counterOf(key, now).refused++;
	}

	/** Counts a request that a gate accepted. */
	recordAccepted(key: ThrottleKey, now: number): void {
		this.#counterOf(key, now).taken++;
	}

	#counterOf(key: ThrottleKey, now: number): Counter {
		const counterKey = `${key.service}\n${key.priority}\n${key.team ?? ''}`;
		const counter = this.#counters.get(counterKey);
		if (counter === undefined) {
			this.#deleteNegligible(now);
			const created: Counter = {refused: 0, taken: 0, updatedAt: now};
			this.#counters.set(counterKey, created);
			return created;
		}

		decay(counter, now);
		return counter;
	}

	#deleteNegligible(now: number): void {
		if (this.#counters.size < maximumCounters) {
			return;
		}

		for (const [counterKey, counter] of this.#counters) {
			decay(counter, now);
			if (counter.refused + counter.taken < negligibleCount) {
				this.#counters.delete(counterKey);
			}
		}
	}
}

function decay(counter: Counter, now: number): void {
	const factor = 0.5 ** (Math.max(0, now - counter.updatedAt) / halfLifeMilliseconds);
	counter.refused *= factor;
	counter.taken *= factor;
	counter.updatedAt = now;
}
