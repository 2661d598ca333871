/**
Records a span for each hop of a sampled request.

The tracing library is loaded when a recorder is made, so that a process whose
settings ask for no spans doesn't carry it.
*/

import type {ProblemCode, RequestId, UpstreamId} from '@fireflyglade/model';
import type {SpanFileExporterOptions} from '../span-file-exporter/index.js';

/** One hop of a request. */
export type HopRecord = {
	readonly hop: string;
	readonly requestId: RequestId;
	readonly traceparent: string;
	readonly upstream?: UpstreamId;
	/** Monotonic milliseconds. */
	readonly start: number;
	readonly end: number;
	readonly status?: number;
	readonly problem?: ProblemCode;
};

/** Records spans. */
export type SpanRecorder = {
	/** Records a hop if its trace context says that it is sampled. */
	record(hop: HopRecord): void;
	/** Writes what is still held back. */
	close(): Promise<void>;
};

/** Options of a span recorder. */
export type SpanRecorderOptions = SpanFileExporterOptions & {
	readonly file: string;
	/** Name of the process, in every span. */
	readonly process: string;
	/** Wall-clock milliseconds at which the monotonic clock stood at 0. */
	readonly monotonicOrigin: number;
};

/** Makes a recorder that writes spans to a file. */
export async function createSpanRecorder(options: SpanRecorderOptions): Promise<SpanRecorder> {
	const tracing = await import('../_lib/tracing/index.js');
	return new tracing.TracingSpanRecorder(options);
}
