/**
Orders what upstreams say of themselves: a statement that was delayed, repeated or
made by an earlier upstream at the same address changes nothing.
*/

import type {AnnouncedUpstream} from '../../gate/index.js';

/** What an upstream says of itself, with what is needed to order it. */
export type UpstreamAnnouncement = AnnouncedUpstream & {
	readonly instance: string;
	/** Wall-clock milliseconds of the upstream's start; 0 if unknown. */
	readonly bornAt: number;
	/** Rises with each statement of one start. */
	readonly sequence: number;
	/** True if the upstream takes no new work any more. */
	readonly isLeaving: boolean;
};

/** What becomes of a statement. */
export type AnnouncementOutcome = 'taken' | 'outdated' | 'of-another-upstream';

/** The newest statement of the upstream beside a node. */
export class AnnouncementFilter {
	#newest: Pick<UpstreamAnnouncement, 'instance' | 'bornAt' | 'sequence'> | undefined;
	/** Upstreams that have left; they don't come back under the same start. */
	readonly #left = new Map<string, number>();

	/** Judges a statement, and remembers it if it is the newest. */
	accept(statement: UpstreamAnnouncement): AnnouncementOutcome {
		const newest = this.#newest;
		const {instance, bornAt, sequence, isLeaving} = statement;
		if (newest !== undefined && this.#isOutdated(statement, newest)) {
			return 'outdated';
		}

		if (!isLeaving && (this.#left.get(instance) ?? Number.NEGATIVE_INFINITY) >= bornAt) {
			return 'outdated';
		}

		this.#newest = {instance, bornAt, sequence};
		if (isLeaving) {
			this.#left.set(instance, bornAt);
		}

		return 'taken';
	}

	/** An upstream takes its leave; returns true if it is the newest one. */
	leave(instance: string): boolean {
		const isNewest = this.#newest?.instance === instance;
		this.#left.set(instance, isNewest ? this.#newest!.bornAt : Number.NEGATIVE_INFINITY);
		return isNewest;
	}

	#isOutdated({instance, bornAt, sequence}: UpstreamAnnouncement, newest: Pick<UpstreamAnnouncement, 'instance' | 'bornAt' | 'sequence'>): boolean {
		if (bornAt !== newest.bornAt) {
			return bornAt < newest.bornAt;
		}

		return instance === newest.instance && sequence <= newest.sequence;
	}
}
