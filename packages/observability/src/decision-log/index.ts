/**
Logs the decisions on requests. The rate is limited for each kind of decision with a
token bucket, so that many refusals during an overload don't flood the log.

Omitted lines are counted; the next line of the same kind contains their number.
*/

import {millisecondsInSecond} from '@fireflyglade/model';
import type {Logger} from '../create-logger/index.js';
import type {Fields} from '../_lib/redact-fields/index.js';

/** Sustained number of lines per second for each kind of decision. */
const linesPerSecond = 5;
/** Lines of one kind that may be written at once after an idle period. */
const burstLines = 20;

type TokenBucket = {
	level: number;
	refilledAt: number;
	leftOut: number;
};

/** Options of a decision log. */
export type DecisionLogOptions = {
	readonly logger: Pick<Logger, 'info'>;
	/** Returns the monotonic time in milliseconds. */
	readonly now: () => number;
};

/** Logs decisions at a limited rate for each kind. */
export class DecisionLog {
	readonly #options: DecisionLogOptions;
	readonly #buckets = new Map<string, TokenBucket>();

	constructor(options: DecisionLogOptions) {
		this.#options = options;
	}

	/**
	Logs a decision, or counts it as omitted if the rate is exceeded.

	@param kind - Name of the kind of decision. A bucket is kept for each kind, so that there must be only a few.
	@param describe - Returns the fields; called only if the line is written.
	*/
	record(kind: string, describe: () => Fields): void {
		const bucket = this.#refillBucket(kind);
		if (bucket.level < 1) {
			bucket.leftOut++;
			return;
		}

		bucket.level--;
		const {leftOut} = bucket;
		bucket.leftOut = 0;
		this.#options.logger.info(kind, leftOut === 0 ? describe() : {...describe(), leftOut});
	}

	#refillBucket(kind: string): TokenBucket {
		const now = this.#options.now();
		const bucket = this.#buckets.get(kind) ?? {level: burstLines, refilledAt: now, leftOut: 0};
		bucket.level = Math.min(burstLines, bucket.level + ((now - bucket.refilledAt) * linesPerSecond / millisecondsInSecond));
		bucket.refilledAt = now;
		this.#buckets.set(kind, bucket);
		return bucket;
	}
}
