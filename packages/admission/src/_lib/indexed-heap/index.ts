/**
A binary heap that updates and removes any of its items in O(log n).
*/

/** A heap whose first item is the one that `isBefore` orders before all others. */
export class IndexedHeap<Item> {
	readonly #items: Item[] = [];
	readonly #positions = new Map<Item, number>();
	readonly #isBefore: (left: Item, right: Item) => boolean;

	constructor(isBefore: (left: Item, right: Item) => boolean) {
		this.#isBefore = isBefore;
	}

	get size(): number {
		return this.#items.length;
	}

	/** All items, in no order. */
	get items(): readonly Item[] {
		return this.#items;
	}

	first(): Item | undefined {
		return this.#items[0];
	}

	/** Adds an item, or restores the heap order after the sort key of the item has changed. */
	update(item: Item): void {
		let position = this.#positions.get(item);
		if (position === undefined) {
			position = this.#items.length;
			this.#items.push(item);
			this.#positions.set(item, position);
		}

		this.#siftDown(this.#siftUp(position));
	}

	/** Removes an item; returns false if it is not in the heap. */
	remove(item: Item): boolean {
		const position = this.#positions.get(item);
		if (position === undefined) {
			return false;
		}

		this.#positions.delete(item);
		const last = this.#items.pop()!;
		if (position < this.#items.length) {
			this.#place(last, position);
			this.#siftDown(this.#siftUp(position));
		}

		return true;
	}

	#place(item: Item, position: number): void {
		this.#items[position] = item;
		this.#positions.set(item, position);
	}

	#siftUp(start: number): number {
		const item = this.#items[start]!;
		let position = start;
		while (position > 0) {
			const parent = Math.floor((position - 1) / 2);
			if (!this.#isBefore(item, this.#items[parent]!)) {
				break;
			}

			this.#place(this.#items[parent]!, position);
			position = parent;
		}

		if (position !== start) {
			this.#place(item, position);
		}

		return position;
	}

	#siftDown(start: number): void {
		const item = this.#items[start]!;
		let position = start;
		for (;;) {
			const child = this.#earlierChild(position);
			if (child === undefined || !this.#isBefore(this.#items[child]!, item)) {
				break;
			}

			this.#place(this.#items[child]!, position);
			position = child;
		}

		if (position !== start) {
			this.#place(item, position);
		}
	}

	#earlierChild(position: number): number | undefined {
		const left = (2 * position) + 1;
		if (left >= this.#items.length) {
			return undefined;
		}

		const right = left + 1;
		if (right < this.#items.length && this.#isBefore(this.#items[right]!, this.#items[left]!)) {
			return right;
		}

		return left;
	}
}
