/**
Virtual time for replays: actions run in the order of their times, at once.
*/

/** Events in the order of their virtual times. */
export class VirtualTime {
	readonly #heap: Array<{readonly at: number; readonly sequence: number; readonly action: () => void}> = [];
	#now = 0;
	#sequence = 0;

	get now(): number {
		return this.#now;
	}

	after(delay: number, action: () => void): void {
		const heap = this.#heap;
		heap.push({at: this.#now + Math.max(0, delay), sequence: this.#sequence++, action});
		let place = heap.length - 1;
		while (place > 0) {
			const above = Math.floor((place - 1) / 2);
			if (!isBefore(heap[place]!, heap[above]!)) {
				break;
			}

			[heap[place], heap[above]] = [heap[above]!, heap[place]!];
			place = above;
		}
	}

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
		for (let place = 0; ;) {
			const left = (place * 2) + 1;
			const right = left + 1;
			const below = right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
			if (below >= heap.length || !isBefore(heap[below]!, heap[place]!)) {
				return;
			}

			[heap[place], heap[below]] = [heap[below]!, heap[place]!];
			place = below;
		}
	}
}

function isBefore(left: {readonly at: number; readonly sequence: number}, right: {readonly at: number; readonly sequence: number}): boolean {
	return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
