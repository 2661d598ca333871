/**
The figures of one phase of load.
*/

import {build as buildHistogram} from 'hdr-histogram-js';
import type {AttemptEnd} from '../caller-load/index.js';

/** The end of one attempt of a caller. */
export type EndedAttempt = {
	readonly team: string;
	readonly important: boolean;
	readonly end: AttemptEnd;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	readonly endedAt: number;
};

/** A summary of one phase. */
export type PhaseSummary = {
	/** First attempts a second. */
	readonly offered: number;
	/** Whole answers in time, a second. */
	readonly goodput: number;
	/** Share of important first attempts that got a whole answer in time. */
	readonly importantShare: number;
	/** Share of first attempts that got no whole answer in time, by any attempt. */
	readonly unservedShare: number;
	readonly ends: Readonly<Record<AttemptEnd, number>>;
	/** 99th percentile of whole answers, in milliseconds. */
	readonly latencyPercentile99: number;
};

const percentile99 = 99;
const tenthMilliseconds = 100;

/** Counts what the callers of one phase sent and got. */
export class PhaseFigures {
	readonly #settleMilliseconds: number;
	readonly #measuredMilliseconds: number;
	readonly #ends: Record<AttemptEnd, number> = {
		good: 0, refused: 0, failed: 0, late: 0, cut: 0, unreachable: 0, wrong: 0,
	};

	readonly #offeredByTeam = new Map<string, number>();
	readonly #goodByTeam = new Map<string, number>();
	readonly #goodByTenth: number[] = [];
	readonly #latencies = buildHistogram();
	#startedAt = 0;
	#offered = 0;
	#offeredInAll = 0;
	#goodInAll = 0;
	#importantOffered = 0;
	#importantGood = 0;

	/**
	@param settleMilliseconds - Time from the start that isn't measured.
	@param milliseconds - Whole length of the phase.
	*/
	constructor(settleMilliseconds: number, milliseconds: number) {
		this.#settleMilliseconds = settleMilliseconds;
		this.#measuredMilliseconds = milliseconds - settleMilliseconds;
	}

	/** Whole answers of the phase, the unmeasured time counted. */
	get goodInAll(): number {
		return this.#goodInAll;
	}

	/** Whole answers by tenths of a second from the start. */
	get goodByTenth(): readonly number[] {
		return this.#goodByTenth;
	}

	start(now: number): void {
		this.#startedAt = now;
	}

	/** Counts a first attempt. */
	offer(team: string, important: boolean, now: number): void {
		this.#offeredInAll++;
		this.#importantOffered += important ? 1 : 0;
		if (this.#isMeasured(now)) {
			this.#offered++;
			add(this.#offeredByTeam, team);
		}
	}

	/** Counts the end of an attempt. */
	end(attempt: EndedAttempt): void {
		this.#ends[attempt.end]++;
		if (attempt.end !== 'good') {
			return;
		}

		this.#goodInAll++;
		this.#importantGood += attempt.important ? 1 : 0;
		const tenth = Math.floor((attempt.endedAt - this.#startedAt) / tenthMilliseconds);
		this.#goodByTenth[tenth] = (this.#goodByTenth[tenth] ?? 0) + 1;
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
			unservedShare: 1 - (this.#goodInAll / Math.max(1, this.#offeredInAll)),
			ends: {...this.#ends},
			latencyPercentile99: this.#latencies.getValueAtPercentile(percentile99),
		};
	}

	/** The smallest ratio of a team's goodput to its fair share of `capacity` by `parts`, or to what it offered if that is less. */
	worstTeam(parts: ReadonlyMap<string, number>, capacity: number): number {
		const seconds = this.#measuredMilliseconds / 1000;
		let worst = Number.POSITIVE_INFINITY;
		for (const [team, part] of parts) {
			const offered = (this.#offeredByTeam.get(team) ?? 0) / seconds;
			const fair = Math.min(offered, part * capacity);
			const good = (this.#goodByTeam.get(team) ?? 0) / seconds;
			worst = Math.min(worst, good / fair);
		}

		return worst;
	}

	#isMeasured(now: number): boolean {
		const elapsed = now - this.#startedAt;
		return elapsed >= this.#settleMilliseconds && elapsed < this.#settleMilliseconds + this.#measuredMilliseconds;
	}
}

function add(counts: Map<string, number>, name: string): void {
	counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Seconds from `triggerEnd` (milliseconds from the start) until the next two seconds reach `wanted` answers a second; undefined if they never do. */
export function recoverySeconds(goodByTenth: readonly number[], triggerEnd: number, wanted: number): number | undefined {
	const span = 20;
	const first = Math.floor(triggerEnd / tenthMilliseconds);
	for (let start = first; start + span <= goodByTenth.length; start++) {
		let good = 0;
		for (let tenth = start; tenth < start + span; tenth++) {
			good += goodByTenth[tenth] ?? 0;
		}

		if (good / span * 10 >= wanted) {
			return (start - first) / 10;
		}
	}

	return undefined;
}
