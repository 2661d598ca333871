/**
Records hops as spans with the OpenTelemetry library.
*/

import {
	ROOT_CONTEXT, trace, type HrTime, type Tracer,
} from '@opentelemetry/api';
import {BasicTracerProvider, BatchSpanProcessor} from '@opentelemetry/sdk-trace-node';
import {millisecondsInSecond} from '@fireflyglade/model';
import {SpanFileExporter} from '../../span-file-exporter/index.js';
import type {HopRecord, SpanRecorder, SpanRecorderOptions} from '../../span-recorder/index.js';

const traceparentPattern = /^00-(?<traceId>[\da-f]{32})-(?<spanId>[\da-f]{16})-(?<flags>[\da-f]{2})$/;
const sampledFlag = 1;
const nanosecondsInMillisecond = 1_000_000;

type ParentSpan = {readonly traceId: string; readonly spanId: string};

function readSampledParent(traceparent: string): ParentSpan | undefined {
	const groups = traceparentPattern.exec(traceparent)?.groups;
	// eslint-disable-next-line no-bitwise
	if (groups === undefined || (Number.parseInt(groups.flags!, 16) & sampledFlag) === 0) {
		return undefined;
	}

	return {traceId: groups.traceId!, spanId: groups.spanId!};
}

/** Converts milliseconds since 1970 to the library's high-resolution time, since the library interprets small plain numbers as times since the start of the process. */
function toHighResolutionTime(milliseconds: number): HrTime {
	const seconds = Math.floor(milliseconds / millisecondsInSecond);
	return [seconds, Math.round((milliseconds - (seconds * millisecondsInSecond)) * nanosecondsInMillisecond)];
}

function listAttributes(hop: HopRecord, process: string): Record<string, string | number> {
	return {
		process,
		requestId: hop.requestId,
		...(hop.upstream === undefined ? {} : {upstream: hop.upstream}),
		...(hop.status === undefined ? {} : {status: hop.status}),
		...(hop.problem === undefined ? {} : {problem: hop.problem}),
	};
}

/** Writes the spans of sampled hops to a file. */
export class TracingSpanRecorder implements SpanRecorder {
	readonly #options: SpanRecorderOptions;
	readonly #provider: BasicTracerProvider;
	readonly #tracer: Tracer;

	constructor(options: SpanRecorderOptions) {
		this.#options = options;
		const processor = new BatchSpanProcessor(new SpanFileExporter(options.file, options));
		this.#provider = new BasicTracerProvider({spanProcessors: [processor]});
		this.#tracer = this.#provider.getTracer('fireflyglade');
	}

	record(hop: HopRecord): void {
		const parent = readSampledParent(hop.traceparent);
		if (parent === undefined) {
			return;
		}

		const {process, monotonicOrigin} = this.#options;
		const context = trace.setSpanContext(ROOT_CONTEXT, {...parent, traceFlags: sampledFlag, isRemote: true});
		const span = this.#tracer.startSpan(hop.hop, {startTime: toHighResolutionTime(monotonicOrigin + hop.start), attributes: listAttributes(hop, process)}, context);
		span.end(toHighResolutionTime(monotonicOrigin + hop.end));
	}

	async close(): Promise<void> {
		await this.#provider.shutdown();
	}
}
