/**
The queue of updates that messages carry in addition to their own content.

Each update is sent a number of times that grows with the logarithm of the number of
members, and for a limited time. Nodes that miss it find the difference by comparing
digests. The updates sent least often are sent first. Withdrawn keys precede all other
updates: operators are promised a fast withdrawal, and the number of sends is bounded.
*/

import {updateLifetimeMilliseconds, updateRepeatsPerDoubling, updatesPerMessage} from '../_lib/constants.js';
import type {GossipUpdate} from '../_lib/messages.js';

type QueuedUpdate = {
	readonly update: GossipUpdate;
	readonly until: number;
	timesSent: number;
};

/** Returns the subject of an update; a newer update on the same subject replaces the older one. */
export function subjectOf(update: GossipUpdate): string {
	switch (update.kind) {
		case 'member': {
			return `member ${update.record.description.node}`;
		}

		case 'pulse': {
			return `pulse ${update.pulse.node}`;
		}

		case 'lease': {
			return `lease ${update.lease.role} ${update.lease.domain}`;
		}

		case 'withdrawn': {
			return `withdrawn ${update.keys.join(' ')}`;
		}
	}
}

function compareSendOrder(first: QueuedUpdate, second: QueuedUpdate): number {
	const byKind = Number(second.update.kind === 'withdrawn') - Number(first.update.kind === 'withdrawn');
	return byKind === 0 ? first.timesSent - second.timesSent : byKind;
}

/** Updates that still have to be sent. */
export class GossipQueue {
	readonly #queued = new Map<string, QueuedUpdate>();

	/** Adds an update, replacing an older one on the same subject. */
	add(update: GossipUpdate, now: number): void {
		this.#queued.set(subjectOf(update), {update, until: now + updateLifetimeMilliseconds, timesSent: 0});
	}

	/** Takes the updates for one message; pulses are included only if the receiver shares the domain (`includesPulses`). */
	take(memberCount: number, includesPulses: boolean, now: number): GossipUpdate[] {
		const limit = updateRepeatsPerDoubling * Math.ceil(Math.log2(memberCount + 1));
		const chosen: GossipUpdate[] = [];
		const inSendOrder = [...this.#queued].toSorted(([, first], [, second]) => compareSendOrder(first, second));
		for (const [subject, queued] of inSendOrder) {
			if (chosen.length >= updatesPerMessage) {
				break;
			}

			if (queued.until <= now) {
				this.#queued.delete(subject);
				continue;
			}

			if (queued.update.kind === 'pulse' && !includesPulses) {
				continue;
			}

			chosen.push(queued.update);
			queued.timesSent++;
			if (queued.timesSent >= limit) {
				this.#queued.delete(subject);
			}
		}

		return chosen;
	}
}
