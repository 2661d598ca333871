/**
Linearizable reads that were started on this member. Each read waits until the
leader has confirmed a read index, and then until this member has applied the
entries up to that index.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MemberState} from './member-state.js';

type RequestedRead = {
	readonly readId: number;
	readonly expiresAt: number;
};

/**
Tokens are drawn from one of `tokenRanges` ranges, which is chosen at random when
the process starts, so that a late response to an earlier process is unlikely to
match a token of this one.
*/
const tokensPerRange = 2 ** 31;
const tokenRanges = 2 ** 21;

/** The reads of one member. */
export class FollowerReads {
	readonly #state: MemberState;
	/** Reads that wait for the leader, by token. */
	readonly #requested = new Map<number, RequestedRead>();
	#nextToken: number;
	/** The index that must be applied before a read is served, by read id. */
	readonly #confirmedIndexes = new Map<number, number>();

	constructor(state: MemberState) {
		this.#state = state;
		this.#nextToken = state.random.nextInteger(tokenRanges) * tokensPerRange;
	}

	/** Asks the leader for a read index; the read fails immediately if no leader is known. */
	ask(readId: number, leader: MemberId | undefined): void {
		const {now, options, term, outbox} = this.#state;
		if (leader === undefined) {
			outbox.push({kind: 'read-failed', readId});
			return;
		}

		const token = this.#nextToken++;
		this.#requested.set(token, {readId, expiresAt: now + options.electionTimeoutMilliseconds});
		outbox.sendImmediately(leader, {kind: 'read-request', term, token});
	}

	handleResponse(token: number, index: number): void {
		const requested = this.#requested.get(token);
		if (requested !== undefined) {
			this.#requested.delete(token);
			this.confirm(requested.readId, index);
		}
	}

	/** Records the index that must be applied before the read is served. */
	confirm(readId: number, index: number): void {
		this.#confirmedIndexes.set(readId, index);
	}

	/** Completes the reads whose index has been applied. */
	completeApplied(): void {
		for (const [readId, index] of this.#confirmedIndexes) {
			if (index <= this.#state.appliedIndex) {
				this.#confirmedIndexes.delete(readId);
				this.#state.outbox.push({kind: 'read-ready', readId, index});
			}
		}
	}

	/** Fails the reads that the leader did not confirm within the election timeout. */
	failExpired(): void {
		for (const [token, requested] of this.#requested) {
			if (this.#state.now >= requested.expiresAt) {
				this.#requested.delete(token);
				this.#state.outbox.push({kind: 'read-failed', readId: requested.readId});
			}
		}
	}
}
