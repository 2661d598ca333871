/**
One account of the memory that a process holds for its callers and peers: heads, bodies
that are read whole or kept for another attempt, requests that wait, and answers that wait
for a slow reader.

Each connection counts the bytes that it holds in a share of its own. Under memory
pressure, large bodies are not read any further; beyond the limit, the shares that hold
most and were active least recently are evicted. So connections that hold memory without
using it are closed, and callers whose requests are small go on.
*/

import {bytesInKibibyte} from '@fireflyglade/model';

/** Frees the memory of a share: refuses the requests of its connection, or closes it. */
export type Evict = () => void;

/** Fraction of the budget from which there is memory pressure: large bodies are not read any further, and no request is read behind an unanswered one. */
const pressureFraction = 0.75;
/** Shares that hold at least this fraction of what the largest one holds may be evicted for it. */
const comparableFraction = 0.5;

/** Room that is left for each body that reads on: about one read. */
const resumedBytes = 64 * bytesInKibibyte;
/** A share that holds more than this may be evicted for a new request once it has stalled. */
const stalledBytes = 16 * bytesInKibibyte;
/** Time without activity after which a share counts as stalled. */
const stalledMilliseconds = 1000;

/** What is known of a share when one is selected for eviction. */
export type EvictionCandidate = {
	/** Bytes that it holds. */
	readonly bytes: number;
	/** Monotonic milliseconds at which it last took bytes in. */
	readonly lastActiveAt: number;
	readonly isEvictable: boolean;
};

/** Selects the share to evict: the one that was active least recently among those that hold about as much as the largest one. Returns undefined if none can be evicted. */
export function selectEviction<Candidate extends EvictionCandidate>(candidates: Iterable<Candidate>): Candidate | undefined {
	const evictable = [...candidates].filter(({bytes, isEvictable}) => isEvictable && bytes > 0);
	let largest = 0;
	for (const {bytes} of evictable) {
		largest = Math.max(largest, bytes);
	}

	let selected: Candidate | undefined;
	for (const candidate of evictable) {
		if (candidate.bytes < largest * comparableFraction) {
			continue;
		}

		if (selected === undefined || candidate.lastActiveAt < selected.lastActiveAt) {
			selected = candidate;
		}
	}

	return selected;
}

/** The memory of a process for its callers and peers. */
export class MemoryBudget {
	readonly #shares = new Set<MemoryShare>();
	readonly #waiting = new Set<() => void>();
	#heldBytes = 0;

	/**
	@param maximumBytes - Limit of all shares together.
	@param now - Returns monotonic milliseconds.
	*/
	constructor(readonly maximumBytes: number, readonly now: () => number = () => performance.now()) {}

	/** Bytes that all shares hold. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** True while large bodies should not be read any further, and no request behind an unanswered one. */
	get isUnderPressure(): boolean {
		return this.#heldBytes >= this.maximumBytes * pressureFraction;
	}

	/** Opens the share of a connection. Without `evict`, the share is never evicted, so that its holder has to ask `hasRoom` first. */
	open(evict?: Evict): MemoryShare {
		const share = new MemoryShare(this, evict);
		this.#shares.add(share);
		return share;
	}

	/** True if the bytes fit without an eviction. */
	hasRoom(bytes: number): boolean {
		return this.#heldBytes + bytes <= this.maximumBytes;
	}

	/** Calls back once the memory pressure is over. Returns a function that cancels this. */
	whenRelieved(resume: () => void): () => void {
		this.#waiting.add(resume);
		return () => {
			this.#waiting.delete(resume);
		};
	}

	/** Evicts a share that holds much and has stalled. Returns false if there is none. */
	evictStalled(): boolean {
		const stalledBefore = this.now() - stalledMilliseconds;
		const selected = selectEviction([...this.#shares].filter(({bytes, lastActiveAt}) => bytes > stalledBytes && lastActiveAt < stalledBefore));
		selected?.evict();
		return selected !== undefined;
	}

	/** Counts bytes of a share, fewer if they are negative; called by shares alone. */
	count(bytes: number): void {
		this.#heldBytes += bytes;
		if (this.#heldBytes > this.maximumBytes && bytes > 0) {
			this.#evictExcess();
		} else if (bytes < 0 && this.#waiting.size > 0) {
			this.#resumeWaiting();
		}
	}

	/** Removes a share; called by shares alone. */
	remove(share: MemoryShare): void {
		this.#shares.delete(share);
	}

	#evictExcess(): void {
		while (this.#heldBytes > this.maximumBytes) {
			const selected = selectEviction(this.#shares);
			if (selected === undefined) {
				return;
			}

			selected.evict();
		}
	}

	#resumeWaiting(): void {
		let room = (this.maximumBytes * pressureFraction) - this.#heldBytes;
		for (const resume of this.#waiting) {
			if (room <= 0) {
				return;
			}

			room -= resumedBytes;
			this.#waiting.delete(resume);
			resume();
		}
	}
}

/** The memory that one connection holds. */
export class MemoryShare implements EvictionCandidate {
	readonly #budget: MemoryBudget;
	readonly #evict: Evict | undefined;
	#bytes = 0;
	#lastActiveAt: number;
	#isClosed = false;

	constructor(budget: MemoryBudget, evict: Evict | undefined) {
		this.#budget = budget;
		this.#evict = evict;
		this.#lastActiveAt = budget.now();
	}

	get bytes(): number {
		return this.#bytes;
	}

	get lastActiveAt(): number {
		return this.#lastActiveAt;
	}

	get isEvictable(): boolean {
		return this.#evict !== undefined;
	}

	/** Counts bytes that the connection takes in, or that it no longer holds if they are negative. Beyond the limit this evicts the share that is selected, which may be this one. */
	add(bytes: number): void {
		if (this.#isClosed || bytes === 0) {
			return;
		}

		if (bytes > 0) {
			this.#lastActiveAt = this.#budget.now();
		}

		this.#bytes += bytes;
		this.#budget.count(bytes);
	}

	/** Closes the share, since its memory is needed, and frees it. */
	evict(): void {
		this.close();
		this.#evict?.();
	}

	/** Stops counting; what the connection holds is free. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		const bytes = this.#bytes;
		this.#bytes = 0;
		this.#budget.remove(this);
		this.#budget.count(-bytes);
	}
}
