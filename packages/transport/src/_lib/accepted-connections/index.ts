/**
The connections that one listener has accepted. At the limit, the connection that has been
idle for the longest time is closed for a new one.
*/

import type {Socket} from 'node:net';
import type {ConnectionBudget} from '../../connection-budget/index.js';

/** How a connection is used. */
export type ConnectionUse = {
	/** True while no request of the connection is unanswered. */
	readonly isIdle: boolean;
	/** Monotonic milliseconds at which it was opened or a request of it was last read. */
	readonly lastUsedAt: number;
};

/** Options of `AcceptedConnections`. */
export type AcceptedConnectionsOptions = {
	/** The connections of all listeners of the process. */
	readonly budget: ConnectionBudget;
	/** Limit of the connections of this listener. */
	readonly maximum: number;
	/** Returns how a connection is used; undefined if that isn't known. */
	readonly getUse: (socket: Socket) => ConnectionUse | undefined;
	/** Returns monotonic milliseconds; those of the process if absent. */
	readonly now?: () => number;
};

/** Time for which a connection must have been idle to be closed for another one. */
const minimumIdleMilliseconds = 1000;

/** The connections that one listener has accepted. */
export class AcceptedConnections {
	readonly #budget: ConnectionBudget;
	readonly #maximum: number;
	readonly #getUse: AcceptedConnectionsOptions['getUse'];
	readonly #now: () => number;
	readonly #sockets = new Set<Socket>();

	constructor(options: AcceptedConnectionsOptions) {
		const {budget, maximum, getUse, now = () => performance.now()} = options;
		this.#budget = budget;
		this.#maximum = Math.min(maximum, budget.maximumPerListener);
		this.#getUse = getUse;
		this.#now = now;
	}

	/** Accepts a connection. Returns false if there are too many and none of them can be closed for it. */
	admit(socket: Socket): boolean {
		const isFull = this.#sockets.size >= this.#maximum || this.#budget.isFull;
		if (isFull && !this.#closeIdle()) {
			return false;
		}

		this.#sockets.add(socket);
		this.#budget.open();
		socket.once('close', () => {
			this.#forget(socket);
		});
		return true;
	}

	#forget(socket: Socket): void {
		if (this.#sockets.delete(socket)) {
			this.#budget.close();
		}
	}

	/** Closes the connection that has been idle for the longest time. Returns false if none has been idle for some time. */
	#closeIdle(): boolean {
		const longestIdle = this.#findLongestIdle();
		if (longestIdle === undefined) {
			return false;
		}

		this.#forget(longestIdle);
		longestIdle.destroy();
		return true;
	}

	#findLongestIdle(): Socket | undefined {
		let longestIdle: Socket | undefined;
		let idleSince = this.#now() - minimumIdleMilliseconds;
		for (const socket of this.#sockets) {
			const use = this.#getUse(socket);
			if (use?.isIdle === true && use.lastUsedAt < idleSince) {
				longestIdle = socket;
				idleSince = use.lastUsedAt;
			}
		}

		return longestIdle;
	}
}
