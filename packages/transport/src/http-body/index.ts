/**
The body of a request that may have to be sent again.

A small body of known length is read whole before anything is sent. Any other
body streams, and what has passed is kept up to a bound; beyond the bound the
body can't be sent again.
*/

import {Readable} from 'node:stream';
import {FireflygladeError} from '@fireflyglade/model';
import type {OutgoingBody} from '../http-types/index.js';

/** A body is larger than the listener allows. */
export class BodyTooLargeError extends FireflygladeError {
	get code(): 'body-too-large' {
		return 'body-too-large';
	}
}

/** The caller went away in the middle of a body. */
export class BodyBrokenError extends FireflygladeError {
	get code(): 'body-broken' {
		return 'body-broken';
	}
}

/** A body that has passed the bound of what is kept can't be sent again. */
export class BodySpentError extends FireflygladeError {
	get code(): 'body-spent' {
		return 'body-spent';
	}
}

/** The body of a request, which may be opened again as long as it is kept. */
export type RequestBody = {
	/** Length in bytes, if it is known before the body is read. */
	readonly length: number | undefined;
	/** True if `open` may be called again. */
	canReplay(): boolean;
	/**
	Begins to read the body from its start.

	@throws {BodySpentError} The start is no longer kept.
	*/
	open(): OutgoingBody;
};

/** A body that is wholly in memory. */
export class BufferedBody implements RequestBody {
	readonly #content: Uint8Array | undefined;

	constructor(content: Uint8Array | undefined) {
		this.#content = content;
	}

	get length(): number {
		return this.#content?.byteLength ?? 0;
	}

	canReplay(): boolean {
		return true;
	}

	open(): OutgoingBody {
		return this.#content;
	}
}

/** Options of a streamed body. */
export type StreamedBodyOptions = {
	readonly length: number | undefined;
	/** Bytes that are kept for another attempt. */
	readonly maximumReplayBytes: number;
	readonly maximumBytes: number;
};

/** A body that streams from its source, with its start kept up to a bound. */
export class StreamedBody implements RequestBody {
	readonly length: number | undefined;
	readonly #source: AsyncIterator<Uint8Array>;
	readonly #options: StreamedBodyOptions;
	#kept: Uint8Array[] = [];
	#keptFrom = 0;
	#bytes = 0;
	#ended = false;
	#pull: Promise<void> | undefined;

	constructor(source: AsyncIterable<Uint8Array>, options: StreamedBodyOptions) {
		this.length = options.length;
		this.#source = source[Symbol.asyncIterator]();
		this.#options = options;
	}

	canReplay(): boolean {
		return this.#keptFrom === 0;
	}

	open(): OutgoingBody {
		if (!this.canReplay()) {
			throw new BodySpentError('the start of the body is no longer kept');
		}

		return Readable.from(this.#read(), {objectMode: false});
	}

	async * #read(): AsyncGenerator<Uint8Array> {
		let position = 0;
		for (;;) {
			const index = position - this.#keptFrom;
			if (index < this.#kept.length) {
				position += 1;
				yield this.#take(index);
				continue;
			}

			if (this.#ended) {
				return;
			}

			this.#pull ??= this.#pullNext();
			await this.#pull;
		}
	}

	#take(index: number): Uint8Array {
		const chunk = this.#kept[index];
		if (chunk === undefined) {
			throw new BodySpentError('another attempt reads the body');
		}

		if (this.#bytes > this.#options.maximumReplayBytes) {
			this.#kept = this.#kept.slice(index + 1);
			this.#keptFrom += index + 1;
		}

		return chunk;
	}

	async #pullNext(): Promise<void> {
		try {
			const result = await this.#source.next();
			if (result.done) {
				this.#ended = true;
				return;
			}

			this.#bytes += result.value.byteLength;
			if (this.#bytes > this.#options.maximumBytes) {
				throw new BodyTooLargeError(`the body is larger than ${this.#options.maximumBytes} bytes`);
			}

			this.#kept.push(result.value);
		} finally {
			this.#pull = undefined;
		}
	}
}

/**
Reads a body of known length into memory.

@throws {BodyBrokenError} The source ended before `length` bytes.
*/
export async function readWholeBody(source: Readable, length: number): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		source.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
			bytes += chunk.byteLength;
		});
		source.once('end', () => {
			if (bytes === length) {
				resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
				return;
			}

			reject(new BodyBrokenError('the body ended too early'));
		});
		const fail = (): void => {
			if (source.readableEnded) {
				return;
			}

			reject(new BodyBrokenError('the caller went away in the middle of the body'));
		};

		source.once('error', fail);
		source.once('close', fail);
	});
}
