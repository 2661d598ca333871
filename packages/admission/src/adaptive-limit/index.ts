/**
The adaptive concurrency limit of one upstream.
*/

import type {ConcurrencyLimit, RunSample} from '../types.js';

/** A limit that starts from the announced slots. */
export class AdaptiveLimit implements ConcurrencyLimit {
	#slots: number;

	constructor(slots: number) {
		this.#slots = Math.max(1, Math.floor(slots));
	}

	current(_now: number): number {
		return this.#slots;
	}

	setSlots(slots: number, _now: number): void {
		this.#slots = Math.max(1, Math.floor(slots));
	}

	begin(_inFlight: number, _now: number): void {
		// The announced slots alone decide.
	}

	finish(_sample: RunSample, _inFlight: number, _now: number): void {
		// The announced slots alone decide.
	}
}
