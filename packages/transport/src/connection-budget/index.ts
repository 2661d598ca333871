/**
Bounds the connections that the listeners of a process accept, so that descriptors are
left for files, for connections to targets and peers, and for the other listeners.
*/

/** Part of the descriptors that the connections of all listeners may take together. */
const acceptedFraction = 0.75;
/** The same for those of one listener. */
const listenerFraction = 0.625;

/** The connections that all listeners of a process accept. */
export class ConnectionBudget {
	/** Limit of the connections of one listener. */
	readonly maximumPerListener: number;
	readonly #maximum: number;
	#open = 0;

	/** @param descriptors - Number of descriptors that the process may have open. */
	constructor(descriptors: number) {
		this.#maximum = Math.max(1, Math.floor(descriptors * acceptedFraction));
		this.maximumPerListener = Math.max(1, Math.floor(descriptors * listenerFraction));
	}

	/** True while no further connection may be accepted unless another one is closed. */
	get isFull(): boolean {
		return this.#open >= this.#maximum;
	}

	/** Records a new connection. */
	open(): void {
		this.#open += 1;
	}

	/** Records that a connection has closed. */
	close(): void {
		this.#open -= 1;
	}
}
