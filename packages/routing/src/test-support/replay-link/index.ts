/**
The connection from an entry node to a gate in a replay: what happens to requests
whose answers don't arrive because the network between the two is interrupted.
*/

/** Milliseconds without a byte after which an established connection is reported as silent, and after which it is closed. */
const established = {silentMilliseconds: 700, lostMilliseconds: 1200} as const;
/** The same for a connection that is not established. */
const connecting = {silentMilliseconds: 320, lostMilliseconds: 700} as const;

/** Dependencies of a link. */
export type ReplayLinkOptions = {
	readonly at: (time: number, callback: () => void) => void;
	readonly onSilent: () => void;
};

/** The connection from an entry node to a gate. */
export class ReplayLink {
	#isEstablished = true;
	#waiting: Array<(kind: 'failed' | 'unreachable') => void> = [];

	constructor(readonly options: ReplayLinkOptions) {}

	/** Records that a byte went over the connection. */
	recordByte(): void {
		this.#isEstablished = true;
	}

	/** Lets a request wait for the end of the connection, which has been silent since a time. */
	stall(since: number, onEnd: (kind: 'failed' | 'unreachable') => void): void {
		this.#waiting.push(onEnd);
		if (this.#waiting.length > 1) {
			return;
		}

		const wasEstablished = this.#isEstablished;
		const {silentMilliseconds, lostMilliseconds} = wasEstablished ? established : connecting;
		this.options.at(since + silentMilliseconds, this.options.onSilent);
		this.options.at(since + lostMilliseconds, () => {
			const waiting = this.#waiting;
			this.#waiting = [];
			this.#isEstablished = false;
			for (const end of waiting) {
				end(wasEstablished ? 'failed' : 'unreachable');
			}
		});
	}
}
