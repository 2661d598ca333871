/**
Answers that are waited for under a number, each for a bounded time.
*/

import type {Clock, FireflygladeError} from '@fireflyglade/model';
import {NoQuorumError} from '../../errors/index.js';

type Waiter<Answer> = {
	readonly resolve: (answer: Answer) => void;
	readonly reject: (error: FireflygladeError) => void;
};

/** Answers that are waited for under a number. */
export class PendingAnswers<Answer> {
	readonly #clock: Clock;
	readonly #waiters = new Map<number, Waiter<Answer>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get size(): number {
		return this.#waiters.size;
	}

	/**
	Waits for the answer under `id`, at most `timeout` milliseconds.

	@throws {NoQuorumError} No answer came in time.
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

	/** Gives the answer under `id`; false if nobody waits for it. */
	resolve(id: number, answer: Answer): boolean {
		const waiter = this.#take(id);
		waiter?.resolve(answer);
		return waiter !== undefined;
	}

	/** Ends the wait under `id` with an error. */
	reject(id: number, error: FireflygladeError): void {
		this.#take(id)?.reject(error);
	}

	/** Ends every wait with an error. */
	rejectAll(error: FireflygladeError): void {
		const waiters = [...this.#waiters.values()];
		this.#waiters.clear();
		for (const waiter of waiters) {
			waiter.reject(error);
		}
	}

	has(id: number): boolean {
		return this.#waiters.has(id);
	}

	#take(id: number): Waiter<Answer> | undefined {
		const waiter = this.#waiters.get(id);
		this.#waiters.delete(id);
		return waiter;
	}
}
