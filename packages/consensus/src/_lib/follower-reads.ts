/**
Reads that this member was asked for: they wait for the leader's word on the
index, and then until the entries up to it are applied here.
*/

import type {MemberId} from '@fireflyglade/model';
import type {MemberState} from './member-state.js';

type AskedRead = {
	readonly readId: number;
	readonly expiresAt: number;
};

const tokensOfOneStart = 2 ** 31;
const startRange = 2 ** 21;

/** The reads of one member. */
export class FollowerReads {
	readonly #state: MemberState;
	/** By token; a token of an earlier process is unlikely to be met again. */
	readonly #asked = new Map<number, AskedRead>();
	#nextToken: number;
	/** Index that must be applied, by read id. */
	readonly #confirmed = new Map<number, number>();

	constructor(state: MemberState) {
		this.#state = state;
		this.#nextToken = state.random.nextInteger(startRange) * tokensOfOneStart;
	}

	ask(readId: number, leader: MemberId | undefined): void {
		const {now, options, term, durability} = this.#state;
		if (leader === undefined) {
			durability.push({kind: 'read-failed', readId});
			return;
		}

		const token = this.#nextToken++;
		this.#asked.set(token, {readId, expiresAt: now + options.electionTimeoutMilliseconds});
		durability.sendNow(leader, {kind: 'read-request', term, token});
	}

	takeResponse(token: number, index: number): void {
		const asked = this.#asked.get(token);
		if (asked !== undefined) {
			this.#asked.delete(token);
			this.confirm(asked.readId, index);
		}
	}

	confirm(readId: number, index: number): void {
		this.#confirmed.set(readId, index);
	}

	/** Answers the reads whose entries are applied. */
	answerReady(): void {
		for (const [readId, index] of this.#confirmed) {
			if (index <= this.#state.appliedIndex) {
				this.#confirmed.delete(readId);
				this.#state.durability.push({kind: 'read-ready', readId, index});
			}
		}
	}

	/** Fails the reads that the leader has not answered in time. */
	expire(): void {
		for (const [token, asked] of this.#asked) {
			if (this.#state.now >= asked.expiresAt) {
				this.#asked.delete(token);
				this.#state.durability.push({kind: 'read-failed', readId: asked.readId});
			}
		}
	}
}
