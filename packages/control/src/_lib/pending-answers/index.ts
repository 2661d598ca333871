/**
Promises of answers that are looked up by a numeric id, each with a timeout.
*/

import type {Clock, FireflygladeError} from '@fireflyglade/model';
import {NoQuorumError} from '../../errors/index.js';

type Waiter<Answer> = {
	readonly resolve: (answer: Answer) => void;
	readonly reject: (error: FireflygladeError) => void;
};

/** Answers that callers await, by numeric id. */
export class PendingAnswers<Answer> {
	readonly #clock: Clock;
	readonly #waiters = new Map<number, Waiter<Answer>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of answers that are awaited. */
	get size(): number {
		return this.#waiters.size;
	}

	/**
	Waits for the answer with an id.

	@param id - Id that no other pending answer has.
	@param timeout - Maximum wait in milliseconds.
	@throws {NoQuorumError} No answer arrived in time.
	@throws {FireflygladeError} The answer was rejected with this error.
	*/
	async wait(id: number, timeout: number): Promise<Answer> {
		return new Promise<Answer>((resolve, reject) => {
			const timer = this.#clock.startTimer(timeout, () => {
				this.#waiters.delete(id);
				reject(new NoQuorumError('no quorum of the control processes confirmed in time'));
			});
			this.#waiters.set(id, {
				resolve(answer) {
					timer.cancel();
					resolve(answer);
				},
				reject(error) {
					timer.cancel();
					reject(error);
				},
			});
		});
	}

	/** Delivers the answer with an id; returns false if it is not awaited. */
	resolve(id: number, answer: Answer): boolean {
		const waiter = this.#take(id);
		waiter?.resolve(answer);
		return waiter !== undefined;
	}

	/** Rejects the answer with an id, if it is awaited. */
	reject(id: number, error: FireflygladeError): void {
		this.#take(id)?.reject(error);
	}

	/** Rejects all answers that are awaited. */
	rejectAll(error: FireflygladeError): void {
		const waiters = [...this.#waiters.values()];
		this.#waiters.clear();
		for (const waiter of waiters) {
			waiter.reject(error);
		}
	}

	/** True if the answer with the id is awaited. */
	has(id: number): boolean {
		return this.#waiters.has(id);
	}

	#take(id: number): Waiter<Answer> | undefined {
		const waiter = this.#waiters.get(id);
		this.#waiters.delete(id);
		return waiter;
	}
}
