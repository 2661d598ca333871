/**
The adaptive concurrency limit of one upstream.

A rise in latency has two possible causes: requests queue inside the upstream,
which runs fewer at once than it announced, or the work itself has become
slower, for example because a downstream service is slow. Lower concurrency
helps in the first case and only costs throughput in the second. Therefore a
rise in latency or in failures starts a probe that halves the concurrency for a
short time. If the requests that start during the probe finish faster, requests
had been queueing and the limit is lowered. Otherwise the work is slower: the
old limit is restored and the measured latency becomes the new baseline. The
queueing delay of calls at downstream gates is excluded from the latency; a
separate cap on the concurrency responds to it. The baseline follows faster
requests without a probe; only a probe or an almost idle upstream raises it.
*/

import type {UpstreamLoad} from '@fireflyglade/model';
import {DownstreamCap} from '../_lib/downstream-cap/index.js';
import {ProbeCohort} from '../_lib/probe-cohort/index.js';
import {SampleWindow} from '../_lib/sample-window/index.js';
import {UpstreamBounds, type UpstreamBoundsOptions} from '../_lib/upstream-bounds/index.js';
import type {ConcurrencyLimit, LimitState, RunSample} from '../types.js';

/** Minimum number of runs in a window before it is evaluated. */
const minimumWindowSamples = 16;
const minimumWindowMilliseconds = 100;
/** Relative rise of latency over the baseline that counts as noise, in addition to the statistical error. */
const toleratedLatencyRise = 0.25;
const toleratedStandardErrors = 3;
/** Relative rise up to which a limit that a probe has found is lowered without another probe. */
const maximumUnprobedRise = 0.75;
/** Share of failures above which a window counts as degraded. */
const maximumFailureShare = 0.3;
/** Requests in flight up to which the upstream counts as almost idle, so that no request is assumed to queue inside it. */
const maximumIdleInFlight = 2;
/** Limit during a probe, relative to the requests in flight before it. */
const probeLimitRatio = 0.5;
/** Number of requests that a probe measures, relative to its limit. */
const cohortSizeRatio = 1.5;
/** Time after which a probe is evaluated even if some of its requests have not ended. */
const maximumProbeMilliseconds = 20_000;
/** Relative growth of the limit after a window in which it was reached. */
const growthRatio = 0.1;
/** Relative growth of the limit once a probe has shown that the upstream runs fewer requests than it has slots. */
const cappedGrowthRatio = 0.03;
/** Consecutive degraded windows before a probe starts. */
const degradedWindowsBeforeProbe = 3;
/** Minimum time from a probe to the next one that a rise starts; doubles with each probe until a clearly faster window resets it. */
const initialHoldMilliseconds = 500;
const maximumHoldMilliseconds = 8000;
/** Time of continuous saturation after which a probe starts without any rise, because the baseline may be that of an overloaded upstream; doubles with each probe that shows no improvement. */
const initialExplorationMilliseconds = 10_000;
const maximumExplorationMilliseconds = 120_000;
/** Weight of a faster window in the moving average of the baseline. */
const baselineFallWeight = 0.5;
/** Weight of a slower window of an almost idle upstream in the moving average of the baseline. */
const baselineRiseWeight = 0.1;

type Phase =
	| {readonly kind: 'steady'}
	/** The limit has been lowered; lasts until the number of running requests is below it. `from` is the limit and `before` the window before that. */
	| {readonly kind: 'settling'; readonly from: number; readonly before: SampleWindow}
	/** Measures the requests that start under the lowered limit. */
	| {readonly kind: 'probing'; readonly from: number; readonly before: SampleWindow; readonly cohort: ProbeCohort};

/** Options of an adaptive limit. */
export type AdaptiveLimitOptions = UpstreamBoundsOptions;

/** A concurrency limit that follows the number of requests the upstream can run without queueing them. */
export class AdaptiveLimit implements ConcurrencyLimit {
	readonly #bounds: UpstreamBounds;
	#limit: number;
	#baseline: number | undefined;
	#phase: Phase = {kind: 'steady'};
	#window: SampleWindow;
	/** True once a probe has shown that the upstream runs fewer requests than it has slots. */
	#isCapped = false;
	#degradedWindows = 0;
	/** Earliest time of the next probe that a rise may start. */
	#nextProbeAt = Number.NEGATIVE_INFINITY;
	#holdMilliseconds = initialHoldMilliseconds;
	/** Time since which the limit has been reached continuously. */
	#saturatedSince: number | undefined;
	#explorationMilliseconds = initialExplorationMilliseconds;
	readonly #downstreamCap = new DownstreamCap();

