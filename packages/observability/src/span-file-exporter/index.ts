/**
Writes spans to a file as JSON lines. Before the file would exceed its maximum size, it
is renamed, with `.1` appended, and replaces the file that was renamed before.
*/

import {appendFile, rename, stat} from 'node:fs/promises';
import type {ReadableSpan, SpanExporter} from '@opentelemetry/sdk-trace-node';
import {bytesInMebibyte} from '@fireflyglade/model';

type ExportCallback = Parameters<SpanExporter['export']>[1];

/** Options of the exporter. */
export type SpanFileExporterOptions = {
	/** Maximum size of a file in bytes; 16 MiB if absent. */
	readonly maximumBytes?: number;
};

const defaultMaximumBytes = 16 * bytesInMebibyte;
const exportSucceededCode = 0;
const exportFailedCode = 1;
const nanosecondsInSecond = 1_000_000_000n;

function toNanoseconds([seconds, nanoseconds]: readonly [number, number]): string {
	return String((BigInt(seconds) * nanosecondsInSecond) + BigInt(Math.round(nanoseconds)));
}

function formatSpan(span: ReadableSpan): string {
	const {traceId, spanId} = span.spanContext();
	return JSON.stringify({
		traceId,
		spanId,
		parentSpanId: span.parentSpanContext?.spanId,
		name: span.name,
		startUnixNanoseconds: toNanoseconds(span.startTime),
		endUnixNanoseconds: toNanoseconds(span.endTime),
		attributes: span.attributes,
	});
}

/** Writes spans to a file. */
export class SpanFileExporter implements SpanExporter {
	readonly #file: string;
	readonly #maximumBytes: number;
	#pendingExport: Promise<void> = Promise.resolve();
	#fileBytes: number | undefined;

	constructor(file: string, options: SpanFileExporterOptions = {}) {
		this.#file = file;
		this.#maximumBytes = options.maximumBytes ?? defaultMaximumBytes;
	}

	export(spans: readonly ReadableSpan[], callback: ExportCallback): void {
		const text = spans.map(span => `${formatSpan(span)}\n`).join('');
		this.#pendingExport = this.#exportAfter(this.#pendingExport, text, callback);
	}

	async forceFlush(): Promise<void> {
		await this.#pendingExport;
	}

	async shutdown(): Promise<void> {
		await this.#pendingExport;
	}

	async #exportAfter(previous: Promise<void>, text: string, callback: ExportCallback): Promise<void> {
		await previous;
		try {
			await this.#write(text);
			callback({code: exportSucceededCode});
		} catch (error) {
			// Spans that can't be written are lost; the process continues.
			this.#fileBytes = undefined;
			callback({code: exportFailedCode, ...(error instanceof Error ? {error} : {})});
		}
	}

	async #write(text: string): Promise<void> {
		const bytes = Buffer.byteLength(text);
		this.#fileBytes ??= await readSize(this.#file);
		if (this.#fileBytes > 0 && this.#fileBytes + bytes > this.#maximumBytes) {
			await rename(this.#file, `${this.#file}.1`);
			this.#fileBytes = 0;
		}

		await appendFile(this.#file, text);
		this.#fileBytes += bytes;
	}
}

async function readSize(file: string): Promise<number> {
	try {
		const {size} = await stat(file);
		return size;
	} catch {
		return 0;
	}
}
