/**
The adaptive concurrency limit of one upstream.

Latency that rises can mean two things: requests queue inside the upstream,
which has fewer slots than it announced, or the work itself has become slower,
perhaps as a service further down is slow. Fewer requests at once help in the
first case and only lose throughput in the second. So a rise in latency, or in
failures, starts a probe: for a short time the limit is lowered to half. If the
requests that start then come back faster, they had queued and the limit stays
low; if not, the work is slower, the old limit is restored and the baseline
takes over the new latency. What the calls of a request wait at gates below is
left out of its latency and has a cap of its own. The baseline falls at once with any faster
requests, and only a probe or an almost idle upstream raises it.
*/

import {DownstreamCap} from '../_lib/downstream-cap/index.js';
import {ProbeCohort} from '../_lib/probe-cohort/index.js';
import {SampleWindow} from '../_lib/sample-window/index.js';
import {WarmUp} from '../_lib/warm-up/index.js';
import type {ConcurrencyLimit, RunSample} from '../types.js';

/** Runs in a window below which it isn't judged. */
const minimumWindowSamples = 16;
const minimumWindowMilliseconds = 100;
/** Rise of latency over the baseline that is taken as noise, beside the statistical error. */
const toleratedRise = 0.25;
const toleratedStandardErrors = 3;
/** Rise up to which a limit that was found by a probe is lowered without another one. */
const smallRise = 0.75;
/** Share of failures that starts a probe. */
const failureShareLimit = 0.3;
/** Requests in flight up to which nothing can queue inside the upstream. */
const idleInFlight = 2;
/** Part of the requests in flight that a probe lets run. */
const probePart = 0.5;
/** Requests by which a probe is judged, for each that it lets run at once. */
const cohortPart = 1.5;
const longestProbeMilliseconds = 20_000;
const growthPart = 0.1;
/** Growth once a probe has shown that the upstream runs fewer than its slots. */
const cappedGrowthPart = 0.03;
/** Windows in a row with a rise before a probe starts. */
const suspectWindows = 3;
const firstHoldMilliseconds = 500;
const longestHoldMilliseconds = 8000;
/** Time without a break at the limit after which a probe starts without any rise, as the baseline may be that of an overloaded upstream. */
const firstExplorationMilliseconds = 10_000;
const longestExplorationMilliseconds = 120_000;
/** Part of the way by which the baseline follows a faster window. */
const baselineFall = 0.5;
/** Part of the way by which the baseline follows a slower window of an almost idle upstream. */
const baselineRise = 0.1;

type Phase =
	| {readonly kind: 'steady'}
	/** The limit is lowered; waits until no more requests run than it allows. */
	| {readonly kind: 'settling'; readonly from: number; readonly before: SampleWindow}
	/** Requests that start now tell whether the lower limit helps. */
	| {readonly kind: 'probing'; readonly from: number; readonly before: SampleWindow; readonly cohort: ProbeCohort};

/** Options of an adaptive limit. */
export type AdaptiveLimitOptions = {
	readonly slots: number;
	/** Monotonic milliseconds at which the limit starts. */
	readonly now: number;
	/** True if the upstream has just started and must warm up. */
	readonly isCold?: boolean;
};

/** A concurrency limit that follows what the upstream can really run at once. */
export class AdaptiveLimit implements ConcurrencyLimit {
	#slots: number;
	#limit: number;
	#baseline: number | undefined;
	#phase: Phase = {kind: 'steady'};
	#window: SampleWindow;
	/** True once a probe has shown that the upstream runs fewer than its slots. */
	#isCapped = false;
	#suspectWindows = 0;
	/** No probe before this time. */
	#holdUntil = Number.NEGATIVE_INFINITY;
	#holdMilliseconds = firstHoldMilliseconds;
	/** Time since which as many requests as allowed have run without a break. */
	#fullFrom: number | undefined;
	#explorationMilliseconds = firstExplorationMilliseconds;
	readonly #warmUp: WarmUp;
	readonly #downstreamCap = new DownstreamCap();

