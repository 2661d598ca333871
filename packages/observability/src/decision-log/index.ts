/**
Writes a log line for each decision that touches a request, bounded for each kind
of decision, so that an overload of refusals doesn't become one of log lines.

What was left out is counted, and the count stands in the next line of its kind.
*/

import {millisecondsInSecond} from '@fireflyglade/model';
import type {Logger} from '../create-logger/index.js';
import type {Fields} from '../_lib/redact-fields/index.js';

/** Lines a second for each kind of decision. */
const linesPerSecond = 5;
/** Lines of a kind that may be written at once after a pause. */
const burstLines = 20;

type Bucket = {
	level: number;
	filledAt: number;
	leftOut: number;
};

/** Options of a decision log. */
export type DecisionLogOptions = {
	readonly logger: Pick<Logger, 'info'>;
	/** Monotonic milliseconds. */
	readonly now: () => number;
};

/** Writes decisions, at most a few lines a second of each kind. */
export class DecisionLog {
	readonly #options: DecisionLogOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: DecisionLogOptions) {
		this.#options = options;
	}

	/**
	Writes a decision, or counts it as left out.

	@param kind - Name of the kind of decision; few kinds exist.
	@param describe - Gives the fields; called only if the line is written.
	*/
	record(kind: string, describe: () => Fields): void {
		const bucket = this.#fill(kind);
		if (bucket.level < 1) {
			bucket.leftOut++;
			return;
		}

		bucket.level--;
		const {leftOut} = bucket;
		bucket.leftOut = 0;
		this.#options.logger.info(kind, leftOut === 0 ? describe() : {...describe(), leftOut});
	}

	#fill(kind: string): Bucket {
		const now = this.#options.now();
		const bucket = this.#buckets.get(kind) ?? {level: burstLines, filledAt: now, leftOut: 0};
		bucket.level = Math.min(burstLines, bucket.level + ((now - bucket.filledAt) * linesPerSecond / millisecondsInSecond));
		bucket.filledAt = now;
		this.#buckets.set(kind, bucket);
		return bucket;
	}
}
