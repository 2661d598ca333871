/**
Counts the memory that one request holds until it is answered.
*/

import {bytesInKibibyte} from '@fireflyglade/model';
import type {MemoryBudget, MemoryShare} from '../../memory-budget/index.js';

/** Bytes that a request may hold under memory pressure, so that ordinary requests go on: a body of 64 KiB and a large head. */
const ordinaryBytes = 128 * bytesInKibibyte;

/** The memory that one request holds. */
export class RequestMemory {
	readonly #share: MemoryShare;
	readonly #budget: MemoryBudget;
	#bytes = 0;
	/** The part of them that is an answer. */
	#answerBytes = 0;
	#refuse: (() => void) | undefined;
	#isAnswered = false;

	constructor(share: MemoryShare, budget: MemoryBudget) {
		this.#share = share;
		this.#budget = budget;
	}

	/** Counts bytes that the request holds from now on, until it is answered. Returns false if no more of its body should be read until `whenRelieved` calls back. */
	hold(bytes: number): boolean {
		if (this.#isAnswered) {
			return true;
		}

		this.#bytes += bytes;
		this.#share.add(bytes);
		return this.#bytes <= ordinaryBytes || !this.#budget.isUnderPressure;
	}

	/** Sets the bytes of the answer that wait for its turn or for the caller. */
	setAnswerBytes(bytes: number): void {
		this.hold(bytes - this.#answerBytes);
		this.#answerBytes = bytes;
	}

	/** Calls back once the memory pressure is over. Returns a function that cancels this. */
	whenRelieved(resume: () => void): () => void {
		return this.#budget.whenRelieved(resume);
	}

	/** Sets how the request is refused if its memory is needed; undefined once it may have been sent to a target. */
	setRefusal(refuse: (() => void) | undefined): void {
		this.#refuse = refuse;
	}

	/** Refuses the request. Returns false if it may have been sent to a target. */
	refuse(): boolean {
		const refuse = this.#refuse;
		this.#refuse = undefined;
		refuse?.();
		return refuse !== undefined;
	}

	/** Counts bytes that the request no longer holds. */
	release(bytes: number): void {
		this.hold(-bytes);
	}

	/** Stops counting, as the request is answered. */
	end(): void {
		this.#share.add(-this.#bytes);
		this.#isAnswered = true;
	}
}
