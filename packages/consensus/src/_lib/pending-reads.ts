/**
Linearizable reads on the leader: each waits until a quorum has answered a round
that began after the read.
*/

import type {MemberId} from '@fireflyglade/model';

/** Who asked for a read: this member itself, or another one under its token. */
export type ReadOrigin =
	| {readonly kind: 'local'; readonly readId: number}
	| {readonly kind: 'remote'; readonly member: MemberId; readonly token: number};

/** A read whose leader was confirmed: the state up to `index` answers it. */
export type ConfirmedRead = {
	readonly origin: ReadOrigin;
	readonly index: number;
};

type PendingRead = ConfirmedRead & {
	readonly round: number;
};

/** The reads of one leader. */
export class PendingReads {
	/** Reads that came before the first commit of the term. */
	#early: ReadOrigin[] = [];
	#pending: PendingRead[] = [];

	/** The latest round that a read waits for; 0 if none does. */
	get latestRound(): number {
		return this.#pending.at(-1)?.round ?? 0;
	}

	addEarly(origin: ReadOrigin): void {
		this.#early.push(origin);
	}

	add(origin: ReadOrigin, index: number, round: number): void {
		this.#pending.push({origin, index, round});
	}

	/** Gives the reads that waited for the first commit of the term. */
	takeEarly(): readonly ReadOrigin[] {
		const early = this.#early;
		this.#early = [];
		return early;
	}

	/** Gives the reads that a round confirms. */
	takeConfirmed(round: number): readonly ConfirmedRead[] {
		const confirmed = this.#pending.filter(read => read.round <= round);
		this.#pending = this.#pending.filter(read => read.round > round);
		return confirmed;
	}

	/** Gives all reads, since the leader steps down. */
	takeAll(): readonly ReadOrigin[] {
		const origins = [...this.takeEarly(), ...this.#pending.map(read => read.origin)];
		this.#pending = [];
		return origins;
	}
}
