/**
What a node believes that the holders have left of one team's tokens, by what
they last said. It is used to ask the likeliest holder first, and to refuse
without asking where nobody can have a token; it never admits anything.
*/

import {millisecondsInSecond, type FailureDomain} from '@fireflyglade/model';
import {estimateMilliseconds} from '../_lib/constants.js';
import type {RateLimit} from '../token-bucket/index.js';

type Word = {
	readonly level: number;
	readonly at: number;
};

/** Estimates for one team. */
export class LevelEstimates {
	readonly #words = new Map<FailureDomain, Word>();

	note(domain: FailureDomain, level: number, at: number): void {
		this.#words.set(domain, {level, at});
	}

	/** Parts of a token that the holder may have, at most its whole burst. */
	estimate(domain: FailureDomain, {ratePerSecond, burst}: RateLimit, now: number): number {
		const word = this.#words.get(domain);
		if (word === undefined || now - word.at > estimateMilliseconds) {
			return burst;
		}

		return Math.min(burst, word.level + ((now - word.at) * ratePerSecond / millisecondsInSecond));
	}
}