	constructor(options: AdaptiveLimitOptions) {
		this.#slots = wholeSlots(options.slots);
		this.#limit = this.#slots;
		this.#window = new SampleWindow(options.now);
		this.#warmUp = new WarmUp(options.now, options.isCold ?? false);
	}

	/** Latency in milliseconds without queueing inside the upstream, as far as it is known. */
	get baseline(): number | undefined {
		return this.#baseline;
	}

	current(now: number): number {
		return Math.max(1, Math.floor(Math.min(this.#limit, this.#downstreamCap.current(this.#slots), this.#warmUp.cap(this.#slots, now))));
	}

	setSlots(slots: number, _now: number): void {
		const before = this.#slots;
		this.#slots = wholeSlots(slots);
		if (!this.#isCapped && this.#phase.kind === 'steady' && this.#limit >= before) {
			this.#limit = this.#slots;
		}
	}

	begin(inFlight: number, now: number): void {
		this.#window.observeInFlight(inFlight);
		if (this.#phase.kind === 'probing') {
			this.#phase.cohort.begin(now);
		}
	}

	finish(sample: RunSample, inFlight: number, now: number): void {
		this.#window.record(sample, now);
		this.#window.observeInFlight(inFlight + 1);
		switch (this.#phase.kind) {
			case 'steady': {
				this.#judgeWindow(now);
				break;
			}

			case 'settling': {
				if (inFlight < this.current(now)) {
					this.#startProbing(this.#phase, now);
				}

				break;
			}

			case 'probing': {
				this.#phase.cohort.finish(sample, now);
				this.#judgeProbe(this.#phase, now);
				break;
			}
		}
	}

	#judgeWindow(now: number): void {
		const window = this.#window;
		const isWarmingUp = this.#warmUp.isActive(this.#slots, now);
		const neededSamples = isWarmingUp ? this.current(now) : Math.max(minimumWindowSamples, this.#limit / 2);
		if (window.count < neededSamples || now - window.startedAt < minimumWindowMilliseconds) {
			return;
		}

		this.#window = new SampleWindow(now);
		this.#warmUp.observe(window.latency, now);
		this.#downstreamCap.observe(window, this.#slots);
		this.#baseline = this.#nextBaseline(window);
		if (isWarmingUp) {
			return;
		}

		const isSaturated = window.maximumInFlight >= this.current(now);
		this.#fullFrom = window.minimumInFlight >= this.current(now) ? this.#fullFrom ?? now : undefined;
		if (window.maximumInFlight <= idleInFlight || !this.#isSuspect(window)) {
			this.#suspectWindows = 0;
			this.#growOrExplore(window, isSaturated, now);
			return;
		}

		this.#suspectWindows++;
		if (this.#suspectWindows >= suspectWindows && now >= this.#holdUntil) {
			this.#suspectWindows = 0;
			this.#answerRise(window);
		}
	}

	#answerRise(window: SampleWindow): void {
		if (this.#isCapped && this.#isSmallRise(window)) {
			this.#lower(window.maximumInFlight, window);
			return;
		}

		this.#startSettling(window);
	}

	#nextBaseline(window: SampleWindow): number | undefined {
		const {latency} = window;
		if (latency === undefined || this.#baseline === undefined) {
			return this.#baseline ?? latency;
		}

		if (latency < this.#baseline) {
			this.#holdMilliseconds = latency < this.#baseline / (1 + toleratedRise) ? firstHoldMilliseconds : this.#holdMilliseconds;
			return this.#baseline + ((latency - this.#baseline) * baselineFall);
		}

		return window.maximumInFlight <= idleInFlight ? this.#baseline + ((latency - this.#baseline) * baselineRise) : this.#baseline;
	}

	#isSuspect(window: SampleWindow): boolean {
		if (window.failureShare > failureShareLimit) {
			return true;
		}

		if (window.latency === undefined || this.#baseline === undefined) {
			return false;
		}

		return window.latency - this.#baseline > (this.#baseline * toleratedRise) + (toleratedStandardErrors * window.standardError);
	}

