/**
The queue of news that rides on messages.

Each rumor is sent a number of times that grows with the logarithm of the
number of members, and for a limited time, as digests find what it missed; the
ones sent least often go first. Withdrawn keys go before all else: a promise to
operators waits for them, and their number of sends is bounded.
*/

import {rumorLifeMilliseconds, rumorRepeatsPerDoubling, rumorsPerMessage} from '../_lib/constants.js';
import type {GossipUpdate} from '../_lib/messages.js';

type QueuedRumor = {
	readonly rumor: GossipUpdate;
	readonly until: number;
	timesSent: number;
};

/** The subject of a rumor; a newer rumor on the same subject replaces the older one. */
export function subjectOf(rumor: GossipUpdate): string {
	switch (rumor.kind) {
		case 'member': {
			return `member ${rumor.record.description.node}`;
		}

		case 'pulse': {
			return `pulse ${rumor.pulse.node}`;
		}

		case 'lease': {
			return `lease ${rumor.lease.role} ${rumor.lease.domain}`;
		}

		case 'withdrawn': {
			return `withdrawn ${rumor.keys.join(' ')}`;
		}
	}
}

function compareUrgency(first: QueuedRumor, second: QueuedRumor): number {
	const byKind = Number(second.rumor.kind === 'withdrawn') - Number(first.rumor.kind === 'withdrawn');
	return byKind === 0 ? first.timesSent - second.timesSent : byKind;
}

/** News that still has to be spread. */
export class GossipQueue {
	readonly #queued = new Map<string, QueuedRumor>();

	/** Adds news; older news on the same subject is dropped. */
	add(rumor: GossipUpdate, now: number): void {
		this.#queued.set(subjectOf(rumor), {rumor, until: now + rumorLifeMilliseconds, timesSent: 0});
	}

	/** Takes the rumors for one message to a peer, of which `pulses` says whether it shares the domain. */
	take(memberCount: number, pulses: boolean, now: number): GossipUpdate[] {
		const limit = rumorRepeatsPerDoubling * Math.ceil(Math.log2(memberCount + 1));
		const chosen: GossipUpdate[] = [];
		const bySent = [...this.#queued].toSorted(([, first], [, second]) => compareUrgency(first, second));
		for (const [subject, queued] of bySent) {
			if (chosen.length >= rumorsPerMessage) {
				break;
			}

			if (queued.until <= now) {
				this.#queued.delete(subject);
				continue;
			}

			if (queued.rumor.kind === 'pulse' && !pulses) {
				continue;
			}

			chosen.push(queued.rumor);
			queued.timesSent++;
			if (queued.timesSent >= limit) {
				this.#queued.delete(subject);
			}
		}

		return chosen;
	}
}
