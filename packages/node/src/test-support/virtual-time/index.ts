/**
Virtual time for simulations: scheduled actions run in the order of their times,
without real waiting.
*/

/** A virtual clock with a queue of scheduled actions, kept in a binary heap. */
export class VirtualTime {
	readonly #heap: Array<{readonly at: number; readonly sequence: number; readonly action: () => void}> = [];
	#now = 0;
	#sequence = 0;

	/** The current virtual time in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Schedules an action after `delay` milliseconds; a negative delay counts as 0. */
	after(delay: number, action: () => void): void {
		const heap = this.#heap;
		heap.push({at: this.#now + Math.max(0, delay), sequence: this.#sequence++, action});
		let index = heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(heap[index]!, heap[parent]!)) {
				break;
			}

			[heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
			index = parent;
		}
	}

	/** Runs all actions that are due up to `end`, and advances the clock to it. */
	runUntil(end: number): void {
		for (let event = this.#heap[0]; event !== undefined && event.at <= end; event = this.#heap[0]) {
			this.#removeFirst();
			this.#now = event.at;
			event.action();
		}

		this.#now = end;
	}

	#removeFirst(): void {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		heap[0] = last;
		for (let index = 0; ;) {
			const left = (index * 2) + 1;
			const right = left + 1;
			const child = right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
			if (child >= heap.length || !isBefore(heap[child]!, heap[index]!)) {
				return;
			}

			[heap[index], heap[child]] = [heap[child]!, heap[index]!];
			index = child;
		}
	}
}

function isBefore(left: {readonly at: number; readonly sequence: number}, right: {readonly at: number; readonly sequence: number}): boolean {
	return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