	constructor(options: AdaptiveLimitOptions) {
		this.#bounds = new UpstreamBounds(options);
		this.#limit = this.#bounds.slots;
		this.#window = new SampleWindow(options.now);
	}

	/** Latency in milliseconds without queueing inside the upstream; undefined until the first window has been measured. */
	get baseline(): number | undefined {
		return this.#baseline;
	}

	current(now: number): number {
		return Math.max(1, Math.floor(Math.min(this.#limit, this.#downstreamCap.current(this.#bounds.slots), this.#bounds.usableSlots(now))));
	}

	setSlots(slots: number, _now: number): void {
		const before = this.#bounds.slots;
		this.#bounds.setSlots(slots);
		if (!this.#isCapped && this.#phase.kind === 'steady' && this.#limit >= before) {
			this.#limit = this.#bounds.slots;
		}
	}

	begin(inFlight: number, now: number): void {
		this.#bounds.begin(inFlight);
		this.#window.observeInFlight(inFlight);
		if (this.#phase.kind === 'probing') {
			this.#phase.cohort.begin(now);
		}
	}

	observeLoad(load: UpstreamLoad, now: number): void {
		this.#bounds.observeLoad(load, now);
	}

	pace(now: number): number | undefined {
		return this.#bounds.pace(now);
	}

	beginSlowStart(now: number): void {
		this.#bounds.beginSlowStart(now);
	}

	describe(now: number): LimitState {
		return this.#bounds.describe(now);
	}

	finish(sample: RunSample, inFlight: number, now: number): void {
		this.#bounds.finish(sample, inFlight, now);
		this.#window.record(sample, now);
		this.#window.observeInFlight(inFlight + 1);
		switch (this.#phase.kind) {
			case 'steady': {
				this.#evaluateWindow(now);
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
				this.#evaluateProbe(this.#phase, now);
				break;
			}
		}
	}

	#evaluateWindow(now: number): void {
		const window = this.#window;
		const isStartingSlowly = this.#bounds.isStartingSlowly(now);
		const minimumSamples = isStartingSlowly ? this.current(now) : Math.max(minimumWindowSamples, this.#limit / 2);
		if (window.count < minimumSamples || now - window.startedAt < minimumWindowMilliseconds) {
			return;
		}

		this.#window = new SampleWindow(now);
		this.#downstreamCap.observe(window, this.#bounds.slots);
		this.#baseline = this.#nextBaseline(window);
		if (isStartingSlowly) {
			return;
		}

		const isSaturated = window.maximumInFlight >= this.current(now);
		this.#saturatedSince = window.minimumInFlight >= this.current(now) ? this.#saturatedSince ?? now : undefined;
		if (window.maximumInFlight <= maximumIdleInFlight || !this.#isDegraded(window)) {
			this.#degradedWindows = 0;
			this.#growOrExplore(window, isSaturated, now);
			return;
		}

		this.#degradedWindows++;
		if (this.#degradedWindows >= degradedWindowsBeforeProbe && now >= this.#nextProbeAt) {
			this.#degradedWindows = 0;
			this.#respondToDegradation(window);
		}
	}

	#respondToDegradation(window: SampleWindow): void {
		if (this.#isCapped && this.#isRiseSmall(window)) {
			this.#lowerLimit(window.maximumInFlight, window);
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
			this.#holdMilliseconds = latency < this.#baseline / (1 + toleratedLatencyRise) ? initialHoldMilliseconds : this.#holdMilliseconds;
			return this.#baseline + ((latency - this.#baseline) * baselineFallWeight);
		}

		return window.maximumInFlight <= maximumIdleInFlight ? this.#baseline + ((latency - this.#baseline) * baselineRiseWeight) : this.#baseline;
	}

	#isDegraded(window: SampleWindow): boolean {
		if (window.failureShare > maximumFailureShare) {
			return true;
		}

		if (window.latency === undefined || this.#baseline === undefined) {
			return false;
		}

		return window.latency - this.#baseline > (this.#baseline * toleratedLatencyRise) + (toleratedStandardErrors * window.standardError);
	}

	#isRiseSmall(window: SampleWindow): boolean {
		return window.failureShare <= maximumFailureShare
			&& window.latency !== undefined
			&& this.#baseline !== undefined
			&& window.latency < this.#baseline * (1 + maximumUnprobedRise);
	}

