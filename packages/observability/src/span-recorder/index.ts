/**
Records a span for each hop of a sampled request.

The tracing library is loaded when a recorder is created, so that a process without
spans in its settings doesn't load it.
*/

import type {ProblemCode, RequestId, UpstreamId} from '@fireflyglade/model';
import type {SpanFileExporterOptions} from '../span-file-exporter/index.js';

/** One hop of a request. */
export type HopRecord = {
	/** Name of the hop, which is also the name of its span. */
	readonly hop: string;
	readonly requestId: RequestId;
	readonly traceparent: string;
	readonly upstream?: UpstreamId;
	/** Start in monotonic milliseconds. */
	readonly start: number;
	/** End in monotonic milliseconds. */
	readonly end: number;
	readonly status?: number;
	readonly problem?: ProblemCode;
};

/** Records spans. */
export type SpanRecorder = {
	/** Records a hop if its trace context is marked as sampled. */
	record(hop: HopRecord): void;
	/** Writes all spans that are still buffered. */
	close(): Promise<void>;
};

/** Options of a span recorder. */
export type SpanRecorderOptions = SpanFileExporterOptions & {
	readonly file: string;
	/** Name of the process, included in every span. */
	readonly process: string;
	/** Wall-clock time in milliseconds at which the monotonic clock was 0. */
	readonly monotonicOrigin: number;
};

/** Creates a recorder that writes spans to a file. */
export async function createSpanRecorder(options: SpanRecorderOptions): Promise<SpanRecorder> {
	const tracing = await import('../_lib/tracing/index.js');
	return new tracing.TracingSpanRecorder(options);
}
