/**
Tracks the queueing delay at a gate and at the gates downstream of it.

A call that an upstream makes may carry no id of its root request, so the
queueing delays of one root request cannot always be added up. Instead, each gate
reports with every answer the longest recent queueing delay at itself or at the
gates that its upstream calls. The reports are passed up the call graph until they
reach the entry nodes.
*/

import type {ServiceName} from '@fireflyglade/model';

/** The longest queueing delay at a gate or downstream of it, as reported with answers. */
export type QueueingDelay = {
	/** The service with the longest queueing delay at its gates. */
	readonly service: ServiceName;
	readonly waitMilliseconds: number;
};

/** Weight of one report in the moving average of a service. */
const sampleWeight = 0.2;
/** Age from which an estimate is ignored. */
const maximumAgeMilliseconds = 1000;

type DelayEstimate = {
	milliseconds: number;
	updatedAt: number;
};

/** Exponentially weighted moving averages of the queueing delay, by service. */
export class QueueingDelayTracker {
	readonly #estimates = new Map<ServiceName, DelayEstimate>();

	/** Records a queueing delay at the gates of a service. */
	record({service, waitMilliseconds}: QueueingDelay, now: number): void {
		const estimate = this.#estimates.get(service);
		if (estimate === undefined || now - estimate.updatedAt > maximumAgeMilliseconds) {
			this.#estimates.set(service, {milliseconds: waitMilliseconds, updatedAt: now});
			return;
		}

		estimate.milliseconds += (waitMilliseconds - estimate.milliseconds) * sampleWeight;
		estimate.updatedAt = now;
	}

	/** Returns the service with the longest recent queueing delay; undefined if there is none. */
	longest(now: number): QueueingDelay | undefined {
		let longest: QueueingDelay | undefined;
		for (const [service, {milliseconds, updatedAt}] of this.#estimates) {
			if (now - updatedAt <= maximumAgeMilliseconds && milliseconds > (longest?.waitMilliseconds ?? 0)) {
				longest = {service, waitMilliseconds: milliseconds};
			}
		}

		return longest;
	}
}
