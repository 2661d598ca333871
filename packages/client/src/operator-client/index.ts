/**
Executes statements at any of several control processes, with retries.

All attempts of one statement have the same command id, so that a change is not made
twice if its answer was lost.
*/

import type {StatementResponse} from '@fireflyglade/language';
import type {Clock} from '@fireflyglade/model';
import {ControlUnreachableError, StatementRefusedError, UnexpectedAnswerError} from '../errors/index.js';
import type {RawAnswer, SendStatement, StatementRequest} from '../create-statement-sender/index.js';

/** Options of an operator client. */
export type OperatorClientOptions = {
	/** Base URLs of control processes. */
	readonly urls: readonly string[];
	readonly send: SendStatement;
	readonly clock: Clock;
	/** Creates a unique command id. */
	readonly createCommandId: () => string;
	/** Milliseconds after which a statement is not retried any more. */
	readonly retryTimeoutMilliseconds: number;
};

/** Error codes after which a retry, at another control process or later, may succeed. */
const retryableCodes = new Set(['no-quorum', 'not-leader', 'proposal-lost', 'shutting-down']);
const initialRetryDelayMilliseconds = 50;
const maximumRetryDelayMilliseconds = 1000;

type Attempt =
	| {readonly kind: 'answered'; readonly answer: StatementResponse}
	| {readonly kind: 'failed'; readonly reason: string};

function readField(value: unknown, name: string): unknown {
	return typeof value === 'object' && value !== null ? (value as Record<string, unknown>)[name] : undefined;
}

function toError(raw: RawAnswer): StatementRefusedError {
	const error = readField(raw.body, 'error');
	const code = readField(error, 'code');
	const message = readField(error, 'message');
	const position = readField(error, 'position');
	if (typeof code !== 'string' || typeof message !== 'string') {
		return new StatementRefusedError('unexpected-answer', `the control process answered with status ${raw.status}`, undefined);
	}

	return new StatementRefusedError(code, message, typeof position === 'number' ? position : undefined);
}

function toAnswer(raw: RawAnswer): StatementResponse {
	const kind = readField(raw.body, 'kind');
	if (kind !== 'changed' && kind !== 'members-changed' && kind !== 'rows' && kind !== 'help') {
		throw new UnexpectedAnswerError('the control process answered in an unknown form');
	}

	return raw.body as StatementResponse;
}

/** Executes statements at any of several control processes. */
export class OperatorClient {
	readonly #options: OperatorClientOptions;
	/** Base URL of the control process that last answered a statement; it is tried first. */
	#preferredUrl: string | undefined;

	constructor(options: OperatorClientOptions) {
		this.#options = options;
	}

	/**
	Executes a statement.

	@throws {StatementRefusedError} A control process refused the statement, or its error answer has an unknown format.
	@throws {ControlUnreachableError} Each control process was unreachable or answered with a retryable error until the retry timeout.
	@throws {UnexpectedAnswerError} An answer with status 200 has an unknown format.
	*/
	async execute(statement: string): Promise<StatementResponse> {
		const {clock, createCommandId, retryTimeoutMilliseconds} = this.#options;
		const request: StatementRequest = {statement, commandId: createCommandId()};
		const deadline = clock.now() + retryTimeoutMilliseconds;
		let retryDelay = initialRetryDelayMilliseconds;
		for (;;) {
			const reasons: string[] = [];
			for (const url of this.#urlsInOrder()) {
				const attempt = await this.#attempt(url, request);
				if (attempt.kind === 'answered') {
					this.#preferredUrl = url;
					return attempt.answer;
				}

				reasons.push(attempt.reason);
			}

			if (clock.now() + retryDelay > deadline) {
				throw new ControlUnreachableError(`no control process could answer: ${reasons.join('; ')}`);
			}

			await this.#wait(retryDelay);
			retryDelay = Math.min(retryDelay * 2, maximumRetryDelayMilliseconds);
		}
	}

	#urlsInOrder(): readonly string[] {
		const preferredUrl = this.#preferredUrl;
		return preferredUrl === undefined ? this.#options.urls : [preferredUrl, ...this.#options.urls.filter(url => url !== preferredUrl)];
	}

	async #attempt(url: string, request: StatementRequest): Promise<Attempt> {
		let raw: RawAnswer;
		try {
			raw = await this.#options.send(url, request);
		} catch (error) {
			return {kind: 'failed', reason: `${url}: ${error instanceof Error ? error.message : 'no answer'}`};
		}

		if (raw.status === 200) {
			return {kind: 'answered', answer: toAnswer(raw)};
		}

		const error = toError(raw);
		if (raw.status === 503 && retryableCodes.has(error.code)) {
			return {kind: 'failed', reason: `${url}: ${error.message}`};
		}

		throw error;
	}

	async #wait(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			this.#options.clock.startTimer(milliseconds, resolve);
		});
	}
}