	#isSmallRise(window: SampleWindow): boolean {
		return window.failureShare <= failureShareLimit
			&& window.latency !== undefined
			&& this.#baseline !== undefined
			&& window.latency < this.#baseline * (1 + smallRise);
	}

	#growOrExplore(window: SampleWindow, isSaturated: boolean, now: number): void {
		if (this.#fullFrom !== undefined && now - this.#fullFrom >= this.#explorationMilliseconds && window.maximumInFlight > idleInFlight) {
			this.#startSettling(window);
			return;
		}

		if (this.#limit >= this.#slots) {
			this.#isCapped = false;
			return;
		}

		if (isSaturated) {
			const part = this.#isCapped ? cappedGrowthPart : growthPart;
			this.#limit = Math.min(this.#slots, this.#limit + Math.max(1, this.#limit * part));
		}
	}

	#startSettling(window: SampleWindow): void {
		this.#fullFrom = undefined;
		this.#phase = {kind: 'settling', from: this.#limit, before: window};
		this.#limit = Math.max(1, Math.min(this.#limit, window.maximumInFlight) * probePart);
	}

	#startProbing(phase: Extract<Phase, {kind: 'settling'}>, now: number): void {
		const size = Math.max(minimumWindowSamples, Math.ceil(this.current(now) * cohortPart));
		this.#phase = {
			kind: 'probing', from: phase.from, before: phase.before, cohort: new ProbeCohort(size, now),
		};
	}

	#judgeProbe(phase: Extract<Phase, {kind: 'probing'}>, now: number): void {
		const {window} = phase.cohort;
		if (!phase.cohort.isComplete && now - window.startedAt <= longestProbeMilliseconds) {
			return;
		}

		this.#phase = {kind: 'steady'};
		this.#window = new SampleWindow(now);
		const helped = didHelp(phase.before, window);
		this.#limit = phase.from;
		if (helped) {
			this.#isCapped = true;
			this.#explorationMilliseconds = firstExplorationMilliseconds;
			this.#baseline = Math.min(window.latency ?? Number.POSITIVE_INFINITY, this.#baseline ?? Number.POSITIVE_INFINITY);
			this.#lower(phase.before.maximumInFlight, phase.before);
			this.#hold(now);
			return;
		}

		this.#explorationMilliseconds = Math.min(longestExplorationMilliseconds, this.#explorationMilliseconds * 2);
		this.#baseline = window.latency ?? this.#baseline;
		this.#isCapped = false;
		this.#hold(now);
	}

	/** Lowers the limit to the number at which the latency would have risen no more than is tolerated. */
	#lower(inFlight: number, window: SampleWindow): void {
		const hasLatency = window.latency !== undefined && this.#baseline !== undefined && window.failureShare <= failureShareLimit;
		const part = hasLatency ? this.#baseline! * (1 + toleratedRise) / window.latency : probePart;
		this.#limit = Math.max(1, Math.min(this.#limit, inFlight) * Math.min(1, Math.max(probePart, part)));
	}

	#hold(now: number): void {
		this.#holdUntil = now + this.#holdMilliseconds;
		this.#holdMilliseconds = Math.min(longestHoldMilliseconds, this.#holdMilliseconds * 2);
	}
}

function wholeSlots(slots: number): number {
	return Number.isFinite(slots) ? Math.max(1, Math.floor(slots)) : 1;
}

/** True if requests came back clearly faster, or failed clearly less, with fewer at once. */
function didHelp(before: SampleWindow, probe: SampleWindow): boolean {
	if (before.failureShare > failureShareLimit) {
		return probe.failureShare < before.failureShare * (1 + probePart) / 2;
	}

	if (before.latency === undefined || probe.latency === undefined) {
		return false;
	}

	return probe.latency < before.latency * (1 + probePart) / 2;
}