	#growOrExplore(window: SampleWindow, isSaturated: boolean, now: number): void {
		if (this.#saturatedSince !== undefined && now - this.#saturatedSince >= this.#explorationMilliseconds && window.maximumInFlight > maximumIdleInFlight) {
			this.#startSettling(window);
			return;
		}

		if (this.#limit >= this.#bounds.slots) {
			this.#isCapped = false;
			return;
		}

		if (isSaturated) {
			const ratio = this.#isCapped ? cappedGrowthRatio : growthRatio;
			this.#limit = Math.min(this.#bounds.slots, this.#limit + Math.max(1, this.#limit * ratio));
		}
	}

	#startSettling(window: SampleWindow): void {
		this.#saturatedSince = undefined;
		this.#phase = {kind: 'settling', from: this.#limit, before: window};
		this.#limit = Math.max(1, Math.min(this.#limit, window.maximumInFlight) * probeLimitRatio);
	}

	#startProbing(phase: Extract<Phase, {kind: 'settling'}>, now: number): void {
		const size = Math.max(minimumWindowSamples, Math.ceil(this.current(now) * cohortSizeRatio));
		this.#phase = {
			kind: 'probing', from: phase.from, before: phase.before, cohort: new ProbeCohort(size, now),
		};
	}

	#evaluateProbe(phase: Extract<Phase, {kind: 'probing'}>, now: number): void {
		const {window} = phase.cohort;
		if (!phase.cohort.isComplete && now - window.startedAt <= maximumProbeMilliseconds) {
			return;
		}

		this.#phase = {kind: 'steady'};
		this.#window = new SampleWindow(now);
		const hasProbeHelped = hasImproved(phase.before, window);
		this.#limit = phase.from;
		if (hasProbeHelped) {
			this.#isCapped = true;
			this.#explorationMilliseconds = initialExplorationMilliseconds;
			this.#baseline = Math.min(window.latency ?? Number.POSITIVE_INFINITY, this.#baseline ?? Number.POSITIVE_INFINITY);
			this.#lowerLimit(phase.before.maximumInFlight, phase.before);
			this.#delayNextProbe(now);
			return;
		}

		this.#explorationMilliseconds = Math.min(maximumExplorationMilliseconds, this.#explorationMilliseconds * 2);
		this.#baseline = window.latency ?? this.#baseline;
		this.#isCapped = false;
		this.#delayNextProbe(now);
	}

	/** Lowers the limit to the concurrency at which the latency would stay within the tolerated rise. */
	#lowerLimit(inFlight: number, window: SampleWindow): void {
		const hasLatency = window.latency !== undefined && this.#baseline !== undefined && window.failureShare <= maximumFailureShare;
		const ratio = hasLatency ? this.#baseline! * (1 + toleratedLatencyRise) / window.latency : probeLimitRatio;
		this.#limit = Math.max(1, Math.min(this.#limit, inFlight) * Math.min(1, Math.max(probeLimitRatio, ratio)));
	}

	#delayNextProbe(now: number): void {
		this.#nextProbeAt = now + this.#holdMilliseconds;
		this.#holdMilliseconds = Math.min(maximumHoldMilliseconds, this.#holdMilliseconds * 2);
	}
}

/** True if latency, or the share of failures, was clearly lower at the lower concurrency of the probe: below the midpoint between its old value and that value times the `probeLimitRatio`. */
function hasImproved(before: SampleWindow, probe: SampleWindow): boolean {
	if (before.failureShare > maximumFailureShare) {
		return probe.failureShare < before.failureShare * (1 + probeLimitRatio) / 2;
	}

	if (before.latency === undefined || probe.latency === undefined) {
		return false;
	}

	return probe.latency < before.latency * (1 + probeLimitRatio) / 2;
}
