/**
The body of a request that may have to be sent again by a retry.

A small body of known length is read completely before anything is sent. Any other
body is streamed, and its start is buffered up to a limit; a body that exceeds the
limit can't be sent again.
*/

import {Readable} from 'node:stream';
import {bytesInKibibyte, FireflygladeError} from '@fireflyglade/model';
import type {OutgoingBody} from '../http-types/index.js';

/** A body is larger than the listener allows. */
export class BodyTooLargeError extends FireflygladeError {
	get code(): 'body-too-large' {
		return 'body-too-large';
	}
}

/** The caller disconnected in the middle of a body. */
export class BodyBrokenError extends FireflygladeError {
	get code(): 'body-broken' {
		return 'body-broken';
	}
}

/** The start of a body is no longer buffered, so that it can't be sent again. */
export class BodySpentError extends FireflygladeError {
	get code(): 'body-spent' {
		return 'body-spent';
	}
}

/** The body of a request, which may be read again while its start is buffered. */
export type RequestBody = {
	/** Length in bytes, if it is known before the body is read. */
	readonly length: number | undefined;
	/** True once the body is completely in memory, or was read to its end. */
	readonly isComplete: boolean;
	/** True if the body can be read again from its start. */
	canReplay(): boolean;
	/** Ends the readers that `open` has returned, so that none of them consumes the start of the body any more; their next read fails. */
	endReaders(): void;
	/**
	Starts reading the body from its start.

	@throws {BodySpentError} The start is no longer buffered.
	@throws {BodyBrokenError} The body is known to be incomplete.
	*/
	open(): OutgoingBody;
};

/** A body that is completely in memory. */
export class BufferedBody implements RequestBody {
	readonly #content: Uint8Array | undefined;

	constructor(content: Uint8Array | undefined) {
		this.#content = content;
	}

	get length(): number {
		return this.#content?.byteLength ?? 0;
	}

	get isComplete(): boolean {
		return true;
	}

	canReplay(): boolean {
		return true;
	}

	endReaders(): void {
		// The content is not consumed.
	}

	open(): OutgoingBody {
		return this.#content;
	}
}

/** Options of a streamed body. */
export type StreamedBodyOptions = {
	readonly length: number | undefined;
	/** Largest body, in bytes, that stays buffered for another attempt. */
	readonly maximumReplayBytes: number;
	/** Maximum length of the body in bytes; reading a longer one fails with `BodyTooLargeError`. */
	readonly maximumBytes: number;
	/** Tells whether the source delivered its whole body; asked once the source has ended. */
	readonly isWhole?: () => boolean;
	/** Counts the memory of the body; not counted if absent. */
	readonly memory?: StreamMemory | undefined;
};

/** Counts the memory of a streamed body. */
export type StreamMemory = {
	/** Counts bytes that are held from now on. */
	hold(bytes: number): void;
	/** Counts bytes that are no longer held. */
	release(bytes: number): void;
};

/** What the runtime holds of a streamed body that it has read and that no reader has taken: one read. */
export const runtimeBufferBytes = 64 * bytesInKibibyte;

/** A body that is streamed from its source, with its start buffered up to a limit. */
export class StreamedBody implements RequestBody {
	readonly length: number | undefined;
	readonly #source: AsyncIterator<Uint8Array>;
	readonly #options: StreamedBodyOptions;
	readonly #bufferedChunks: Uint8Array[] = [];
	#firstBufferedIndex = 0;
	#bytesRead = 0;
	#isSourceEnded = false;
	/** Why the body can't be read to its end. A source that has failed once says that it has ended when it is asked again. */
	#failure: Error | undefined;
	#pendingRead: Promise<void> | undefined;
	/** Number of the reader that may read. */
	#currentReader = 0;
	/** Bytes of the last chunks that were taken and aren't buffered any more; their reader may still hold them. */
	#takenBytes = 0;

	constructor(source: AsyncIterable<Uint8Array>, options: StreamedBodyOptions) {
		this.length = options.length;
		this.#source = source[Symbol.asyncIterator]();
		this.#options = options;
		options.memory?.hold(runtimeBufferBytes);
	}

	get isComplete(): boolean {
		return this.#isSourceEnded;
	}

	canReplay(): boolean {
		return this.#firstBufferedIndex === 0 && this.#failure === undefined;
	}

	endReaders(): void {
		this.#currentReader += 1;
	}

	open(): OutgoingBody {
		if (this.#failure !== undefined) {
			throw this.#failure;
		}

		if (!this.canReplay()) {
			throw new BodySpentError('the start of the body is no longer buffered');
		}

		this.endReaders();
		return Readable.from(this.#read(this.#currentReader), {objectMode: false});
	}

	async * #read(reader: number): AsyncGenerator<Uint8Array> {
		let position = 0;
		for (;;) {
			if (reader !== this.#currentReader) {
				throw new BodySpentError('the body is read for another attempt');
			}

			const index = position - this.#firstBufferedIndex;
			if (index < this.#bufferedChunks.length) {
				position += 1;
				yield this.#takeChunk(index);
				continue;
			}

			if (this.#failure !== undefined) {
				throw this.#failure;
			}

			if (this.#isSourceEnded) {
				return;
			}

			this.#pendingRead ??= this.#readNextChunk();
			await this.#pendingRead;
		}
	}

	#takeChunk(index: number): Uint8Array {
		const chunk = this.#bufferedChunks[index];
		if (chunk === undefined) {
			throw new BodySpentError('another attempt has consumed this part of the body');
		}

		if (this.#bytesRead > this.#options.maximumReplayBytes) {
			this.#forget(index + 1);
		}

		return chunk;
	}

	/** Forgets the first buffered chunks, of which the last one is held by its reader for now. */
	#forget(count: number): void {
		const forgotten = this.#bufferedChunks.splice(0, count);
		this.#firstBufferedIndex += count;
		this.#options.memory?.release(this.#takenBytes);
		this.#takenBytes = 0;
		for (const {byteLength} of forgotten) {
			this.#takenBytes += byteLength;
		}
	}

	async #readNextChunk(): Promise<void> {
		try {
			const result = await this.#source.next();
			if (result.done) {
				this.#end();
				return;
			}

			this.#bytesRead += result.value.byteLength;
			if (this.#bytesRead > this.#options.maximumBytes) {
				throw new BodyTooLargeError(`the body is larger than ${this.#options.maximumBytes} bytes`);
			}

			this.#bufferedChunks.push(result.value);
			this.#options.memory?.hold(result.value.byteLength);
		} catch (error: unknown) {
			this.#failure = error instanceof FireflygladeError ? error : new BodyBrokenError('the caller disconnected in the middle of the body', {cause: error});
			throw this.#failure;
		} finally {
			this.#pendingRead = undefined;
		}
	}

	#end(): void {
		const isWhole = this.#options.isWhole?.() ?? true;
		if (!isWhole || (this.length !== undefined && this.#bytesRead !== this.length)) {
			throw new BodyBrokenError('the body ended before its end was received');
		}

		this.#isSourceEnded = true;
	}
}
