/**
A histogram of latencies.

The typed-array histogram is imported by its own path, since the library's main module
also loads a WebAssembly build and a compressor, which are not used.
*/

import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';

const microsecondsInMillisecond = 1000;
const highestMicroseconds = 120_000_000;
const significantDigits = 2;

/** Count and percentiles of a histogram; the percentiles are in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly median: number;
	readonly percentile99: number;
	readonly percentile999: number;
	readonly highest: number;
};

/** Records latencies from a microsecond to two minutes with a precision of two significant digits. */
export class LatencyHistogram {
	readonly #histogram = new histogramModule.default(1, highestMicroseconds, significantDigits); // eslint-disable-line new-cap

	/** Records a latency in milliseconds. */
	record(milliseconds: number): void {
		const microseconds = Math.round(milliseconds * microsecondsInMillisecond);
		this.#histogram.recordValue(Math.min(Math.max(microseconds, 1), highestMicroseconds));
	}

	summarize(): LatencySummary {
		return {
			count: this.#histogram.totalCount,
			median: this.#getPercentileMilliseconds(50),
			percentile99: this.#getPercentileMilliseconds(99),
			percentile999: this.#getPercentileMilliseconds(99.9),
			highest: this.#getPercentileMilliseconds(100),
		};
	}

	#getPercentileMilliseconds(percentile: number): number {
		return this.#histogram.totalCount === 0 ? 0 : this.#histogram.getValueAtPercentile(percentile) / microsecondsInMillisecond;
	}
}
