/**
The event queue of a trial in virtual time.
*/

import {IndexedHeap} from '../../_lib/indexed-heap/index.js';

type Event = {
	readonly at: number;
	readonly sequence: number;
	readonly action: () => void;
};

/** Runs actions in the order of their virtual time. */
export class EventQueue {
	readonly #events = new IndexedHeap<Event>((left, right) => left.at < right.at || (left.at === right.at && left.sequence < right.sequence));
	#now = 0;
	#sequence = 0;

	get now(): number {
		return this.#now;
	}

	/** Schedules `action` after `delay` virtual milliseconds; returns a function that cancels it. */
	after(delay: number, action: () => void): () => void {
		const event: Event = {at: this.#now + Math.max(0, delay), sequence: this.#sequence++, action};
		this.#events.update(event);
		return () => {
			this.#events.remove(event);
		};
	}

	runUntil(end: number): void {
		for (let event = this.#events.first(); event !== undefined && event.at <= end; event = this.#events.first()) {
			this.#events.remove(event);
			this.#now = event.at;
			event.action();
		}

		this.#now = end;
	}
}
