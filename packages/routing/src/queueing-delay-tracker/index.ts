/**
How long calls wait at the gates of a graph, as far as one place of it has heard.

Where calls name no request that they belong to, nobody can add up what the parts of
one request waited. So each gate tells, beside every answer, the longest wait that
calls meet at it or at the gates which its upstream's calls go to; what is told below
is told on above, until it comes to the nodes where requests enter.
*/

import type {ServiceName} from '@fireflyglade/model';

/** What a gate tells of the waiting at it and below it. */
export type QueueingDelay = {
	/** The service at whose gates calls wait longest. */
	readonly service: ServiceName;
	readonly waitMilliseconds: number;
};

/** Part that one word has in what is held of a service. */
const weightOfWord = 0.2;
/** Milliseconds after which a word says nothing any more. */
const freshMilliseconds = 1000;

type Wait = {
	milliseconds: number;
	heardAt: number;
};

/** The waits that one place of a graph has heard of. */
export class QueueingDelayTracker {
	readonly #waits = new Map<ServiceName, Wait>();

	/** Takes note of a wait at the gates of a service. */
	hear({service, waitMilliseconds}: QueueingDelay, now: number): void {
		const wait = this.#waits.get(service);
		if (wait === undefined || now - wait.heardAt > freshMilliseconds) {
			this.#waits.set(service, {milliseconds: waitMilliseconds, heardAt: now});
			return;
		}

		wait.milliseconds += (waitMilliseconds - wait.milliseconds) * weightOfWord;
		wait.heardAt = now;
	}

	/** The longest wait that was heard of lately. */
	longest(now: number): QueueingDelay | undefined {
		let worst: QueueingDelay | undefined;
		for (const [service, {milliseconds, heardAt}] of this.#waits) {
			if (now - heardAt <= freshMilliseconds && milliseconds > (worst?.waitMilliseconds ?? 0)) {
				worst = {service, waitMilliseconds: milliseconds};
			}
		}

		return worst;
	}
}
