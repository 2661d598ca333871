/**
Collects the figures of one phase of load: counts of attempts and outcomes,
latencies, and the goodput by team and over time. A good answer is complete,
correct and arrives before the deadline.
*/

import {build as buildHistogram} from 'hdr-histogram-js';
import type {AttemptOutcome} from '../caller-load/index.js';

/** One finished attempt of a caller. */
export type EndedAttempt = {
	readonly team: string;
	readonly important: boolean;
	readonly end: AttemptOutcome;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	readonly endedAt: number;
};

/** The summary of one phase. */
export type PhaseSummary = {
	/** First attempts per second. */
	readonly offered: number;
	/** Good answers per second. */
	readonly goodput: number;
	/** Share of important requests that got a good answer. */
	readonly importantShare: number;
	/** Share of requests that got no good answer from any of their attempts. */
	readonly unservedShare: number;
	readonly ends: Readonly<Record<AttemptOutcome, number>>;
	/** 99th percentile of the latency of good answers, in milliseconds. */
	readonly latencyPercentile99: number;
};

const latencyPercentile = 99;
const tenthOfSecondMilliseconds = 100;

/** Records the requests and the outcomes of one phase. */
export class PhaseFigures {
	readonly #warmUpMilliseconds: number;
	readonly #measuredMilliseconds: number;
	readonly #ends: Record<AttemptOutcome, number> = {
		good: 0, refused: 0, failed: 0, late: 0, cut: 0, unreachable: 0, wrong: 0,
	};

	readonly #offeredByTeam = new Map<string, number>();
	readonly #goodByTeam = new Map<string, number>();
	readonly #goodByTenthOfSecond: number[] = [];
	readonly #latencies = buildHistogram();
	#startedAt = 0;
	#offered = 0;
	#totalOffered = 0;
	#totalGood = 0;
	#importantOffered = 0;
	#importantGood = 0;

	/**
	@param warmUpMilliseconds - Time at the start of the phase that is left out of rates and latencies.
	@param milliseconds - Total length of the phase, including the warm-up.
	*/
	constructor(warmUpMilliseconds: number, milliseconds: number) {
		this.#warmUpMilliseconds = warmUpMilliseconds;
		this.#measuredMilliseconds = milliseconds - warmUpMilliseconds;
	}

	/** Number of good answers in the phase, including the warm-up. */
	get totalGood(): number {
		return this.#totalGood;
	}

	/** Number of good answers in each tenth of a second from the start. */
	get goodByTenthOfSecond(): readonly number[] {
		return this.#goodByTenthOfSecond;
	}

	/** Sets the start of the phase, in monotonic milliseconds. */
	start(now: number): void {
		this.#startedAt = now;
	}

	/** Records a request at its first attempt. */
	offer(team: string, important: boolean, now: number): void {
		this.#totalOffered++;
		this.#importantOffered += important ? 1 : 0;
		if (this.#isMeasured(now)) {
			this.#offered++;
			add(this.#offeredByTeam, team);
		}
	}

	/** Records the outcome of an attempt. */
	end(attempt: EndedAttempt): void {
		this.#ends[attempt.end]++;
		if (attempt.end !== 'good') {
			return;
		}

		this.#totalGood++;
		this.#importantGood += attempt.important ? 1 : 0;
		const tenth = Math.floor((attempt.endedAt - this.#startedAt) / tenthOfSecondMilliseconds);
		this.#goodByTenthOfSecond[tenth] = (this.#goodByTenthOfSecond[tenth] ?? 0) + 1;
		if (this.#isMeasured(attempt.endedAt)) {
			add(this.#goodByTeam, attempt.team);
			this.#latencies.recordValue(Math.round(attempt.endedAt - attempt.startedAt));
		}
	}

	summary(): PhaseSummary {
		const seconds = this.#measuredMilliseconds / 1000;
		let good = 0;
		for (const count of this.#goodByTeam.values()) {
			good += count;
		}

		return {
			offered: this.#offered / seconds,
			goodput: good / seconds,
			importantShare: this.#importantOffered === 0 ? 1 : this.#importantGood / this.#importantOffered,
			unservedShare: 1 - (this.#totalGood / Math.max(1, this.#totalOffered)),
			ends: {...this.#ends},
			latencyPercentile99: this.#latencies.getValueAtPercentile(latencyPercentile),
		};
	}

	/** Returns the smallest ratio of a team's goodput to its fair share of `capacity` or to its offered load, whichever is less; only teams in `shares` count. */
	worstTeam(shares: ReadonlyMap<string, number>, capacity: number): number {
		const seconds = this.#measuredMilliseconds / 1000;
		let worst = Number.POSITIVE_INFINITY;
		for (const [team, capacityShare] of shares) {
			const offered = (this.#offeredByTeam.get(team) ?? 0) / seconds;
			const fair = Math.min(offered, capacityShare * capacity);
			const good = (this.#goodByTeam.get(team) ?? 0) / seconds;
			worst = Math.min(worst, good / fair);
		}

		return worst;
	}

	#isMeasured(now: number): boolean {
		const elapsed = now - this.#startedAt;
		return elapsed >= this.#warmUpMilliseconds && elapsed < this.#warmUpMilliseconds + this.#measuredMilliseconds;
	}
}

function add(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Returns the seconds from `triggerEnd` (milliseconds from the start of the phase) to the first window of two seconds with at least `wanted` answers per second, or undefined if there is none. */
export function computeRecoverySeconds(goodByTenthOfSecond: readonly number[], triggerEnd: number, wanted: number): number | undefined {
	const windowTenths = 20;
	const first = Math.floor(triggerEnd / tenthOfSecondMilliseconds);
	for (let start = first; start + windowTenths <= goodByTenthOfSecond.length; start++) {
		let good = 0;
		for (let tenth = start; tenth < start + windowTenths; tenth++) {
			good += goodByTenthOfSecond[tenth] ?? 0;
		}

		if (good / windowTenths * 10 >= wanted) {
			return (start - first) / 10;
		}
	}

	return undefined;
}
