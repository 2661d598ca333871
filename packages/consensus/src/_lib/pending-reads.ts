/**
Linearizable reads on the leader. Each read waits until a quorum has answered a
heartbeat round that started after the read.
*/

import type {MemberId} from '@fireflyglade/model';

/** The origin of a read: this member, or another member, which identifies the read by a token. */
export type ReadOrigin =
	| {readonly kind: 'local'; readonly readId: number}
	| {readonly kind: 'remote'; readonly member: MemberId; readonly token: number};

/** A read for which leadership was confirmed; it is served from a state with all entries up to `index`. */
export type ConfirmedRead = {
	readonly origin: ReadOrigin;
	readonly index: number;
};

type PendingRead = ConfirmedRead & {
	readonly round: number;
};

/** The pending reads of one leader. */
export class PendingReads {
	/** Reads that started before the leader committed the first entry of its term. */
	#deferred: ReadOrigin[] = [];
	#pending: PendingRead[] = [];

	/** The latest round that any read waits for; 0 if there is no read. */
	get latestRound(): number {
		return this.#pending.at(-1)?.round ?? 0;
	}

	/** Holds a read back until the first commit of the term. */
	defer(origin: ReadOrigin): void {
		this.#deferred.push(origin);
	}

	/** Adds a read that is confirmed when a quorum answers `round` or a later round. */
	add(origin: ReadOrigin, index: number, round: number): void {
		this.#pending.push({origin, index, round});
	}

	/** Removes and returns the reads that were held back until the first commit of the term. */
	takeDeferred(): readonly ReadOrigin[] {
		const deferred = this.#deferred;
		this.#deferred = [];
		return deferred;
	}

	/** Removes and returns the reads that are confirmed once `round` is answered. */
	takeConfirmed(round: number): readonly ConfirmedRead[] {
		const confirmed = this.#pending.filter(read => read.round <= round);
		this.#pending = this.#pending.filter(read => read.round > round);
		return confirmed;
	}

	/** Removes and returns the origins of all reads, because the leader steps down. */
	takeAll(): readonly ReadOrigin[] {
		const origins = [...this.takeDeferred(), ...this.#pending.map(read => read.origin)];
		this.#pending = [];
		return origins;
	}
}
