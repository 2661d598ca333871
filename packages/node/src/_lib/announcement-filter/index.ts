/**
Rejects announcements of an upstream that are delayed, repeated or from an earlier
upstream at the same address.
*/

import type {UpstreamDeparture} from '@fireflyglade/model';
import type {AnnouncedUpstream} from '../../gate/index.js';

/** What an upstream announces about itself, with what is needed to order its announcements. */
export type UpstreamAnnouncement = AnnouncedUpstream & {
	readonly instance: string;
	/** Wall-clock milliseconds of the upstream's start; 0 if unknown. */
	readonly bornAt: number;
	/** Increases with each announcement after one start. */
	readonly sequence: number;
	/** True if the upstream no longer accepts new work. */
	readonly isLeaving: boolean;
};

/** Whether an announcement was accepted (`taken`), waits until the departures are known (`deferred`), is stale (`outdated`), is from another upstream than the node's (`of-another-upstream`), or names a start in the future (`not-started`). */
export type AnnouncementOutcome = 'taken' | 'deferred' | 'outdated' | 'of-another-upstream' | 'not-started';

/** Tracks the newest announcement of the upstream beside a node. */
export class AnnouncementFilter {
	#newest: Pick<UpstreamAnnouncement, 'instance' | 'bornAt' | 'sequence'> | undefined;
	/** Start times of the upstreams that have left, by instance. Later announcements of the same start are outdated. */
	readonly #departed = new Map<string, number>();

	/** Accepts an announcement and records it as the newest, or rejects it as outdated. */
	accept(announcement: UpstreamAnnouncement): AnnouncementOutcome {
		const newest = this.#newest;
		const {instance, bornAt, sequence, isLeaving} = announcement;
		if (newest !== undefined && this.#isOutdated(announcement, newest)) {
			return 'outdated';
		}

		if (!isLeaving && this.hasLeft(announcement)) {
			return 'outdated';
		}

		this.#newest = {instance, bornAt, sequence};
		if (isLeaving) {
			this.#recordDeparture(instance, bornAt);
		}

		return 'taken';
	}

	/** Records that an upstream left. Returns true if it is the one with the newest announcement, and not an earlier start of it. */
	leave({instance, bornAt}: Pick<UpstreamDeparture, 'instance' | 'bornAt'>): boolean {
		this.#recordDeparture(instance, bornAt);
		return this.#newest?.instance === instance && this.#newest.bornAt <= bornAt;
	}

	/** True if this start of the instance, or a later one, has left. */
	hasLeft({instance, bornAt}: Pick<UpstreamDeparture, 'instance' | 'bornAt'>): boolean {
		return (this.#departed.get(instance) ?? Number.NEGATIVE_INFINITY) >= bornAt;
	}

	/** Start time of the upstream with the newest announcement; undefined if that is another instance. */
	bornAtOf(instance: string): number | undefined {
		return this.#newest?.instance === instance ? this.#newest.bornAt : undefined;
	}

	#recordDeparture(instance: string, bornAt: number): void {
		this.#departed.set(instance, Math.max(bornAt, this.#departed.get(instance) ?? Number.NEGATIVE_INFINITY));
	}

	#isOutdated({instance, bornAt, sequence}: UpstreamAnnouncement, newest: Pick<UpstreamAnnouncement, 'instance' | 'bornAt' | 'sequence'>): boolean {
		if (bornAt !== newest.bornAt) {
			return bornAt < newest.bornAt;
		}

		return instance === newest.instance && sequence <= newest.sequence;
	}
}
